/// Foreign entries: invalid store entries that another writer put under the key prefix of the
/// replicas. They have missing fields, fields of another type, unknown names, or bytes that cannot
/// be parsed. Nodes must not send requests to the addresses in foreign entries.
#pragma once

#include "soak_recorder.h"
#include "soak_replica.h"
#include "soak_store.h"

#include <list>
#include <optional>

namespace spurrack::platform_tests {

/// Owns the foreign entries. Each entry with an address has its own server at that address, which
/// records a violation if a node sends it a request.
class foreign_entries {
 public:
  foreign_entries(soak_store& store, soak_recorder& recorder);
  ~foreign_entries();
  foreign_entries(const foreign_entries&) = delete;
  foreign_entries& operator=(const foreign_entries&) = delete;

  /// Writes all entries to the store, each under a separate key.
  void put_all();
  /// Deletes all entries from the store.
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
  /// @param value value of the field; std::nullopt leaves the field out.
  void add_with_field(const std::string& field, const std::optional<boost::json::value>& value);
  /// Adds an entry with the given bytes as its value.
  void add_raw(const std::string& name, const std::string& value);
  /// Returns a server that records a violation when it receives its first request.
  std::unique_ptr<scripted_server> make_call_detector(const std::string& description);

  soak_store* store_;
  soak_recorder* recorder_;
  std::list<entry> entries_;
};

} // namespace spurrack::platform_tests
