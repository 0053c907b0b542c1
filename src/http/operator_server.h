/// The operators' HTTP listener: documents about this node (GET) and the few things that operators
/// ask of it (POST, without a body). docs/operators/ describes them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace spurrack::http {

/// A document served to operators.
struct operator_document {
  std::string content_type;
  std::string body;
};

/// @return the document at a path, such as `/v1/status`; nothing where there is none.
using document_source = std::function<std::optional<operator_document>(const std::string& path)>;
/// Does what is asked for by a path. @return what came of it; nothing where there is no such path.
using action_handler = std::function<std::optional<operator_document>(const std::string& path)>;

/// Not thread-safe.
class operator_server {
 public:
  operator_server() = default;
  operator_server(const operator_server&) = delete;
  operator_server& operator=(const operator_server&) = delete;
  virtual ~operator_server() = default;
};

/// Binds and starts accepting.
/// @throws boost::system::system_error where the address cannot be bound.
std::unique_ptr<operator_server> make_operator_server(boost::asio::io_context& io,
                                                      const std::string& listen,
                                                      document_source source,
                                                      action_handler handler = nullptr);

} // namespace spurrack::http
