#include "peers/zmq_transport.h"

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <zmq.hpp>

#include <array>
#include <cerrno>
#include <system_error>
#include <unordered_map>
#include <utility>
#include <vector>

namespace spurrack::peers {
namespace {

/// Maximum number of messages queued for one peer; further messages are dropped.
constexpr int max_send_queue_messages = 1'000;
constexpr int max_receive_queue_messages = 10'000;
/// Maximum size of a received message: a published value may have 1 MB, and a hash bucket of the
/// catalog holds several values.
constexpr std::int64_t max_message_bytes = 64'000'000;
constexpr int connect_retry_interval_milliseconds = 100;
/// Time after which an attempt to connect is abandoned and another one follows: five times the
/// longest round trip between regions. The kernel retransmits a lost SYN only after a second, which
/// is too late for nodes that restart together, whose first SYNs reach machines that are not up
/// yet. After a power loss of all machines, 86 nodes knew no other node for 1.5 s, and each of them
/// batched stage calls on its own.
constexpr int connect_timeout_milliseconds = 200;
constexpr int max_connect_retry_interval_milliseconds = 1'000;
/// TCP closes a connection whose peer does not respond. It closes an idle connection after a second
/// without traffic and two unanswered probes, sent a second apart; it closes a connection with
/// unacknowledged bytes after two seconds. ZeroMQ heartbeats are not used: on each connection they
/// cost two messages per second, and their processor time grows with the square of the number of
/// connections, since libzmq searches all its timers to cancel one timer.
constexpr int keepalive_idle_seconds = 1;
constexpr int keepalive_interval_seconds = 1;
constexpr int keepalive_probes = 2;
constexpr int unacknowledged_timeout_milliseconds = 2'000;
constexpr const char* authentication_endpoint = "inproc://zeromq.zap.01";
constexpr std::size_t curve_key_bytes = 32;

std::string endpoint_of(const std::string& address) {
  return "tcp://" + address;
}

/// Calls a function of libzmq again until no signal interrupts it. libzmq polls for its own
/// commands in most calls, also in those that do not wait. If a signal arrives meanwhile, the call
/// fails with EINTR and has done nothing.
/// @return result of the call.
template <typename zmq_call>
auto repeat_if_interrupted(zmq_call call) {
  while (true) {
    try {
      return call();
    } catch (const zmq::error_t& error) {
      if (error.num() != EINTR) {
        throw;
      }
    }
  }
}

/// Receives a frame without waiting. @return whether there was one.
bool receive(zmq::socket_t& socket, zmq::message_t& frame) {
  return repeat_if_interrupted([&] { return socket.recv(frame, zmq::recv_flags::dontwait); })
      .has_value();
}

/// @return whether the frame that was received last is followed by another one of its message.
bool has_more_frames(zmq::socket_t& socket) {
  return repeat_if_interrupted([&] { return socket.get(zmq::sockopt::rcvmore); });
}

/// @return false if a send that does not wait could not queue the frame.
bool send_frame(zmq::socket_t& socket, zmq::message_t frame, zmq::send_flags flags) {
  return repeat_if_interrupted([&] { return socket.send(frame, flags); }).has_value();
}

void bind_socket(zmq::socket_t& socket, const std::string& endpoint) {
  repeat_if_interrupted([&] { socket.bind(endpoint); });
}

void connect_socket(zmq::socket_t& socket, const std::string& endpoint) {
  repeat_if_interrupted([&] { socket.connect(endpoint); });
}

int descriptor_of(zmq::socket_t& socket) {
  return repeat_if_interrupted([&] { return socket.get(zmq::sockopt::fd); });
}

void set_common_options(zmq::socket_t& socket) {
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::maxmsgsize, max_message_bytes);
  socket.set(zmq::sockopt::tcp_keepalive, 1);
  socket.set(zmq::sockopt::tcp_keepalive_idle, keepalive_idle_seconds);
  socket.set(zmq::sockopt::tcp_keepalive_intvl, keepalive_interval_seconds);
  socket.set(zmq::sockopt::tcp_keepalive_cnt, keepalive_probes);
  socket.set(zmq::sockopt::tcp_maxrt, unacknowledged_timeout_milliseconds);
}

/// A ZeroMQ socket that is read through Asio. The descriptor of ZeroMQ is edge-triggered: the
/// callback must receive all available messages each time it is called, and must look for messages
/// again after each send on this socket.
class watched_socket {
 public:
  watched_socket(boost::asio::io_context& io, zmq::socket_t socket,
                 std::function<void()> on_readable)
      : socket_(std::move(socket)), descriptor_(io, descriptor_of(socket_)),
        on_readable_(std::move(on_readable)) {}
  watched_socket(const watched_socket&) = delete;
  watched_socket& operator=(const watched_socket&) = delete;
  ~watched_socket() { descriptor_.release(); }

  zmq::socket_t& socket() { return socket_; }

  void watch() {
    descriptor_.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                           [this](const boost::system::error_code& error) {
                             if (!error) {
                               on_readable_();
                               watch();
                             }
                           });
  }

 private:
  zmq::socket_t socket_;
  boost::asio::posix::stream_descriptor descriptor_;
  std::function<void()> on_readable_;
};

