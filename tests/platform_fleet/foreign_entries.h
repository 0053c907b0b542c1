/// Entries of another writer among those of the replicas: fields that are missing or of another
/// type, unknown names, bytes that cannot be read. They name no replica to use.
#pragma once

#include "soak_recorder.h"
#include "soak_replica.h"
#include "soak_store.h"

#include <list>
#include <optional>

namespace spurrack::platform_tests {

/// Each entry that names an address names one of a server of its own: whoever calls it has used the
/// entry.
class foreign_entries {
 public:
  foreign_entries(soak_store& store, soak_recorder& recorder);
  ~foreign_entries();
  foreign_entries(const foreign_entries&) = delete;
  foreign_entries& operator=(const foreign_entries&) = delete;

  /// Writes all of them, under keys of their own.
  void put_all();
  void remove_all();
  /// Writes bytes that cannot be read over the entry of a replica.
  void overwrite(const soak_replica& replica);

 private:
  struct entry {
    std::string key;
    std::string value;
    std::unique_ptr<scripted_server> call_detector;
  };
  /// Adds an entry that would be good but for one field. @param value absent: the field is missing.
  void add_with_field(const std::string& field, const std::optional<boost::json::value>& value);
  void add_raw(const std::string& name, const std::string& value);
  std::unique_ptr<scripted_server> make_call_detector(const std::string& description);

  soak_store* store_;
  soak_recorder* recorder_;
  std::list<entry> entries_;
};

} // namespace spurrack::platform_tests
