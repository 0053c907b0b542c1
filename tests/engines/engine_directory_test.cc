#include "engines/engine_directory.h"

#include "engine_table.h"
#include "engines/engine_chooser.h"
#include "engines/prefix_placement.h"
#include "replicas/least_loaded_chooser.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;

namespace {

/// Nodes that see the same engines. Messages arrive at once; messages to dead nodes are dropped.
class directory_fleet {
 public:
  explicit directory_fleet(std::size_t node_count) : table(30) {
    for (std::size_t index = 0; index < node_count; ++index) {
      add_node("z" + std::to_string(index % 3));
    }
  }

  void add_node(const std::string& zone) {
    const auto name = std::to_string(nodes.size());
    peers.push_back(
        {base::node_id("node-" + name), base::zone_id(zone), base::network_address(name)});
    nodes.push_back(
        std::make_unique<engine_directory>(peers.back(), two_regions_of_zones(), table.replicas));
    update_peers();
  }

  void update_peers() {
    for (std::size_t self = 0; self < nodes.size(); ++self) {
      std::vector<fleet_peer> others;
      for (std::size_t other = 0; other < nodes.size(); ++other) {
        if (other != self && !dead_nodes.contains(other)) {
          others.push_back(peers[other]);
        }
      }
      nodes[self]->set_peers(std::move(others));
    }
  }

  /// Delivers messages until none are left. @return the number of nodes that received any.
  std::size_t deliver_messages() {
    std::set<std::string> receivers;
    for (bool is_delivering = true; is_delivering;) {
      is_delivering = false;
      for (auto& node : nodes) {
        for (const auto& outgoing : node->take_messages()) {
          is_delivering = true;
          const auto index = std::stoul(outgoing.to.text());
          if (!dead_nodes.contains(index)) {
            receivers.insert(outgoing.to.text());
            nodes[index]->handle(outgoing.message.engine_news(), table.now);
          }
        }
      }
    }
    return receivers.size();
  }

  void send(std::size_t node, const replica_state& engine, std::uint32_t tokens) {
    nodes[node]->note_sent(engine, {tokens, 0, 0}, table.now);
  }

  [[nodiscard]] base::duration wait_at(std::size_t node, const replica_state& engine) const {
    return nodes[node]->expected_wait(engine, table.now);
  }

  [[nodiscard]] const replica_state& engine(const std::string& name) const {
    return *table.replicas.find(base::replica_id(name));
  }

  engine_table table;
  std::vector<fleet_peer> peers;
  std::vector<std::unique_ptr<engine_directory>> nodes;
  std::set<std::size_t> dead_nodes;
  std::set<base::replica_id> no_replicas;
};

} // namespace

BOOST_AUTO_TEST_SUITE(engine_directory_test)

