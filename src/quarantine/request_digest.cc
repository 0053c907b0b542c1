#include "quarantine/request_digest.h"

namespace spurrack::quarantine {

request_digest digest_of(const serving::request_content& content, std::string_view tenant) {
  return base::digest::of({tenant, content.method, content.host, content.target, content.body});
}

} // namespace spurrack::quarantine
