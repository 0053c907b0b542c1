/// Reads the platform's services over HTTP: `GET /v1/entries?after=R&wait_ms=W` asks for the
/// entries that changed after revision R. While there are none, the service may delay its answer
/// for up to W milliseconds. docs/PLATFORM.md describes the protocol.
#pragma once

#include "publication/publication_client.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

namespace spurrack::publication {

/// @param io drives the reads; must outlive the client.
/// @param configuration,machine_list `IP:port` of the services.
std::unique_ptr<publication_client> make_http_publication_client(boost::asio::io_context& io,
                                                                 const std::string& configuration,
                                                                 const std::string& machine_list,
                                                                 read_observer observer);

} // namespace spurrack::publication
