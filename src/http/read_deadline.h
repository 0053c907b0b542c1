/// A bound on reads that leaves the connection usable.
#pragma once

#include "base/time.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>

namespace spurrack::http {

/// Bounds the reads of a connection within a scope. Unlike the stream's own timer it leaves the
/// connection open, so that the caller can be told.
class read_deadline {
 public:
  read_deadline(boost::beast::tcp_stream& stream, base::duration timeout)
      : state_(std::make_shared<state>()), timer_(stream.get_executor(), timeout) {
    timer_.async_wait([&stream, shared = state_](const boost::system::error_code& cancelled) {
      if (!cancelled && shared->is_in_scope) {
        shared->has_passed = true;
        boost::system::error_code ignored;
        stream.socket().cancel(ignored);
      }
    });
  }
  ~read_deadline() { state_->is_in_scope = false; }
  read_deadline(const read_deadline&) = delete;
  read_deadline& operator=(const read_deadline&) = delete;

  [[nodiscard]] bool has_passed() const { return state_->has_passed; }

 private:
  /// Outlives the scope where the timer's handler is still queued.
  struct state {
    bool has_passed = false;
    bool is_in_scope = true;
  };

  std::shared_ptr<state> state_;
  boost::asio::steady_timer timer_;
};

} // namespace spurrack::http
