#include "idempotency/ticket.h"

#include <charconv>
#include <sstream>

namespace spurrack::idempotency {
namespace {

constexpr char separator = '~';
constexpr int hexadecimal = 16;

std::optional<std::uint64_t> parse_number(const std::string& text) {
  std::uint64_t value = 0;
  const auto* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value, hexadecimal);
  if (text.empty() || result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return value;
}

} // namespace

std::string ticket::text() const {
  std::ostringstream out;
  out << node.text() << separator << std::hex << process_start << separator << nonce;
  return out.str();
}

std::optional<ticket> ticket::parse(const std::string& text) {
  const auto second_separator = text.rfind(separator);
  if (second_separator == std::string::npos || second_separator == 0) {
    return std::nullopt;
  }
  const auto first_separator = text.rfind(separator, second_separator - 1);
  if (first_separator == std::string::npos || first_separator == 0) {
    return std::nullopt;
  }
  const auto process_start =
      parse_number(text.substr(first_separator + 1, second_separator - first_separator - 1));
  const auto nonce = parse_number(text.substr(second_separator + 1));
  if (!process_start || !nonce) {
    return std::nullopt;
  }
  return ticket{base::node_id(text.substr(0, first_separator)), *process_start, *nonce};
}

ticket issue_ticket(const base::node_id& node, base::incarnation process_start,
                    base::random_source& random) {
  return {node, process_start, random.next()};
}

} // namespace spurrack::idempotency
