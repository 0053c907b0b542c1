#include "engines/engine_directory.h"

#include "engine_table.h"
#include "engines/engine_chooser.h"
#include "engines/part_placement.h"
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

/// Nodes that see the same engines; messages arrive at once, or not at all.
class directory_fleet {
 public:
  explicit directory_fleet(std::size_t size) : table(30) {
    for (std::size_t index = 0; index < size; ++index) {
      add_node("z" + std::to_string(index % 3));
    }
  }

  void add_node(const std::string& zone) {
    const auto name = std::to_string(nodes.size());
    peers.push_back(
        {base::node_id("node-" + name), base::zone_id(zone), base::network_address(name)});
    nodes.push_back(
        std::make_unique<engine_directory>(peers.back(), two_regions_of_zones(), table.replicas));
    introduce();
  }

  void introduce() {
    for (std::size_t self = 0; self < nodes.size(); ++self) {
      std::vector<fleet_peer> others;
      for (std::size_t other = 0; other < nodes.size(); ++other) {
        if (other != self && !dead.contains(other)) {
          others.push_back(peers[other]);
        }
      }
      nodes[self]->set_peers(std::move(others));
    }
  }

  /// Carries messages until none are left. @return how many nodes got one.
  std::size_t carry() {
    std::set<std::string> reached;
    for (bool any = true; any;) {
      any = false;
      for (auto& node : nodes) {
        for (const auto& told : node->take_messages()) {
          any = true;
          const auto index = std::stoul(told.to.text());
          if (!dead.contains(index)) {
            reached.insert(told.to.text());
            nodes[index]->handle(told.message.engine_news(), table.now);
          }
        }
      }
    }
    return reached.size();
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
  std::set<std::size_t> dead;
  std::set<base::replica_id> nobody;
};

} // namespace

BOOST_AUTO_TEST_SUITE(engine_directory_test)

