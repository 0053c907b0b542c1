/// Emulated metadata store of the platform on loopback, which can misbehave.
#pragma once

#include "scripted_server.h"

#include <boost/json.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace spurrack::platform_tests {

/// How the store answers requests: normally, or with the fault that a test has chosen.
enum class store_mode : std::uint8_t {
  normal,
  refusing,       ///< Answers every request with 503.
  unresponsive,   ///< Waits for 1.5 s, then closes the connection without an answer.
  resetting,      ///< Resets the connection.
  expired_watches ///< Answers every watch with 410, and other requests normally.
};

/// Metadata store. An item has a key, a value and the revision of its last change. A watch is a
/// request whose answer is delayed until an item under a prefix changes or a time limit has passed.
/// The era is a number that increases when the store is restored from a snapshot. Thread-safe.
class soak_store {
 public:
  soak_store();

  void set_mode(store_mode mode) { mode_ = mode; }
  [[nodiscard]] std::string address() const { return server_->address(); }
  void put(const std::string& key, const std::string& value);
  void remove(const std::string& key);
  /// Takes a snapshot of the items and of the current revision.
  void take_snapshot();
  /// Restores the snapshot and begins a new era. Later changes receive revisions that the lost
  /// changes already had.
  void restore_snapshot();

 private:
  struct item {
    std::string value;
    std::uint64_t revision = 0;
    bool is_deleted = false;
  };
  scripted_answer answer(const http_request& request);
  /// @return items whose key starts with `prefix` and which were changed after the revision
  ///         `after`.
  /// @param include_deleted whether deleted items are listed.
  boost::json::array list_items(const std::string& prefix, std::uint64_t after,
                                bool include_deleted) const;

  mutable std::mutex mutex_;
  /// Wakes pending watches; notified after each change of the items.
  std::condition_variable changed_;
  std::map<std::string, item> items_;
  std::uint64_t revision_ = 1;
  std::uint64_t era_ = 1;
  std::map<std::string, item> snapshot_items_;
  std::uint64_t snapshot_revision_ = 1;
  std::atomic<store_mode> mode_ = store_mode::normal;
  std::unique_ptr<scripted_server> server_;
};

} // namespace spurrack::platform_tests
