/// Strong identifiers: text that names one kind of thing and cannot be mixed up with another kind.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace spurrack::base {

/// Identifier of one kind. `tag` only tells the kinds apart.
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
/// A replica; it may start again under its identifier (`model::replica_incarnation`).
using replica_id = identifier<struct replica_tag>;
using pool_id = identifier<struct pool_tag>;
using tenant_id = identifier<struct tenant_tag>;
using template_id = identifier<struct template_tag>;
using request_id = identifier<struct request_tag>;
using network_address = identifier<struct address_tag>;

/// Number of one stage call, unique within one node's life.
using call_id = std::uint64_t;
/// Number of one caller connection's request, unique within one node's life.
using caller_id = std::uint64_t;
/// Life of a process: higher is later. Taken from the wall clock at start, raised to refute a
/// rumour.
using incarnation = std::uint64_t;
/// Revision of a published record, counted by the service that published it.
using revision = std::uint64_t;
/// Counts from 1 how often the service that publishes came back from an older copy, after which it
/// gives revisions out again; 0 where nobody tells.
using store_era = std::uint64_t;

} // namespace spurrack::base

template <typename tag>
struct std::hash<spurrack::base::identifier<tag>> {
  std::size_t operator()(const spurrack::base::identifier<tag>& id) const noexcept {
    return std::hash<std::string>{}(id.text());
  }
};
