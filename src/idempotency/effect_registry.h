/// What this node knows of the requests it owns by a ticket or an idempotency key: issued, running
/// or answered. Kept in memory until the key's life ends.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace spurrack::idempotency {

/// Where an effect stands at its owner.
enum class effect_state : std::uint8_t { issued, running, answered };

/// Not thread-safe.
/// @tparam answer_type final answer kept for replay.
template <typename answer_type>
class effect_registry {
 public:
  struct record {
    effect_state state = effect_state::issued;
    base::request_id request;
    base::time_point expires;
    /// Set once answered.
    std::shared_ptr<const answer_type> answer;
  };

  /// Adds a ticket that nobody has redeemed yet.
  void issue(const std::string& key, base::time_point expires) {
    records_[key] = {effect_state::issued, {}, expires, nullptr};
  }

  /// Marks an effect as running under a request, until at least `expires`.
  void run(const std::string& key, const base::request_id& request, base::time_point expires) {
    records_[key] = {effect_state::running, request, expires, nullptr};
    keys_by_request_[request] = key;
  }

  /// Keeps the answer of a request for replay; ignored for requests that own no effect.
  void answer(const base::request_id& request, const answer_type& content) {
    const auto found = keys_by_request_.find(request);
    if (found == keys_by_request_.end()) {
      return;
    }
    auto& entry = records_[found->second];
    entry.state = effect_state::answered;
    entry.answer = std::make_shared<const answer_type>(content);
  }

  /// @return the record; null where there is none.
  [[nodiscard]] const record* find(const std::string& key) const {
    const auto found = records_.find(key);
    return found == records_.end() ? nullptr : &found->second;
  }

  /// Drops records whose life has ended; running ones stay.
  void expire(base::time_point now) {
    std::erase_if(records_, [&](const auto& entry) {
      const bool ended = entry.second.state != effect_state::running && entry.second.expires <= now;
      if (ended) {
        keys_by_request_.erase(entry.second.request);
      }
      return ended;
    });
  }

  [[nodiscard]] std::size_t size() const { return records_.size(); }

 private:
  std::map<std::string, record> records_;
  std::map<base::request_id, std::string> keys_by_request_;
};

} // namespace spurrack::idempotency
