#include "model/errc.h"

#include <string>

namespace spurrack::model {
namespace {

class model_category final : public std::error_category {
 public:
  [[nodiscard]] const char* name() const noexcept override { return "model"; }
  [[nodiscard]] std::string message(int value) const override {
    switch (static_cast<errc>(value)) {
    case errc::ok:
      return "success";
    case errc::malformed_document:
      return "not a well-formed YAML document";
    case errc::unknown_field:
      return "unknown field";
    case errc::missing_field:
      return "required field is missing";
    case errc::wrong_type:
      return "value has the wrong type";
    case errc::out_of_range:
      return "value is out of range";
    case errc::unknown_value:
      return "value is not one of those allowed";
    case errc::name_mismatch:
      return "name does not match the key it is published under";
    case errc::unknown_key_space:
      return "key is not under templates/, tenants/ or machines/";
    }
    return "unrecognised error";
  }
};

} // namespace

std::error_code make_error_code(errc code) {
  static const model_category category;
  return {static_cast<int>(code), category};
}

} // namespace spurrack::model
