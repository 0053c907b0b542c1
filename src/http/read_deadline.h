/// Deadline for reads from a connection. The connection stays open when the deadline passes.
#pragma once

#include "base/time.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>

namespace spurrack::http {

/// Cancels the pending operations on a connection if a deadline passes while this object exists.
/// Unlike the timer of the stream itself, this class leaves the connection open, so that an error
/// can be sent to the client. The stream must outlive this object.
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
  /// Shared with the handler of the timer, which may run after this object is destroyed.
  struct state {
    bool has_passed = false;
    bool is_in_scope = true;
  };

  std::shared_ptr<state> state_;
  boost::asio::steady_timer timer_;
};

} // namespace spurrack::http
