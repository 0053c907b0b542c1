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

/// Time that a stopping acceptor gives the handshakes in progress to complete: a hundred times the
/// round trip within a site.
constexpr std::chrono::milliseconds handshake_time{50};
/// Time, counted from the start of a graceful stop, for which the stop waits for the first requests
/// of new connections: twice the time that clients wait for a connection to be established.
constexpr base::duration first_request_timeout = std::chrono::seconds(2);

/// Makes the kernel drop the packets that begin a handshake, by a filter on the listening socket.
/// @return whether the kernel accepted the filter.
bool drop_new_handshakes(tcp::acceptor& acceptor) {
  constexpr std::uint32_t flags_offset = 13;
  constexpr std::uint32_t synchronize_flag = 0x02;
  constexpr std::uint32_t drop_packet = 0;
  constexpr std::uint32_t accept_packet = 0xffff;
  sock_filter instructions[] = {
      BPF_STMT(BPF_LD | BPF_B | BPF_ABS, flags_offset),
      BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, synchronize_flag, 0, 1),
      BPF_STMT(BPF_RET | BPF_K, drop_packet),
      BPF_STMT(BPF_RET | BPF_K, accept_packet),
  };
  const sock_fprog program{static_cast<unsigned short>(std::size(instructions)), instructions};
  return ::setsockopt(acceptor.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program,
                      sizeof(program)) == 0;
}

} // namespace

connection_acceptor::connection_acceptor(asio::io_context& io, const tcp::endpoint& listen,
                                         connection_handler on_connection)
    : io_(&io), acceptor_(io, listen), handshake_timer_(io),
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

void connection_acceptor::accept_pending() {
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
  accept_pending();
  boost::system::error_code ignored;
  acceptor_.close(ignored);
}

void connection_acceptor::stop() {
  if (!drop_new_handshakes(acceptor_)) {
    // Without the filter, a wait would only let further connections complete their handshakes.
    close();
    return;
  }
  handshake_timer_.expires_after(handshake_time);
  handshake_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      close();
    }
  });
}

std::size_t new_connections::awaiting_first_request(base::time_point now) const {
  const bool is_waiting = stop_began_at_ <= now && now - stop_began_at_ < first_request_timeout;
  return is_waiting ? count_ : 0;
}

} // namespace spurrack::http
