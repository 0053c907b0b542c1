/// Guards against a node that ends, or a request that gets no answer, because the configuration
/// lost or changed what the request, a peer or a published replica still names. Nodes of two zones
/// serve drawn series of configurations, and apply each configuration at different times.
#include "peer_messages.h"
#include "serving_fixture.h"
#include "virtual_time.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <set>

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t series_count = 100;
constexpr std::size_t node_count = 4;
/// Enough for shards of each zone, whose batchers the other zone knows by their reports alone.
constexpr std::size_t pool_replicas_per_zone = 9;
constexpr std::size_t max_learning_delay_milliseconds = 400;
constexpr base::duration request_timeout = seconds(3);
/// Time after its deadline within which a request is answered.
constexpr base::duration answer_slack = milliseconds(500);

/// What the service `pool` is in a configuration.
enum class pool_kind : std::uint8_t { stages, engines, requests, absent };

/// What a series of configurations changes; the other routes and services stay as they are.
struct drawn_contents {
  pool_kind pool = pool_kind::stages;
  std::uint32_t batch = 4;
  /// Whether the route `/safe/` is split over two services.
  bool is_split = false;
  /// Whether the route `/stream/` leads to the service `plain` and no longer to `llm`.
  bool is_moved = false;
};

class changing_fleet : public virtual_time {
 public:
  explicit changing_fleet(std::uint64_t seed) : random_(seed) {
    for (const std::string zone : {"a", "b"}) {
      for (std::size_t index = 0; index < pool_replicas_per_zone; ++index) {
        published_.add_replica("more-" + zone + std::to_string(index), "pool", zone);
      }
    }
    publish();
    for (std::size_t index = 0; index < node_count; ++index) {
      auto& random = *randoms_.emplace_back(std::make_unique<base::seeded_random>(seed + index));
      nodes_.push_back(
          std::make_unique<dispatcher>(peer(index), serving_settings(), random, index + 1,
                                       [](auto, const auto&, const auto&, const auto&) {}));
      nodes_.back()->update(published_.content, now);
    }
    for (std::size_t index = 0; index < node_count; ++index) {
      std::vector<fleet_peer> others;
      for (std::size_t other = 0; other < node_count; ++other) {
        if (other != index) {
          others.push_back(peer(other));
        }
      }
      nodes_[index]->set_peers(std::move(others), node_count - 1);
    }
  }

  /// Serves requests for a while and publishes configurations.
  void run(std::size_t configurations) {
    run_for(seconds(1));
    for (std::size_t number = 0; number < configurations; ++number) {
      draw_contents();
      publish();
      for (std::size_t index = 0; index < node_count; ++index) {
        schedule(milliseconds(random_.below(max_learning_delay_milliseconds)),
                 [this, index] { nodes_[index]->update(published_.content, now); });
      }
      run_for(milliseconds(100 + random_.below(700)));
    }
    is_loaded_ = false;
    run_for(request_timeout + answer_slack);
  }

  std::size_t requests = 0;
  /// Requests of the route that no configuration changes, and those with another answer than 200.
  std::size_t unchanged_requests = 0;
  std::size_t failed_unchanged_requests = 0;
  std::size_t surplus_answers = 0;
  [[nodiscard]] std::size_t unanswered() const { return paths_.size(); }

 private:
  static fleet_peer peer(std::size_t index) {
    const auto name = "n" + std::to_string(index);
    return {base::node_id(name), base::zone_id(index % 2 == 0 ? "a" : "b"),
            base::network_address(name + ":1"), 1};
  }

  // --- configurations ----------------------------------------------------------------------------

  void draw_contents() {
    constexpr std::size_t kinds = 4;
    constexpr std::size_t max_batch = 8;
    contents_.pool = static_cast<pool_kind>(random_.below(kinds));
    contents_.batch = static_cast<std::uint32_t>(1 + random_.below(max_batch));
    contents_.is_split = random_.below(2) == 0;
    contents_.is_moved = random_.below(2) == 0;
  }

  void publish() {
    auto& configuration = published_.configuration;
    configuration.clear_services();
    configuration.clear_routes();
    published_.add_service("plain");
    published_.add_service("llm").mutable_engine()->set_slots(8);
    auto& safe = published_.add_route("/safe/", wire::ROUTE_SAFE, "plain");
    published_.add_route("/unsafe/", wire::ROUTE_UNSAFE, "plain").set_max_attempts(1);
    published_.add_route("/stream/", wire::ROUTE_STREAMING, contents_.is_moved ? "plain" : "llm")
        .set_resumable(true);
    if (contents_.is_split) {
      auto& part = *safe.add_services();
      part.set_service("llm");
      part.set_weight(1);
    }
    add_pool();
    published_.publish_configuration();
  }

  void add_pool() {
    if (contents_.pool == pool_kind::absent) {
      return;
    }
    auto& pool = published_.add_service("pool");
    if (contents_.pool == pool_kind::engines) {
      pool.mutable_engine()->set_slots(4);
    } else if (contents_.pool == pool_kind::stages) {
      auto& pieces = *pool.mutable_pieces();
      pieces.set_slots(1);
      pieces.set_batch(contents_.batch);
      pieces.set_call_milliseconds(40);
      pieces.set_item_milliseconds(2);
      pieces.set_result_megabytes(1);
      pieces.set_handle_seconds(4);
      published_.add_staged_route();
      return;
    }
    published_.add_route("/staged/", wire::ROUTE_SAFE, "pool");
  }

  // --- clients -----------------------------------------------------------------------------------

