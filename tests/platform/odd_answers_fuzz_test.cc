/// Answers of the store with items, pages and keys drawn by seed. Whatever another writer left, no
/// exception leaves the reader, each sound entry is kept, and a peer to which the entries are
/// handed on knows the same.
///
/// `SPURRACK_FUZZ_SEEDS` sets the number of seeds.
#include "base/random.h"
#include "catalog/catalog.h"
#include "catalog/entry_packing.h"
#include "page_reader.h"
#include "paged_store.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <set>

using namespace spurrack;

namespace {

constexpr std::uint64_t usual_seeds = 300;

std::uint64_t seed_count() {
  const char* given = std::getenv("SPURRACK_FUZZ_SEEDS");
  return given == nullptr ? usual_seeds : std::strtoull(given, nullptr, 10);
}

/// Draws answers of the store.
class answer_generator {
 public:
  explicit answer_generator(std::uint64_t seed) : random_(seed) {}

  /// @return the JSON text of the list of an answer. The keys of its sound items are added to
  ///         `sound_keys`.
  std::string draw_items(std::set<std::string>& sound_keys) {
    std::vector<std::string> items;
    const auto count = draw(12);
    for (std::uint64_t index = 0; index < count; ++index) {
      if (draw(3) == 0) {
        const auto id = "sound-" + std::to_string(index);
        sound_keys.insert("replicas/" + id);
        items.push_back(item_of("servers/" + id, sound_entry()));
      } else {
        items.push_back(draw_odd_item());
      }
    }
    return joined(items);
  }

  /// Changes, removes or repeats some bytes of a text.
  std::string damage(std::string text) {
    for (auto changes = 1 + draw(4); changes > 0 && !text.empty(); --changes) {
      const auto at = static_cast<std::size_t>(draw(text.size()));
      switch (draw(4)) {
      case 0:
        text[at] = draw_byte();
        break;
      case 1:
        text.erase(at, 1 + draw(20));
        break;
      case 2:
        text.insert(at, text.substr(static_cast<std::size_t>(draw(text.size())), draw(40)));
        break;
      default:
        text.resize(at);
      }
    }
    return text;
  }

