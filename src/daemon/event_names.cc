#include "daemon/event_names.h"

#include <array>
#include <variant>

namespace spurrack::daemon {
namespace {

/// Names of the alternatives of `serving::event`, in their order.
constexpr std::array<std::string_view, std::variant_size_v<serving::event>> serving_event_names{
    "request_arrived",  "client_disconnected",  "client_window",  "call_failed",  "answer_paused",
    "answer_resumed",   "call_answered",        "stream_opened",  "stream_bytes", "stream_closed",
    "stage_call_ended", "self_report_received", "replica_probed",
};

/// Names of the alternatives of `node::event`, in their order.
constexpr std::array<std::string_view, std::variant_size_v<node::event>> event_names{
    "time_passed",      "peer_message",   "caller_arrived", "caller_disconnected",
    "ticket_requested", "call_result",    "call_token",     "service_answered",
    "service_failed",   "stop_requested", "seeds_changed",  "release_requested",
    "serving",
};

} // namespace

std::string_view name_of(const node::event& input_event) {
  if (const auto* inner = std::get_if<serving::event>(&input_event)) {
    return serving_event_names.at(inner->index());
  }
  return event_names.at(input_event.index());
}

} // namespace spurrack::daemon
