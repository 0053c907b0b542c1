/// Classes of HTTP status codes.
#pragma once

namespace spurrack::serving {

[[nodiscard]] constexpr bool is_success(unsigned http_status) {
  constexpr unsigned first_success = 200;
  constexpr unsigned first_redirection = 300;
  return http_status >= first_success && http_status < first_redirection;
}

} // namespace spurrack::serving