BOOST_AUTO_TEST_CASE(sends_of_several_nodes_are_known_to_all_nodes) {
  directory_fleet fleet(20);
  const auto& busy = fleet.engine("engine-3");
  for (std::size_t node = 0; node < 8; ++node) {
    fleet.send(node, busy, 10'000);
    fleet.deliver_messages();
  }
  for (std::size_t node = 0; node < 20; ++node) {
    BOOST_TEST((fleet.wait_at(node, busy) > milliseconds(800)));
    BOOST_TEST((fleet.wait_at(node, fleet.engine("engine-4")) == milliseconds(0)));
  }
}

BOOST_AUTO_TEST_CASE(a_short_wait_is_reported_only_to_the_accounting_node) {
  directory_fleet fleet(20);
  fleet.send(0, fleet.engine("engine-3"), 5'000);
  BOOST_TEST(fleet.deliver_messages() <= 1U);
  fleet.send(0, fleet.engine("engine-3"), 900);
  BOOST_TEST(fleet.deliver_messages() == 0U);
}

BOOST_AUTO_TEST_CASE(other_regions_are_told_nothing) {
  directory_fleet fleet(9);
  fleet.add_node("z9");
  for (std::size_t node = 0; node < 9; ++node) {
    fleet.send(node, fleet.engine("engine-3"), 20'000);
  }
  fleet.deliver_messages();
  BOOST_TEST((fleet.wait_at(1, fleet.engine("engine-3")) > milliseconds(800)));
  BOOST_TEST((fleet.wait_at(9, fleet.engine("engine-3")) == milliseconds(0)));
}

BOOST_AUTO_TEST_CASE(what_is_believed_ages_out_without_news) {
  directory_fleet fleet(9);
  for (std::size_t node = 0; node < 9; ++node) {
    fleet.send(node, fleet.engine("engine-3"), 10'000);
  }
  fleet.deliver_messages();
  BOOST_TEST((fleet.wait_at(1, fleet.engine("engine-3")) > milliseconds(800)));
  fleet.table.now += std::chrono::seconds(4);
  BOOST_TEST((fleet.wait_at(1, fleet.engine("engine-3")) == milliseconds(0)));
}

BOOST_AUTO_TEST_CASE(accounting_moves_to_another_node_if_the_accounting_node_is_dead) {
  directory_fleet fleet(9);
  const auto& busy = fleet.engine("engine-3");
  for (std::size_t dead_node = 0; dead_node < 9; ++dead_node) {
    fleet.dead_nodes = {dead_node};
    fleet.update_peers();
    const std::size_t observer = (dead_node + 1) % 9;
    fleet.table.now += std::chrono::seconds(10);
    for (std::size_t node = 0; node < 9; ++node) {
      if (node != dead_node) {
        fleet.send(node, busy, 10'000);
      }
    }
    fleet.deliver_messages();
    BOOST_TEST((fleet.wait_at(observer, busy) > milliseconds(800)), "dead " << dead_node);
  }
}

BOOST_AUTO_TEST_CASE(a_single_node_accounts_for_its_own_sends) {
  directory_fleet fleet(1);
  for (int prompt = 0; prompt < 4; ++prompt) {
    fleet.send(0, fleet.engine("engine-3"), 10'000);
  }
  BOOST_TEST(fleet.deliver_messages() == 0U);
  BOOST_TEST((fleet.wait_at(0, fleet.engine("engine-3")) > milliseconds(800)));
}

BOOST_AUTO_TEST_CASE(accounting_nodes_count_cached_tokens_and_tokens_to_prefill) {
  directory_fleet fleet(9);
  for (std::size_t node = 0; node < 4; ++node) {
    fleet.nodes[node]->note_sent(fleet.engine("engine-3"), {1'000, 77, 9'000}, fleet.table.now);
  }
  fleet.deliver_messages();
  std::uint64_t cached = 0;
  std::uint64_t to_prefill = 0;
  for (const auto& node : fleet.nodes) {
    cached += node->counts().cached_prompt_tokens;
    to_prefill += node->counts().tokens_to_prefill;
  }
  BOOST_TEST(cached == 27'000U);
  BOOST_TEST(to_prefill == 13'000U);
}

BOOST_AUTO_TEST_CASE(removed_engines_are_forgotten) {
  directory_fleet fleet(3);
  const auto removed_id = fleet.engine("engine-3").record->id;
  fleet.send(0, fleet.engine("engine-3"), 40'000);
  fleet.deliver_messages();
  fleet.table.remove(removed_id);
  fleet.table.publish();
  wire::engine_news late_news;
  auto& send = *late_news.add_sends();
  send.set_replica(removed_id.text());
  send.set_own_tokens(90'000);
  auto& load = *late_news.add_loads();
  load.set_replica(removed_id.text());
  load.set_unread_tokens(90'000);
  for (auto& node : fleet.nodes) {
    node->forget_removed_engines();
    node->handle(late_news, fleet.table.now);
    BOOST_TEST(node->take_messages().empty());
  }
}

BOOST_AUTO_TEST_CASE(prompts_that_avoid_a_wait_stay_in_the_zone_of_their_stage_results) {
  directory_fleet fleet(1);
  const distance from_here(fleet.peers[0].zone, two_regions_of_zones());
  least_loaded_chooser fallback(fleet.table.replicas, from_here, fleet.table.random);
  engine_chooser chooser(fleet.table.replicas, *fleet.nodes[0], from_here, fallback);
  const std::string service = "llm";
  const auto everywhere = model::residency::everywhere();
  std::size_t moved = 0;
  for (int part = 0; part < 100; ++part) {
    request_content content;
    content.model = "m";
    content.prompt_parts = {{"part" + std::to_string(part), 400}, {"own", 20'000}};
    content.prompt_tokens = 20'400;
    const replica_requirements demand{service, content, everywhere, fleet.no_replicas};
    const auto* planned_engine = chooser.choose(demand, fleet.table.now);
    // The prompt sent to the planned engine makes it busy: the wait there is then longer than the
    // time to prefill the prefix at another engine.
    fleet.nodes[0]->note_sent(*planned_engine, sent_prompt_of(content), fleet.table.now);
    const auto* chosen = chooser.choose(demand, fleet.table.now);
    BOOST_TEST(chosen->record->zone == planned_engine->record->zone);
    moved += chosen != planned_engine ? 1 : 0;
    fleet.table.now += std::chrono::seconds(20);
  }
  BOOST_TEST(moved == 100U);
}

BOOST_AUTO_TEST_CASE(all_nodes_send_a_hot_prefix_to_the_same_three_or_four_engines) {
  directory_fleet fleet(20);
  request_content content;
  content.model = "m";
  content.prompt_parts = {{"hot", 400}, {"own", 2'000}};
  content.prompt_tokens = 2'400;
  const std::string service = "llm";
  const auto everywhere = model::residency::everywhere();
  const replica_requirements demand{service, content, everywhere, fleet.no_replicas};
  std::vector<std::unique_ptr<least_loaded_chooser>> fallbacks;
  std::vector<std::unique_ptr<engine_chooser>> choosers;
  for (std::size_t node = 0; node < fleet.nodes.size(); ++node) {
    const distance from_here(fleet.peers[node].zone, two_regions_of_zones());
    fallbacks.push_back(std::make_unique<least_loaded_chooser>(fleet.table.replicas, from_here,
                                                               fleet.table.random));
    choosers.push_back(std::make_unique<engine_chooser>(fleet.table.replicas, *fleet.nodes[node],
                                                        from_here, *fallbacks.back()));
  }
  // 500 prompts per second have the prefix, ten times the prefill capacity of one engine.
  std::set<base::replica_id> chosen_engines;
  for (int prompt = 0; prompt < 500; ++prompt) {
    const auto node = static_cast<std::size_t>(prompt) % fleet.nodes.size();
    const auto* chosen = choosers[node]->choose(demand, fleet.table.now);
    chosen_engines.insert(chosen->record->id);
    fleet.nodes[node]->note_sent(*chosen, sent_prompt_of(content), fleet.table.now);
    fleet.deliver_messages();
    fleet.table.now += milliseconds(2);
  }
  BOOST_TEST(chosen_engines.size() >= 3U);
  BOOST_TEST(chosen_engines.size() <= 4U);
  // After the load has ended, all nodes choose the first preferred engine again.
  fleet.table.now += std::chrono::seconds(20);
  const auto prefix = shared_prompt_prefix_of(content);
  const auto* first_engine = preferred_engines_of(prefix, fleet.table.engines(), 1).front();
  for (auto& chooser : choosers) {
    BOOST_TEST(chooser->choose(demand, fleet.table.now) == first_engine);
  }
}

BOOST_AUTO_TEST_CASE(a_restarted_engine_has_no_cache_and_no_backlog) {
  directory_fleet fleet(1);
  const auto& engine = fleet.engine("engine-3");
  const sent_prompt prompt{100, 77, 9'000};
  fleet.nodes[0]->note_sent(engine, prompt, fleet.table.now);
  fleet.nodes[0]->note_sent(engine, prompt, fleet.table.now);
  BOOST_TEST(fleet.nodes[0]->counts().cached_prompt_tokens == 9'000U);
  fleet.send(0, engine, 50'000);
  BOOST_TEST((fleet.wait_at(0, engine) > milliseconds(500)));
  fleet.nodes[0]->forget(engine.record->id);
  BOOST_TEST((fleet.wait_at(0, engine) == milliseconds(0)));
  fleet.nodes[0]->note_sent(engine, prompt, fleet.table.now);
  BOOST_TEST(fleet.nodes[0]->counts().cached_prompt_tokens == 9'000U);
  fleet.nodes[0]->note_sent(engine, prompt, fleet.table.now);
  BOOST_TEST(fleet.nodes[0]->counts().cached_prompt_tokens == 18'000U);
}

BOOST_AUTO_TEST_CASE(preferred_engines_stay_when_one_of_them_restarts) {
  directory_fleet fleet(1);
  const shared_prompt_prefix prefix{77, 9'000};
  const auto preferred_ids = [&] {
    std::vector<base::replica_id> ids;
    for (const auto* engine : preferred_engines_of(prefix, fleet.table.engines(), 3)) {
      ids.push_back(engine->record->id);
    }
    return ids;
  };
  const auto ids_before = preferred_ids();
  for (const std::uint64_t started_at : {1000U, 2000U}) {
    auto record = *fleet.engine(ids_before.front().text()).record;
    record.incarnation = model::replica_incarnation{started_at};
    fleet.table.published[record.id] = std::make_shared<model::replica>(record);
    fleet.table.publish();
  }
  BOOST_TEST(fleet.table.replicas.take_restarts().size() == 1U);
  BOOST_TEST((preferred_ids() == ids_before));
}

BOOST_AUTO_TEST_SUITE_END()
