/// Clients of the fault soak: each keeps its connection open until the other side ends it, and
/// checks every answer.
#pragma once

#include "soak_fleet.h"

#include "base/random.h"

#include <atomic>
#include <cstdint>
#include <string>

namespace spurrack::platform_tests {

/// How a client uses its connection.
enum class client_mode : std::uint8_t {
  busy,      ///< Short requests one after another.
  idling,    ///< Rests with its connection open before each request.
  streaming, ///< Streams that last three to six seconds, one after another.
};

/// What became of one request.
struct soak_outcome {
  /// 0 where the connection ended without a whole answer.
  unsigned status = 0;
  std::string body;
  bool has_seal = false;
  bool is_complete = false;
  bool has_retry_after = false;
};

class soak_client {
 public:
  soak_client(std::string name, client_mode mode, soak_fleet& fleet, soak_recorder& recorder,
              std::uint64_t seed);

  /// Sends requests one after another until told to stop.
  void run(const std::atomic<bool>& should_stop);

 private:
  /// @return a kind of request by chance.
  std::string random_kind();
  void send(const std::string& kind);
  soak_outcome exchange(const std::string& bytes, std::chrono::milliseconds timeout);
  void connect(soak_node& node);
  void check_answer(const std::string& kind, const std::string& id, const soak_outcome& outcome,
                    soak_clock::time_point sent_at);
  void check_incomplete_answer(const std::string& id, const soak_outcome& outcome,
                               soak_clock::time_point sent_at);

  std::string name_;
  client_mode mode_;
  soak_fleet* fleet_;
  soak_recorder* recorder_;
  base::seeded_random random_;
  std::uint64_t request_count_ = 0;
  soak_node* node_ = nullptr;
  boost::asio::io_context io_;
  std::unique_ptr<tcp::socket> socket_;
};

} // namespace spurrack::platform_tests
