#include "foreign_entries.h"

#include "http_text.h"
#include "soak_fleet.h"

namespace spurrack::platform_tests {
namespace {

using namespace std::string_literals;

const std::string bytes_that_are_no_text = "\xff\xfe\x00{not an entry"s;

boost::json::object good_entry(const std::string& address) {
  return {
      {"service", "plain"}, {"address", address}, {"zone", "east"},    {"version", "v1"},
      {"slots", 16},        {"state", "ready"},   {"cold_left_ms", 0}, {"born", 1'700'000'000'000},
      {"sequence", 1}};
}

} // namespace

foreign_entries::foreign_entries(soak_store& store, soak_ledger& ledger)
    : store_(&store), ledger_(&ledger) {
  for (const char* required : {"service", "address", "zone", "slots", "state"}) {
    add_with(required, std::nullopt);
  }
  add_with("service", 7);
  add_with("service", "nobody");
  add_with("address", 7);
  add_with("address", "not an address");
  add_with("zone", boost::json::array{"east"});
  add_with("version", boost::json::object{});
  add_with("slots", "sixteen");
  add_with("slots", -1);
  add_with("state", 1);
  add_with("state", "resting");
  add_with("cold_left_ms", "soon");
  add_with("born", "today");
  add_with("born", 1.5);
  add_with("sequence", "one");
  add_bytes("empty", "");
  add_bytes("binary", bytes_that_are_no_text);
  add_bytes("list", "[1,2]");
  add_bytes("number", "17");
  add_bytes("cut", R"({"service":"plain","address":"127.)");
}

foreign_entries::~foreign_entries() {
  remove_all();
}

void foreign_entries::add_with(const std::string& field,
                               const std::optional<boost::json::value>& value) {
  const auto shown = value ? boost::json::serialize(*value) : std::string("missing");
  auto trap = make_trap(field + " " + shown);
  auto record = good_entry(trap->address());
  if (value) {
    record[field] = *value;
  } else {
    record.erase(field);
  }
  entries_.push_back({"foreign-" + std::to_string(entries_.size()), boost::json::serialize(record),
                      std::move(trap)});
}

void foreign_entries::add_bytes(const std::string& name, const std::string& value) {
  entries_.push_back({"foreign-" + name, value, nullptr});
}

std::unique_ptr<scripted_server> foreign_entries::make_trap(const std::string& what) {
  // Once is enough to show that the entry was used.
  auto used = std::make_shared<std::atomic<bool>>(false);
  return std::make_unique<scripted_server>([this, what, used](const http_request& request) {
    if (!used->exchange(true)) {
      ledger_->note_violation("FOREIGN", std::string(request.target()) +
                                             " reached an address of an entry with " + what);
    }
    return scripted_answer{http_message("503 Service Unavailable", "X-Not-Executed: 1\r\n", "")};
  });
}

void foreign_entries::put_all() {
  for (const auto& written : entries_) {
    store_->put(replica_key_prefix + written.key, written.value);
  }
}

void foreign_entries::remove_all() {
  for (const auto& written : entries_) {
    store_->remove(replica_key_prefix + written.key);
  }
}

void foreign_entries::overwrite(const soak_replica& replica) {
  store_->put(replica_key_prefix + replica.id(), bytes_that_are_no_text);
}

} // namespace spurrack::platform_tests