  /// Reads a text in pieces of drawn sizes.
  void read_in_pieces(std::string_view text, platform::page_reader& reader) {
    const auto max_piece_bytes = 1 + draw(draw(2) == 0 ? 8 : 100'000);
    while (!text.empty()) {
      const auto size = std::min<std::size_t>(text.size(), 1 + draw(max_piece_bytes));
      reader.read(text.substr(0, size));
      text.remove_prefix(size);
    }
  }

 private:
  std::uint64_t draw(std::uint64_t bound) { return bound == 0 ? 0 : random_.next() % bound; }
  char draw_byte() { return static_cast<char>(draw(256)); }
  std::string draw_bytes(std::size_t max_bytes) {
    std::string bytes(draw(max_bytes), ' ');
    std::generate(bytes.begin(), bytes.end(), [&] { return draw_byte(); });
    return bytes;
  }

  /// @return JSON text of a value of any kind.
  std::string draw_json() {
    static const std::vector<std::string> texts{"1e999",
                                                "-1e999",
                                                "1e-400",
                                                "9007199254740993",
                                                "18446744073709551615",
                                                "18446744073709551616",
                                                "-9223372036854775809",
                                                "0",
                                                "-0",
                                                "-1",
                                                "1.5",
                                                "65536",
                                                "null",
                                                "true",
                                                "{}",
                                                "[]",
                                                "{\"a\":{\"b\":[1]}}",
                                                "\"\"",
                                                "\"ready\"",
                                                "\"10.0.0.1:0\"",
                                                "\"10.0.0.1:65536\"",
                                                "\"10.0.0.1:4294967376\"",
                                                "\"0.0.0.0:80\"",
                                                "\"224.0.0.1:80\"",
                                                "\"::1%99999999999:80\"",
                                                "\"\\u0000\"",
                                                "\"\\ud800\"",
                                                "\"\xff\""};
    switch (draw(6)) {
    case 0:
      return std::string(1 + draw(600), '9');
    case 1:
      return '"' + std::string(draw(3'000), 'x') + '"';
    case 2: {
      const auto levels = draw(3'000);
      return std::string(levels, '[') + std::string(draw(2) == 0 ? levels : draw(3'000), ']');
    }
    default:
      return texts[static_cast<std::size_t>(draw(texts.size()))];
    }
  }

  std::string draw_entry() {
    static const std::array<std::string, 9> names{"service",  "address", "zone",
                                                  "version",  "slots",   "state",
                                                  "sequence", "born",    "cold_left_ms"};
    switch (draw(4)) {
    case 0:
      return draw_bytes(200);
    case 1:
      return damage(sound_entry());
    case 2:
      return draw_json();
    default:
      const auto sound = sound_entry();
      return sound.substr(0, sound.size() - 1) + ",\"" +
             names[static_cast<std::size_t>(draw(names.size()))] + "\":" + draw_json() + "}";
    }
  }

  std::string draw_key() {
    static const std::vector<std::string> keys{"servers/",
                                               "servers/a b&c#d%e",
                                               "servers/\\n\\u0000",
                                               "servers/\\ud800",
                                               "servers/\xff",
                                               "op/evacuate/",
                                               "op/evacuate/z",
                                               "op/evacuate/\xff",
                                               "op/other",
                                               "",
                                               "\\u",
                                               "\\"};
    const auto suffix = std::to_string(draw(5));
    switch (draw(3)) {
    case 0:
      return "servers/odd-" + suffix;
    case 1:
      return "servers/" + std::string(draw(6'000), 'k') + suffix;
    default:
      // A key that ends with a backslash would quote the quotation mark behind it.
      return keys[static_cast<std::size_t>(draw(keys.size() - 2))] + suffix;
    }
  }

  std::string draw_odd_item() {
    switch (draw(6)) {
    case 0:
      return draw_element();
    case 1:
      return R"({"tls_key":")" + draw_key() + R"(","value":)" + draw_element() +
             R"(,"revision":7,"other":)" + draw_element() + "}";
    case 2:
      return R"({"revision":)" + draw_element() + R"(,"tls_key":")" + draw_key() + R"(","gone":)" +
             draw_element() + "}";
    case 3:
      return R"({"tls_key":")" + draw_key() + R"(","revision":7,"gone":true})";
    default:
      return item_of(draw_key(), draw_entry());
    }
  }

  /// @return JSON text of a value whose brackets are balanced, so that the list around it stays
  ///         whole.
  std::string draw_element() {
    const auto levels = draw(2'000);
    const std::array<std::string, 6> elements{"17",
                                              "null",
                                              "\"text\"",
                                              "-1e999",
                                              std::string(levels, '[') + "1" +
                                                  std::string(levels, ']'),
                                              "{\"a\":\"]}\\\"\"}"};
    return elements[static_cast<std::size_t>(draw(elements.size()))];
  }

  base::seeded_random random_;
};

/// @return the page; std::nullopt if the reader refuses the text.
std::optional<platform::store_page> read_page(const std::string& text,
                                              answer_generator& generator) {
  platform::page_reader reader("items");
  generator.read_in_pieces(text, reader);
  auto result = reader.finish();
  auto* page = std::get_if<platform::store_page>(&result);
  return page == nullptr ? std::nullopt : std::optional(std::move(*page));
}

/// Applies entries as a node that reads the store does, and as a peer to which it hands them on.
void check_that_a_peer_knows_the_same(const std::vector<wire::catalog_entry>& entries,
                                      const std::set<std::string>& sound_keys) {
  catalog::catalog own;
  wire::catalog_push pushed;
  for (const auto& entry : entries) {
    own.apply(entry);
  }
  catalog::pack_entries(entries, pushed);
  wire::catalog_push received;
  BOOST_REQUIRE(received.ParseFromString(pushed.SerializeAsString()));
  const auto unpacked = catalog::unpack_entries(received);
  BOOST_REQUIRE(unpacked.has_value());
  catalog::catalog peer;
  for (const auto& entry : *unpacked) {
    peer.apply(entry);
  }
  BOOST_TEST(own.content_hash() == peer.content_hash());
  BOOST_TEST(own.replicas().size() == peer.replicas().size());
  for (const auto& key : sound_keys) {
    const auto id = base::replica_id(key.substr(std::string("replicas/").size()));
    BOOST_TEST(own.replicas().contains(id), key);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(odd_answers_fuzz_test)

BOOST_AUTO_TEST_CASE(sound_entries_beside_drawn_items_are_kept) {
  for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      answer_generator generator(seed);
      std::set<std::string> sound_keys;
      const auto text =
          R"({"items":[)" + generator.draw_items(sound_keys) + R"(],"more":false,"at":9})";
      const auto page = read_page(text, generator);
      BOOST_REQUIRE(page.has_value());
      check_that_a_peer_knows_the_same(page->entries, sound_keys);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_damaged_answer_is_refused_or_read_without_an_exception) {
  for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      answer_generator generator(seed);
      std::set<std::string> sound_keys;
      const auto text = generator.damage(R"({"items":[)" + generator.draw_items(sound_keys) +
                                         R"(],"more":false,"at":9})");
      if (const auto page = read_page(text, generator)) {
        check_that_a_peer_knows_the_same(page->entries, {});
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
