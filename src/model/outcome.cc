#include "model/outcome.h"

namespace spurrack::model {

std::string_view name_of(outcome value) {
  switch (value) {
  case outcome::completed:
    return "completed";
  case outcome::not_run:
    return "not_run";
  case outcome::failed:
    return "failed";
  case outcome::unknown:
    return "unknown";
  }
  return "unknown";
}

void call_tracker::call_started(bool repeatable) {
  ++calls_open_;
  effects_open_ += repeatable ? 0 : 1;
}

void call_tracker::call_never_sent(bool repeatable) {
  --calls_open_;
  effects_open_ -= repeatable ? 0 : 1;
}

void call_tracker::call_completed(bool repeatable) {
  --calls_open_;
  ++calls_completed_;
  effects_open_ -= repeatable ? 0 : 1;
}

outcome call_tracker::give_up() const {
  if (effects_open_ > 0) {
    return outcome::unknown;
  }
  return calls_open_ + calls_completed_ > 0 ? outcome::failed : outcome::not_run;
}

} // namespace spurrack::model
