#include "foreign_entries.h"

#include "http_text.h"
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

} // namespace

foreign_entries::foreign_entries(soak_store& store, soak_recorder& recorder)
    : store_(&store), recorder_(&recorder) {
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
}

void foreign_entries::remove_all() {
  for (const auto& foreign_entry : entries_) {
    store_->remove(replica_key_prefix + foreign_entry.key);
  }
}

void foreign_entries::overwrite(const soak_replica& replica) {
  store_->put(replica_key_prefix + replica.store_id(), unparsable_bytes);
}

} // namespace spurrack::platform_tests
