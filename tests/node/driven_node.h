/// A node that serves the published world, driven by hand: its clock, its events, what it asks for.
#pragma once

#include "node/node.h"
#include "serving_fixture.h"

#include <memory>
#include <string>
#include <vector>

namespace spurrack {

struct driven_node {
  /// @param step time between two looks at the node while time passes.
  explicit driven_node(const node::node_settings& settings = usual_settings(),
                       base::duration step = std::chrono::milliseconds(50))
      : step_time(step), random(1), subject(settings, random, now) {
    catalog::catalog::bucket_set all_buckets;
    all_buckets.set();
    entries = world.content.entries_in(all_buckets);
    node::service_answered published;
    published.entries = entries;
    published.service_revision = 100;
    happen(published);
  }

  static node::node_settings usual_settings() {
    node::node_settings settings;
    settings.self = {base::node_id("n"), base::zone_id("a"), base::network_address("n:1"), 1, 1};
    settings.serving.emplace();
    return settings;
  }

  void happen(const node::event& what) {
    auto wanted = subject.handle(what, now);
    std::move(wanted.begin(), wanted.end(), std::back_inserter(commands));
  }

  void pass(base::duration span) {
    for (const auto end = now + span; now < end;) {
      now += step_time;
      happen(node::time_passed{});
    }
  }

  void arrive(base::caller_id client, const std::string& path, base::time_point arrived_at,
              base::duration allowed) {
    auto content = std::make_shared<serving::request_content>();
    content->method = "POST";
    content->host = "h";
    content->path = content->target = path;
    content->id = base::request_id("r" + std::to_string(client));
    content->api_key = "key";
    content->time_allowed = allowed;
    happen(serving::event(serving::request_arrived{client, content, arrived_at}));
  }

  /// @return the commands of the serving path of one type so far, oldest first.
  template <typename wanted>
  [[nodiscard]] std::vector<wanted> all() const {
    std::vector<wanted> found;
    for (const auto& command : commands) {
      if (const auto* serving = std::get_if<serving::command>(&command)) {
        if (const auto* one = std::get_if<wanted>(serving)) {
          found.push_back(*one);
        }
      }
    }
    return found;
  }

  base::duration step_time;
  base::time_point now{std::chrono::hours(1)};
  base::seeded_random random;
  serving::published_world world;
  std::vector<wire::catalog_entry> entries;
  node::command_list commands;
  node::node subject;
};

} // namespace spurrack
