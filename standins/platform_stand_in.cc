/// Stand-in of the platform's configuration service and machine list: `GET /v1/entries` for nodes,
/// `/admin/...` for tests. It counts its calls and can be slow, stale, down or restored.
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

/// How the service behaves towards nodes.
enum class mode { up, down, slow, stale };

struct published_entry {
  std::uint64_t revision = 0;
  std::optional<std::string> value;
};

std::uint64_t query_number(const std::string& target, const std::string& name) {
  const auto place = target.find(name + "=");
  std::uint64_t value = 0;
  if (place != std::string::npos) {
    std::from_chars(target.data() + place + name.size() + 1, target.data() + target.size(), value);
  }
  return value;
}

class platform_stand_in {
 public:
  explicit platform_stand_in(asio::io_context& io) : io_(&io) {}

  asio::awaitable<void> handle(service_exchange& exchange) {
    const auto target = exchange.target();
    if (target.starts_with("/v1/entries")) {
      co_await read(exchange, query_number(target, "after"), query_number(target, "wait_ms"));
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

  asio::awaitable<void> read(service_exchange& exchange, std::uint64_t after,
                             std::uint64_t wait_ms) {
    ++calls_;
    if (mode_ == mode::down) {
      exchange.close(true);
      co_return;
    }
    if (mode_ == mode::slow) {
      co_await wait_for(slow_by_);
    }
    if (after == revision_ || mode_ == mode::stale) {
      co_await wait_for_change(std::chrono::milliseconds(wait_ms));
    }
    if (mode_ == mode::down) {
      exchange.close(true);
      co_return;
    }
    co_await exchange.reply(200, entries_after(mode_ == mode::stale ? stale_at_ : after));
  }

  json::object entries_after(std::uint64_t after) const {
    const auto newest = mode_ == mode::stale ? stale_at_ : revision_;
    json::array items;
    for (const auto& [key, entry] : entries_) {
      if (entry.revision <= after || entry.revision > newest) {
        continue;
      }
      json::object item{{"key", key}, {"revision", entry.revision}};
      if (entry.value) {
        item["value"] = *entry.value;
      }
      items.push_back(std::move(item));
    }
    return {{"revision", newest}, {"entries", std::move(items)}};
  }

  asio::awaitable<void> wait_for_change(std::chrono::milliseconds longest) {
    auto timer = std::make_shared<asio::steady_timer>(*io_, longest);
    watches_.insert(timer);
    boost::system::error_code cancelled;
    co_await timer->async_wait(spurrack::http::await_into(cancelled));
    watches_.erase(timer);
  }

  void wake_watches() {
    for (const auto& timer : std::set<std::shared_ptr<asio::steady_timer>>(watches_)) {
      timer->cancel();
    }
  }

  asio::awaitable<void> publish(service_exchange& exchange) {
    const auto body = exchange.body();
    for (const auto& item : body.at("entries").as_array()) {
      const auto& object = item.as_object();
      const auto key = std::string(object.at("key").as_string());
      const auto* value = object.if_contains("value");
      std::optional<std::string> text;
      if (value != nullptr && value->is_string()) {
        text = std::string(value->as_string());
      }
      entries_[key] = {++revision_, text};
    }
    wake_watches();
    co_await exchange.reply(200, counts());
  }

  asio::awaitable<void> set_mode(service_exchange& exchange) {
    static const std::map<std::string, mode> modes{
        {"up", mode::up}, {"down", mode::down}, {"slow", mode::slow}, {"stale", mode::stale}};
    const auto body = exchange.body();
    mode_ = modes.at(std::string(body.at("mode").as_string()));
    if (const auto* delay = body.if_contains("delay_ms")) {
      slow_by_ = std::chrono::milliseconds(delay->as_int64());
    }
    stale_at_ = revision_;
    wake_watches();
    co_await exchange.reply(200, json::object());
  }

  /// Goes back to an earlier revision, as a service restored from a backup does.
  asio::awaitable<void> restore(service_exchange& exchange) {
    const auto body = exchange.body();
    revision_ = static_cast<std::uint64_t>(body.at("revision").as_int64());
    std::erase_if(entries_, [&](const auto& item) { return item.second.revision > revision_; });
    wake_watches();
    co_await exchange.reply(200, counts());
  }

  asio::io_context* io_;
  std::map<std::string, published_entry> entries_;
  std::uint64_t revision_ = 0;
  std::uint64_t calls_ = 0;
  mode mode_ = mode::up;
  std::uint64_t stale_at_ = 0;
  std::chrono::milliseconds slow_by_{0};
  std::set<std::shared_ptr<asio::steady_timer>> watches_;
};

int run(int argc, char** argv) {
  cxxopts::Options options("platform_stand_in", "Stand-in of a platform service, for tests.");
  options.add_options()("listen", "IP:port", cxxopts::value<std::string>());
  spurrack::logging::add_usual_options(options);
  const auto given = options.parse(argc, argv);
  if (spurrack::logging::handle_usual_options(options, given)) {
    return 0;
  }
  asio::io_context io(1);
  platform_stand_in platform(io);
  spurrack::standins::serve(io, given["listen"].as<std::string>(),
                            [&](service_exchange& exchange) { return platform.handle(exchange); });
  io.run();
  return 0;
}

} // namespace

int main(int argc, char** argv) {
  constexpr int exit_exception = 2;
  return spurrack::logging::guarded_main(run, argc, argv, exit_exception);
}
