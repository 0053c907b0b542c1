// Stand-ins of the users' platform for the scripts of this review: the metadata store, replicas and
// clients, written from the users' pages, and a runner of real spurrackd processes. Blocking
// sockets, one thread a connection. Everything is on 127.0.0.0/8.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace rig {

using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

inline steady::time_point& began() {
  static steady::time_point at = steady::now();
  return at;
}
inline double seconds() {
  return std::chrono::duration<double>(steady::now() - began()).count();
}
inline void pause_ms(int ms) {
  std::this_thread::sleep_for(milliseconds(ms));
}
/// Sleeps until a time of the run, in seconds.
inline void until(double at) {
  std::this_thread::sleep_until(
      began() + std::chrono::duration_cast<steady::duration>(std::chrono::duration<double>(at)));
}

/// Thrown if the case cannot run.
struct cannot_run : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// --- record
// ----------------------------------------------------------------------------------------------------------

class record_file {
 public:
  void open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  void line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    char at[32];
    std::snprintf(at, sizeof at, "%8.3f  ", seconds());
    if (file_ != nullptr) {
      std::fputs((at + text + "\n").c_str(), file_);
      std::fflush(file_);
    }
    std::fputs((at + text + "\n").c_str(), stdout);
    std::fflush(stdout);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
};
inline record_file& record() {
  static record_file file;
  return file;
}
inline void note(const std::string& text) {
  record().line(text);
}

// --- sockets
// ---------------------------------------------------------------------------------------------------------

struct address {
  std::string ip;
  int port = 0;
  [[nodiscard]] std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in native(const address& where) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<uint16_t>(where.port));
  inet_pton(AF_INET, where.ip.c_str(), &result.sin_addr);
  return result;
}

/// @return a port that is free on 127.0.0.1 at this moment, below those that the kernel gives to
/// outgoing connections.
inline int free_port() {
  static std::set<int> taken;
  static unsigned state = static_cast<unsigned>(::getpid()) * 2654435761U;
  while (true) {
    state = state * 1664525U + 1013904223U;
    const int port = 20000 + static_cast<int>((state >> 8U) % 12000);
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    auto where = native({"127.0.0.1", port});
    const bool is_free = ::bind(fd, reinterpret_cast<sockaddr*>(&where), sizeof where) == 0;
    ::close(fd);
    if (is_free && taken.insert(port).second)
      return port;
  }
}

inline std::string lower(std::string text) {
  for (auto& c : text)
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return text;
}

struct message {
  std::string first;                               // request line or status line
  std::multimap<std::string, std::string> headers; // names in lower case
  std::string body;
  [[nodiscard]] std::string header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
  }
  [[nodiscard]] std::string method() const { return first.substr(0, first.find(' ')); }
  [[nodiscard]] std::string target() const {
    const auto from = first.find(' ') + 1;
    return first.substr(from, first.find(' ', from) - from);
  }
  [[nodiscard]] std::string path() const { return target().substr(0, target().find('?')); }
  [[nodiscard]] int status() const { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }
};

