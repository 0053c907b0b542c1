/// Tests with real processes: a payout, a call that must not be repeated, runs at most once. The
/// tests check how many payouts the back ends report as executed.
///
/// Each request has a ticket or an idempotency key, as described in tools/fleet/local_fleet.h: a
/// request runs only if a node permits it to run once, or if a majority of the key's witnesses
/// grant it the key. The owner of a key is the node that runs the request to which the key was
/// granted.
#include "fleet_fixture.h"

#include <csignal>
#include <future>

namespace {

using namespace spurrack::fleet;

/// Fleet of three zones with one node each, so that a majority of the witnesses remains if one node
/// fails.
struct payout_fleet {
  payout_fleet() : fleet(binaries(), describe()) {
    fleet.start_all_nodes();
    fleet.wait_until_all_may_witness();
  }
  static fleet_description describe() {
    auto description = example_fleet({"north", "south", "west"}, 1);
    description.key_lifetime_ms = 3'000;
    return description;
  }
  [[nodiscard]] std::int64_t payouts() const { return fleet.executions_in_pool("payouts"); }

  local_fleet fleet;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(effects, payout_fleet)

BOOST_AUTO_TEST_CASE(same_key_sent_to_several_nodes_runs_once) {
  const auto first = pay(fleet, "entry-north1", "k1");
  BOOST_TEST(string_field(first, "outcome") == "completed");
  for (const auto* node : {"entry-north1", "entry-south1", "entry-west1"}) {
    const auto repeated = pay(fleet, node, "k1");
    BOOST_TEST(string_field(repeated, "outcome") == "completed");
    BOOST_TEST(string_field(repeated, "request_id") == string_field(first, "request_id"));
  }
  BOOST_TEST(payouts() == 1);
}

BOOST_AUTO_TEST_CASE(same_key_sent_concurrently_runs_once) {
  std::vector<std::future<boost::json::object>> answers;
  for (int round = 0; round < 3; ++round) {
    for (const auto* node : {"entry-north1", "entry-south1", "entry-west1"}) {
      answers.push_back(
          std::async(std::launch::async, [this, node] { return pay(fleet, node, "k2"); }));
    }
  }
  int completed = 0;
  for (auto& answer : answers) {
    completed += string_field(answer.get(), "outcome") == "completed" ? 1 : 0;
  }
  BOOST_TEST(payouts() <= 1);
  BOOST_TEST((payouts() == 1 || completed == 0));
}

BOOST_AUTO_TEST_CASE(after_the_death_of_the_owner_the_answer_is_unknown) {
  BOOST_TEST(string_field(pay(fleet, "entry-north1", "k3"), "outcome") == "completed");
  fleet.node("entry-north1").signal(SIGKILL);
  const auto repeated = pay(fleet, "entry-south1", "k3", 500);
  BOOST_TEST(string_field(repeated, "outcome") == "unknown");
  BOOST_TEST(payouts() == 1);
}

BOOST_AUTO_TEST_CASE(a_node_paused_with_a_waiting_request_does_not_run_it_late) {
  fleet.node("entry-north1").signal(SIGSTOP);
  auto paused_answer =
      std::async(std::launch::async, [this] { return pay(fleet, "entry-north1", "k4", 300); });
  const auto other_answer = pay(fleet, "entry-south1", "k4");
  BOOST_TEST(string_field(other_answer, "outcome") == "completed");
  // Waits until the witnesses' records of the key have expired. When entry-north1 resumes, the
  // witnesses can therefore no longer prevent a second payout. Only the age of the request that has
  // waited at entry-north1 can still prevent it.
  BOOST_TEST(local_fleet::wait_until(
      [&, until = std::chrono::steady_clock::now() + std::chrono::milliseconds(3'500)] {
        return std::chrono::steady_clock::now() >= until;
      }));
  fleet.node("entry-north1").signal(SIGCONT);
  const auto late = paused_answer.get();
  BOOST_TEST(string_field(late, "outcome") == "unknown");
  BOOST_TEST(string_field(late, "code") == "deadline_passed");
  BOOST_TEST(payouts() == 1);
}

BOOST_AUTO_TEST_CASE(payout_outcome_for_each_back_end_fault) {
  struct row {
    const char* fault;
    const char* outcome;
    std::int64_t executions;
  };
  // A back end that refuses a call has not run it, so the node sends the call to another back end.
  // If a call fails in any other way after the node began to send it, it may have run.
  int number = 0;
  for (const auto& [fault, outcome, executions] :
       {row{"reset_early", "unknown", 0}, row{"reset", "unknown", 1}, row{"truncate", "unknown", 1},
        row{"crossed", "unknown", 1}, row{"hang", "unknown", 1}, row{"leaving", "completed", 1}}) {
    const auto before = payouts();
    for (const auto* backend : {"payout-north", "payout-south", "payout-west"}) {
      const bool leaves = std::string(fault) == "leaving";
      fleet.set_backend_fault(backend,
                              leaves && backend != std::string("payout-north") ? "none" : fault);
    }
    const auto key = "lost" + std::to_string(++number);
    const auto answer = pay(fleet, "entry-north1", key, 600);
    BOOST_TEST_CONTEXT(fault) {
      BOOST_TEST(string_field(answer, "outcome") == outcome);
      BOOST_TEST(payouts() - before == executions);
      const auto repeated = pay(fleet, "entry-south1", key, 600);
      BOOST_TEST(string_field(repeated, "outcome") == outcome);
      BOOST_TEST(payouts() - before == executions);
    }
  }
}

BOOST_AUTO_TEST_CASE(refused_connection_is_retried_at_another_back_end) {
  auto description = describe();
  // Without the fault proxy, the kernel refuses the connection to the killed back end. The proxy
  // would accept the connection.
  description.uses_proxy = false;
  local_fleet direct(binaries(), description);
  direct.start_all_nodes();
  direct.wait_until_all_may_witness();
  direct.backend("payout-north").signal(SIGKILL);
  direct.backend("payout-north").wait();
  BOOST_TEST(string_field(pay(direct, "entry-north1", "k6"), "outcome") == "completed");
  BOOST_TEST(direct.executions("payout-south") + direct.executions("payout-west") == 1);
}

BOOST_AUTO_TEST_CASE(across_a_cut_a_key_runs_once_and_a_ticket_serves_the_cut_zone) {
  fleet.set_link_fault({"entry-north1"}, {{"black_hole", true}});
  fleet.set_link_fault({"entry-south1", "entry-west1"}, {{"delay_ms", 1}});
  const auto majority = pay(fleet, "entry-south1", "k7", 2'000);
  BOOST_TEST(string_field(majority, "outcome") == "completed");
  const auto minority = pay(fleet, "entry-north1", "k7", 2'000);
  BOOST_TEST(string_field(minority, "outcome") == "unknown");
  BOOST_TEST(payouts() == 1);
  const auto ticket = fleet.request_ticket("entry-north1", agents_token);
  const auto redeem = [&] {
    return fleet
        .send_request("entry-north1", "transfer-confirmation", agents_token,
                      {{"input", "by ticket"}}, {{"Spurrack-Ticket", ticket}})
        .json();
  };
  BOOST_TEST(string_field(redeem(), "outcome") == "completed");
  BOOST_TEST(string_field(redeem(), "outcome") == "completed");
  BOOST_TEST(payouts() == 2);
}

BOOST_AUTO_TEST_CASE(a_restarted_node_grants_nothing_and_redeems_no_old_ticket) {
  const auto ticket = fleet.request_ticket("entry-north1", agents_token);
  BOOST_TEST(!ticket.empty());
  fleet.node("entry-north1").signal(SIGKILL);
  fleet.node("entry-north1").wait();
  fleet.start_node("entry-north1");
  fleet.wait_until_ready("entry-north1");
  for (const auto* node : {"entry-north1", "entry-south1"}) {
    const auto answer = fleet
                            .send_request(node, "transfer-confirmation", agents_token,
                                          {{"input", "old ticket"}, {"deadline_ms", 800}},
                                          {{"Spurrack-Ticket", ticket}})
                            .json();
    BOOST_TEST(string_field(answer, "outcome") == "unknown");
  }
  BOOST_TEST(payouts() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
