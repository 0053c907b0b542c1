/// Emulates the platform, the service that publishes the configuration and the list of machines.
/// Serves `GET /v1/entries` for nodes, which only read, and `/admin/...` for tests. Counts the
/// calls of `GET /v1/entries`. Tests can make the platform slow, stale (it answers without new
/// entries) or down, and can set it back to an earlier revision.
#include "http_service.h"

#include "logging/guarded_main.h"
#include "logging/usual_options.h"

#include "http/awaitable.h"

#include <boost/asio/steady_timer.hpp>
#include <cxxopts.hpp>

#include <charconv>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using spurrack::standins::service_exchange;
using spurrack::standins::wait_for;

/// Mode of the emulated platform: how the platform answers nodes.
enum class mode {
  up,   ///< Answers normally.
  down, ///< Resets the connection.
  slow, ///< Delays the answer.
  stale ///< Answers without entries and with the revision that was current when the mode was set.
};

/// Latest revision and value of a published record. The value is std::nullopt if the record is
/// deleted.
struct published_entry {
  std::uint64_t revision = 0;
  std::optional<std::string> value;
};

/// @return value of the numeric parameter `name` in the query of a request target; 0 if the query
///         does not contain the parameter.
std::uint64_t parse_query_number(const std::string& target, const std::string& name) {
  const auto position = target.find(name + "=");
  std::uint64_t value = 0;
  if (position != std::string::npos) {
    std::from_chars(target.data() + position + name.size() + 1, target.data() + target.size(),
                    value);
  }
  return value;
}

class emulated_platform_service {
 public:
  explicit emulated_platform_service(asio::io_context& io) : io_(&io) {}

  asio::awaitable<void> handle(service_exchange& exchange) {
    const auto target = exchange.target();
    if (target.starts_with("/v1/entries")) {
      co_await reply_with_entries(exchange, parse_query_number(target, "after"),
                                  parse_query_number(target, "wait_ms"));
    } else if (target == "/admin/publish") {
      co_await publish(exchange);
    } else if (target == "/admin/mode") {
      co_await set_mode(exchange);
    } else if (target == "/admin/restore") {
      co_await restore(exchange);
    } else if (target == "/admin/counts") {
      co_await exchange.reply(200, counts());
    } else {
      co_await exchange.reply(404, json::object());
    }
  }

 private:
  json::object counts() const {
    json::object body;
    body["calls"] = calls_;
    body["revision"] = revision_;
    return body;
  }

  /// Answers with the entries that were published after the revision `after_revision`. If there are
  /// none, first waits at most `wait_ms` milliseconds for the next change by a test. The modes
  /// `down`, `slow` and `stale` change this behaviour.
  asio::awaitable<void> reply_with_entries(service_exchange& exchange, std::uint64_t after_revision,
                                           std::uint64_t wait_ms) {
    ++calls_;
    if (mode_ == mode::down) {
      exchange.close(true);
      co_return;
    }
    if (mode_ == mode::slow) {
      co_await wait_for(slow_delay_);
    }
    if (after_revision == revision_ || mode_ == mode::stale) {
      co_await wait_for_change(std::chrono::milliseconds(wait_ms));
    }
    if (mode_ == mode::down) {
      exchange.close(true);
      co_return;
    }
    co_await exchange.reply(200,
                            entries_after(mode_ == mode::stale ? stale_revision_ : after_revision));
  }

  json::object entries_after(std::uint64_t after_revision) const {
    const auto latest_revision = mode_ == mode::stale ? stale_revision_ : revision_;
    json::array items;
    for (const auto& [key, entry] : entries_) {
      if (entry.revision <= after_revision || entry.revision > latest_revision) {
        continue;
      }
      json::object item{{"key", key}, {"revision", entry.revision}};
      if (entry.value) {
        item["value"] = *entry.value;
      }
      items.push_back(std::move(item));
    }
    return {{"revision", latest_revision}, {"entries", std::move(items)}};
  }

  asio::awaitable<void> wait_for_change(std::chrono::milliseconds timeout) {
    auto timer = std::make_shared<asio::steady_timer>(*io_, timeout);
    waiting_reads_.insert(timer);
    boost::system::error_code ignored;
    co_await timer->async_wait(spurrack::http::await_into(ignored));
    waiting_reads_.erase(timer);
  }

  void wake_waiting_reads() {
    for (const auto& timer : std::set<std::shared_ptr<asio::steady_timer>>(waiting_reads_)) {
      timer->cancel();
    }
  }

  asio::awaitable<void> publish(service_exchange& exchange) {
    const auto body = exchange.body();
    for (const auto& item : body.at("entries").as_array()) {
      const auto& object = item.as_object();
      const auto key = std::string(object.at("key").as_string());
      const auto* value = object.if_contains("value");
      std::optional<std::string> record_value;
      if (value != nullptr && value->is_string()) {
        record_value = std::string(value->as_string());
      }
      entries_[key] = {++revision_, record_value};
    }
    wake_waiting_reads();
    co_await exchange.reply(200, counts());
  }

  asio::awaitable<void> set_mode(service_exchange& exchange) {
    static const std::map<std::string, mode> modes{
        {"up", mode::up}, {"down", mode::down}, {"slow", mode::slow}, {"stale", mode::stale}};
    const auto body = exchange.body();
    mode_ = modes.at(std::string(body.at("mode").as_string()));
    if (const auto* delay = body.if_contains("delay_ms")) {
      slow_delay_ = std::chrono::milliseconds(delay->as_int64());
    }
    stale_revision_ = revision_;
    wake_waiting_reads();
    co_await exchange.reply(200, json::object());
  }

  /// Sets the current revision back to an earlier revision and removes each entry whose last change
  /// has a later revision. Imitates a platform that was restored from a backup, except that the
  /// earlier value of a removed entry is not restored.
  asio::awaitable<void> restore(service_exchange& exchange) {
    const auto body = exchange.body();
    revision_ = static_cast<std::uint64_t>(body.at("revision").as_int64());
    std::erase_if(entries_, [&](const auto& item) { return item.second.revision > revision_; });
    wake_waiting_reads();
    co_await exchange.reply(200, counts());
  }

  asio::io_context* io_;
  std::map<std::string, published_entry> entries_;
  std::uint64_t revision_ = 0;
  std::uint64_t calls_ = 0;
  mode mode_ = mode::up;
  /// Revision at the last call of `/admin/mode`; answers in the mode `stale` contain it.
  std::uint64_t stale_revision_ = 0;
  std::chrono::milliseconds slow_delay_{0};
  /// One timer for each read that waits for a change. Cancelling the timer wakes the read.
  std::set<std::shared_ptr<asio::steady_timer>> waiting_reads_;
};

int run_program(int argc, char** argv) {
  cxxopts::Options options("platform_stand_in", "Emulated platform service for tests.");
  options.add_options()("listen", "IP:port", cxxopts::value<std::string>());
  spurrack::logging::add_usual_options(options);
  const auto arguments = options.parse(argc, argv);
  if (spurrack::logging::handle_usual_options(options, arguments)) {
    return 0;
  }
  asio::io_context io(1);
  emulated_platform_service platform(io);
  spurrack::standins::serve(io, arguments["listen"].as<std::string>(),
                            [&](service_exchange& exchange) { return platform.handle(exchange); });
  io.run();
  return 0;
}

} // namespace

int main(int argc, char** argv) {
  constexpr int exit_exception = 2;
  return spurrack::logging::guarded_main(run_program, argc, argv, exit_exception);
}