/// One TCP connection with a read buffer.
class connection {
 public:
  explicit connection(int fd) : fd_(fd) {
    int on = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  connection(const connection&) = delete;
  ~connection() { close(); }
  void close() {
    const int fd = fd_.exchange(-1);
    if (fd >= 0)
      ::close(fd);
  }
  /// Closes with RST.
  void reset() {
    linger now{1, 0};
    if (fd_ >= 0)
      ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
  }
  /// Wakes a blocked reader.
  void shut() {
    if (fd_ >= 0)
      ::shutdown(fd_, SHUT_RDWR);
  }
  [[nodiscard]] bool is_open() const { return fd_ >= 0; }
  bool send(const std::string& text) {
    std::size_t sent = 0;
    while (sent < text.size()) {
      const auto n = ::send(fd_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
      if (n <= 0)
        return false;
      sent += static_cast<std::size_t>(n);
    }
    return true;
  }
  /// Reads some bytes. @return false at the end, at an error, or after the time.
  bool fill(int timeout_ms = -1) {
    pollfd wait{fd_, POLLIN, 0};
    if (fd_ < 0 || ::poll(&wait, 1, timeout_ms) <= 0) {
      timed_out = fd_ >= 0;
      return false;
    }
    char bytes[16384];
    const auto n = ::recv(fd_, bytes, sizeof bytes, 0);
    if (n <= 0) {
      was_reset = n < 0;
      return false;
    }
    buffer.append(bytes, static_cast<std::size_t>(n));
    return true;
  }
  /// Waits until the peer closes. @return true if it closed within the time.
  bool wait_closed(int timeout_ms) {
    const auto end = steady::now() + milliseconds(timeout_ms);
    while (steady::now() < end) {
      if (!fill(50) && !timed_out)
        return true;
      timed_out = false;
    }
    return false;
  }
  std::optional<message> read_head(int timeout_ms = -1) {
    std::size_t end;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!fill(timeout_ms))
        return std::nullopt;
    }
    message head;
    const std::string text = buffer.substr(0, end + 2);
    buffer.erase(0, end + 4);
    std::size_t from = 0;
    while (from < text.size()) {
      const auto line_end = text.find("\r\n", from);
      const auto line = text.substr(from, line_end - from);
      from = line_end + 2;
      if (head.first.empty()) {
        head.first = line;
        continue;
      }
      const auto colon = line.find(':');
      auto value = line.substr(colon + 1);
      while (!value.empty() && value.front() == ' ')
        value.erase(0, 1);
      head.headers.emplace(lower(line.substr(0, colon)), value);
    }
    return head;
  }
  bool need(std::size_t size, int timeout_ms) {
    while (buffer.size() < size) {
      if (!fill(timeout_ms))
        return false;
    }
    return true;
  }
  std::optional<std::string> read_line(int timeout_ms) {
    std::size_t end;
    while ((end = buffer.find("\r\n")) == std::string::npos) {
      if (!fill(timeout_ms))
        return std::nullopt;
    }
    auto line = buffer.substr(0, end);
    buffer.erase(0, end + 2);
    return line;
  }
  /// Reads the body of a request. @return false if it does not arrive whole.
  bool read_body(message& head, int timeout_ms = -1) {
    const auto length =
        static_cast<std::size_t>(std::strtoull(head.header("content-length").c_str(), nullptr, 10));
    if (!need(length, timeout_ms))
      return false;
    head.body = buffer.substr(0, length);
    buffer.erase(0, length);
    return true;
  }

  std::string buffer;
  bool timed_out = false;
  bool was_reset = false;

 private:
  std::atomic<int> fd_;
};

/// Listens at an address; one thread a connection.
class server {
 public:
  using handler = std::function<void(connection&)>;
  server(address where, handler serve) : where_(std::move(where)), serve_(std::move(serve)) {
    fd_ = ::socket(AF_INET, SOCK_STREAM, 0);
    int on = 1;
    ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto to = native(where_);
    if (::bind(fd_, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0)
      throw cannot_run("bind " + where_.text());
    socklen_t size = sizeof to;
    ::getsockname(fd_, reinterpret_cast<sockaddr*>(&to), &size);
    where_.port = ntohs(to.sin_port);
    ::listen(fd_, 128);
    acceptor_ = std::thread([this] { accept_all(); });
  }
  ~server() { stop(); }
  [[nodiscard]] const address& where() const { return where_; }
  /// Ends like a process: the listener and all connections are closed, with a reset.
  void stop() {
    if (stopped_.exchange(true))
      return;
    ::shutdown(fd_, SHUT_RDWR);
    acceptor_.join();
    ::close(fd_);
    std::vector<std::shared_ptr<connection>> open;
    {
      const std::lock_guard lock(mutex_);
      open = connections_;
    }
    for (const auto& one : open)
      one->shut();
    while (active_ > 0)
      pause_ms(2);
  }
  [[nodiscard]] bool is_stopped() const { return stopped_; }

 private:
  void accept_all() {
    while (!stopped_) {
      const int fd = ::accept(fd_, nullptr, nullptr);
      if (fd < 0)
        continue;
      auto accepted = std::make_shared<connection>(fd);
      ++active_;
      {
        const std::lock_guard lock(mutex_);
        std::erase_if(connections_, [](const auto& one) { return one.use_count() == 1; });
        connections_.push_back(accepted);
      }
      std::thread([this, accepted] {
        serve_(*accepted);
        accepted->close();
        --active_;
      }).detach();
    }
  }
  address where_;
  handler serve_;
  int fd_ = -1;
  std::thread acceptor_;
  std::atomic<bool> stopped_ = false;
  std::atomic<int> active_ = 0;
  std::mutex mutex_;
  std::vector<std::shared_ptr<connection>> connections_;
};

/// Connects. @return nullptr if it fails.
inline std::unique_ptr<connection> dial(const address& to, int timeout_ms = 1000) {
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  ::fcntl(fd, F_SETFL, O_NONBLOCK);
  auto where = native(to);
  ::connect(fd, reinterpret_cast<sockaddr*>(&where), sizeof where);
  pollfd wait{fd, POLLOUT, 0};
  int error = 0;
  socklen_t size = sizeof error;
  if (::poll(&wait, 1, timeout_ms) <= 0 ||
      (::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size), error != 0)) {
    ::close(fd);
    return nullptr;
  }
  ::fcntl(fd, F_SETFL, 0);
  return std::make_unique<connection>(fd);
}

