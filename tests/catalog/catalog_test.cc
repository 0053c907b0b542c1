/// Order of catalog entries. An entry is replaced only by a later entry of its key. The content of
/// a catalog does not depend on the order in which the entries are applied.
#include "catalog/catalog.h"

#include "base/random.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace {

using spurrack::catalog::apply_verdict;
using spurrack::catalog::catalog;
using spurrack::wire::catalog_entry;

std::string valid_template(int deadline) {
  return "{name: t, deadline_ms: " + std::to_string(deadline) +
         ", stages: [{name: a, kind: encode, pool: p}]}";
}

catalog_entry entry(std::uint64_t revision, const std::string& value,
                    const std::string& key = "templates/t") {
  catalog_entry result;
  result.set_key(key);
  result.set_revision(revision);
  result.set_value(value);
  result.set_deleted(value.empty());
  return result;
}

const spurrack::base::template_id name("t");

} // namespace

BOOST_AUTO_TEST_SUITE(catalog_entries)

BOOST_AUTO_TEST_CASE(older_entry_does_not_replace_newer_entry) {
  catalog content;
  BOOST_CHECK(content.apply(entry(5, valid_template(50))).verdict == apply_verdict::accepted);
  BOOST_CHECK(content.apply(entry(4, valid_template(40))).verdict == apply_verdict::older);
  BOOST_CHECK(content.apply(entry(5, valid_template(50))).verdict == apply_verdict::duplicate);
  BOOST_TEST(content.revision_of("templates/t") == 5U);
  BOOST_CHECK(content.apply(entry(6, "")).verdict == apply_verdict::accepted);
  BOOST_CHECK(content.find_template(name) == nullptr);
  BOOST_CHECK(content.apply(entry(5, valid_template(50))).verdict == apply_verdict::older);
  BOOST_CHECK(content.find_template(name) == nullptr);
}

BOOST_AUTO_TEST_CASE(invalid_newer_entry_leaves_last_accepted_entry_in_effect) {
  catalog content;
  content.apply(entry(1, valid_template(10)));
  BOOST_CHECK(content.apply(entry(2, "{name: t}")).verdict == apply_verdict::rejected);
  BOOST_TEST(content.revision_of("templates/t") == 1U);
  BOOST_TEST_REQUIRE(content.rejections().size() == 1U);
  BOOST_TEST(content.rejections().front().revision == 2U);
  BOOST_TEST(content.rejections().front().reason.find("deadline_ms") != std::string::npos);
  content.apply(entry(3, valid_template(30)));
  BOOST_TEST(content.rejections().empty());
}

BOOST_AUTO_TEST_CASE(content_is_equal_after_any_order_of_entries) {
  // Two entries have revision 4 and different values, as after the restoration of the store, which
  // assigns revisions again.
  std::vector<catalog_entry> entries{entry(1, valid_template(1)), entry(2, "{name: t}"),
                                     entry(4, valid_template(4)), entry(4, valid_template(44)),
                                     entry(5, "{name: u}"),       entry(3, "")};
  spurrack::base::seeded_random random(1);
  std::optional<std::uint64_t> expected_hash;
  constexpr int order_count = 200;
  for (int round = 0; round < order_count; ++round) {
    for (std::size_t index = entries.size(); index > 1; --index) {
      std::swap(entries[index - 1], entries[random.below(index)]);
    }
    catalog content;
    for (const auto& offered : entries) {
      content.apply(offered);
    }
    expected_hash = expected_hash.value_or(content.content_hash());
    BOOST_TEST(content.content_hash() == *expected_hash);
    BOOST_TEST(content.revision_of("templates/t") == 4U);
    BOOST_TEST(content.rejections().size() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(shared_token_belongs_to_the_same_tenant_after_any_order_of_entries) {
  const auto tenant = [](const std::string& tenant_name) {
    return "{name: " + tenant_name + ", token_sha256: " + std::string(64, 'b') + ", templates: {}}";
  };
  for (const bool reversed : {false, true}) {
    catalog content;
    content.apply(entry(reversed ? 2 : 1, tenant(reversed ? "z" : "c"),
                        reversed ? "tenants/z" : "tenants/c"));
    content.apply(entry(reversed ? 1 : 2, tenant(reversed ? "c" : "z"),
                        reversed ? "tenants/c" : "tenants/z"));
    BOOST_TEST(content.find_tenant_by_token(std::string(64, 'b'))->name.text() == "c");
  }
}

BOOST_AUTO_TEST_SUITE_END()
