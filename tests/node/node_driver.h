/// Driver of one node that serves published routes, for tests without I/O.
#pragma once

#include "node/node.h"
#include "serving_fixture.h"

#include <memory>
#include <string>
#include <vector>

namespace spurrack {

/// Delivers events to one node, controls the node's clock and keeps the commands that the node
/// returns. The constructor delivers the published catalog to the node.
struct node_driver {
  /// @param step interval between two events while time advances.
  explicit node_driver(const node::node_settings& settings = usual_settings(),
                       base::duration step = std::chrono::milliseconds(50))
      : time_step(step), random(1), subject(settings, random, now) {
    catalog::catalog::bucket_set all_buckets;
    all_buckets.set();
    entries = published.content.entries_in(all_buckets);
    node::service_answered answered;
    answered.entries = entries;
    answered.service_revision = 100;
    deliver(answered);
  }

  static node::node_settings usual_settings() {
    node::node_settings settings;
    settings.self = {base::node_id("n"), base::zone_id("a"), base::network_address("n:1"), 1, 1};
    settings.serving.emplace();
    return settings;
  }

  /// Delivers an event to the node and collects the resulting commands.
  void deliver(const node::event& input_event) {
    auto new_commands = subject.handle(input_event, now);
    std::move(new_commands.begin(), new_commands.end(), std::back_inserter(commands));
  }

  /// Advances the clock in steps and delivers `time_passed` after each step.
  void advance_time(base::duration span) {
    for (const auto end = now + span; now < end;) {
      now += time_step;
      deliver(node::time_passed{});
    }
  }

  /// Delivers a request on a published route to the node.
  /// @param time_allowed time from the arrival of the request to its deadline.
  void deliver_request(base::caller_id client, const std::string& path, base::time_point arrived_at,
                       base::duration time_allowed) {
    auto content = std::make_shared<serving::request_content>();
    content->method = "POST";
    content->host = "h";
    content->path = content->target = path;
    content->id = base::request_id("r" + std::to_string(client));
    content->api_key = "key";
    content->time_allowed = time_allowed;
    deliver(serving::event(serving::request_arrived{client, content, arrived_at}));
  }

  /// @return the commands of one type that the serving path has returned so far, oldest first.
  template <typename command_type>
  [[nodiscard]] std::vector<command_type> serving_commands() const {
    std::vector<command_type> matches;
    for (const auto& command : commands) {
      if (const auto* serving = std::get_if<serving::command>(&command)) {
        if (const auto* match = std::get_if<command_type>(serving)) {
          matches.push_back(*match);
        }
      }
    }
    return matches;
  }

  base::duration time_step;
  base::time_point now{std::chrono::hours(1)};
  base::seeded_random random;
  serving::published_catalog published;
  std::vector<wire::catalog_entry> entries;
  node::command_list commands;
  node::node subject;
};

} // namespace spurrack
