/// Tests with real processes: nodes that are killed, suspended, partitioned or stopped, outages of
/// the platform (the service that publishes the configuration), and back ends that hang or announce
/// a drain. Most tests run under load. To change the configuration, tests publish the pipeline
/// template `client-answer` with another deadline.
#include "fleet_fixture.h"

#include <csignal>
#include <set>

namespace {

using namespace spurrack::fleet;

struct two_zone_fleet {
  two_zone_fleet() : fleet(binaries(), example_fleet({"north", "south"}, 2)) {
    fleet.start_all_nodes();
  }

  /// @return whether `node` reports that the node `subject` is in `state`.
  [[nodiscard]] bool reports_state(const std::string& node, const std::string& subject,
                                   const std::string& state) const {
    const auto document = fleet.get_document(node, "/v1/nodes");
    const auto* nodes = document.if_contains("nodes");
    if (nodes == nullptr) {
      return false;
    }
    for (const auto& row : nodes->as_array()) {
      const auto& other = row.as_object();
      if (string_field(other, "node") == subject && string_field(other, "state") == state) {
        return true;
      }
    }
    return false;
  }

  [[nodiscard]] std::string configuration_hash(const std::string& node) const {
    return string_field(fleet.get_document(node, "/v1/status"), "configuration_hash");
  }

  [[nodiscard]] bool all_configurations_match() const {
    std::set<std::string> hashes;
    for (const auto& node : fleet.description().nodes) {
      hashes.insert(configuration_hash(node.name));
    }
    return hashes.size() == 1;
  }

  /// Publishes the pipeline template `client-answer` again, with the deadline `deadline_ms`.
  void publish_deadline(int deadline_ms) const {
    auto template_text = fleet.description().records.at("templates/client-answer");
    const std::string old = "deadline_ms: 3000";
    template_text.replace(template_text.find(old), old.size(),
                          "deadline_ms: " + std::to_string(deadline_ms));
    fleet.publish({{"templates/client-answer", template_text}});
  }

  /// @return whether `node` uses the deadline `deadline_ms` for the template `client-answer`.
  [[nodiscard]] bool is_in_effect(const std::string& node, int deadline_ms) const {
    const auto document = fleet.get_document(node, "/v1/templates");
    const auto* templates = document.if_contains("templates");
    if (templates == nullptr) {
      return false;
    }
    for (const auto& row : templates->as_array()) {
      const auto& entry = row.as_object();
      if (string_field(entry, "template") == "client-answer") {
        return entry.at("deadline_ms").as_int64() == deadline_ms;
      }
    }
    return false;
  }

