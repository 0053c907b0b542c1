/// Guards against a stream that is taken for younger than it may be, and against what other nodes
/// told of a time that this node's own knowledge does not follow.
#include "streams/inherited_versions.h"
#include "streams/stream_ages.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;
using namespace spurrack::streams;
using std::chrono::seconds;

namespace {

const base::time_point now{std::chrono::hours(1)};
const base::software_version version("v1");

model::route route_with_timeout(std::optional<base::duration> timeout) {
  model::route route;
  route.name = "stream";
  route.timeout = timeout;
  return route;
}

} // namespace

BOOST_AUTO_TEST_SUITE(stream_ages_test)

BOOST_AUTO_TEST_CASE(a_stream_is_as_old_as_its_client_has_used_of_its_time) {
  stream_ages ages;
  ages.note_begun("stream", seconds(6));
  const auto route = route_with_timeout(seconds(8));
  BOOST_TEST((ages.earliest_begin(route, seconds(8), now) == now));
  BOOST_TEST((ages.earliest_begin(route, seconds(3), now) == now - seconds(5)));
}

/// The timeout of a route may be lowered while clients go on allowing more.
BOOST_AUTO_TEST_CASE(a_client_may_allow_more_than_the_timeout_of_the_route) {
  stream_ages ages;
  ages.note_begun("stream", seconds(20));
  ages.note_begun("stream", seconds(4));
  const auto route = route_with_timeout(seconds(8));
  BOOST_TEST((ages.earliest_begin(route, seconds(5), now) == now - seconds(15)));
}

BOOST_AUTO_TEST_CASE(a_stream_may_be_of_any_age_if_nothing_bounds_its_time) {
  stream_ages ages;
  const auto oldest = now - max_stream_age;
  const auto route = route_with_timeout(seconds(8));
  BOOST_TEST((ages.earliest_begin(route, seconds(8), now) == oldest));
  ages.note_begun("stream", seconds(8));
  BOOST_TEST((ages.earliest_begin(route, std::nullopt, now) == oldest));
  BOOST_TEST((ages.earliest_begin(route, seconds(9), now) == oldest));
  BOOST_TEST((ages.earliest_begin(route_with_timeout(std::nullopt), seconds(8), now) == oldest));
}

BOOST_AUTO_TEST_CASE(routes_that_are_gone_are_forgotten) {
  stream_ages ages;
  ages.note_begun("stream", seconds(8));
  ages.keep_routes_of({});
  BOOST_TEST((ages.earliest_begin(route_with_timeout(seconds(8)), seconds(8), now) ==
              now - max_stream_age));
}

BOOST_AUTO_TEST_CASE(an_answer_holds_as_long_as_the_list_is_known_without_a_gap) {
  inherited_versions inherited;
  inherited.adopt("llm", {version, now - seconds(60), now}, now);
  BOOST_TEST((inherited.since("llm", version, now) == now - seconds(60)));
  BOOST_TEST(!inherited.since("llm", version, now + seconds(10)).has_value());
  BOOST_TEST(!inherited.since("other", version, now).has_value());
  BOOST_TEST(!inherited.since("llm", base::software_version("v2"), now).has_value());
}

BOOST_AUTO_TEST_CASE(the_longest_answer_counts) {
  inherited_versions inherited;
  inherited.adopt("llm", {version, now - seconds(60), now}, now);
  inherited.adopt("llm", {version, now - seconds(30), now}, now);
  BOOST_TEST((inherited.since("llm", version, now) == now - seconds(60)));
  inherited.adopt("llm", {base::software_version("v2"), now - seconds(5), now}, now);
  BOOST_TEST(!inherited.since("llm", version, now).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
