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
  ++open_calls_;
  open_non_repeatable_calls_ += repeatable ? 0 : 1;
}

void call_tracker::call_never_sent(bool repeatable) {
  --open_calls_;
  open_non_repeatable_calls_ -= repeatable ? 0 : 1;
}

void call_tracker::call_completed(bool repeatable) {
  --open_calls_;
  ++completed_calls_;
  open_non_repeatable_calls_ -= repeatable ? 0 : 1;
}

outcome call_tracker::failure_outcome() const {
  if (open_non_repeatable_calls_ > 0) {
    return outcome::unknown;
  }
  return open_calls_ + completed_calls_ > 0 ? outcome::failed : outcome::not_run;
}

} // namespace spurrack::model
