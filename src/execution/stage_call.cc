#include "execution/stage_call.h"

namespace spurrack::execution {

std::string_view name_of(call_status value) {
  switch (value) {
  case call_status::completed:
    return "completed";
  case call_status::never_sent:
    return "never_sent";
  case call_status::refused_overloaded:
    return "refused_overloaded";
  case call_status::refused_leaving:
    return "refused_leaving";
  case call_status::rejected:
    return "rejected";
  case call_status::broken:
    return "broken";
  }
  return "broken";
}

} // namespace spurrack::execution
