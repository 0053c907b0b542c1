/// Constants that several files of the dispatcher use.
#pragma once

#include "base/time.h"

#include <chrono>
#include <cstdint>

namespace spurrack::serving {

/// HTTP status codes of answers; 0 stands for a client that disconnected.
namespace status {
constexpr unsigned unauthorized = 401;
constexpr unsigned not_found = 404;
constexpr unsigned conflict = 409;
constexpr unsigned too_many_requests = 429;
constexpr unsigned bad_gateway = 502;
constexpr unsigned unavailable = 503;
constexpr unsigned timed_out = 504;
constexpr unsigned first_server_error = 500;
constexpr unsigned client_gone = 0;
} // namespace status

/// Reason in the answer to a request whose deadline has passed.
inline constexpr const char* deadline_passed = "deadline passed";

/// Maximum expected time of an admitted request, as a multiple of its target latency.
inline constexpr double admission_target_factor = 1.3;

/// Maximum number of times that stages of a request are recomputed because results were lost.
inline constexpr std::uint32_t max_recomputations = 2;

/// Minimum time for which a replica must have been silent before an exit is suspected. Besides, it
/// must leave a new connection unanswered.
inline constexpr base::duration min_suspected_silence = std::chrono::milliseconds(250);

/// Interval at which a stalled call that may be repeated is checked for a successor again. Requests
/// at a replica that goes down should be retried within one second; the interval is a tenth of it.
inline constexpr base::duration successor_check_interval = std::chrono::milliseconds(100);

/// Bytes of a replica, or of other replicas, show something about the time after the end of a call
/// if they follow the end by this time: connections that break at the same moment are noticed one
/// after another, and bytes may have been sent before.
inline constexpr base::duration min_later_activity = std::chrono::milliseconds(50);

} // namespace spurrack::serving
