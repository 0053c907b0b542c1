#include "http/connection_acceptor.h"

#include <boost/asio/error.hpp>

#include <linux/filter.h>
#include <sys/socket.h>

#include <chrono>
#include <utility>

namespace spurrack::http {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/// Handshakes that had begun before new ones were turned away are complete by then: a hundred times
/// the round trip within a site.
constexpr std::chrono::milliseconds handshake_time{50};
/// A client that has connected and sent nothing is waited for this long: twice the time for which
/// clients wait for a new connection to come up.
constexpr base::duration first_request_wait = std::chrono::seconds(2);

/// Drops the packets that would begin a new handshake at a listening socket.
/// @return whether the system took the filter.
bool turn_away_new_handshakes(tcp::acceptor& acceptor) {
  constexpr std::uint32_t flags_offset = 13;
  constexpr std::uint32_t synchronize_flag = 0x02;
  constexpr std::uint32_t drop = 0;
  constexpr std::uint32_t keep = 0xffff;
  sock_filter steps[] = {
      BPF_STMT(BPF_LD | BPF_B | BPF_ABS, flags_offset),
      BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, synchronize_flag, 0, 1),
      BPF_STMT(BPF_RET | BPF_K, drop),
      BPF_STMT(BPF_RET | BPF_K, keep),
  };
  const sock_fprog program{static_cast<unsigned short>(std::size(steps)), steps};
  return ::setsockopt(acceptor.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program,
                      sizeof(program)) == 0;
}

} // namespace

connection_acceptor::connection_acceptor(asio::io_context& io, const tcp::endpoint& listen,
                                         connection_handler on_connection)
    : io_(&io), acceptor_(io, listen), last_handshakes_(io),
      on_connection_(std::move(on_connection)) {
  accept_next();
}

void connection_acceptor::accept_next() {
  acceptor_.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
    if (!error) {
      on_connection_(std::move(socket));
    }
    if (error != asio::error::operation_aborted && acceptor_.is_open()) {
      accept_next();
    }
  });
}

void connection_acceptor::accept_waiting() {
  boost::system::error_code error;
  acceptor_.non_blocking(true, error);
  while (!error) {
    tcp::socket socket(*io_);
    acceptor_.accept(socket, error);
    if (!error) {
      on_connection_(std::move(socket));
    }
  }
}

void connection_acceptor::close() {
  accept_waiting();
  boost::system::error_code ignored;
  acceptor_.close(ignored);
}

void connection_acceptor::stop() {
  if (!turn_away_new_handshakes(acceptor_)) {
    // Without the filter a wait would only let more connections in.
    close();
    return;
  }
  last_handshakes_.expires_after(handshake_time);
  last_handshakes_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      close();
    }
  });
}

std::size_t new_connections::awaited(base::time_point now) const {
  const bool waits = stopping_since_ <= now && now - stopping_since_ < first_request_wait;
  return waits ? count_ : 0;
}

} // namespace spurrack::http
