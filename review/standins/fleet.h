/// Stand-ins for a review case: clients, replicas, the platform's store, and processes of the
/// daemon. Everything listens on loopback addresses. Each connection has its own thread.
#pragma once

#include <boost/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

using header_fields = std::vector<std::pair<std::string, std::string>>;

/// Writes lines with the time since the start to `record.txt` of a case.
class recorder {
 public:
  explicit recorder(const std::string& path) : file_(path), started_at_(clock::now()) {}
  void write(const std::string& line);
  [[nodiscard]] std::int64_t now_milliseconds() const;

 private:
  std::mutex mutex_;
  std::ofstream file_;
  clock::time_point started_at_;
};

/// A request or an answer.
struct message {
  /// Method and target, or status, of the first line.
  std::string method;
  std::string target;
  int status = 0;
  header_fields headers;
  std::string body;
  [[nodiscard]] std::string header(std::string_view name) const;
};

/// One TCP connection with blocking reads.
class connection {
 public:
  explicit connection(int descriptor) : descriptor_(descriptor) {}
  ~connection();
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  /// Opens a connection to `IP:port`. @return null if that fails.
  static std::unique_ptr<connection> open(const std::string& address, milliseconds timeout);
  /// Reads one request or answer. @return std::nullopt if the connection ended, or the time of one
  /// read was over, before the message was complete.
  std::optional<message> read();
  /// @return whether all bytes were written.
  bool write(std::string_view bytes) const;
  void shut_down() const;

 private:
  bool fill();
  std::optional<std::string> take_line();
  bool read_headers(message& received);
  bool read_exactly(std::size_t bytes, std::string& body);
  bool read_chunks(std::string& body);

  int descriptor_;
  std::string buffer_;
};

/// Server on 127.0.0.1 at a free port; serves each connection on its own thread.
class server {
 public:
  using handler = std::function<void(connection&)>;
  explicit server(handler serve);
  ~server();
  server(const server&) = delete;
  server& operator=(const server&) = delete;
  [[nodiscard]] const std::string& address() const { return address_; }

 private:
  struct session {
    std::shared_ptr<connection> peer;
    std::thread thread;
  };
  void accept_connections();

  handler serve_;
  std::string address_;
  int listener_;
  std::atomic<bool> is_stopping_ = false;
  std::mutex mutex_;
  std::list<session> sessions_;
  std::thread accept_thread_;
};

/// The platform's metadata store: the reading calls that nodes make.
class store {
 public:
  store();
  [[nodiscard]] const std::string& address() const { return server_->address(); }
  /// Writes an item; its return is the acknowledgement.
  void put(const std::string& key, const std::string& value);

 private:
  struct item {
    std::string value;
    std::uint64_t revision = 0;
  };
  void serve(connection& peer);
  std::string answer(const std::string& target);
  boost::json::array changed_items(const std::string& prefix, std::uint64_t after) const;

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, item> items_;
  std::uint64_t revision_ = 0;
  std::unique_ptr<server> server_;
};

/// A process of the daemon.
class daemon_process {
 public:
  /// @param folder folder for the settings file and the log.
  daemon_process(const std::string& name, const std::string& zone, const std::string& folder);
  ~daemon_process();
  daemon_process(const daemon_process&) = delete;
  daemon_process& operator=(const daemon_process&) = delete;

  /// Starts the process with settings as the platform fills them in from the template.
  void start(const std::string& store_address, const std::vector<std::string>& seeds,
             const std::vector<std::string>& zones);
  [[nodiscard]] bool wait_until_ready(milliseconds timeout) const;
  /// @return how the process ended by itself; std::nullopt if it runs.
  std::optional<std::string> ended();
  [[nodiscard]] const std::string& name() const { return name_; }
  [[nodiscard]] const std::string& front() const { return front_; }
  [[nodiscard]] const std::string& peer_address() const { return peer_; }

 private:
  std::string name_;
  std::string zone_;
  std::string folder_;
  std::string front_;
  std::string ready_;
  std::string peer_;
  std::string operator_;
  pid_t process_ = 0;
  std::optional<std::string> end_;
};

/// Nodes of a small deployment, one for each entry of `zones`.
class fleet {
 public:
  fleet(const std::string& folder, const std::vector<std::string>& zones);
  /// @return whether all nodes are ready within 30 s.
  bool start(const std::string& store_address);
  [[nodiscard]] std::vector<std::unique_ptr<daemon_process>>& nodes() { return nodes_; }

 private:
  std::vector<std::string> zones_;
  std::vector<std::unique_ptr<daemon_process>> nodes_;
};

/// What a client saw of one request.
struct outcome {
  /// Status of a complete answer; 0 if the connection ended, or the time was over, without one.
  int status = 0;
  std::string body;
  bool is_connected = false;
  milliseconds duration{0};
};

/// Sends one request on a new connection and waits for its complete answer.
outcome send_request(const std::string& address, const std::string& method,
                     const std::string& target, const header_fields& headers,
                     const std::string& body, milliseconds timeout);

/// @return an answer with a length.
std::string whole_answer(const std::string& status, const header_fields& headers,
                         const std::string& body);
/// @return the entry that a replica keeps in the store.
std::string replica_entry(const std::string& service, const std::string& address,
                          const std::string& zone, int slots);
/// @return 16 hexadecimal digits, different at each call.
std::string new_id();
/// @return an `IP:port` on which nothing listens.
std::string free_address();
/// @return whether the environment asks for the run without the disruption.
bool is_without_trouble();
/// @return new empty folder for one run.
std::string make_folder();
void remove_folder(const std::string& folder);

} // namespace review
