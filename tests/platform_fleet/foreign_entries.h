/// Foreign entries: invalid entries that another writer put into the store under the key prefix of
/// the replicas. A foreign entry lacks a field, has a field with a wrong type or an invalid value,
/// names an unknown service or state, or consists of bytes that are no entry at all. Nodes must not
/// send requests to the addresses in foreign entries.
#pragma once

#include "soak_recorder.h"
#include "soak_replica.h"
#include "soak_store.h"

#include <list>
#include <optional>

namespace spurrack::platform_tests {

/// Owns the foreign entries. For each entry with an address, a server listens at this address and
/// records a violation if a node sends a request to it.
class foreign_entries {
 public:
  foreign_entries(soak_store& store, soak_recorder& recorder);
  ~foreign_entries();
  foreign_entries(const foreign_entries&) = delete;
  foreign_entries& operator=(const foreign_entries&) = delete;

  /// Writes all foreign entries to the store, each under a separate key.
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

  soak_store* store_;
  soak_recorder* recorder_;
  std::list<entry> entries_;
};

} // namespace spurrack::platform_tests
