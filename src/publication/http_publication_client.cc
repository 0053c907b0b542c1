#include "publication/http_publication_client.h"

#include "http/awaitable.h"
#include "http/endpoint.h"
#include "model/record_parser.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <optional>
#include <utility>

namespace spurrack::publication {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;

constexpr std::chrono::milliseconds connect_timeout{1'000};
/// Maximum time for which the service may delay its answer while there are no changes after the
/// requested revision.
constexpr std::chrono::milliseconds long_poll_timeout{8'000};
constexpr std::chrono::milliseconds read_timeout{12'000};
/// Maximum size of an answer. At the target size of the platform, a complete listing has about
/// 15,000 entries.
constexpr std::uint64_t max_answer_bytes = 256'000'000;

std::optional<wire::catalog_entry> parse_entry(const json::value& value) {
  if (!value.is_object()) {
    return std::nullopt;
  }
  const auto& object = value.get_object();
  const auto* key = object.if_contains("key");
  const auto* revision = object.if_contains("revision");
  const auto* content = object.if_contains("value");
  if (key == nullptr || !key->is_string() || revision == nullptr || !revision->is_int64()) {
    return std::nullopt;
  }
  wire::catalog_entry entry;
  entry.set_key(std::string(key->get_string()));
  entry.set_revision(static_cast<std::uint64_t>(revision->get_int64()));
  entry.set_deleted(content == nullptr || !content->is_string());
  if (!entry.deleted()) {
    entry.set_value(std::string(content->get_string()));
  }
  return entry;
}

std::optional<node::service_answered> parse_answer(node::source_kind source,
                                                   const std::string& body) {
  boost::system::error_code error;
  const auto document = json::parse(body, error);
  if (error || !document.is_object()) {
    return std::nullopt;
  }
  const auto* revision = document.get_object().if_contains("revision");
  const auto* entries = document.get_object().if_contains("entries");
  if (revision == nullptr || !revision->is_int64() || entries == nullptr || !entries->is_array()) {
    return std::nullopt;
  }
  node::service_answered answer;
  answer.source = source;
  answer.service_revision = static_cast<std::uint64_t>(revision->get_int64());
  for (const auto& item : entries->get_array()) {
    auto entry = parse_entry(item);
    if (!entry) {
      return std::nullopt;
    }
    answer.entries.push_back(std::move(*entry));
  }
  return answer;
}

class http_publication_client final : public publication_client {
 public:
  http_publication_client(asio::io_context& io, std::string configuration, std::string machine_list,
                          read_observer observer)
      : io_(&io), addresses_{std::move(configuration), std::move(machine_list)},
        observer_(std::move(observer)) {}

  void read(const node::read_service& command) override {
    asio::co_spawn(*io_, run_read(command), asio::detached);
  }
  /// Does nothing: the service delays an answer too briefly for a probe to be useful.
  void probe(const node::probe_service& /*command*/) override {}

 private:
  asio::awaitable<void> run_read(node::read_service command) {
    const auto body = co_await fetch(command);
    auto answer = body ? parse_answer(command.source, *body) : std::nullopt;
    if (answer) {
      answer->read_number = command.number;
      observer_.on_answer(std::move(*answer));
    } else {
      observer_.on_failure({command.source});
    }
  }

  asio::awaitable<std::optional<std::string>> fetch(node::read_service command) {
    const auto& address = addresses_[static_cast<std::size_t>(command.source)];
    const auto endpoint = spurrack::http::parse_endpoint(address);
    if (!endpoint) {
      co_return std::nullopt;
    }
    boost::system::error_code error;
    beast::tcp_stream stream(*io_);
    stream.expires_after(connect_timeout);
    co_await stream.async_connect(*endpoint, spurrack::http::await_into(error));
    if (error) {
      co_return std::nullopt;
    }
    const auto target = "/v1/entries?after=" + std::to_string(command.after) +
                        "&wait_ms=" + std::to_string(long_poll_timeout.count());
    http::request<http::empty_body> request(http::verb::get, target, 11);
    request.set(http::field::host, address);
    request.set(http::field::connection, "close");
    stream.expires_after(read_timeout);
    co_await http::async_write(stream, request, spurrack::http::await_into(error));
    if (error) {
      co_return std::nullopt;
    }
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> response;
    response.body_limit(max_answer_bytes);
    co_await http::async_read(stream, buffer, response, spurrack::http::await_into(error));
    if (error || response.get().result() != http::status::ok) {
      co_return std::nullopt;
    }
    co_return std::move(response.get().body());
  }

  asio::io_context* io_;
  std::array<std::string, node::source_count> addresses_;
  read_observer observer_;
};

} // namespace

std::unique_ptr<publication_client> make_http_publication_client(asio::io_context& io,
                                                                 const std::string& configuration,
                                                                 const std::string& machine_list,
                                                                 read_observer observer) {
  return std::make_unique<http_publication_client>(io, configuration, machine_list,
                                                   std::move(observer));
}

} // namespace spurrack::publication
