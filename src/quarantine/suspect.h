/// What may crash the replicas that run it: a whole request, or a part of prompts that several
/// requests have in common. Both are recognized by digests, on every node and in every request.
#pragma once

#include "base/digest.h"
#include "serving/request.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace spurrack::quarantine {

enum class suspect_kind : std::uint8_t {
  request,     ///< A request, whichever client sends it again.
  prompt_part, ///< A part of prompts, whichever requests have it.
};

/// @return name of a kind for logs and operators.
[[nodiscard]] std::string_view name_of(suspect_kind kind);

/// Digests of suspects of different kinds differ.
using suspect_digest = base::digest;

struct suspect {
  suspect_digest digest;
  suspect_kind kind = suspect_kind::request;
};

/// Computes the digest of a prompt part. It covers the model and the id of the part, since a part
/// is the same for all requests that name both, whichever tenant sends them.
[[nodiscard]] suspect_digest digest_of(const serving::prompt_part& part, std::string_view model);

/// Computes what may crash a replica that runs a request: the request itself, first, and the parts
/// of its prompt without the last, which no other request has.
/// @param tenant tenant to which the API key of the request belongs; empty if the route is public.
[[nodiscard]] std::vector<suspect> suspects_of(const serving::request_content& content,
                                               std::string_view tenant);

} // namespace spurrack::quarantine
