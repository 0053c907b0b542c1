/// The users' platform of the fault soak: a metadata store and replicas on loopback that misbehave
/// on request, and check what they are asked.
#pragma once

#include "platform_stand_in.h"
#include "soak_ledger.h"

#include <boost/json.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace spurrack::platform_tests {

/// How the store behaves.
enum class store_mode : std::uint8_t { normal, refusing, silent, resetting, forgetful };

/// How a replica behaves.
enum class replica_mode : std::uint8_t {
  normal,
  failing,
  shedding,
  losing_answers,
  spoiling,
  slow
};

/// Requests of the soak: everything about one follows from its id, so that whoever sees a part of
/// it can check it.
struct soak_request {
  /// @return whether requests of a kind have stages before they run.
  static bool has_stages(const std::string& kind) { return kind == "staged" || kind == "held"; }
  /// @return whether requests of a kind are answered with events.
  static bool is_stream(const std::string& kind) { return kind == "stream" || has_stages(kind); }
  /// @return whether a request is held to the region of the zone `east`.
  static bool is_held(const std::string& id) { return id.starts_with("held"); }
  static std::string path(const std::string& kind, const std::string& id) {
    return "/" + kind + "/" + id;
  }
  static std::string body(const std::string& id) { return "body of " + id; }
  /// Bytes of the answer to a plain request.
  static std::string answer(const std::string& id);
  static std::size_t events(const std::string& id);
  static std::string event(const std::string& id, std::size_t number);
  /// Pieces of the first and of the second stage.
  static std::size_t pieces(const std::string& id, std::size_t stage);
};

/// One replica with its server.
class soak_replica {
 public:
  soak_replica(std::string id, std::string service, std::string zone, soak_ledger& ledger);

  void set_mode(replica_mode mode) { mode_ = mode; }
  [[nodiscard]] std::string listen_address() const { return server_->address(); }
  /// Address under which it is published, which handles of results name.
  void set_published_address(const std::string& address) { published_address_ = address; }
  [[nodiscard]] const std::string& id() const { return id_; }
  [[nodiscard]] const std::string& zone() const { return zone_; }
  [[nodiscard]] std::string record() const;
  void set_draining(bool draining) { draining_ = draining; }
  /// @return when the last request arrived.
  [[nodiscard]] soak_clock::time_point last_arrival() const { return last_arrival_; }

 private:
  scripted_answer answer(const http_request& request);
  scripted_answer run(const http_request& request);
  scripted_answer make_pieces(const http_request& request);
  scripted_answer stream(const http_request& request, const std::string& id);
  void check(const http_request& request, const std::string& id);
  /// A request, or a piece of one, is worked on here.
  void check_region(const std::string& id);
  void check_inputs(const std::vector<std::string>& inputs, const std::string& id,
                    std::size_t stage);

  std::string id_;
  std::string service_;
  std::string zone_;
  soak_ledger* ledger_;
  std::string published_address_;
  std::atomic<replica_mode> mode_ = replica_mode::normal;
  std::atomic<bool> draining_ = false;
  std::atomic<std::uint64_t> calls_ = 0;
  std::atomic<soak_clock::time_point> last_arrival_{soak_clock::time_point{}};
  std::unique_ptr<scripted_server> server_;
};

/// The metadata store. Thread-safe.
class soak_store {
 public:
  soak_store();

  void set_mode(store_mode mode) { mode_ = mode; }
  [[nodiscard]] std::string address() const { return server_->address(); }
  void put(const std::string& key, const std::string& value);
  void remove(const std::string& key);

 private:
  struct item {
    std::string value;
    std::uint64_t revision = 0;
    bool gone = false;
  };
  scripted_answer answer(const http_request& request);
  boost::json::array items(const std::string& prefix, std::uint64_t after, bool with_gone) const;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, item> items_;
  std::uint64_t revision_ = 1;
  std::atomic<store_mode> mode_ = store_mode::normal;
  std::unique_ptr<scripted_server> server_;
};

} // namespace spurrack::platform_tests
