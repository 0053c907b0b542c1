/// Calls back ends over HTTP/1.1 with JSON bodies; generated tokens arrive as server-sent events.
/// docs/BACKENDS.md describes the exchange.
#pragma once

#include "backends/backend_client.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace spurrack::backends {

/// @param io drives the calls; must outlive the client.
std::unique_ptr<backend_client> make_http_backend_client(boost::asio::io_context& io,
                                                         call_observer observer);

} // namespace spurrack::backends
