/// Blocking HTTP client for tests, the demo and the command-line tool.
#pragma once

#include <boost/json.hpp>

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace spurrack::fleet {

/// Answer of a server. `status` 0 means there was none: `error` says why.
struct http_answer {
  unsigned status = 0;
  std::string body;
  std::string error;
  std::map<std::string, std::string> headers;

  /// @return the body as an object; empty where it is not one.
  [[nodiscard]] boost::json::object json() const;
};

struct http_call {
  std::string address;
  std::string method = "GET";
  std::string target;
  std::map<std::string, std::string> headers;
  std::string body;
  std::chrono::milliseconds timeout{10'000};
};

/// Makes one call on a connection of its own.
http_answer call(const http_call& parameters);
/// GET with the default timeout.
http_answer get(const std::string& address, const std::string& target);
/// POST of a JSON document with the default timeout.
http_answer post(const std::string& address, const std::string& target,
                 const boost::json::object& body);
/// Sends bytes as they are and returns all that comes back until the other side closes.
std::string exchange_raw(const std::string& address, const std::string& bytes,
                         std::chrono::milliseconds timeout);

} // namespace spurrack::fleet