// --- store
// -----------------------------------------------------------------------------------------------------------

inline std::string base64(const std::string& bytes) {
  static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    unsigned value = 0;
    for (std::size_t k = 0; k < 3; ++k)
      value = value << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0);
    for (std::size_t k = 0; k < 4; ++k)
      text += i + k > bytes.size() ? '=' : digits[value >> (18 - 6 * k) & 63];
  }
  return text;
}

inline std::string query_of(const std::string& target, const std::string& name) {
  const auto start = target.find('?');
  std::size_t from = start == std::string::npos ? target.size() : start + 1;
  while (from < target.size()) {
    const auto end = std::min(target.find('&', from), target.size());
    const auto part = target.substr(from, end - from);
    if (part.starts_with(name + "=")) {
      std::string value, raw = part.substr(name.size() + 1);
      for (std::size_t i = 0; i < raw.size(); ++i) {
        if (raw[i] == '%') {
          value += static_cast<char>(std::stoi(raw.substr(i + 1, 2), nullptr, 16));
          i += 2;
        } else {
          value += raw[i];
        }
      }
      return value;
    }
    from = end + 1;
  }
  return {};
}

/// The platform's metadata store.
class store {
 public:
  store() : server_({"127.0.0.1", 0}, [this](connection& c) { serve(c); }) {}
  ~store() { stop(); }
  [[nodiscard]] const address& where() const { return server_.where(); }
  void stop() {
    stopping_ = true;
    changed_.notify_all();
    server_.stop();
  }
  void put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    items_[key] = {value, ++revision_, false};
    changed_.notify_all();
  }
  /// Serves the store's calls on a connection, while `may_serve` says so. `on_call` is told of each
  /// call.
  void serve_while(connection& c, const std::function<bool()>& may_serve,
                   const std::function<void(const message&)>& on_call) {
    while (!stopping_ && may_serve()) {
      auto request = c.read_head();
      if (!request || !c.read_body(*request) || !may_serve())
        return;
      on_call(*request);
      int status = 200;
      const auto body = answer(*request, status);
      if (!may_serve() || !c.send("HTTP/1.1 " + std::to_string(status) +
                                  " OK\r\nContent-Type: application/json\r\nContent-Length: " +
                                  std::to_string(body.size()) + "\r\n\r\n" + body))
        return;
    }
  }
  void remove(const std::string& key) {
    const std::lock_guard lock(mutex_);
    if (items_.contains(key))
      items_[key] = {"", ++revision_, true};
    changed_.notify_all();
  }

 private:
  struct item {
    std::string value;
    std::uint64_t revision = 0;
    bool gone = false;
  };
  static std::string text_of(const std::string& key, const item& one) {
    const auto head = "{\"tls_key\":\"" + key + "\",\"revision\":" + std::to_string(one.revision);
    return one.gone ? head + ",\"gone\":true}"
                    : head + ",\"made\":1,\"lease\":0,\"value\":\"" + base64(one.value) + "\"}";
  }
  /// The items under a prefix after a revision, in the order in which they were written.
  std::string list(const std::string& prefix, std::uint64_t after, bool with_gone) {
    std::map<std::uint64_t, std::string> found;
    for (const auto& [key, one] : items_) {
      if (key.starts_with(prefix) && one.revision > after && (with_gone || !one.gone)) {
        found[with_gone ? one.revision : found.size()] = text_of(key, one);
      }
    }
    std::string text;
    for (const auto& [order, one] : found)
      text += (text.empty() ? "" : ",") + one;
    return text;
  }
  std::string answer(const message& request, int& status) {
    std::unique_lock lock(mutex_);
    const auto path = request.path();
    const auto prefix = query_of(request.target(), "path_prefix");
    if (path == "/kv-range") {
      return "{\"items\":[" + list(prefix, 0, false) +
             "],\"more\":false,\"at\":" + std::to_string(revision_) + "}";
    }
    if (path == "/kv-watch") {
      const auto after =
          std::strtoull(query_of(request.target(), "start_after").c_str(), nullptr, 10);
      const auto end =
          steady::now() + milliseconds(std::atoi(query_of(request.target(), "wait_ms").c_str()));
      while (list(prefix, after, true).empty() && !stopping_ &&
             changed_.wait_until(lock, end) != std::cv_status::timeout) {
      }
      return "{\"events\":[" + list(prefix, after, true) + "],\"at\":" + std::to_string(revision_) +
             "}";
    }
    const auto key = query_of(request.target(), "tls_key");
    const auto found = items_.find(key);
    if (path != "/kv-key" || found == items_.end() || found->second.gone) {
      status = 404;
      return "{}";
    }
    return text_of(key, found->second);
  }
  void serve(connection& c) {
    serve_while(
        c, [] { return true; }, [](const message&) {});
  }
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, item> items_;
  std::uint64_t revision_ = 1;
  std::atomic<bool> stopping_ = false;
  server server_;
};

