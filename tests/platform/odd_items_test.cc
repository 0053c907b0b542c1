/// Items that another writer left among those of the replicas: too large, too deep, with odd keys.
/// Each of them is rejected with its key, and all other items are kept.
#include "model/serving_record_parser.h"
#include "paged_store.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace spurrack;

namespace {

constexpr std::size_t max_value_bytes = 1'048'576;

/// @return for each key of the catalog, the reason why its record is rejected; empty if it is
/// sound.
std::map<std::string, std::string> verdicts_of(const node::service_answered& answer) {
  std::map<std::string, std::string> verdicts;
  for (const auto& entry : answer.entries) {
    const auto parsed = model::parse_replica(entry.value());
    const auto* refused = std::get_if<model::refusal_reason>(&parsed);
    verdicts[entry.key()] = refused == nullptr ? "" : refused->text;
  }
  return verdicts;
}

/// Reads a list, and a watch, of a sound item before and after the given items.
/// @return verdicts of the listing, which are those of the watch as well.
std::map<std::string, std::string> verdicts_beside_sound_items(std::vector<std::string> items) {
  items.insert(items.begin(), item_of("servers/first", sound_entry()));
  items.push_back(item_of("servers/last", sound_entry()));
  const auto listed =
      read_once([&](const std::string&) { return paged_store::answer{listing_of(items)}; });
  const auto watched =
      read_once([&](const std::string&) { return paged_store::answer{events_of(items)}; }, 5);
  BOOST_REQUIRE(listed.has_value());
  BOOST_REQUIRE(watched.has_value());
  auto verdicts = verdicts_of(*listed);
  BOOST_TEST((verdicts == verdicts_of(*watched)));
  BOOST_TEST(verdicts.at("replicas/first") == "");
  BOOST_TEST(verdicts.at("replicas/last") == "");
  return verdicts;
}

std::string nested_object(std::size_t levels) {
  std::string text;
  for (std::size_t level = 0; level < levels; ++level) {
    text += "{\"a\": ";
  }
  return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(odd_items_test)

// Guards against one item of many MB that makes the whole answer fail, so that the node follows no
// list any more.
BOOST_AUTO_TEST_CASE(an_item_that_is_too_large_is_rejected_and_the_others_are_kept) {
  const auto verdicts =
      verdicts_beside_sound_items({item_of("servers/odd", nested_object(2'100'000))});
  BOOST_TEST(verdicts.at("replicas/odd") == "value has more than 1048576 bytes");
}

BOOST_AUTO_TEST_CASE(a_value_may_have_as_many_bytes_as_the_store_accepts) {
  const auto padded = [](std::size_t bytes) {
    return sound_entry() + std::string(bytes - sound_entry().size(), ' ');
  };
  const auto verdicts =
      verdicts_beside_sound_items({item_of("servers/full", padded(max_value_bytes)),
                                   item_of("servers/over", padded(max_value_bytes + 1))});
  BOOST_TEST(verdicts.at("replicas/full") == "");
  BOOST_TEST(verdicts.at("replicas/over") == "value has more than 1048576 bytes");
}

// Guards against a bound on the sum of all items, by which several writers of large values, or one
// with several keys, keep starting nodes from reading any replica.
BOOST_AUTO_TEST_CASE(items_of_seventeen_megabytes_together_are_read) {
  constexpr int item_count = 17;
  std::vector<std::string> items;
  items.reserve(item_count);
  for (int count = 0; count < item_count; ++count) {
    items.push_back(item_of("servers/odd-" + std::to_string(count), std::string(1'000'000, '[')));
  }
  const auto verdicts = verdicts_beside_sound_items(items);
  BOOST_TEST(verdicts.size() == 19);
  BOOST_TEST(verdicts.at("replicas/odd-16") == "not a JSON document");
}

// Guards against a field of an item that is nested so deeply that the whole answer counts as
// malformed.
BOOST_AUTO_TEST_CASE(an_item_with_deeply_nested_fields_is_skipped_and_the_others_are_kept) {
  const std::string opened(100'000, '[');
  const std::string closed(100'000, ']');
  const auto verdicts = verdicts_beside_sound_items(
      {R"({"tls_key":"servers/deep","value":)" + opened + closed + R"(,"revision":7})",
       R"({"tls_key":)" + opened + closed + R"(,"revision":7})", opened + closed, "17", "null"});
  BOOST_TEST(verdicts.size() == 3);
  BOOST_TEST(verdicts.at("replicas/deep") != "");
}

// Guards against a key that is no text, by which the whole answer counts as malformed or the entry
// cannot be sent to peers.
BOOST_AUTO_TEST_CASE(an_item_with_an_odd_key_is_rejected_and_the_others_are_kept) {
  const auto verdicts = verdicts_beside_sound_items(
      {item_of("servers/\xff\xfe", sound_entry()), item_of("servers/\\ud800x", sound_entry()),
       item_of("servers/" + std::string(192, 'k'), sound_entry()),
       item_of("servers/" + std::string(193, 'k'), sound_entry()),
       item_of("servers/" + std::string(5'000'000, 'k'), sound_entry()),
       item_of("servers/a b&c#d%e\\n", sound_entry())});
  BOOST_TEST(verdicts.at("replicas/" + std::string(192, 'k')) == "");
  BOOST_TEST(verdicts.at("replicas/a b&c#d%e\n") == "");
  int rejected = 0;
  for (const auto& [key, reason] : verdicts) {
    // The prefix of the catalog is one byte longer than that of the store.
    BOOST_TEST(key.size() <= 201);
    rejected += reason.empty() ? 0 : 1;
  }
  BOOST_TEST(rejected == 3);
}

// Guards against an evacuation that is lost because of its value, and against the evacuation of a
// zone whose name no record can hold.
BOOST_AUTO_TEST_CASE(an_evacuation_stands_unless_its_key_is_odd) {
  const auto listed = read_once([](const std::string&) {
    return paged_store::answer{
        listing_of({item_of("op/evacuate/north", std::string(2'000'000, 'x')),
                    item_of("op/evacuate/\xff", "{}"),
                    item_of("op/evacuate/" + std::string(300, 'z'), "{}")})};
  });
  BOOST_REQUIRE(listed.has_value());
  BOOST_REQUIRE(listed->entries.size() == 3);
  const auto north = model::parse_evacuation(listed->entries[0].value());
  BOOST_TEST(std::get<model::evacuation>(north).zone.text() == "north");
  for (const std::size_t odd : {1U, 2U}) {
    const auto parsed = model::parse_evacuation(listed->entries[odd].value());
    BOOST_TEST(std::get<model::refusal_reason>(parsed).text == "zone is missing");
  }
}

BOOST_AUTO_TEST_SUITE_END()
