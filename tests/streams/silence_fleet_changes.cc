/// Planned changes beside the silences.
#include "silence_fleet.h"

#include <algorithm>

namespace spurrack::silence {
namespace {

const std::vector<std::string> zones{"a", "b", "c"};

} // namespace

void silence_fleet::change_configuration() {
  changed_at_ = now;
  auto& configuration = published_.configuration;
  const auto moved =
      std::find_if(configuration.mutable_routes()->begin(), configuration.mutable_routes()->end(),
                   [](const auto& route) { return route.name() == "/moved/"; });
  const auto draw = random.below(3);
  if (draw == 0) {
    route_timeout_ = route_timeout_ == seconds(12) ? seconds(9) : seconds(12);
    for (auto& route : *configuration.mutable_routes()) {
      route.set_timeout_milliseconds(
          static_cast<std::uint32_t>(base::to_milliseconds(route_timeout_)));
    }
  } else if (moved == configuration.mutable_routes()->end()) {
    auto& route = published_.add_route("/moved/", wire::ROUTE_STREAMING, "llm");
    route.set_resumable(true);
    route.set_timeout_milliseconds(
        static_cast<std::uint32_t>(base::to_milliseconds(route_timeout_)));
  } else if (draw == 1) {
    auto& target = *moved->mutable_services(0);
    target.set_service(target.service() == "llm" ? "other" : "llm");
  } else {
    configuration.mutable_routes()->erase(moved);
  }
  published_.publish_configuration();
  publish();
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    if (random.below(2) == 0) {
      stand(index, draw_span(milliseconds(100), milliseconds(900)));
    }
  }
}

void silence_fleet::release(const std::string& service) {
  constexpr base::duration step = milliseconds(1'500);
  if (!services_in_release_.insert(service).second) {
    return;
  }
  changed_at_ = now;
  const auto version = "v" + std::to_string(++versions_);
  base::duration wait{};
  for (const auto index : replicas_of(service)) {
    if (replicas_[index].is_draining) {
      continue;
    }
    schedule(wait, [this, index, version] {
      if (replicas_[index].is_up && !replicas_[index].is_draining) {
        add_replica(replicas_[index].service, replicas_[index].zone, version);
        drain(index);
      }
    });
    wait += step;
  }
  schedule(wait + seconds(5), [this, service] { services_in_release_.erase(service); });
}

void silence_fleet::evacuate(base::duration span) {
  if (std::exchange(is_evacuated_, true)) {
    return;
  }
  changed_at_ = now;
  const auto& zone = zones[random.below(zones.size())];
  published_.evacuate(zone);
  publish();
  schedule(span, [this, zone] {
    changed_at_ = now;
    is_evacuated_ = false;
    published_.end_evacuation(zone);
    publish();
  });
}

void silence_fleet::limit_rates(const std::string& service, base::duration span) {
  const auto limited = replicas_of(service);
  for (const auto index : limited) {
    replicas_[index].announced_limit = 1;
  }
  schedule(span, [this, limited] {
    for (const auto index : limited) {
      replicas_[index].announced_limit = 0;
    }
  });
}

} // namespace spurrack::silence
