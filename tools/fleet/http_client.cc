#include "http_client.h"

#include "http/endpoint.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace spurrack::fleet {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace beast_http = boost::beast::http;

/// Starts an asynchronous operation on a stream and runs `io` until the operation has ended. The
/// timeout of the stream limits the duration of the operation.
/// @return error of the operation.
template <typename start_function>
boost::system::error_code run_step(asio::io_context& io, start_function start) {
  boost::system::error_code result;
  start([&result](const boost::system::error_code& error, auto&&...) { result = error; });
  io.restart();
  io.run();
  return result;
}

} // namespace

boost::json::object http_answer::json() const {
  boost::system::error_code error;
  auto value = boost::json::parse(body, error);
  return error || !value.is_object() ? boost::json::object() : std::move(value.get_object());
}

http_answer call(const http_call& parameters) {
  http_answer answer;
  const auto endpoint = http::parse_endpoint(parameters.address);
  if (!endpoint) {
    answer.error = "invalid address: " + parameters.address;
    return answer;
  }
  asio::io_context io;
  beast::tcp_stream stream(io);
  stream.expires_after(parameters.timeout);
  auto error = run_step(io, [&](auto done) { stream.async_connect(*endpoint, done); });
  beast_http::request<beast_http::string_body> request(
      beast_http::string_to_verb(parameters.method), parameters.target, 11);
  request.set(beast_http::field::host, parameters.address);
  request.set(beast_http::field::connection, "close");
  for (const auto& [name, value] : parameters.headers) {
    request.set(name, value);
  }
  request.body() = parameters.body;
  request.prepare_payload();
  if (!error) {
    error = run_step(io, [&](auto done) { beast_http::async_write(stream, request, done); });
  }
  beast::flat_buffer buffer;
  beast_http::response_parser<beast_http::string_body> parser;
  parser.body_limit(boost::none);
  if (!error) {
    error = run_step(io, [&](auto done) { beast_http::async_read(stream, buffer, parser, done); });
  }
  if (error) {
    answer.error = error.message();
    return answer;
  }
  answer.status = parser.get().result_int();
  answer.body = parser.get().body();
  for (const auto& field : parser.get()) {
    answer.headers[std::string(field.name_string())] = std::string(field.value());
  }
  return answer;
}

http_answer get(const std::string& address, const std::string& target) {
  http_call parameters;
  parameters.address = address;
  parameters.target = target;
  return call(parameters);
}

http_answer post(const std::string& address, const std::string& target,
                 const boost::json::object& body) {
  http_call parameters;
  parameters.address = address;
  parameters.method = "POST";
  parameters.target = target;
  parameters.body = boost::json::serialize(body);
  return call(parameters);
}

std::string exchange_raw(const std::string& address, const std::string& bytes,
                         std::chrono::milliseconds timeout) {
  const auto endpoint = http::parse_endpoint(address);
  if (!endpoint) {
    return {};
  }
  asio::io_context io;
  beast::tcp_stream stream(io);
  stream.expires_after(timeout);
  std::string received;
  auto error = run_step(io, [&](auto done) { stream.async_connect(*endpoint, done); });
  if (!error) {
    error = run_step(io, [&](auto done) { asio::async_write(stream, asio::buffer(bytes), done); });
  }
  if (!error) {
    run_step(io,
             [&](auto done) { asio::async_read(stream, asio::dynamic_buffer(received), done); });
  }
  return received;
}

} // namespace spurrack::fleet
