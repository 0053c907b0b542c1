#include "fleet.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <charconv>
#include <cstdlib>
#include <filesystem>
#include <random>
#include <sstream>

namespace review {
namespace {

constexpr std::size_t read_bytes = 16'384;
constexpr milliseconds max_watch_time{2'000};

sockaddr_in socket_address(const std::string& address) {
  const auto colon = address.find(':');
  sockaddr_in result{};
  result.sin_family = AF_INET;
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
  std::uint16_t port = 0;
  std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
  result.sin_port = htons(port);
  return result;
}

/// @return a socket that is bound to a free port of 127.0.0.1.
int bound_socket(std::string& address) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  auto local = socket_address("127.0.0.1:0");
  socklen_t length = sizeof(local);
  if (::bind(descriptor, reinterpret_cast<sockaddr*>(&local), length) != 0 ||
      ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&local), &length) != 0) {
    std::exit(2);
  }
  address = "127.0.0.1:" + std::to_string(ntohs(local.sin_port));
  return descriptor;
}

bool equal_ignoring_case(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
    return std::tolower(static_cast<unsigned char>(a)) ==
           std::tolower(static_cast<unsigned char>(b));
  });
}

std::string base64(std::string_view text) {
  constexpr std::string_view digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string encoded;
  for (std::size_t start = 0; start < text.size(); start += 3) {
    std::uint32_t group = 0;
    const auto count = std::min<std::size_t>(3, text.size() - start);
    for (std::size_t index = 0; index < 3; ++index) {
      const auto byte = index < count ? static_cast<unsigned char>(text[start + index]) : 0U;
      group = group << 8U | byte;
    }
    for (std::size_t index = 0; index < 4; ++index) {
      const auto digit = digits[group >> (18U - 6U * index) & 63U];
      encoded += index <= count ? digit : '=';
    }
  }
  return encoded;
}

std::string query_value(const std::string& target, const std::string& name) {
  const auto start = target.find(name + "=");
  if (start == std::string::npos) {
    return {};
  }
  const auto from = start + name.size() + 1;
  return target.substr(from, target.find('&', from) - from);
}

std::uint64_t number_of(const std::string& text, int base = 10) {
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value, base);
  return value;
}

} // namespace

// --- record --------------------------------------------------------------------------------------

std::int64_t recorder::now_milliseconds() const {
  return std::chrono::duration_cast<milliseconds>(clock::now() - started_at_).count();
}

void recorder::write(const std::string& line) {
  const std::lock_guard lock(mutex_);
  file_ << now_milliseconds() << " ms " << line << std::endl;
}

// --- connections ---------------------------------------------------------------------------------

std::string message::header(std::string_view name) const {
  for (const auto& [field, value] : headers) {
    if (equal_ignoring_case(field, name)) {
      return value;
    }
  }
  return {};
}

connection::~connection() {
  ::close(descriptor_);
}

std::unique_ptr<connection> connection::open(const std::string& address, milliseconds timeout) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto opened = std::make_unique<connection>(descriptor);
  const int on = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const timeval limit{timeout.count() / 1000, timeout.count() % 1000 * 1000};
  ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  ::setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const auto remote = socket_address(address);
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&remote), sizeof(remote)) != 0) {
    return nullptr;
  }
  return opened;
}

bool connection::fill() {
  std::array<char, read_bytes> part{};
  const auto received = ::recv(descriptor_, part.data(), part.size(), 0);
  if (received <= 0) {
    return false;
  }
  buffer_.append(part.data(), static_cast<std::size_t>(received));
  return true;
}

std::optional<std::string> connection::take_line() {
  auto end = buffer_.find("\r\n");
  while (end == std::string::npos) {
    if (!fill()) {
      return std::nullopt;
    }
    end = buffer_.find("\r\n");
  }
  auto line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return line;
}

bool connection::read_headers(message& received) {
  while (true) {
    const auto line = take_line();
    if (!line) {
      return false;
    }
    if (line->empty()) {
      return true;
    }
    const auto colon = line->find(':');
    const auto value = line->find_first_not_of(' ', std::min(colon, line->size() - 1) + 1);
    received.headers.emplace_back(line->substr(0, colon),
                                  value == std::string::npos ? "" : line->substr(value));
  }
}

bool connection::read_exactly(std::size_t bytes, std::string& body) {
  while (buffer_.size() < bytes) {
    if (!fill()) {
      return false;
    }
  }
  body.append(buffer_, 0, bytes);
  buffer_.erase(0, bytes);
  return true;
}

bool connection::read_chunks(std::string& body) {
  while (true) {
    const auto line = take_line();
    if (!line) {
      return false;
    }
    const auto size = number_of(*line, 16);
    if (size > 0 && !read_exactly(size, body)) {
      return false;
    }
    if (!take_line()) {
      return false;
    }
    if (size == 0) {
      return true;
    }
  }
}

