/// Strongly typed identifiers: the compiler rejects the use of an identifier of one kind in place
/// of another kind.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace spurrack::base {

/// Identifier in text form. `tag` only distinguishes the kinds of identifiers.
template <typename tag>
class identifier {
 public:
  identifier() = default;
  explicit identifier(std::string text) : text_(std::move(text)) {}

  [[nodiscard]] const std::string& text() const { return text_; }
  [[nodiscard]] bool empty() const { return text_.empty(); }
  auto operator<=>(const identifier&) const = default;

 private:
  std::string text_;
};

template <typename tag>
std::ostream& operator<<(std::ostream& out, const identifier<tag>& id) {
  return out << id.text();
}

using node_id = identifier<struct node_tag>;
using zone_id = identifier<struct zone_tag>;
using region_id = identifier<struct region_tag>;
using backend_id = identifier<struct backend_tag>;
/// A replica keeps its identifier when it restarts; see `model::replica_incarnation`.
using replica_id = identifier<struct replica_tag>;
/// Version of a replica's software, compared for equality only; empty if the replica publishes
/// none. The version of the weights of a model is another one.
using software_version = identifier<struct software_version_tag>;
using pool_id = identifier<struct pool_tag>;
using tenant_id = identifier<struct tenant_tag>;
using template_id = identifier<struct template_tag>;
using request_id = identifier<struct request_tag>;
using network_address = identifier<struct address_tag>;

/// Number of a call, unique within one incarnation of a node.
using call_id = std::uint64_t;
/// Number of a request of a caller or a client, unique within one incarnation of a node.
using caller_id = std::uint64_t;
/// Number of an incarnation of a node; a later incarnation has a higher number. The number is taken
/// from the wall clock at the start of the process. The process increases its number to refute
/// gossip that reports the node as suspected or dead.
using incarnation = std::uint64_t;
/// Revision of a published record, assigned by the service that publishes it.
using revision = std::uint64_t;
/// Era of the service that publishes records, counted from 1. It increases each time the service is
/// restored from an older copy, after which the service assigns the same revisions again. 0 if the
/// era is unknown.
using store_era = std::uint64_t;

} // namespace spurrack::base

template <typename tag>
struct std::hash<spurrack::base::identifier<tag>> {
  std::size_t operator()(const spurrack::base::identifier<tag>& id) const noexcept {
    return std::hash<std::string>{}(id.text());
  }
};
