/// Accessors of the fields that tell the life of a replica: `started_at_milliseconds = 10` of
/// `published_replica` and `life_mark = 6` of `replica_evidence`. They stand here until the
/// generated code holds them; the bytes on the wire are the same then. Regenerating with these
/// fields replaces this file by the generated accessors.
#pragma once

#include "wire/peer.pb.h"
#include "wire/published.pb.h"

#include <google/protobuf/unknown_field_set.h>

#include <cstdint>

namespace spurrack::wire {

namespace life_fields {

inline constexpr int started_at_milliseconds = 10;
inline constexpr int life_mark = 6;

/// @return the field's value; 0 where it is not set.
template <typename message>
std::uint64_t get(const message& from, int field) {
  const auto& unknown = from.GetReflection()->GetUnknownFields(from);
  std::uint64_t value = 0;
  for (int index = 0; index < unknown.field_count(); ++index) {
    const auto& one = unknown.field(index);
    if (one.number() == field && one.type() == google::protobuf::UnknownField::TYPE_VARINT) {
      value = one.varint();
    }
  }
  return value;
}

/// As for any field, 0 is not written.
template <typename message>
void set(message& to, int field, std::uint64_t value) {
  auto& unknown = *to.GetReflection()->MutableUnknownFields(&to);
  unknown.DeleteByNumber(field);
  if (value != 0) {
    unknown.AddVarint(field, value);
  }
}

} // namespace life_fields

/// Start of the replica's process, Unix milliseconds by its clock; 0: not told.
inline std::uint64_t started_at_milliseconds(const published_replica& replica) {
  return life_fields::get(replica, life_fields::started_at_milliseconds);
}

inline void set_started_at_milliseconds(published_replica& replica, std::uint64_t value) {
  life_fields::set(replica, life_fields::started_at_milliseconds, value);
}

/// Which life of the replica the evidence is about: equal for equal lives; 0: not told.
inline std::uint32_t life_mark(const replica_evidence& evidence) {
  return static_cast<std::uint32_t>(life_fields::get(evidence, life_fields::life_mark));
}

inline void set_life_mark(replica_evidence& evidence, std::uint32_t value) {
  life_fields::set(evidence, life_fields::life_mark, value);
}

} // namespace spurrack::wire