  void run_for(base::duration span) {
    const auto end = now + span;
    while (now < end) {
      now += milliseconds(1);
      constexpr std::size_t requests_per_second = 150;
      if (is_loaded_ && random_.below(1000) < requests_per_second) {
        send();
      }
      run_due();
      for (std::size_t index = 0; index < node_count; ++index) {
        advance(index);
      }
    }
  }

  void send() {
    static const std::vector<std::string> paths{"/safe/", "/unsafe/", "/stream/", "/staged/",
                                                "/staged/"};
    auto content = std::make_shared<request_content>();
    content->method = "POST";
    content->host = "h";
    content->path = content->target = paths[random_.below(paths.size())];
    const auto client = ++last_client_;
    content->id = base::request_id("r" + std::to_string(client));
    content->api_key = "key";
    content->time_allowed = request_timeout;
    content->pieces = {1, static_cast<std::uint32_t>(1 + random_.below(6))};
    content->piece_key = "pk";
    paths_[client] = content->path;
    ++requests;
    unchanged_requests += content->path == "/unsafe/" ? 1 : 0;
    nodes_[random_.below(node_count)]->handle(request_arrived{client, content, now}, now);
  }

  void end(base::caller_id client, unsigned answer_status) {
    const auto found = paths_.find(client);
    if (found == paths_.end()) {
      ++surplus_answers;
      return;
    }
    failed_unchanged_requests += found->second == "/unsafe/" && answer_status != 200 ? 1 : 0;
    paths_.erase(found);
  }

  // --- nodes -------------------------------------------------------------------------------------

  void advance(std::size_t index) {
    auto& node = *nodes_[index];
    node.confirm_replica_list(now);
    node.advance(now);
    for (auto& command : node.take_commands()) {
      std::visit([&](const auto& typed_command) { execute(index, typed_command); }, command);
    }
    for (const auto& sent : node.take_messages()) {
      deliver_later(index, sent);
    }
  }

  void deliver_later(std::size_t from, const wire::outgoing& sent) {
    for (std::size_t to = 0; to < node_count; ++to) {
      if (peer(to).address == sent.to) {
        schedule(milliseconds(1 + random_.below(5)), [this, from, to, message = sent.message] {
          deliver_peer_message(*nodes_[to], peer(from), message, now);
        });
      }
    }
  }

  template <typename other_command>
  void execute(std::size_t /*node*/, const other_command& /*command*/) {}

  void execute(std::size_t /*node*/, const respond& answer) { end(answer.client, answer.status); }
  void execute(std::size_t /*node*/, const end_stream& ended) {
    end(ended.client, ended.complete ? 200 : 0);
  }
  void execute(std::size_t node, const cancel_call& command) {
    cancelled_.insert({node, command.call});
  }
  void execute(std::size_t node, const probe_replica& command) {
    schedule(milliseconds(1), [this, node, replica = command.target.replica] {
      nodes_[node]->handle(replica_probed{replica, probe_result::connected}, now);
    });
  }
  void execute(std::size_t node, const start_stage_call& command) {
    schedule(milliseconds(40 + random_.below(40)), [this, node, command] {
      stage_call_ended ended{command.call, stage_call_ended::result::answered, {}};
      for (std::size_t item = 0; item < command.items.size(); ++item) {
        ended.pieces.push_back({piece_fault::none, command.target.address.text() + "/h" +
                                                       std::to_string(++last_result_)});
      }
      nodes_[node]->handle(ended, now);
    });
  }
  void execute(std::size_t node, const start_call& command) {
    schedule(milliseconds(10 + random_.below(200)), [this, node, command] {
      if (cancelled_.contains({node, command.call})) {
        return;
      }
      auto& subject = *nodes_[node];
      if (!command.streaming) {
        subject.handle(call_answered{command.call, dispatcher_driver::good_head(), ""}, now);
        return;
      }
      subject.handle(stream_opened{command.call, dispatcher_driver::good_head()}, now);
      subject.handle(stream_bytes{command.call, "id: 1\ndata: x\n\n"}, now);
      subject.handle(stream_closed{command.call, true}, now);
    });
  }

  base::seeded_random random_;
  published_catalog published_;
  drawn_contents contents_;
  std::vector<std::unique_ptr<base::seeded_random>> randoms_;
  std::vector<std::unique_ptr<dispatcher>> nodes_;
  std::set<std::pair<std::size_t, base::call_id>> cancelled_;
  /// Paths of the requests without a final answer, by client.
  std::map<base::caller_id, std::string> paths_;
  base::caller_id last_client_ = 0;
  std::uint64_t last_result_ = 0;
  bool is_loaded_ = true;
};

} // namespace

BOOST_AUTO_TEST_SUITE(changing_configuration_test)

BOOST_AUTO_TEST_CASE(every_request_is_answered_under_drawn_series_of_configurations) {
  for (std::uint64_t series = 1; series <= series_count; ++series) {
    changing_fleet fleet(series);
    fleet.run(12);
    BOOST_TEST_MESSAGE("series " << series << ": " << fleet.requests << " requests");
    BOOST_TEST(fleet.requests > 0U);
    BOOST_TEST(fleet.unanswered() == 0U, "series " << series << ": " << fleet.unanswered()
                                                   << " requests got no final answer");
    BOOST_TEST(fleet.surplus_answers == 0U, "series " << series);
    BOOST_TEST(fleet.failed_unchanged_requests == 0U,
               "series " << series << ": " << fleet.failed_unchanged_requests << " of "
                         << fleet.unchanged_requests
                         << " requests of a route that never changed failed");
  }
}

BOOST_AUTO_TEST_SUITE_END()
