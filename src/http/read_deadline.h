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
  read_deadline(boost::beast::tcp_stream& stream, base::duration longest)
      : state_(std::make_shared<state>()), timer_(stream.get_executor(), longest) {
    timer_.async_wait([&stream, shared = state_](const boost::system::error_code& cancelled) {
      if (!cancelled && shared->in_scope) {
        shared->passed = true;
        boost::system::error_code ignored;
        stream.socket().cancel(ignored);
      }
    });
  }
  ~read_deadline() { state_->in_scope = false; }
  read_deadline(const read_deadline&) = delete;
  read_deadline& operator=(const read_deadline&) = delete;

  [[nodiscard]] bool passed() const { return state_->passed; }

 private:
  /// Outlives the scope where the timer's handler is still queued.
  struct state {
    bool passed = false;
    bool in_scope = true;
  };

  std::shared_ptr<state> state_;
  boost::asio::steady_timer timer_;
};

} // namespace spurrack::http
