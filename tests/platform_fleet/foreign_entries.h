/// Foreign entries: invalid entries that another writer put into the store under the key prefix of
/// the replicas. A foreign entry lacks a field, has a field with a wrong type or an invalid value,
/// names an unknown service or state, or consists of bytes that are no entry at all. Odd entries,
/// which are drawn by seed, are nested very deeply, are larger than the store may hold, have
/// numbers or addresses out of range, or odd keys. Nodes must not send requests to the addresses in
/// foreign entries, and must follow all other entries.
#pragma once

#include "soak_recorder.h"
#include "soak_replica.h"
#include "soak_store.h"

#include "base/random.h"

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace spurrack::platform_tests {

/// Owns the foreign entries. For each entry with an address, a server listens at this address and
/// records a violation if a node sends a request to it.
class foreign_entries {
 public:
  /// @param seed seed of the odd entries; std::nullopt if none are written, because nodes of older
  ///        builds stop following the list of replicas beside them.
  foreign_entries(soak_store& store, soak_recorder& recorder, std::optional<std::uint64_t> seed);
  ~foreign_entries();
  foreign_entries(const foreign_entries&) = delete;
  foreign_entries& operator=(const foreign_entries&) = delete;

  /// Writes all foreign entries to the store, each under a separate key, and draws other odd
  /// entries in place of those that were drawn before.
  void put_all();
  void remove_all();
  /// Replaces the store entry of a replica by bytes that cannot be parsed.
  void overwrite(const soak_replica& replica);

 private:
  struct entry {
    std::string key;
    std::string value;
    /// Server at the address of the entry; nullptr if the entry has no address.
    std::unique_ptr<scripted_server> call_detector;
  };
  /// Adds an entry that is valid except for one field.
  /// @param value value of the field; std::nullopt if the entry lacks the field.
  void add_with_field(const std::string& field, const std::optional<boost::json::value>& value);
  void add_raw(const std::string& name, const std::string& value);
  /// Returns a server that records a violation when it receives its first request.
  /// @param description what is invalid in the entry; part of the text of the violation.
  std::unique_ptr<scripted_server> make_call_detector(const std::string& description);

  /// Writes a number of drawn odd entries to the store.
  void put_odd_entries();
  void remove_odd_entries();
  /// @return the value of an odd entry. If nodes accepted it, they would call `odd_detector_`.
  std::string draw_odd_value();
  std::string draw_large_value();
  std::string draw_value_with_odd_number();
  std::string draw_value_with_odd_address();

  soak_store* store_;
  soak_recorder* recorder_;
  std::list<entry> entries_;
  std::optional<base::seeded_random> random_;
  /// Server at the address of the odd entries.
  std::unique_ptr<scripted_server> odd_detector_;
  /// Keys of the odd entries in the store.
  std::vector<std::string> odd_keys_;
};

} // namespace spurrack::platform_tests