std::optional<message> connection::read() {
  const auto first = take_line();
  if (!first) {
    return std::nullopt;
  }
  message received;
  std::istringstream words(*first);
  words >> received.method >> received.target;
  if (received.method.starts_with("HTTP/")) {
    received.status = static_cast<int>(number_of(received.target));
  }
  if (!read_headers(received)) {
    return std::nullopt;
  }
  const bool is_chunked = received.header("Transfer-Encoding") == "chunked";
  const bool is_complete =
      is_chunked ? read_chunks(received.body)
                 : read_exactly(number_of(received.header("Content-Length")), received.body);
  return is_complete ? std::optional(std::move(received)) : std::nullopt;
}

bool connection::write(std::string_view bytes) const {
  while (!bytes.empty()) {
    const auto written = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (written <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
  return true;
}

void connection::shut_down() const {
  ::shutdown(descriptor_, SHUT_RDWR);
}

// --- servers -------------------------------------------------------------------------------------

server::server(handler serve) : serve_(std::move(serve)), listener_(bound_socket(address_)) {
  constexpr int backlog = 256;
  ::listen(listener_, backlog);
  accept_thread_ = std::thread([this] { accept_connections(); });
}

server::~server() {
  is_stopping_ = true;
  ::shutdown(listener_, SHUT_RDWR);
  accept_thread_.join();
  ::close(listener_);
  for (auto& open : sessions_) {
    open.peer->shut_down();
  }
  for (auto& open : sessions_) {
    open.thread.join();
  }
}

void server::accept_connections() {
  while (!is_stopping_) {
    const int descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0) {
      return;
    }
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    auto peer = std::make_shared<connection>(descriptor);
    const std::lock_guard lock(mutex_);
    sessions_.push_back({peer, std::thread([this, peer] {
                           serve_(*peer);
                           peer->shut_down();
                         })});
  }
}

// --- store ---------------------------------------------------------------------------------------

store::store() : server_(std::make_unique<server>([this](connection& peer) { serve(peer); })) {}

void store::put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  items_[key] = {value, ++revision_};
  changed_.notify_all();
}

void store::serve(connection& peer) {
  while (const auto request = peer.read()) {
    if (!peer.write(whole_answer("200 OK", {{"Content-Type", "application/json"}},
                                 answer(request->target)))) {
      return;
    }
  }
}

std::string store::answer(const std::string& target) {
  const bool is_watch = target.starts_with("/kv-watch");
  const auto prefix =
      query_value(target, target.starts_with("/kv-key") ? "tls_key" : "path_prefix");
  const auto after = is_watch ? number_of(query_value(target, "start_after")) : 0;
  std::unique_lock lock(mutex_);
  if (is_watch) {
    const milliseconds wait(number_of(query_value(target, "wait_ms")));
    changed_.wait_for(lock, std::min(wait, max_watch_time),
                      [&] { return !changed_items(prefix, after).empty(); });
  }
  boost::json::object body{{"at", revision_}};
  if (!is_watch) {
    body["more"] = false;
  }
  body[is_watch ? "events" : "items"] = changed_items(prefix, after);
  return boost::json::serialize(body);
}

boost::json::array store::changed_items(const std::string& prefix, std::uint64_t after) const {
  boost::json::array listed;
  for (const auto& [key, entry] : items_) {
    if (key.starts_with(prefix) && entry.revision > after) {
      listed.push_back(boost::json::object{
          {"tls_key", key}, {"value", base64(entry.value)}, {"revision", entry.revision}});
    }
  }
  return listed;
}

// --- daemons -------------------------------------------------------------------------------------

daemon_process::daemon_process(const std::string& name, const std::string& zone,
                               const std::string& folder)
    : name_(name), zone_(zone), folder_(folder), front_(free_address()), ready_(free_address()),
      peer_(free_address()), operator_(free_address()) {}

daemon_process::~daemon_process() {
  if (process_ > 0 && !ended()) {
    ::kill(process_, SIGKILL);
    ::waitpid(process_, nullptr, 0);
  }
}

