/// Bounded collection of crash records by suspect. The terms are defined in crash_registry.h. No
/// I/O.
#pragma once

#include "quarantine/crash_record.h"
#include "quarantine/suspect.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace spurrack::quarantine {

/// Crash records by digest of their suspect. A change of the exits in a record is announced by
/// `note_exits_changed`, so that what is derived from all records is computed again. Not
/// thread-safe.
class crash_records {
 public:
  /// Maximum number of records: 500 kB at 250 bytes each. If that many are held, a new record
  /// evicts the record with the fewest exits, and of several such records the least recently
  /// updated one: a flood of suspects with one exit each evicts no record with more exits.
  static constexpr std::size_t max_records = 2048;

  /// @return the record of a suspect, which is created if there is none. Valid until the next
  ///         record is created or removed.
  crash_record& find_or_create(const suspect& subject);
  /// @return the record with this digest; null if there is none.
  [[nodiscard]] crash_record* find(const suspect_digest& digest);
  [[nodiscard]] const crash_record* find(const suspect_digest& digest) const;
  [[nodiscard]] std::map<suspect_digest, crash_record>& all() { return records_; }
  [[nodiscard]] const std::map<suspect_digest, crash_record>& all() const { return records_; }
  [[nodiscard]] bool empty() const { return records_.empty(); }
  /// Removes the records for which `is_removed` returns true.
  void remove_if(const std::function<bool(const crash_record&)>& is_removed);

  /// Announces that exits were added to a record or removed from one.
  void note_exits_changed() { ++revision_; }
  /// @return number that grows if exits may have changed.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }

 private:
  void evict_record_with_fewest_exits();
  void erase(std::map<suspect_digest, crash_record>::iterator record);

  std::map<suspect_digest, crash_record> records_;
  /// Records that are evicted next if they still have at most one exit, the first one at the end.
  std::vector<suspect_digest> next_evicted_;
  std::uint64_t revision_ = 0;
};

} // namespace spurrack::quarantine
