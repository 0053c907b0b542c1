/// Errors of parsing published records (templates, tenants, machines) and settings.
#pragma once

#include <system_error>

namespace spurrack::model {

enum class errc {
  ok = 0,
  malformed_document,
  unknown_field,
  missing_field,
  wrong_type,
  out_of_range,
  unknown_value,
  name_mismatch,
  unknown_key_space,
};

/// @return `code` as an error code of the category `model`.
std::error_code make_error_code(errc code);

} // namespace spurrack::model

template <>
struct std::is_error_code_enum<spurrack::model::errc> : std::true_type {};
