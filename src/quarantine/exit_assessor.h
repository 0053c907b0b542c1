/// Counts the exits that speak against a suspect, and how many of them quarantine requires. The
/// terms are defined in crash_registry.h. No I/O.
#pragma once

#include "quarantine/crash_record.h"
#include "quarantine/crash_records.h"
#include "quarantine/exit_index.h"
#include "serving/settings.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace spurrack::quarantine {

/// How the exits under one request are judged now, for logs.
struct exit_assessment {
  /// Number of exits in the record.
  std::size_t recorded = 0;
  /// Number of recorded exits that another request probably caused.
  std::size_t explained = 0;
  /// Number of exits that count against the request.
  std::size_t counted = 0;
  /// Number of suspected exits.
  std::size_t suspected = 0;
  /// Number of counted exits at which the request is quarantined.
  std::size_t required = 0;

  [[nodiscard]] std::string text() const;
};

/// Compares the exits in a record with those of other suspects and with exits under none. Not
/// thread-safe.
class exit_assessor {
 public:
  /// @param records all records of this node.
  /// @param exits all exits that this node knows. Both must outlive the object.
  exit_assessor(serving::quarantine_limits limits, const crash_records& records,
                const exit_index& exits)
      : limits_(limits), records_(&records), exits_(&exits) {}

  /// @return how the exits in `record` are judged, for logs.
  [[nodiscard]] exit_assessment assess(const crash_record& record) const;
  /// @return number of exits in `record`, without those that another request probably caused.
  [[nodiscard]] std::size_t counted_exits(const crash_record& record) const;
  /// @return number of exits at which a suspect of the kind of `record` is quarantined if few
  ///         unrelated replicas exited.
  [[nodiscard]] std::size_t base_requirement(const crash_record& record) const;
  /// @return minimum number of exits at which the suspect is quarantined. It is higher if, in the
  ///         30 s before the latest exit under the suspect, many replicas exited that did not run
  ///         it, and no quarantined suspect explains their exits.
  /// @param record must hold an exit.
  [[nodiscard]] std::size_t exits_required(const crash_record& record) const;
  /// @return whether another request has exactly the exits of `record`, so that either request may
  ///         have caused them.
  [[nodiscard]] bool has_indistinguishable_record(const crash_record& record) const;

 private:
  /// @return whether another suspect is the more likely cause of `exit` than one with this exit and
  ///         `own_exits` distinct exits: the other one has this exit as well, has more distinct
  ///         exits, and has enough of them for quarantine.
  [[nodiscard]] bool is_explained(const exit_key& exit, std::size_t own_exits) const;
  /// Recomputes `explaining_exit_counts_`.
  void update_explanations() const;

  serving::quarantine_limits limits_;
  const crash_records* records_;
  const exit_index* exits_;
  /// For each exit under a request with enough exits for quarantine: the number of exits under that
  /// request; the largest such number if several such requests have this exit. Recomputed on the
  /// first use after a change. Without this map, the record of each arriving request would be
  /// compared with all other records.
  mutable std::map<exit_key, std::size_t> explaining_exit_counts_;
  /// Revision of the records that `explaining_exit_counts_` was computed from.
  mutable std::uint64_t explained_revision_ = 0;
};

} // namespace spurrack::quarantine
