#include "http/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

namespace spurrack::http {

void prepare_socket(boost::asio::ip::tcp::socket& socket,
                    std::chrono::milliseconds unacknowledged_limit) {
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  const auto limit = static_cast<unsigned>(unacknowledged_limit.count());
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
}

bool peer_has_closed(boost::asio::ip::tcp::socket& socket) {
  char byte = 0;
  const auto got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace spurrack::http
