/// HTTP listener for operators: serves documents about this node (GET) and performs actions (POST
/// without a body). docs/operators/ describes both.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace spurrack::http {

struct operator_document {
  std::string content_type;
  std::string body;
};

/// Looks up the document at a path, such as `/v1/status`.
/// @return std::nullopt if there is no document at the path.
using document_source = std::function<std::optional<operator_document>(const std::string& path)>;
/// Performs the action of a path.
/// @return the result; std::nullopt if the path has no action.
using action_handler = std::function<std::optional<operator_document>(const std::string& path)>;

/// HTTP listener for operators. Not thread-safe.
class operator_server {
 public:
  operator_server() = default;
  operator_server(const operator_server&) = delete;
  operator_server& operator=(const operator_server&) = delete;
  virtual ~operator_server() = default;
};

/// Binds and starts accepting connections.
/// @param listen `IP:port`.
/// @param handler may be null: then POST is not allowed.
/// @throws boost::system::system_error if the address cannot be bound.
std::unique_ptr<operator_server> make_operator_server(boost::asio::io_context& io,
                                                      const std::string& listen,
                                                      document_source source,
                                                      action_handler handler = nullptr);

} // namespace spurrack::http