  local_fleet fleet;
};

void check_no_wrong_or_unknown_outcome(const load_totals& totals) {
  BOOST_TEST(totals.wrong_answers == 0U);
  BOOST_TEST(totals.count("completed") > 0U);
  BOOST_TEST(totals.count("unknown") == 0U);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(disturbances, two_zone_fleet)

BOOST_AUTO_TEST_CASE(a_killed_node_is_noticed_and_the_others_serve_on) {
  background_load load(fleet, {"entry-north2", "entry-south1"}, 4);
  BOOST_TEST(load.wait_for_completed(50));
  fleet.node("entry-north1").signal(SIGKILL);
  BOOST_TEST(local_fleet::wait_until(
      [&] { return reports_state("entry-north2", "entry-north1", "dead"); }));
  BOOST_TEST(load.wait_for_completed(50));
  fleet.node("entry-north1").wait();
  fleet.start_node("entry-north1");
  fleet.wait_until_ready("entry-north1");
  BOOST_TEST(local_fleet::wait_until(
      [&] { return reports_state("entry-north2", "entry-north1", "alive"); }));
  const auto totals = load.stop();
  check_no_wrong_or_unknown_outcome(totals);
  BOOST_TEST(totals.broken_connections == 0U);
  BOOST_TEST(totals.count("failed") == 0U);
}

BOOST_AUTO_TEST_CASE(a_paused_node_wakes_up_to_date) {
  fleet.node("entry-north1").signal(SIGSTOP);
  publish_deadline(2'500);
  BOOST_TEST(local_fleet::wait_until([&] { return is_in_effect("entry-north2", 2'500); }));
  BOOST_TEST(local_fleet::wait_until(
      [&] { return reports_state("entry-north2", "entry-north1", "dead"); }));
  fleet.node("entry-north1").signal(SIGCONT);
  BOOST_TEST(local_fleet::wait_until([&] { return is_in_effect("entry-north1", 2'500); }));
  BOOST_TEST(local_fleet::wait_until(
      [&] { return reports_state("entry-north2", "entry-north1", "alive"); }));
  const auto answer =
      fleet.send_request("entry-north1", "client-answer", agents_token, {{"input", "x"}});
  BOOST_TEST(answer.status == 200U);
}

BOOST_AUTO_TEST_CASE(a_cut_zone_serves_alone_and_rejoins) {
  const std::vector<std::string> south{"entry-south1", "entry-south2"};
  background_load load(fleet, south, 2);
  BOOST_TEST(load.wait_for_completed(20));
  fleet.set_link_fault(south, {{"cut", true}});
  fleet.set_platform_mode("down");
  BOOST_TEST(load.wait_for_completed(50));
  fleet.set_platform_mode("up");
  publish_deadline(2'600);
  fleet.set_link_fault(south, {{"cut", false}});
  BOOST_TEST(local_fleet::wait_until([&] { return is_in_effect("entry-south2", 2'600); }));
  BOOST_TEST(local_fleet::wait_until([&] { return all_configurations_match(); }));
  BOOST_TEST(load.wait_for_completed(20));
  const auto totals = load.stop();
  check_no_wrong_or_unknown_outcome(totals);
  BOOST_TEST(totals.broken_connections == 0U);
}

BOOST_AUTO_TEST_CASE(with_the_platform_down_the_last_accepted_configuration_carries_on) {
  publish_deadline(2'700);
  BOOST_TEST(local_fleet::wait_until(
      [&] { return is_in_effect("entry-south1", 2'700) && all_configurations_match(); }));
  fleet.set_platform_mode("down");
  fleet.node("entry-south1").signal(SIGKILL);
  fleet.node("entry-south1").wait();
  // While the platform is down, the restarted node can get the configuration only from the other
  // nodes.
  fleet.start_node("entry-south1");
  fleet.wait_until_ready("entry-south1");
  BOOST_TEST(is_in_effect("entry-south1", 2'700));
  BOOST_TEST(
      fleet.send_request("entry-south1", "client-answer", agents_token, {{"input", "x"}}).status ==
      200U);
}

BOOST_AUTO_TEST_CASE(a_restored_service_reverts_nothing) {
  publish_deadline(2'800);
  BOOST_TEST(local_fleet::wait_until(
      [&] { return is_in_effect("entry-north1", 2'800) && all_configurations_match(); }));
  const auto revision = get(fleet.platform_address(), "/admin/counts").json().at("revision");
  post(fleet.platform_address(), "/admin/restore",
       {{"revision", revision.to_number<std::int64_t>() - 1}});
  fleet.node("entry-north1").signal(SIGKILL);
  fleet.node("entry-north1").wait();
  fleet.start_node("entry-north1");
  fleet.wait_until_ready("entry-north1");
  BOOST_TEST(is_in_effect("entry-north1", 2'800));
  BOOST_TEST(all_configurations_match());
}

BOOST_AUTO_TEST_CASE(an_invalid_record_is_refused_alone_and_shown) {
  fleet.publish({{"templates/client-answer", "{name: client-answer, deadline_ms: never}"},
                 {"templates/added", "{name: added, deadline_ms: 5, stages: [{name: a, kind: "
                                     "encode, pool: encoders}]}"}});
  for (const auto& node : fleet.description().nodes) {
    BOOST_TEST(local_fleet::wait_until([&] {
      const auto status = fleet.get_document(node.name, "/v1/status");
      return !status.at("rejected").as_array().empty();
    }));
  }
  BOOST_TEST(local_fleet::wait_until([&] { return all_configurations_match(); }));
  const auto rejected = fleet.get_document("entry-south2", "/v1/status").at("rejected");
  BOOST_TEST(string_field(rejected.as_array().front().as_object(), "reason").find("deadline_ms") !=
             std::string::npos);
  BOOST_TEST(
      fleet.send_request("entry-south2", "client-answer", agents_token, {{"input", "x"}}).status ==
      200U);
}

BOOST_AUTO_TEST_CASE(a_planned_stop_cuts_no_request) {
  background_load load(fleet, {"entry-north1", "entry-north2"}, 6);
  BOOST_TEST(load.wait_for_completed(100));
  fleet.node("entry-north1").signal(SIGTERM);
  BOOST_TEST(fleet.node("entry-north1").wait() == 0);
  BOOST_TEST(load.wait_for_completed(50));
  const auto totals = load.stop();
  check_no_wrong_or_unknown_outcome(totals);
  BOOST_TEST(totals.broken_connections == 0U, totals.last_connection_error);
  BOOST_TEST(totals.count("failed") == 0U);
  for (const auto& [code, count] : totals.error_codes) {
    BOOST_TEST(code == "node_stopping");
  }
}

BOOST_AUTO_TEST_CASE(a_back_end_that_hangs_costs_no_request) {
  background_load load(fleet, {"entry-north1"}, 4);
  BOOST_TEST(load.wait_for_completed(300));
  fleet.backend("retriever-north1").signal(SIGSTOP);
  BOOST_TEST(load.wait_for_completed(300));
  const auto totals = load.stop();
  fleet.backend("retriever-north1").signal(SIGCONT);
  check_no_wrong_or_unknown_outcome(totals);
  BOOST_TEST(totals.count("failed") == 0U);
}

BOOST_AUTO_TEST_CASE(a_leaving_back_end_gets_no_new_work_and_ends_what_it_has) {
  background_load load(fleet, {"entry-north1", "entry-north2"}, 6);
  BOOST_TEST(load.wait_for_completed(100));
  fleet.publish_backend("engine-north1", "leaving", 1);
  const auto has_drained = [&] {
    const auto document = fleet.get_document("entry-north2", "/v1/backends");
    for (const auto& row : document.at("backends").as_array()) {
      const auto& entry = row.as_object();
      if (string_field(entry, "backend") == "engine-north1") {
        return entry.at("leaving").as_bool() && entry.at("in_flight").as_int64() == 0;
      }
    }
    return false;
  };
  BOOST_TEST(local_fleet::wait_until(has_drained));
  BOOST_TEST(load.wait_for_completed(20));
  const auto executions_after_drain = fleet.executions("engine-north1");
  BOOST_TEST(load.wait_for_completed(200));
  BOOST_TEST(fleet.executions("engine-north1") == executions_after_drain);
  const auto totals = load.stop();
  check_no_wrong_or_unknown_outcome(totals);
  BOOST_TEST(totals.count("failed") == 0U);
}

BOOST_AUTO_TEST_CASE(a_back_ends_own_refusal_spreads_before_the_list_says_it) {
  fleet.set_backend_fault("engine-north1", "leaving");
  background_load load(fleet, {"entry-north1"}, 2);
  BOOST_TEST(load.wait_for_completed(50));
  const auto is_reported_leaving = [&] {
    const auto document = fleet.get_document("entry-south2", "/v1/backends");
    for (const auto& row : document.at("backends").as_array()) {
      const auto& entry = row.as_object();
      if (string_field(entry, "backend") == "engine-north1") {
        return entry.at("leaving").as_bool();
      }
    }
    return false;
  };
  BOOST_TEST(local_fleet::wait_until(is_reported_leaving));
  check_no_wrong_or_unknown_outcome(load.stop());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(peer_keys)

BOOST_AUTO_TEST_CASE(nodes_with_different_keys_do_not_see_each_other_alive) {
  const auto with_keys = [](const std::string& public_key, const std::string& secret_key) {
    auto description = small_fleet();
    description.extra_settings =
        "curve:\n  public_key: '" + public_key + "'\n  secret_key: '" + secret_key + "'\n";
    return description;
  };
  // CURVE key pairs from the ZeroMQ examples, not used outside tests.
  const std::string first_public = "rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf7";
  const std::string first_secret = "JTKVSB%%)wK0E.X)V>+}o?pNmC{O&4W4b!Ni{Lh6";
  local_fleet fleet(binaries(), with_keys(first_public, first_secret));
  fleet.start_all_nodes();
  const auto is_alive = [&](const std::string& node, const std::string& other) {
    const auto document = fleet.get_document(node, "/v1/nodes");
    for (const auto& row : document.at("nodes").as_array()) {
      if (string_field(row.as_object(), "node") == other) {
        return string_field(row.as_object(), "state") == "alive";
      }
    }
    return false;
  };
  BOOST_TEST(local_fleet::wait_until([&] { return is_alive("entry-north1", "entry-north2"); }));
  fleet.node("entry-north2").signal(SIGKILL);
  fleet.node("entry-north2").wait();
  BOOST_TEST(local_fleet::wait_until([&] { return !is_alive("entry-north1", "entry-north2"); }));
  fleet.set_extra_settings(with_keys("Yne@$w-vo<fVvi]a<NY6T1ed:M$fCG*[IaLV{hID",
                                     "D:)Q[IlAW!ahhC2ac:9*A}h:p?([4%wOTJ%JR%cs")
                               .extra_settings);
  fleet.start_node("entry-north2");
  fleet.wait_until_ready("entry-north2");
  const auto sent_bytes = [&] {
    const auto body = get(fleet.addresses("entry-north2").operators, "/metrics").body;
    const std::string name = "\nspurrack_control_sent_bytes_total ";
    return std::stod(body.substr(body.find(name) + name.size()));
  };
  // Once entry-north2 has sent this number of bytes, it has sent several membership probes. The
  // node entry-north1 has a different key pair, so it must accept none of these probes.
  constexpr double several_probes_bytes = 600;
  bool was_seen_alive = false;
  BOOST_TEST(local_fleet::wait_until([&] {
    was_seen_alive = was_seen_alive || is_alive("entry-north1", "entry-north2") ||
                     is_alive("entry-north2", "entry-north1");
    return sent_bytes() >= several_probes_bytes;
  }));
  BOOST_TEST(!was_seen_alive);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(platform_at_start)

BOOST_AUTO_TEST_CASE(node_started_without_platform_serves_after_the_platform_recovers) {
  local_fleet fleet(binaries(), small_fleet());
  fleet.set_platform_mode("down");
  fleet.start_node("entry-north1");
  const auto& callers = fleet.addresses("entry-north1").callers;
  BOOST_TEST(local_fleet::wait_until([&] { return get(callers, "/healthz").status == 200; }));
  const auto refused =
      fleet.send_request("entry-north1", "client-answer", agents_token, {{"input", "x"}});
  BOOST_TEST(refused.status == 503U);
  BOOST_TEST(string_field(refused.json(), "outcome") == "not_run");
  BOOST_TEST(string_field(refused.json(), "code") == "node_not_ready");
  fleet.set_platform_mode("up");
  fleet.wait_until_ready("entry-north1");
  BOOST_TEST(
      fleet.send_request("entry-north1", "client-answer", agents_token, {{"input", "x"}}).status ==
      200U);
}

BOOST_AUTO_TEST_SUITE_END()