/// The store as one machine sees it. The store may turn this machine away, by a reset of its
/// connections, while it serves the others.
class door {
 public:
  explicit door(store& platform)
      : platform_(&platform), server_({"127.0.0.1", 0}, [this](connection& c) { serve(c); }) {}
  [[nodiscard]] const address& where() const { return server_.where(); }
  void set_open(bool open) {
    open_ = open;
    if (!open) {
      const std::lock_guard lock(mutex_);
      for (auto* c : connections_)
        c->shut();
    }
  }
  [[nodiscard]] bool is_open() const { return open_; }
  /// @return the seconds of the run at which the machine last asked for changes under a prefix; -1
  /// for never.
  double watched_at(const std::string& prefix) {
    const std::lock_guard lock(mutex_);
    const auto found = watched_.find(prefix);
    return found == watched_.end() ? -1 : found->second;
  }
  /// @return whether a watch under a prefix waits now.
  bool is_watching(const std::string& prefix) {
    const std::lock_guard lock(mutex_);
    return watching_[prefix] > 0;
  }

 private:
  void serve(connection& c) {
    if (!open_)
      return c.reset();
    {
      const std::lock_guard lock(mutex_);
      connections_.insert(&c);
    }
    std::string waiting;
    const auto end_wait = [&] {
      if (!waiting.empty())
        --watching_[waiting];
      waiting.clear();
    };
    platform_->serve_while(
        c, [&] { return open_.load(); },
        [&](const message& request) {
          const std::lock_guard lock(mutex_);
          end_wait();
          if (request.path() != "/kv-watch")
            return;
          waiting = query_of(request.target(), "path_prefix");
          watched_[waiting] = seconds();
          ++watching_[waiting];
        });
    const std::lock_guard lock(mutex_);
    end_wait();
    connections_.erase(&c);
    c.reset();
  }
  store* platform_;
  std::atomic<bool> open_ = true;
  std::mutex mutex_;
  std::set<connection*> connections_;
  std::map<std::string, double> watched_;
  std::map<std::string, int> watching_;
  server server_;
};

// --- replicas
// --------------------------------------------------------------------------------------------------------

/// What a service does with a request that is meant for this replica. It answers on the connection
/// and returns whether the connection stays open.
using work = std::function<bool(connection&, const message&)>;

inline bool answer(connection& c, const message& request, int status, const std::string& headers,
                   const std::string& body, bool keeps = true) {
  std::string text = "HTTP/1.1 " + std::to_string(status) +
                     " X\r\nX-Request-Id: " + request.header("x-request-id") + "\r\n" + headers +
                     "Content-Length: " + std::to_string(body.size()) + "\r\n" +
                     (keeps ? "" : "Connection: close\r\n") + "\r\n" + body;
  return c.send(text) && keeps;
}