void daemon_process::start(const std::string& store_address, const std::vector<std::string>& seeds,
                           const std::vector<std::string>& zones) {
  const auto settings_path = folder_ + "/" + name_ + ".yaml";
  std::ofstream settings(settings_path);
  settings << "node: \"" << name_ << "\"\nzone: \"" << zone_ << "\"\npeer_listen: \"" << peer_
           << "\"\noperator_listen: \"" << operator_ << "\"\nseeds:\n";
  for (const auto& seed : seeds) {
    settings << "  - \"" << seed << "\"\n";
  }
  settings << "membership:\n  probe_period_ms: 300\n  acknowledgement_timeout_ms: 100\n"
              "  suspicion_timeout_ms: 1000\n  relay_period_ms: 300\n"
              "serving:\n  listen: \""
           << front_ << "\"\n  readiness_listen: \"" << ready_ << "\"\n  store: \"" << store_address
           << "\"\n  regions:\n";
  for (const auto& zone : zones) {
    settings << "    \"" << zone << "\": \"kathmandu-valley\"\n";
  }
  settings << "  processor_share: 0.25\n  memory_mb: 260\n  max_descriptors: 4100\n"
              "  retry_ratio: 0.2\n  retry_allowance: 56\n  retry_window_s: 10\n"
              "  settle_ms: 3000\n  change_bound_ms: 2000\n  drain_bound_ms: 2000\n"
              "  stop_grace_s: 8\n";
  settings.close();
  const auto log_path = folder_ + "/" + name_ + ".log";
  process_ = ::fork();
  if (process_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = ::open(log_path.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::execl("target/spurrackd", "target/spurrackd", "--settings", settings_path.c_str(), nullptr);
    ::_exit(127);
  }
}

bool daemon_process::wait_until_ready(milliseconds timeout) const {
  const auto deadline = clock::now() + timeout;
  while (clock::now() < deadline) {
    if (send_request(ready_, "GET", "/readiness", {}, "", milliseconds(1'000)).status == 200) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(100));
  }
  return false;
}

std::optional<std::string> daemon_process::ended() {
  int status = 0;
  if (!end_ && process_ > 0 && ::waitpid(process_, &status, WNOHANG) == process_) {
    end_ = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                               : "exit status " + std::to_string(WEXITSTATUS(status));
  }
  return end_;
}

fleet::fleet(const std::string& folder, const std::vector<std::string>& zones) : zones_(zones) {
  for (const auto& zone : zones) {
    const auto name = "edge-" + zone + "-" + std::to_string(nodes_.size() + 1);
    nodes_.push_back(std::make_unique<daemon_process>(name, zone, folder));
  }
}

bool fleet::start(const std::string& store_address) {
  std::vector<std::string> seeds;
  for (const auto& node : nodes_) {
    seeds.push_back(node->peer_address());
  }
  constexpr std::size_t max_seeds = 3;
  seeds.resize(std::min(seeds.size(), max_seeds));
  const std::set<std::string> names(zones_.begin(), zones_.end());
  for (const auto& node : nodes_) {
    node->start(store_address, seeds, {names.begin(), names.end()});
  }
  return std::all_of(nodes_.begin(), nodes_.end(),
                     [](const auto& node) { return node->wait_until_ready(milliseconds(30'000)); });
}

// --- clients -------------------------------------------------------------------------------------

outcome send_request(const std::string& address, const std::string& method,
                     const std::string& target, const header_fields& headers,
                     const std::string& body, milliseconds timeout) {
  outcome seen;
  const auto started_at = clock::now();
  const auto opened = connection::open(address, timeout);
  if (!opened) {
    return seen;
  }
  seen.is_connected = true;
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  if (method != "GET") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  opened->write(text + "\r\n" + body);
  const auto answer = opened->read();
  seen.duration = std::chrono::duration_cast<milliseconds>(clock::now() - started_at);
  if (answer) {
    seen.status = answer->status;
    seen.body = answer->body;
  }
  return seen;
}

std::string whole_answer(const std::string& status, const header_fields& headers,
                         const std::string& body) {
  std::string text = "HTTP/1.1 " + status + "\r\n";
  for (const auto& [name, value] : headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string replica_entry(const std::string& service, const std::string& address,
                          const std::string& zone, int slots) {
  return boost::json::serialize(boost::json::object{{"service", service},
                                                    {"address", address},
                                                    {"zone", zone},
                                                    {"version", "v1"},
                                                    {"slots", slots},
                                                    {"state", "ready"},
                                                    {"cold_left_ms", 0},
                                                    {"sequence", 1}});
}

// --- names ---------------------------------------------------------------------------------------

std::string new_id() {
  static std::mutex mutex;
  static std::mt19937_64 random{std::random_device{}()};
  const std::lock_guard lock(mutex);
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(random()));
  return text.data();
}

std::string free_address() {
  // Below the ports that the kernel gives to connections, which could take a port between this call
  // and the start of the daemon.
  constexpr int first_port = 12'000;
  constexpr int last_port = 32'000;
  static std::set<int> given;
  static std::mt19937 random{std::random_device{}()};
  std::uniform_int_distribution<int> ports(first_port, last_port);
  while (true) {
    const int port = ports(random);
    auto address = "127.0.0.1:" + std::to_string(port);
    const auto local = socket_address(address);
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const bool is_free =
        ::bind(descriptor, reinterpret_cast<const sockaddr*>(&local), sizeof(local)) == 0;
    ::close(descriptor);
    if (is_free && given.insert(port).second) {
      return address;
    }
  }
}

bool is_without_trouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble != nullptr && std::string_view(trouble) == "0";
}

std::string make_folder() {
  auto pattern = (std::filesystem::temp_directory_path() / "spurrack-review-XXXXXX").string();
  if (::mkdtemp(pattern.data()) == nullptr) {
    std::exit(2);
  }
  return pattern;
}

void remove_folder(const std::string& folder) {
  std::error_code ignored;
  std::filesystem::remove_all(folder, ignored);
}

} // namespace review
