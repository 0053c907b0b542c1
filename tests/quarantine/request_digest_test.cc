/// Tests of the parts of a request that its digest covers, and of the text and byte forms of a
/// digest.
#include "quarantine/request_digest.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;
using quarantine::digest_of;
using quarantine::request_digest;

namespace {

serving::request_content some_request() {
  serving::request_content content;
  content.method = "POST";
  content.host = "h";
  content.target = "/a/b?c=1";
  content.path = "/a/b";
  content.body = "text";
  content.id = base::request_id("r1");
  return content;
}

} // namespace

BOOST_AUTO_TEST_SUITE(request_digest_test)

BOOST_AUTO_TEST_CASE(ids_deadlines_header_fields_and_resume_positions_do_not_change_the_digest) {
  const auto first = some_request();
  auto again = first;
  again.id = base::request_id("r2");
  again.time_allowed = std::chrono::seconds(1);
  again.headers.push_back({"X", "y"});
  again.resume_after = 7;
  BOOST_TEST((digest_of(first, "t") == digest_of(again, "t")));
}

BOOST_AUTO_TEST_CASE(method_host_path_body_and_tenant_change_the_digest) {
  const auto base_digest = digest_of(some_request(), "t");
  auto other_path = some_request();
  other_path.target = "/a/b?c=2";
  auto other_body = some_request();
  other_body.body = "texT";
  auto other_method = some_request();
  other_method.method = "PUT";
  auto other_host = some_request();
  other_host.host = "h2";
  for (const auto& other : {other_path, other_body, other_method, other_host}) {
    BOOST_TEST((digest_of(other, "t") != base_digest));
  }
  BOOST_TEST((digest_of(some_request(), "t2") != base_digest));
}

BOOST_AUTO_TEST_CASE(moving_bytes_between_parts_changes_the_digest) {
  auto left = some_request();
  auto right = some_request();
  left.target = "/ab";
  left.body = "c";
  right.target = "/a";
  right.body = "bc";
  BOOST_TEST((digest_of(left, "t") != digest_of(right, "t")));
}

BOOST_AUTO_TEST_CASE(text_and_bytes_round_trip_and_malformed_input_is_rejected) {
  const auto digest = digest_of(some_request(), "t");
  BOOST_TEST((request_digest::from_text(digest.text()) == digest));
  BOOST_TEST((request_digest::from_bytes(digest.bytes()) == digest));
  BOOST_TEST(!request_digest::from_text(digest.text().substr(1)));
  BOOST_TEST(!request_digest::from_text(std::string(32, 'g')));
  BOOST_TEST(!request_digest::from_bytes("short"));
}

BOOST_AUTO_TEST_SUITE_END()
