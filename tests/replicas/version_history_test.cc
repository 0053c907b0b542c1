/// Software versions that the replicas of a service have or had.
#include "replicas/version_history.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;
using serving::version_history;

namespace {

const base::time_point start{std::chrono::hours(1)};
const base::software_version v1("v1");
const base::software_version v2("v2");

} // namespace

BOOST_AUTO_TEST_SUITE(version_history_test)

BOOST_AUTO_TEST_CASE(second_version_counts_from_its_first_replica_until_some_time_after_its_last) {
  version_history history;
  history.note_published("llm", v1);
  history.note_published("llm", v1);
  BOOST_TEST(!history.has_several("llm", start));
  history.note_published("llm", v2);
  BOOST_TEST(history.has_several("llm", start));
  BOOST_TEST(history.has_several_published("llm"));
  BOOST_TEST(!history.has_several("other", start));
  history.note_removed("llm", v2, start);
  BOOST_TEST(!history.has_several_published("llm"));
  BOOST_TEST(history.has_several("llm", start));
  BOOST_TEST(history.has_seen("llm", v2, start));
  const auto later = start + version_history::retention;
  BOOST_TEST(!history.has_several("llm", later));
  BOOST_TEST(!history.has_seen("llm", v2, later));
  BOOST_TEST((history.published("llm") == std::vector{v1}));
}

BOOST_AUTO_TEST_CASE(missing_version_is_a_version_of_its_own) {
  version_history history;
  history.note_published("llm", base::software_version());
  history.note_published("llm", v1);
  BOOST_TEST(history.has_several("llm", start));
}

BOOST_AUTO_TEST_SUITE_END()
