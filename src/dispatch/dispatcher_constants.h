/// Constants that the files of the dispatcher share.
#pragma once

#include <cstdint>

namespace spurrack::serving {

/// Status codes of answers.
namespace status {
constexpr unsigned unauthorized = 401;
constexpr unsigned not_found = 404;
constexpr unsigned conflict = 409;
constexpr unsigned bad_gateway = 502;
constexpr unsigned unavailable = 503;
constexpr unsigned timed_out = 504;
constexpr unsigned first_server_error = 500;
constexpr unsigned client_gone = 0;
} // namespace status

/// Reason of an answer to a request whose time is over.
inline constexpr const char* deadline_passed = "deadline passed";

/// A request is admitted up to this part of its target latency.
inline constexpr double admission_target_factor = 1.3;

/// Times the stages of a request are made again because results were lost.
inline constexpr std::uint32_t max_recomputations = 2;

} // namespace spurrack::serving
