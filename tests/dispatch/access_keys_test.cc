/// Guards against a deployment that is open to everybody because no tenant holds a key any more: an
/// empty set of keys is not taken for a configuration without tenants.
#include "serving_fixture.h"

#include "dispatch/dispatcher_constants.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;
using namespace spurrack::serving;

namespace {

/// A driver whose tenant holds the key `key` at first.
struct keyed_driver : dispatcher_driver {
  void publish() {
    published.publish_configuration();
    subject.update(published.content, now);
  }

  void take_all_keys() {
    for (auto& tenant : *published.configuration.mutable_tenants()) {
      tenant.clear_api_keys();
    }
    publish();
  }

  wire::published_access& add_tenant(const std::string& name, const std::string& key) {
    auto& tenant = *published.configuration.add_tenants();
    tenant.set_tenant(name);
    tenant.add_api_keys(key);
    return tenant;
  }

  /// Sends a request with a key. @return whether it was sent to a replica.
  bool is_run_with(const std::string& key, const std::string& path = "/unsafe/") {
    api_key = key;
    const auto calls = all<start_call>().size();
    send_request(++last_client_, path);
    const bool is_run = all<start_call>().size() > calls;
    if (!is_run) {
      BOOST_TEST(last<respond>().status == status::unauthorized, "key " << key);
    }
    return is_run;
  }

 private:
  base::caller_id last_client_ = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(access_keys_test, keyed_driver)

BOOST_AUTO_TEST_CASE(no_request_runs_once_the_last_key_is_taken_away) {
  BOOST_TEST(is_run_with("key"));
  take_all_keys();
  for (const std::string path : {"/safe/", "/unsafe/", "/stream/"}) {
    for (const std::string key : {"key", "never held", ""}) {
      BOOST_TEST(!is_run_with(key, path), path << " with key " << key);
    }
  }
}

BOOST_AUTO_TEST_CASE(no_request_runs_once_the_last_tenant_is_removed) {
  published.configuration.clear_tenants();
  published.configuration.set_has_tenants(true);
  publish();
  for (const std::string key : {"key", "never held", ""}) {
    BOOST_TEST(!is_run_with(key), "key " << key);
  }
}

BOOST_AUTO_TEST_CASE(a_key_that_comes_later_is_allowed_alone) {
  take_all_keys();
  published.configuration.mutable_tenants(0)->add_api_keys("new");
  publish();
  BOOST_TEST(is_run_with("new"));
  BOOST_TEST(!is_run_with("key"));
}

BOOST_AUTO_TEST_CASE(requests_without_a_key_run_if_the_configuration_has_no_tenants) {
  published.configuration.clear_tenants();
  publish();
  BOOST_TEST(is_run_with(""));
  BOOST_TEST(is_run_with("any"));
}

BOOST_AUTO_TEST_CASE(public_routes_need_no_key_after_the_last_key_was_taken_away) {
  published.add_route("/open/", wire::ROUTE_SAFE, "plain").set_is_public(true);
  take_all_keys();
  BOOST_TEST(is_run_with("", "/open/"));
  BOOST_TEST(is_run_with("key", "/open/"));
}

/// A request that carries no key must not be allowed by a key without text.
BOOST_AUTO_TEST_CASE(a_key_without_text_is_held_by_nobody) {
  published.configuration.mutable_tenants(0)->add_api_keys("");
  publish();
  BOOST_TEST(!is_run_with(""));
  BOOST_TEST(is_run_with("key"));
}

/// It is not known for which tenant, and in which regions, a request with such a key would run.
BOOST_AUTO_TEST_CASE(a_key_of_two_tenants_is_refused) {
  add_tenant("other", "key");
  add_tenant("third", "own");
  publish();
  BOOST_TEST(!is_run_with("key"));
  BOOST_TEST(is_run_with("own"));
}

BOOST_AUTO_TEST_CASE(a_key_that_is_listed_twice_for_one_tenant_is_allowed) {
  published.configuration.mutable_tenants(0)->add_api_keys("key");
  publish();
  BOOST_TEST(is_run_with("key"));
}

BOOST_AUTO_TEST_CASE(a_renamed_tenant_keeps_its_key) {
  published.configuration.mutable_tenants(0)->set_tenant("renamed");
  publish();
  BOOST_TEST(is_run_with("key"));
  BOOST_TEST(last<start_call>().tenant == "renamed");
}

/// The rule is for requests that are sent after the change; a request under way may end.
BOOST_AUTO_TEST_CASE(a_request_under_way_ends_although_its_key_is_taken_away) {
  BOOST_TEST(is_run_with("key", "/safe/"));
  take_all_keys();
  answer(last<start_call>().call, {}, good_head());
  BOOST_TEST(last<respond>().status == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
