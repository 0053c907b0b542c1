/// Tickets and idempotency keys that this node owns: the tickets that it issued, and the keys that
/// its requests acquired. Each ticket and each key allows one execution of a request that may run
/// at most once; in identifiers, `effect` stands for such an execution. The record of a ticket or
/// key is kept in memory at least until the lifetime of the ticket or key ends.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace spurrack::idempotency {

/// State of a ticket or an idempotency key at the node that owns it.
enum class effect_state : std::uint8_t {
  issued,  ///< The ticket was issued and has not been redeemed.
  running, ///< A request with the ticket or key runs at this node.
  answered ///< The request that ran with the ticket or key was answered.
};

/// Records of the tickets and idempotency keys that this node owns, indexed by a text that
/// identifies the ticket or key. Not thread-safe.
/// @tparam answer_type final answer to a request.
template <typename answer_type>
class effect_registry {
 public:
  struct record {
    effect_state state = effect_state::issued;
    /// Request that runs or ran with the ticket or key; empty if the state is `issued`.
    base::request_id request;
    base::time_point expires_at;
    /// Answer to the request if the state is `answered`, otherwise null.
    std::shared_ptr<const answer_type> answer;
  };

  /// Records a new ticket in state `issued`.
  void add_ticket(const std::string& key, base::time_point expires_at) {
    records_[key] = {effect_state::issued, {}, expires_at, nullptr};
  }

  /// Records that `request` runs with the ticket or key from now on. The record is kept until the
  /// request is answered, and at least until `expires_at`.
  void mark_running(const std::string& key, const base::request_id& request,
                    base::time_point expires_at) {
    records_[key] = {effect_state::running, request, expires_at, nullptr};
    keys_by_request_[request] = key;
  }

  /// Stores the answer for later requests with the same ticket or key. Does nothing if
  /// `mark_running` was not called for the request.
  void record_answer(const base::request_id& request, const answer_type& content) {
    const auto found = keys_by_request_.find(request);
    if (found == keys_by_request_.end()) {
      return;
    }
    auto& entry = records_[found->second];
    entry.state = effect_state::answered;
    entry.answer = std::make_shared<const answer_type>(content);
  }

  /// @return the record of a ticket or key; nullptr if there is none.
  [[nodiscard]] const record* find(const std::string& key) const {
    const auto found = records_.find(key);
    return found == records_.end() ? nullptr : &found->second;
  }

  /// Drops expired records, except records in state `running`.
  void expire(base::time_point now) {
    std::erase_if(records_, [&](const auto& entry) {
      const bool is_expired =
          entry.second.state != effect_state::running && entry.second.expires_at <= now;
      if (is_expired) {
        keys_by_request_.erase(entry.second.request);
      }
      return is_expired;
    });
  }

  [[nodiscard]] std::size_t size() const { return records_.size(); }

 private:
  std::map<std::string, record> records_;
  std::map<base::request_id, std::string> keys_by_request_;
};

} // namespace spurrack::idempotency
