#include "quarantine/suspect.h"

#include "quarantine/request_digest.h"

namespace spurrack::quarantine {

std::string_view name_of(suspect_kind kind) {
  return kind == suspect_kind::request ? "request" : "prompt part";
}

suspect_digest digest_of(const serving::prompt_part& part, std::string_view model) {
  return base::digest::of({"prompt part", model, part.id});
}

std::vector<suspect> suspects_of(const serving::request_content& content, std::string_view tenant) {
  std::vector<suspect> suspects{{digest_of(content, tenant), suspect_kind::request}};
  for (std::size_t index = 0; index + 1 < content.prompt_parts.size(); ++index) {
    suspects.push_back(
        {digest_of(content.prompt_parts[index], content.model), suspect_kind::prompt_part});
  }
  return suspects;
}

} // namespace spurrack::quarantine
