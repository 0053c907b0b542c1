/// Blocking HTTP client of the tests, the demo and the command-line tool.
#pragma once

#include <boost/json.hpp>

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace spurrack::fleet {

/// Answer of a server. If no complete answer was received, `status` is 0 and `error` holds the
/// reason.
struct http_answer {
  unsigned status = 0;
  std::string body;
  std::string error;
  std::map<std::string, std::string> headers;

  /// @return the body as a JSON object; an empty object if the body is not a JSON object.
  [[nodiscard]] boost::json::object json() const;
};

/// Parameters of an HTTP call.
struct http_call {
  /// `IP:port` of the server.
  std::string address;
  std::string method = "GET";
  std::string target;
  std::map<std::string, std::string> headers;
  std::string body;
  /// Maximum duration of the whole call, from the start of the connect to the end of the answer.
  std::chrono::milliseconds timeout{10'000};
};

/// Makes a call on a new connection, which is closed after the call.
http_answer call(const http_call& parameters);
/// Makes a GET call with the default timeout.
http_answer get(const std::string& address, const std::string& target);
/// Makes a POST call with a JSON document as its body and the default timeout.
http_answer post(const std::string& address, const std::string& target,
                 const boost::json::object& body);
/// Sends bytes unchanged on a new connection.
/// @return all bytes received until the server closes the connection or the timeout has passed.
std::string exchange_raw(const std::string& address, const std::string& bytes,
                         std::chrono::milliseconds timeout);

} // namespace spurrack::fleet