class zmq_transport final : public peer_transport {
 public:
  zmq_transport(boost::asio::io_context& io, const std::string& listen,
                std::optional<settings::curve_keys> keys, message_handler handler)
      : io_(&io), keys_(std::move(keys)), handler_(std::move(handler)) {
    if (keys_) {
      start_authentication();
    }
    zmq::socket_t router(context_, zmq::socket_type::router);
    set_common_options(router);
    router.set(zmq::sockopt::rcvhwm, max_receive_queue_messages);
    if (keys_) {
      router.set(zmq::sockopt::curve_server, true);
      router.set(zmq::sockopt::curve_secretkey, keys_->secret_key);
      router.set(zmq::sockopt::zap_domain, "spurrack");
    }
    try {
      bind_socket(router, endpoint_of(listen));
    } catch (const zmq::error_t& error) {
      throw std::system_error(error.num(), std::generic_category(), "bind " + listen);
    }
    router_.emplace(io, std::move(router), [this] { receive_all(); });
    router_->watch();
    boost::asio::post(io, [this] { receive_all(); });
  }

  void send(const wire::outgoing& message) override {
    if (message.on_new_connection) {
      dealers_.erase(message.to);
    }
    auto& socket = dealer_for(message.to);
    zmq::message_t payload(message.message.ByteSizeLong());
    message.message.SerializeToArray(payload.data(), static_cast<int>(payload.size()));
    if (!send_frame(socket, std::move(payload), zmq::send_flags::dontwait)) {
      ++dropped_messages_;
    }
  }

  [[nodiscard]] std::uint64_t dropped_messages() const override { return dropped_messages_; }

 private:
  zmq::socket_t& dealer_for(const base::network_address& to) {
    const auto found = dealers_.find(to);
    if (found != dealers_.end()) {
      return found->second;
    }
    zmq::socket_t socket(context_, zmq::socket_type::dealer);
    set_common_options(socket);
    socket.set(zmq::sockopt::sndhwm, max_send_queue_messages);
    // Messages are not queued for a peer that is not connected: after a partition they could arrive
    // hours late.
    socket.set(zmq::sockopt::immediate, true);
    socket.set(zmq::sockopt::connect_timeout, connect_timeout_milliseconds);
    socket.set(zmq::sockopt::reconnect_ivl, connect_retry_interval_milliseconds);
    socket.set(zmq::sockopt::reconnect_ivl_max, max_connect_retry_interval_milliseconds);
    if (keys_) {
      socket.set(zmq::sockopt::curve_serverkey, keys_->public_key);
      socket.set(zmq::sockopt::curve_publickey, keys_->public_key);
      socket.set(zmq::sockopt::curve_secretkey, keys_->secret_key);
    }
    connect_socket(socket, endpoint_of(to.text()));
    return dealers_.emplace(to, std::move(socket)).first->second;
  }

  void receive_all() {
    zmq::message_t sender;
    while (receive(router_->socket(), sender)) {
      zmq::message_t payload;
      bool more = has_more_frames(router_->socket());
      while (more && receive(router_->socket(), payload)) {
        more = has_more_frames(router_->socket());
      }
      wire::envelope message;
      if (message.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
        handler_(std::move(message));
      }
    }
  }

  /// Starts the authentication of peers (ZAP, ZeroMQ RFC 27): accepts only peers that have the key
  /// of the fleet.
  void start_authentication() {
    zmq::socket_t replier(context_, zmq::socket_type::rep);
    bind_socket(replier, authentication_endpoint);
    authenticator_.emplace(*io_, std::move(replier), [this] { authenticate_all(); });
    authenticator_->watch();
    boost::asio::post(*io_, [this] { authenticate_all(); });
  }

  void authenticate_all() {
    while (true) {
      std::vector<std::string> frames;
      zmq::message_t frame;
      if (!receive(authenticator_->socket(), frame)) {
        return;
      }
      frames.push_back(frame.to_string());
      while (has_more_frames(authenticator_->socket()) &&
             receive(authenticator_->socket(), frame)) {
        frames.push_back(frame.to_string());
      }
      reply_authentication(frames);
    }
  }

  void reply_authentication(const std::vector<std::string>& frames) {
    constexpr std::size_t request_id_frame = 1;
    constexpr std::size_t mechanism_frame = 5;
    constexpr std::size_t key_frame = 6;
    std::array<std::uint8_t, curve_key_bytes> expected{};
    zmq_z85_decode(expected.data(), keys_->public_key.c_str());
    const std::string expected_key(expected.begin(), expected.end());
    const bool is_allowed = frames.size() > key_frame && frames[mechanism_frame] == "CURVE" &&
                            frames[key_frame] == expected_key;
    const std::string request_id = frames.size() > request_id_frame ? frames[request_id_frame] : "";
    const std::array<std::string, 6> reply{
        "1.0",  request_id, is_allowed ? "200" : "400", is_allowed ? "OK" : "key not allowed",
        "peer", ""};
    for (std::size_t index = 0; index < reply.size(); ++index) {
      const auto flags =
          index + 1 < reply.size() ? zmq::send_flags::sndmore : zmq::send_flags::none;
      send_frame(authenticator_->socket(), zmq::message_t(reply[index]), flags);
    }
  }

  boost::asio::io_context* io_;
  std::optional<settings::curve_keys> keys_;
  message_handler handler_;
  zmq::context_t context_{1};
  std::optional<watched_socket> authenticator_;
  std::optional<watched_socket> router_;
  std::unordered_map<base::network_address, zmq::socket_t> dealers_;
  std::uint64_t dropped_messages_ = 0;
};

} // namespace

std::unique_ptr<peer_transport> make_zmq_transport(boost::asio::io_context& io,
                                                   const std::string& listen,
                                                   const std::optional<settings::curve_keys>& keys,
                                                   message_handler handler) {
  return std::make_unique<zmq_transport>(io, listen, keys, std::move(handler));
}

} // namespace spurrack::peers
