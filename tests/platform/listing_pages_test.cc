/// Listings of several pages, and history that the store no longer has.
#include "paged_store.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

using namespace spurrack;

namespace {

std::string decode_percent(const std::string& text) {
  std::string decoded;
  for (std::size_t index = 0; index < text.size(); ++index) {
    if (text[index] == '%') {
      decoded += static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, 16));
      index += 2;
    } else {
      decoded += text[index];
    }
  }
  return decoded;
}

/// @return decoded value of a parameter of the query; empty if the query has no such parameter.
std::string parameter_of(const std::string& target, const std::string& name) {
  const auto start = target.find(name + "=");
  if (start == std::string::npos) {
    return {};
  }
  const auto from = start + name.size() + 1;
  return decode_percent(target.substr(from, target.find('&', from) - from));
}

/// @return JSON text of a key, without its quotes.
std::string json_text_of(const std::string& key) {
  static constexpr std::string_view digits = "0123456789abcdef";
  std::string text;
  for (const char character : key) {
    const auto byte = static_cast<unsigned char>(character);
    if (byte < ' ' || character == '"' || character == '\\') {
      text += "\\u00";
      text += digits[byte >> 4U];
      text += digits[byte & 0xFU];
    } else {
      text += character;
    }
  }
  return text;
}

/// Store that lists its keys in order, one on each page.
struct single_item_pages {
  paged_store::answer operator()(const std::string& target) const {
    const auto after = parameter_of(target, "start_after");
    const auto next =
        after.empty() ? keys.begin() : std::upper_bound(keys.begin(), keys.end(), after);
    if (next == keys.end()) {
      return {listing_of({})};
    }
    return {listing_of({item_of(json_text_of(*next), sound_entry())}, next + 1 != keys.end())};
  }
  std::vector<std::string> keys;
};

std::vector<std::string> listed_keys(const single_item_pages& store) {
  const auto answer = read_once([&](const std::string& target) { return store(target); });
  std::vector<std::string> keys;
  if (answer) {
    for (const auto& entry : answer->entries) {
      keys.push_back("servers/" + entry.key().substr(std::string("replicas/").size()));
    }
  }
  return keys;
}

} // namespace

BOOST_AUTO_TEST_SUITE(listing_pages_test)

// Guards against a key that ends a page and is not encoded in the query of the next page, so that
// the listing fails or starts anew.
BOOST_AUTO_TEST_CASE(a_page_may_end_with_any_key) {
  for (const std::string end :
       {"a b", "a&b", "a#b", "a%b", "a%41b", "a+b", "a?b=c", "a\nb", "a\r\n\r\nb", "a\"b", "a\\b",
        "a/b", "a\x01\x7f", "\xc3\xa4", "\xf0\x9f\x98\x80"}) {
    BOOST_TEST_CONTEXT(end) {
      single_item_pages store{{"servers/a", "servers/" + end, "servers/\xf4\x8f\xbf\xbf"}};
      std::sort(store.keys.begin(), store.keys.end());
      BOOST_TEST((listed_keys(store) == store.keys));
    }
  }
}

// Guards against a key that no record can have and that ends a page.
BOOST_AUTO_TEST_CASE(a_listing_goes_on_after_a_key_that_is_not_text) {
  const auto answer = read_once([&](const std::string& target) {
    const auto after = parameter_of(target, "start_after");
    if (after.empty()) {
      return paged_store::answer{listing_of({item_of("servers/b\xff", sound_entry())}, true)};
    }
    if (after == "servers/b\xff") {
      return paged_store::answer{
          listing_of({item_of("servers/c" + std::string(300, 'k'), sound_entry())}, true)};
    }
    BOOST_TEST(after == "servers/c" + std::string(300, 'k'));
    return paged_store::answer{listing_of({item_of("servers/d", sound_entry())})};
  });
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(answer->entries.size() == 3);
  BOOST_TEST(answer->entries.back().key() == "replicas/d");
}

// Guards against a bound on the number of pages, by which a writer of large values ends the
// reading: a page holds one value of the maximum size.
BOOST_AUTO_TEST_CASE(a_listing_may_have_more_than_a_thousand_pages) {
  single_item_pages store;
  for (int key = 1'000; key < 2'100; ++key) {
    store.keys.push_back("servers/" + std::to_string(key));
  }
  BOOST_TEST((listed_keys(store) == store.keys));
}

// Guards against an endless listing of a store that sends the same page again.
BOOST_AUTO_TEST_CASE(a_page_that_does_not_move_on_fails_the_listing) {
  const auto answer = read_once([](const std::string&) {
    return paged_store::answer{listing_of({item_of("servers/a", sound_entry())}, true)};
  });
  BOOST_TEST(!answer.has_value());
}

// Guards against a watch after forgotten history that fails because of an odd item of the listing
// that replaces the watch.
BOOST_AUTO_TEST_CASE(forgotten_history_is_listed_beside_an_odd_item) {
  const auto answer = read_once(
      [](const std::string& target) {
        if (target.starts_with("/kv-watch")) {
          return paged_store::answer{R"({"error":"history is gone"})", "410 Gone"};
        }
        return paged_store::answer{listing_of({item_of("servers/a", sound_entry()),
                                               item_of("servers/b", std::string(2'000'000, '[')),
                                               item_of("servers/c", sound_entry())})};
      },
      5);
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(answer->is_listing);
  BOOST_TEST(answer->entries.size() == 3);
}

BOOST_AUTO_TEST_SUITE_END()