/// One start of a replica: an id, an address, an entry in the store, and its work. Renewals are
/// left out: an entry changes only when more than `sequence` does.
class replica {
 public:
  replica(store& platform, std::string id, std::string service, std::string zone, int slots,
          address where, work run)
      : platform_(&platform), id_(std::move(id)), service_(std::move(service)),
        zone_(std::move(zone)), slots_(slots), run_(std::move(run)),
        server_(std::move(where), [this](connection& c) { serve(c); }) {
    renew("ready");
  }
  ~replica() { crash(); }
  [[nodiscard]] const std::string& id() const { return id_; }
  [[nodiscard]] const address& where() const { return server_.where(); }
  /// Ends without a word. Its entry goes after three heartbeats without a write.
  void crash() {
    if (dead_.exchange(true))
      return;
    server_.stop();
  }
  void drain() { renew(state_ = "draining"); }
  /// Removes the entry, as the store does after three heartbeats without a write.
  void lapse() { platform_->remove("servers/" + id_); }

 private:
  void renew(const std::string& state) {
    platform_->put("servers/" + id_,
                   "{\"service\":\"" + service_ + "\",\"address\":\"" + where().text() +
                       "\",\"zone\":\"" + zone_ +
                       "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots_) +
                       ",\"state\":\"" + state + "\",\"cold_left_ms\":0,\"sequence\":1}");
  }
  void serve(connection& c) {
    while (!dead_) {
      auto request = c.read_head();
      if (!request || !c.read_body(*request))
        return;
      const auto expected = request->header("x-expect-replica");
      if (!expected.empty() && expected != id_) {
        if (!answer(c, *request, 421, "X-Not-Executed: 1\r\nX-Replica-Id: " + id_ + "\r\n", ""))
          return;
        continue;
      }
      if (request->path() == "/health") {
        if (!answer(c, *request, 200, "X-Replica-Id: " + id_ + "\r\n", ""))
          return;
        continue;
      }
      if (!run_(c, *request))
        return;
    }
  }
  store* platform_;
  std::string id_, service_, zone_;
  int slots_;
  work run_;
  std::string state_ = "ready";
  std::atomic<bool> dead_ = false;
  server server_;
};

// --- nodes
// -----------------------------------------------------------------------------------------------------------

/// A spurrackd process, started as the deploy file says, with settings as its template gives them.
class node {
 public:
  node(std::string name, std::string zone, const std::vector<std::string>& zones,
       const address& platform)
      : name_(std::move(name)), zone_(std::move(zone)), zones_(zones), platform_(platform) {
    for (auto* port : {&front_, &ready_, &control_, &operator_})
      *port = free_port();
  }
  ~node() {
    kill(SIGKILL);
    wait_end(5);
  }
  [[nodiscard]] address front() const { return {"127.0.0.1", front_}; }
  [[nodiscard]] std::string control() const { return "127.0.0.1:" + std::to_string(control_); }
  [[nodiscard]] pid_t pid() const { return pid_; }
  void start(const std::vector<std::string>& seeds, const std::string& folder) {
    const auto path = folder + "/" + name_ + ".toml";
    std::ofstream file(path);
    file << "node: \"" << name_ << "\"\nzone: \"" << zone_ << "\"\npeer_listen: \"" << control()
         << "\"\noperator_listen: \"127.0.0.1:" << operator_ << "\"\nseeds:";
    for (const auto& seed : seeds)
      file << "\n  - \"" << seed << "\"";
    file << "\nmembership:\n  probe_period_ms: 300\n  acknowledgement_timeout_ms: 100\n  "
            "suspicion_timeout_ms: 1000\n"
         << "  relay_period_ms: 300\nserving:\n  listen: \"127.0.0.1:" << front_
         << "\"\n  readiness_listen: \"127.0.0.1:" << ready_ << "\"\n  store: \""
         << platform_.text() << "\"\n  regions:";
    for (const auto& zone : zones_)
      file << "\n    \"" << zone << "\": \"r1\"";
    file << "\n  processor_share: 0.25\n  memory_mb: 260\n  max_descriptors: 4100\n  retry_ratio: "
            "0.2\n"
         << "  retry_allowance: 56\n  retry_window_s: 10\n  settle_ms: 3000\n  change_bound_ms: "
            "2000\n"
         << "  drain_bound_ms: 2000\n  stop_grace_s: 8\n";
    file.close();
    const auto log = folder + "/" + name_ + ".log";
    const char* daemon = std::getenv("SPURRACKD");
    const std::string program = daemon != nullptr ? daemon : "target/spurrackd";
    if (::access(program.c_str(), X_OK) != 0)
      throw cannot_run(program + " is missing");
    pid_ = ::fork();
    if (pid_ == 0) {
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      ::signal(SIGPIPE, SIG_DFL);
      ::execl(program.c_str(), program.c_str(), "--settings", path.c_str(),
              static_cast<char*>(nullptr));
      ::_exit(127);
    }
    log_ = log;
  }
  void kill(int signal) const {
    if (pid_ > 0)
      ::kill(pid_, signal);
  }
  /// @return how the process ended; std::nullopt if it still runs after the time.
  std::optional<int> wait_end(double limit_s) {
    const auto end = steady::now() + milliseconds(static_cast<int>(limit_s * 1000));
    while (pid_ > 0) {
      int status = 0;
      if (::waitpid(pid_, &status, WNOHANG) == pid_) {
        pid_ = -1;
        return status;
      }
      if (steady::now() >= end)
        return std::nullopt;
      pause_ms(5);
    }
    return 0;
  }
  [[nodiscard]] bool is_ready() const {
    auto c = dial({"127.0.0.1", ready_}, 200);
    if (!c || !c->send("GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"))
      return false;
    const auto head = c->read_head(500);
    return head && head->status() == 200;
  }
  void wait_ready(double limit_s = 15) const {
    const auto end = steady::now() + milliseconds(static_cast<int>(limit_s * 1000));
    while (!is_ready()) {
      if (steady::now() > end)
        throw cannot_run(name_ + " is not ready");
      pause_ms(50);
    }
  }
  [[nodiscard]] const std::string& log() const { return log_; }

