#include "foreign_entries.h"

#include "http_text.h"
#include "repeated_text.h"
#include "soak_fleet.h"

namespace spurrack::platform_tests {
namespace {

using namespace std::string_literals;

const std::string unparsable_bytes = "\xff\xfe\x00{not an entry"s;

boost::json::object valid_entry(const std::string& address) {
  return {
      {"service", "plain"}, {"address", address}, {"zone", "east"},    {"version", "v1"},
      {"slots", 16},        {"state", "ready"},   {"cold_left_ms", 0}, {"born", 1'700'000'000'000},
      {"sequence", 1}};
}

constexpr std::size_t odd_entry_count = 6;
/// Maximum number of levels of a nested entry; the entry then has 12.6 MB.
constexpr std::size_t max_levels = 2'100'000;
/// Size of an entry that is larger than the store may hold.
constexpr std::size_t large_value_bytes = 3'000'000;
constexpr std::size_t long_text_bytes = 1'000'000;

/// @param value JSON text of the field.
std::string with_field(const std::string& address, const std::string& field,
                       const std::string& value) {
  auto record = valid_entry(address);
  record.erase(field);
  const auto text = boost::json::serialize(record);
  return text.substr(0, text.size() - 1) + ",\"" + field + "\":" + value + "}";
}

const std::string& pick(const std::vector<std::string>& texts, base::random_source& random) {
  return texts[random.below(texts.size())];
}

} // namespace

foreign_entries::foreign_entries(soak_store& store, soak_recorder& recorder,
                                 std::optional<std::uint64_t> seed)
    : store_(&store), recorder_(&recorder) {
  if (seed) {
    random_.emplace(*seed);
    odd_detector_ = make_call_detector("an odd key or value");
  }
  for (const char* required : {"service", "address", "zone", "slots", "state"}) {
    add_with_field(required, std::nullopt);
  }
  add_with_field("service", 7);
  add_with_field("service", "nobody");
  add_with_field("address", 7);
  add_with_field("address", "not an address");
  add_with_field("zone", boost::json::array{"east"});
  add_with_field("version", boost::json::object{});
  add_with_field("slots", "sixteen");
  add_with_field("slots", -1);
  add_with_field("state", 1);
  add_with_field("state", "resting");
  add_with_field("cold_left_ms", "soon");
  add_with_field("born", "today");
  add_with_field("born", 1.5);
  add_with_field("sequence", "one");
  add_raw("empty", "");
  add_raw("binary", unparsable_bytes);
  add_raw("list", "[1,2]");
  add_raw("number", "17");
  add_raw("cut", R"({"service":"plain","address":"127.)");
}

foreign_entries::~foreign_entries() {
  remove_all();
}

void foreign_entries::add_with_field(const std::string& field,
                                     const std::optional<boost::json::value>& value) {
  const auto value_text = value ? boost::json::serialize(*value) : std::string("missing");
  auto call_detector = make_call_detector(field + " " + value_text);
  auto record = valid_entry(call_detector->address());
  if (value) {
    record[field] = *value;
  } else {
    record.erase(field);
  }
  entries_.push_back({"foreign-" + std::to_string(entries_.size()), boost::json::serialize(record),
                      std::move(call_detector)});
}

void foreign_entries::add_raw(const std::string& name, const std::string& value) {
  entries_.push_back({"foreign-" + name, value, nullptr});
}

std::unique_ptr<scripted_server>
foreign_entries::make_call_detector(const std::string& description) {
  // Only the first request is recorded, because one violation is enough to show that nodes used the
  // entry.
  auto was_called = std::make_shared<std::atomic<bool>>(false);
  return std::make_unique<scripted_server>([this, description,
                                            was_called](const http_request& request) {
    if (!was_called->exchange(true)) {
      recorder_->note_violation("FOREIGN", std::string(request.target()) +
                                               " reached an address of an entry with " +
                                               description);
    }
    return scripted_answer{http_message("503 Service Unavailable", "X-Not-Executed: 1\r\n", "")};
  });
}

void foreign_entries::put_all() {
  for (const auto& foreign_entry : entries_) {
    store_->put(replica_key_prefix + foreign_entry.key, foreign_entry.value);
  }
  if (random_) {
    remove_odd_entries();
    put_odd_entries();
  }
}

void foreign_entries::remove_all() {
  for (const auto& foreign_entry : entries_) {
    store_->remove(replica_key_prefix + foreign_entry.key);
  }
  remove_odd_entries();
}

void foreign_entries::put_odd_entries() {
  static const std::vector<std::string> odd_texts{"a b", "a&b", "a#b", "a%41", "a\nb", "\x01"};
  // Nodes must reject each entry with such a key, whatever its value is.
  static const std::vector<std::string> invalid_texts{"\xff\xfe", std::string(193, 'k'),
                                                      std::string(3'000, 'k')};
  for (std::size_t number = 0; number < odd_entry_count; ++number) {
    const auto suffix = std::to_string(number);
    const auto kind = random_->below(6);
    const auto key = kind == 0   ? pick(odd_texts, *random_) + suffix
                     : kind == 1 ? pick(invalid_texts, *random_) + suffix
                                 : "odd-" + suffix;
    const auto value = kind == 1 ? boost::json::serialize(valid_entry(odd_detector_->address()))
                                 : draw_odd_value();
    odd_keys_.push_back(replica_key_prefix + key);
    store_->put(odd_keys_.back(), value);
  }
}

void foreign_entries::remove_odd_entries() {
  for (const auto& key : odd_keys_) {
    store_->remove(key);
  }
  odd_keys_.clear();
}

std::string foreign_entries::draw_odd_value() {
  switch (random_->below(4)) {
  case 0:
    return draw_large_value();
  case 1:
    return draw_value_with_odd_number();
  default:
    return draw_value_with_odd_address();
  }
}

std::string foreign_entries::draw_large_value() {
  const auto address = odd_detector_->address();
  const auto long_text = '"' + std::string(long_text_bytes, 'x') + '"';
  static const std::vector<std::string> fields{"service", "address", "zone", "state"};
  switch (random_->below(5)) {
  case 0:
    return with_field(address, "version", '"' + std::string(large_value_bytes, 'v') + '"');
  case 1:
    return with_field(address, pick(fields, *random_), long_text);
  case 2:
    return repeat("{\"a\": ", max_levels);
  case 3:
    return std::string(1 + random_->below(max_levels), '[');
  default: {
    const auto levels = 33 + random_->below(100'000);
    return with_field(address, "note", std::string(levels, '[') + std::string(levels, ']'));
  }
  }
}

std::string foreign_entries::draw_value_with_odd_number() {
  static const std::vector<std::string> fields{"slots", "cold_left_ms", "born", "sequence"};
  static const std::vector<std::string> numbers{
      "1e999",  "-1e999", "1e300", "-1", "0.5", "9007199254740994", "18446744073709551616",
      "-1e-300"};
  if (random_->below(4) == 0) {
    return with_field(odd_detector_->address(), "version",
                      std::string(201 + random_->below(1'000), '9'));
  }
  return with_field(odd_detector_->address(), pick(fields, *random_), pick(numbers, *random_));
}

std::string foreign_entries::draw_value_with_odd_address() {
  const auto address = odd_detector_->address();
  const auto port = address.substr(address.rfind(':') + 1);
  // The number of the port plus 2^16 or 2^32 names the port once its upper bits are lost. Calls to
  // the unspecified address reach the server too.
  const std::vector<std::string> addresses{
      "127.0.0.1:0",
      "127.0.0.1:" + std::to_string(std::stoull(port) + 65'536),
      "127.0.0.1:" + std::to_string(std::stoull(port) + 4'294'967'296),
      "127.0.0.1:+" + port,
      "127.0.0.1: " + port,
      "127.0.0.1:-" + port,
      "0.0.0.0:" + port,
      "::ffff:0.0.0.0:" + port,
      "255.255.255.255:" + port,
      "224.0.0.1:" + port,
      "localhost:" + port};
  return with_field(address, "address", '"' + pick(addresses, *random_) + '"');
}

void foreign_entries::overwrite(const soak_replica& replica) {
  store_->put(replica_key_prefix + replica.store_id(), unparsable_bytes);
}

} // namespace spurrack::platform_tests
