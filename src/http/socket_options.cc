#include "http/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

namespace spurrack::http {

void set_tcp_user_timeout(boost::asio::ip::tcp::socket& socket,
                          std::chrono::milliseconds tcp_user_timeout) {
  const auto timeout_milliseconds = static_cast<unsigned>(tcp_user_timeout.count());
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_milliseconds,
               sizeof(timeout_milliseconds));
}

void set_tcp_options(boost::asio::ip::tcp::socket& socket,
                     std::chrono::milliseconds tcp_user_timeout) {
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  set_tcp_user_timeout(socket, tcp_user_timeout);
  // A peer that lost power sends no reset: only data or keep-alive probes that it does not
  // acknowledge reveal the loss.
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  constexpr int probe_seconds = 1; // The kernel accepts no shorter keep-alive times.
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_KEEPIDLE, &probe_seconds,
               sizeof(probe_seconds));
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_KEEPINTVL, &probe_seconds,
               sizeof(probe_seconds));
}

bool peer_has_closed(boost::asio::ip::tcp::socket& socket) {
  char byte = 0;
  const auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace spurrack::http