BOOST_AUTO_TEST_CASE(what_several_nodes_send_is_known_to_all) {
  directory_fleet fleet(20);
  const auto& busy = fleet.engine("engine-3");
  for (std::size_t node = 0; node < 8; ++node) {
    fleet.send(node, busy, 10'000);
    fleet.carry();
  }
  for (std::size_t node = 0; node < 20; ++node) {
    BOOST_TEST((fleet.wait_at(node, busy) > milliseconds(800)));
    BOOST_TEST((fleet.wait_at(node, fleet.engine("engine-4")) == milliseconds(0)));
  }
}

BOOST_AUTO_TEST_CASE(a_wait_that_is_not_long_is_told_to_nobody_but_the_keeper) {
  directory_fleet fleet(20);
  fleet.send(0, fleet.engine("engine-3"), 5'000);
  BOOST_TEST(fleet.carry() <= 1U);
  fleet.send(0, fleet.engine("engine-3"), 900);
  BOOST_TEST(fleet.carry() == 0U);
}

BOOST_AUTO_TEST_CASE(other_regions_are_told_nothing) {
  directory_fleet fleet(9);
  fleet.add_node("z9");
  for (std::size_t node = 0; node < 9; ++node) {
    fleet.send(node, fleet.engine("engine-3"), 20'000);
  }
  fleet.carry();
  BOOST_TEST((fleet.wait_at(1, fleet.engine("engine-3")) > milliseconds(800)));
  BOOST_TEST((fleet.wait_at(9, fleet.engine("engine-3")) == milliseconds(0)));
}

BOOST_AUTO_TEST_CASE(what_is_believed_ages_out_without_news) {
  directory_fleet fleet(9);
  for (std::size_t node = 0; node < 9; ++node) {
    fleet.send(node, fleet.engine("engine-3"), 10'000);
  }
  fleet.carry();
  BOOST_TEST((fleet.wait_at(1, fleet.engine("engine-3")) > milliseconds(800)));
  fleet.table.now += std::chrono::seconds(4);
  BOOST_TEST((fleet.wait_at(1, fleet.engine("engine-3")) == milliseconds(0)));
}

BOOST_AUTO_TEST_CASE(another_node_keeps_the_account_when_the_keeper_is_dead) {
  directory_fleet fleet(9);
  const auto& busy = fleet.engine("engine-3");
  for (std::size_t keeper = 0; keeper < 9; ++keeper) {
    fleet.dead = {keeper};
    fleet.introduce();
    const std::size_t witness = (keeper + 1) % 9;
    fleet.table.now += std::chrono::seconds(10);
    for (std::size_t node = 0; node < 9; ++node) {
      if (node != keeper) {
        fleet.send(node, busy, 10'000);
      }
    }
    fleet.carry();
    BOOST_TEST((fleet.wait_at(witness, busy) > milliseconds(800)), "dead " << keeper);
  }
}

BOOST_AUTO_TEST_CASE(a_node_alone_counts_what_it_sends_itself) {
  directory_fleet fleet(1);
  for (int prompt = 0; prompt < 4; ++prompt) {
    fleet.send(0, fleet.engine("engine-3"), 10'000);
  }
  BOOST_TEST(fleet.carry() == 0U);
  BOOST_TEST((fleet.wait_at(0, fleet.engine("engine-3")) > milliseconds(800)));
}

BOOST_AUTO_TEST_CASE(keepers_count_what_is_kept_and_what_is_read) {
  directory_fleet fleet(9);
  for (std::size_t node = 0; node < 4; ++node) {
    fleet.nodes[node]->note_sent(fleet.engine("engine-3"), {1'000, 77, 9'000}, fleet.table.now);
  }
  fleet.carry();
  std::uint64_t kept = 0;
  std::uint64_t to_read = 0;
  for (const auto& node : fleet.nodes) {
    kept += node->counts().tokens_kept;
    to_read += node->counts().tokens_to_read;
  }
  BOOST_TEST(kept == 27'000U);
  BOOST_TEST(to_read == 13'000U);
}

BOOST_AUTO_TEST_CASE(engines_that_are_gone_are_forgotten) {
  directory_fleet fleet(3);
  const auto kept = fleet.engine("engine-3").record->id;
  fleet.send(0, fleet.engine("engine-3"), 40'000);
  fleet.carry();
  fleet.table.remove(kept);
  fleet.table.publish();
  wire::engine_news late;
  auto& send = *late.add_sends();
  send.set_replica(kept.text());
  send.set_own_tokens(90'000);
  auto& load = *late.add_loads();
  load.set_replica(kept.text());
  load.set_unread_tokens(90'000);
  for (auto& node : fleet.nodes) {
    node->forget_gone();
    node->handle(late, fleet.table.now);
    BOOST_TEST(node->take_messages().empty());
  }
}

BOOST_AUTO_TEST_CASE(a_wait_moves_no_prompt_out_of_the_zone_where_its_results_were_made) {
  directory_fleet fleet(1);
  const distance from_here(fleet.peers[0].zone, two_regions_of_zones());
  least_loaded_chooser plain(fleet.table.replicas, from_here, fleet.table.random);
  engine_chooser chooser(fleet.table.replicas, *fleet.nodes[0], from_here, plain);
  const std::string service = "llm";
  const auto everywhere = model::residency::everywhere();
  std::size_t moved = 0;
  for (int part = 0; part < 100; ++part) {
    request_content content;
    content.model = "m";
    content.prompt_parts = {{"part" + std::to_string(part), 400}, {"own", 20'000}};
    content.prompt_tokens = 20'400;
    const replica_demand demand{service, content, everywhere, fleet.nobody};
    const auto* planned = chooser.choose(demand, fleet.table.now);
    // Others send the first home so much that reading the part elsewhere is better.
    fleet.nodes[0]->note_sent(*planned, prompt_send_of(content), fleet.table.now);
    const auto* sent = chooser.choose(demand, fleet.table.now);
    BOOST_TEST(sent->record->zone == planned->record->zone);
    moved += sent != planned ? 1 : 0;
    fleet.table.now += std::chrono::seconds(20);
  }
  BOOST_TEST(moved == 100U);
}

BOOST_AUTO_TEST_CASE(a_hot_part_has_more_homes_at_once_and_the_same_on_all_nodes) {
  directory_fleet fleet(20);
  request_content content;
  content.model = "m";
  content.prompt_parts = {{"hot", 400}, {"own", 2'000}};
  content.prompt_tokens = 2'400;
  const std::string service = "llm";
  const auto everywhere = model::residency::everywhere();
  const replica_demand demand{service, content, everywhere, fleet.nobody};
  std::vector<std::unique_ptr<least_loaded_chooser>> plain;
  std::vector<std::unique_ptr<engine_chooser>> choosers;
  for (std::size_t node = 0; node < fleet.nodes.size(); ++node) {
    const distance from_here(fleet.peers[node].zone, two_regions_of_zones());
    plain.push_back(std::make_unique<least_loaded_chooser>(fleet.table.replicas, from_here,
                                                           fleet.table.random));
    choosers.push_back(std::make_unique<engine_chooser>(fleet.table.replicas, *fleet.nodes[node],
                                                        from_here, *plain.back()));
  }
  // 500 prompts a second want the part, ten times what one engine reads.
  std::set<base::replica_id> first_second;
  for (int prompt = 0; prompt < 500; ++prompt) {
    const auto node = static_cast<std::size_t>(prompt) % fleet.nodes.size();
    const auto* chosen = choosers[node]->choose(demand, fleet.table.now);
    first_second.insert(chosen->record->id);
    fleet.nodes[node]->note_sent(*chosen, prompt_send_of(content), fleet.table.now);
    fleet.carry();
    fleet.table.now += milliseconds(2);
  }
  BOOST_TEST(first_second.size() >= 3U);
  BOOST_TEST(first_second.size() <= 4U);
  // When the demand is over, all nodes are back at the first home.
  fleet.table.now += std::chrono::seconds(20);
  const auto beginning = shared_beginning_of(content);
  const auto* home = homes_of(beginning, fleet.table.engines(), 1).front();
  for (auto& chooser : choosers) {
    BOOST_TEST(chooser->choose(demand, fleet.table.now) == home);
  }
}

BOOST_AUTO_TEST_CASE(an_engine_that_started_again_keeps_nothing_and_has_nothing_to_read) {
  directory_fleet fleet(1);
  const auto& engine = fleet.engine("engine-3");
  const prompt_send prompt{100, 77, 9'000};
  fleet.nodes[0]->note_sent(engine, prompt, fleet.table.now);
  fleet.nodes[0]->note_sent(engine, prompt, fleet.table.now);
  BOOST_TEST(fleet.nodes[0]->counts().tokens_kept == 9'000U);
  fleet.send(0, engine, 50'000);
  BOOST_TEST((fleet.wait_at(0, engine) > milliseconds(500)));
  fleet.nodes[0]->forget(engine.record->id);
  BOOST_TEST((fleet.wait_at(0, engine) == milliseconds(0)));
  fleet.nodes[0]->note_sent(engine, prompt, fleet.table.now);
  BOOST_TEST(fleet.nodes[0]->counts().tokens_kept == 9'000U);
  fleet.nodes[0]->note_sent(engine, prompt, fleet.table.now);
  BOOST_TEST(fleet.nodes[0]->counts().tokens_kept == 18'000U);
}

BOOST_AUTO_TEST_CASE(a_prompt_keeps_its_homes_when_one_of_them_starts_again) {
  directory_fleet fleet(1);
  const shared_beginning beginning{77, 9'000};
  const auto homes = [&] {
    std::vector<base::replica_id> found;
    for (const auto* engine : homes_of(beginning, fleet.table.engines(), 3)) {
      found.push_back(engine->record->id);
    }
    return found;
  };
  const auto before = homes();
  for (const std::uint64_t started_at : {1000U, 2000U}) {
    auto record = *fleet.engine(before.front().text()).record;
    record.incarnation = model::replica_incarnation{started_at};
    fleet.table.published[record.id] = std::make_shared<model::replica>(record);
    fleet.table.publish();
  }
  BOOST_TEST(fleet.table.replicas.take_restarts().size() == 1U);
  BOOST_TEST((homes() == before));
}

BOOST_AUTO_TEST_SUITE_END()