 private:
  std::string name_, zone_;
  std::vector<std::string> zones_;
  address platform_;
  int front_ = 0, ready_ = 0, control_ = 0, operator_ = 0;
  pid_t pid_ = -1;
  std::string log_;
};

/// A temporary folder that is removed at the end, unless KEEP_LOGS is set.
class folder {
 public:
  folder() {
    char name[] = "/tmp/review-XXXXXX";
    if (::mkdtemp(name) == nullptr)
      throw cannot_run("no temporary folder");
    path_ = name;
  }
  ~folder() {
    if (std::getenv("KEEP_LOGS") == nullptr) {
      std::filesystem::remove_all(path_);
    } else {
      std::fprintf(stderr, "logs in %s\n", path_.c_str());
    }
  }
  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// --- clients
// ---------------------------------------------------------------------------------------------------------

struct client_answer {
  int status = 0;     // 0: none
  bool whole = false; // the framing says that the answer is complete
  std::string seal, body, retry_after;
  bool closes = false;
};

/// Reads one answer of HTTP/1.1. `on_bytes` is called with the body so far.
inline client_answer read_answer(connection& c, int timeout_ms,
                                 const std::function<void(const std::string&)>& on_bytes = {}) {
  client_answer result;
  const auto head = c.read_head(timeout_ms);
  if (!head)
    return result;
  result.status = head->status();
  result.seal = head->header("x-response-seal");
  result.retry_after = head->header("retry-after");
  result.closes = lower(head->header("connection")) == "close";
  if (lower(head->header("transfer-encoding")) == "chunked") {
    while (true) {
      const auto line = c.read_line(timeout_ms);
      if (!line)
        return result;
      const auto size = static_cast<std::size_t>(std::strtoull(line->c_str(), nullptr, 16));
      if (!c.need(size + 2, timeout_ms))
        return result;
      result.body += c.buffer.substr(0, size);
      c.buffer.erase(0, size + 2);
      if (size == 0) {
        result.whole = true;
        return result;
      }
      if (on_bytes)
        on_bytes(result.body);
    }
  }
  if (head->headers.contains("content-length")) {
    const auto length = static_cast<std::size_t>(
        std::strtoull(head->header("content-length").c_str(), nullptr, 10));
    result.whole = c.need(length, timeout_ms);
    result.body = c.buffer.substr(0, length);
    c.buffer.erase(0, std::min(length, c.buffer.size()));
    return result;
  }
  while (c.fill(timeout_ms)) {
  }
  result.body = c.buffer;
  result.whole = !c.was_reset && !c.timed_out;
  c.buffer.clear();
  return result;
}

/// Runs a case. @return its exit code: 0 held, 1 broken, 2 could not run.
inline int run_case(const std::function<int()>& body) {
  ::signal(SIGPIPE, SIG_IGN);
  began() = steady::now();
  try {
    return body();
  } catch (const std::exception& error) {
    note(std::string("could not run: ") + error.what());
    return 2;
  }
}

/// @return whether the disruption is to happen (TROUBLE is not 0).
inline bool has_trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

} // namespace rig
