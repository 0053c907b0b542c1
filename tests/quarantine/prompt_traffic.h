/// Requests with prompts for a simulated fleet: sound ones that share parts with each other, and
/// requests of which no two are alike and that have one crashing part in common.
#pragma once

#include "crash_fleet.h"

#include <cstddef>
#include <string>
#include <vector>

namespace spurrack::quarantine {

/// Position of the crashing part among the shared parts of a prompt.
enum class part_position : std::uint8_t { first, second };

struct prompt_traffic_settings {
  /// Sound requests per second: half of them begin with the popular part, one in `callers` with the
  /// parts of the caller that also sends the crashing ones.
  std::size_t sound_per_second = 20;
  std::size_t crashing_per_second = 4;
  std::size_t callers = 4;
  part_position position = part_position::second;
  /// Clients try a request that crashed its replica again, so many times, after 0.2 to 0.7 s.
  std::size_t crashing_retries = 0;
};

/// Sends requests with prompts to random nodes of a fleet. Not thread-safe.
class prompt_traffic {
 public:
  static constexpr const char* popular_part = "popular";
  static constexpr const char* rare_part = "rare";
  static constexpr const char* crashing_part = "crashing";
  /// First part of the crashing requests if the crashing part is the second one.
  static constexpr const char* shared_first_part = "caller-0";

  prompt_traffic(crash_fleet& fleet, const prompt_traffic_settings& settings)
      : fleet_(&fleet), settings_(settings) {
    fleet.harmless_per_second = 0;
  }

  /// Sends sound requests for `span`, and the crashing ones too if `with_crashing`.
  void run(base::duration span, bool with_crashing) {
    const auto end = fleet_->now + span;
    while (fleet_->now < end) {
      if (fleet_->random.below(1000) < settings_.sound_per_second) {
        send_sound();
      }
      if (with_crashing && fleet_->random.below(1000) < settings_.crashing_per_second) {
        send_crashing();
      }
      fleet_->run(milliseconds(1));
    }
  }

  /// @return share of the sound requests with the first part of the crashing ones, sent from
  /// `since`
  ///         on, that were served; 1 if there were none.
  [[nodiscard]] double served_share_beside(base::time_point since) const {
    std::size_t sent = 0;
    std::size_t served = 0;
    for (const auto& request : sound_) {
      if (request.sent_at >= since && request.first_part == shared_first_part) {
        ++sent;
        served += fleet_->counts.at(request.body).served > 0 ? 1 : 0;
      }
    }
    return sent == 0 ? 1 : static_cast<double>(served) / static_cast<double>(sent);
  }

  /// @return number of sound requests that were refused because of quarantine.
  [[nodiscard]] std::size_t quarantined_sound() const {
    std::size_t quarantined = 0;
    for (const auto& request : sound_) {
      quarantined += fleet_->counts.at(request.body).quarantined;
    }
    return quarantined;
  }

  /// Sends one request with the given shared parts and a last part of its own.
  std::string send(std::vector<std::string> shared_parts, const std::string& kind) {
    auto body = kind + "-" + std::to_string(++sent_);
    shared_parts.push_back("own of " + body);
    fleet_->send_request(fleet_->random.below(fleet_->nodes.size()), "/stream/", body,
                         shared_parts);
    return body;
  }

 private:
  struct sound_request {
    std::string body;
    std::string first_part;
    base::time_point sent_at;
  };

  void send_sound() {
    const auto caller = "caller-" + std::to_string(fleet_->random.below(settings_.callers));
    std::vector<std::string> parts{caller};
    if (fleet_->random.below(2) == 0) {
      parts.emplace_back(popular_part);
    }
    if (fleet_->random.below(settings_.sound_per_second) == 0) {
      parts.emplace_back(rare_part);
    }
    const auto now = fleet_->now;
    sound_.push_back({send(parts, "sound"), caller, now});
  }

  void send_crashing() {
    const std::vector<std::string> parts =
        settings_.position == part_position::first
            ? std::vector<std::string>{crashing_part, shared_first_part}
            : std::vector<std::string>{shared_first_part, crashing_part};
    const auto body = send(parts, "crashing-request");
    for (std::size_t retry = 1; retry <= settings_.crashing_retries; ++retry) {
      fleet_->schedule(milliseconds(retry * (200 + fleet_->random.below(500))), [this, body] {
        fleet_->send_request(fleet_->random.below(fleet_->nodes.size()), "/stream/", body,
                             fleet_->parts_by_body.at(body));
      });
    }
  }

  crash_fleet* fleet_;
  prompt_traffic_settings settings_;
  std::vector<sound_request> sound_;
  std::size_t sent_ = 0;
};

} // namespace spurrack::quarantine
