/// Calls of every kind to a replica on loopback, each on a connection of its own, and how they end.
#pragma once

#include "upstream/replica_client.h"

#include "stand_in_codec.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace spurrack::upstream {

/// Kind of a call.
enum class route : std::uint8_t { repeatable, single_run, stream, pieces };
inline constexpr std::array routes{route::repeatable, route::single_run, route::stream,
                                   route::pieces};

/// How a call ended.
struct ended_call {
  /// Status of the answer; std::nullopt if the client was told of no whole answer.
  std::optional<unsigned> status;
  std::string body;
  serving::answer_fault fault = serving::answer_fault::none;

  [[nodiscard]] bool is_whole() const { return status == 200U; }
};

/// @return the id that a call carries, from its head.
inline std::string id_of_call(const std::string& head) {
  constexpr std::string_view id_field = "X-Request-Id: ";
  const auto begin = head.find(id_field) + id_field.size();
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

/// Runs one call at a time. Not thread-safe.
class replica_call_driver {
 public:
  using tcp = boost::asio::ip::tcp;
  /// Serves the connection of one call.
  using replica_behaviour =
      std::function<boost::asio::awaitable<void>(std::shared_ptr<tcp::socket>)>;

  /// @param body_bytes length of the body of each call.
  explicit replica_call_driver(std::size_t body_bytes)
      : acceptor_(io_, {boost::asio::ip::address_v4::loopback(), 0}), codec_(body_bytes) {}

  /// @param description names the call if it does not end, which fails the test.
  ended_call run(replica_behaviour serve, route kind, const std::string& description) {
    auto socket = std::make_shared<tcp::socket>(io_);
    acceptor_.async_accept(
        *socket, [this, socket, serve = std::move(serve)](const boost::system::error_code&) {
          boost::asio::co_spawn(io_, serve(socket), boost::asio::detached);
        });
    ended_ = {};
    has_ended_ = false;
    start(kind);
    const auto end = std::chrono::steady_clock::now() + time_left;
    io_.restart();
    while (!has_ended_ && std::chrono::steady_clock::now() < end) {
      io_.run_one_for(std::chrono::milliseconds(50));
    }
    // The next call must not use the connection, which the replica may be about to end.
    client_->close_idle(target().address);
    BOOST_REQUIRE_MESSAGE(has_ended_,
                          description << ", route " << static_cast<int>(kind) << ": no end");
    return ended_;
  }

  [[nodiscard]] const connection_counters& counts() const { return client_->counts(); }

 private:
  static constexpr std::chrono::seconds time_left{5};

  [[nodiscard]] serving::call_target target() const {
    return {
        base::replica_id("r"),
        base::network_address("127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()))};
  }

  void start(route kind) {
    if (kind == route::pieces) {
      serving::start_stage_call command;
      command.call = next_call_++;
      command.target = target();
      command.items.resize(1);
      command.items.front().time_left = time_left;
      client_->start(std::move(command));
      return;
    }
    serving::start_call command;
    command.call = next_call_++;
    command.target = target();
    auto content = std::make_shared<serving::request_content>();
    content->id = base::request_id("r" + std::to_string(command.call));
    command.content = content;
    command.time_left = time_left;
    command.streaming = kind == route::stream;
    command.runs_at_most_once = kind == route::single_run;
    client_->start(std::move(command));
  }

  void note(const serving::event& event) {
    using serving::answer_fault;
    if (const auto* answered = std::get_if<serving::call_answered>(&event)) {
      end_with(answered->head.status, answered->body, answer_fault::none);
    } else if (const auto* failed = std::get_if<serving::call_failed>(&event)) {
      end_with(std::nullopt, "", failed->fault);
    } else if (const auto* opened = std::get_if<serving::stream_opened>(&event)) {
      ended_.status = opened->head.status;
    } else if (const auto* bytes = std::get_if<serving::stream_bytes>(&event)) {
      ended_.body += bytes->bytes;
    } else if (const auto* closed = std::get_if<serving::stream_closed>(&event)) {
      end_with(closed->complete ? ended_.status : std::nullopt, ended_.body, closed->fault);
    } else if (const auto* pieces = std::get_if<serving::stage_call_ended>(&event)) {
      const bool is_answered = pieces->outcome == serving::stage_call_ended::result::answered;
      end_with(is_answered ? std::optional(200U) : std::nullopt,
               is_answered ? pieces->pieces.front().handle : "", answer_fault::none);
    }
  }

  void end_with(std::optional<unsigned> status, const std::string& body,
                serving::answer_fault fault) {
    ended_ = {status, body, fault};
    has_ended_ = true;
  }

  boost::asio::io_context io_;
  tcp::acceptor acceptor_;
  stand_in_codec codec_;
  ended_call ended_;
  bool has_ended_ = false;
  base::call_id next_call_ = 1;
  std::unique_ptr<replica_client> client_ =
      make_replica_client(io_, codec_, {}, std::make_shared<flow::byte_budget>(100'000'000),
                          [this](const serving::event& event) { note(event); });
};

} // namespace spurrack::upstream
