/// Replicated set of published records. The platform keeps each record in its store under a key; an
/// entry is the value of a key, or its deletion, at one revision of the store. A few nodes read the
/// entries from the platform services (node/events.h); all nodes replicate them to each other.
///
/// An entry is replaced only by an entry of the same key with a higher (era, revision, value hash).
/// Nodes that apply the same entries in any order converge to the same content.
///
/// An era of the store ends when the store is restored from an older backup. The restored store
/// begins a new era and assigns revisions again that it had assigned before. The entries of the new
/// era replace the known entries, with two exceptions, because callers and replicas have acted on
/// the writes that the restored store lost:
/// - A configuration is replaced only by a configuration with a higher version number in its
///   record, or with the same version number and a later entry.
/// - A replica that was known to drain, or to be deleted, still counts as draining, or as possibly
///   deleted, although its record in the backup says otherwise.
#pragma once

#include "base/safety_switches.h"
#include "catalog/change_log.h"
#include "model/record_parser.h"
#include "model/serving_records.h"
#include "wire/peer.pb.h"

#include <array>
#include <bitset>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace spurrack::catalog {

/// Result of applying an entry.
enum class apply_verdict : std::uint8_t {
  accepted, ///< The entry is in effect now.
  /// The new entry is the latest entry of its key, but its value is invalid. The accepted entry of
  /// the key stays in effect, unless the key belongs to a replica: then the accepted entry is
  /// dropped, because a value that another writer has overwritten cannot be relied on.
  rejected,
  /// The new entry is rejected, and its value equals that of the previous rejected entry of its
  /// key.
  rejected_again,
  duplicate, ///< The new entry was already known.
  older,     ///< The new entry was ignored, because a later entry of its key is known.
};

struct apply_result {
  apply_verdict verdict = apply_verdict::duplicate;
  /// Reason for a rejection, shown to operators.
  std::string reason;
};

/// Rejected entry, as shown to operators.
struct rejection {
  std::string key;
  base::revision revision = 0;
  std::string reason;
};

using machine_map = std::map<std::string, std::shared_ptr<const model::machine>>;
using template_map = std::map<base::template_id, std::shared_ptr<const model::pipeline_template>>;
using tenant_map = std::map<base::tenant_id, std::shared_ptr<const model::tenant>>;
using replica_map = std::map<base::replica_id, std::shared_ptr<const model::replica>>;

/// Position of a write in the order of all writes to the store.
struct store_position {
  base::store_era era = 0;
  base::revision revision = 0;
  auto operator<=>(const store_position&) const = default;
};

/// Entries that one node knows, and the records in effect. Not thread-safe. Records are shared: a
/// reader may still use a record after it has been replaced.
class catalog {
 public:
  explicit catalog(base::safety_switches switches = {}) : switches_(switches) {}

  /// Number of buckets into which keys are divided by their hash. Anti-entropy compares the hashes
  /// of the buckets.
  static constexpr std::size_t bucket_count = 256;
  using bucket_set = std::bitset<bucket_count>;

  /// Applies an entry from the store or from a peer, if it is newer than the latest entry of its
  /// key.
  apply_result apply(const wire::catalog_entry& entry);

  /// @return hash of all entries; equal on nodes with equal entries.
  [[nodiscard]] std::uint64_t content_hash() const;
  [[nodiscard]] const std::array<std::uint64_t, bucket_count>& bucket_hashes() const {
    return buckets_;
  }
  /// @return copies of all entries in the buckets: the accepted entry of each key, and the rejected
  ///         entry of the key if the rejected entry is later.
  [[nodiscard]] std::vector<wire::catalog_entry> entries_in(const bucket_set& buckets) const;

  /// @return number of entries that `entries_in` would copy.
  [[nodiscard]] std::size_t count_in(const bucket_set& buckets) const;

  /// @return the published template; null if there is none with this name.
  [[nodiscard]] std::shared_ptr<const model::pipeline_template>
  find_template(const base::template_id& name) const;
  /// @param token_sha256 lower-case hexadecimal SHA-256 of the token.
  /// @return the tenant with this token; null if there is none. If several tenants share the token,
  ///         the tenant whose name sorts first, so that all nodes return the same tenant.
  [[nodiscard]] std::shared_ptr<const model::tenant>
  find_tenant_by_token(const std::string& token_sha256) const;
  [[nodiscard]] std::shared_ptr<const model::tenant> find_tenant(const base::tenant_id& name) const;

  [[nodiscard]] const machine_map& machines() const { return machines_; }
  [[nodiscard]] const template_map& templates() const { return templates_; }
  [[nodiscard]] const tenant_map& tenants() const { return tenants_; }

  /// @return the configuration in effect for the serving path; null if none is known.
  [[nodiscard]] std::shared_ptr<const model::serving_configuration> serving() const {
    return serving_;
  }
  [[nodiscard]] const replica_map& replicas() const { return replicas_; }
  /// @return the zones under evacuation: no requests are to be sent to their replicas.
  [[nodiscard]] const std::set<base::zone_id>& evacuated_zones() const { return evacuated_zones_; }
  /// Increases whenever the configuration of the serving path, a replica or an evacuation changes.
  [[nodiscard]] std::uint64_t serving_changes() const { return changes_.count(); }
  /// @param seen value of `serving_changes()` at the caller's last check.
  /// @return the replicas that changed since that check; std::nullopt if the caller has to check
  ///         all replicas.
  [[nodiscard]] std::optional<std::vector<base::replica_id>>
  replicas_changed_since(std::uint64_t seen) const {
    return changes_.changed_since(seen);
  }
  /// @param listed keys of all entries of a listing, which is a complete read of a platform
  ///        service.
  /// @param listing_position position of the store that the listing reflects.
  /// @return deletions of the known replicas that were written before the position and whose keys
  ///         are not listed.
  [[nodiscard]] std::vector<wire::catalog_entry>
  deletions_of_unlisted_replicas(const std::set<std::string>& listed,
                                 store_position listing_position) const;
  /// @return deletions of the known evacuations that were written before the position and whose
  ///         keys are not listed. The parameters are those of `deletions_of_unlisted_replicas`.
  [[nodiscard]] std::vector<wire::catalog_entry>
  deletions_of_unlisted_evacuations(const std::set<std::string>& listed,
                                    store_position listing_position) const;

  /// @return revision of the accepted entry of `key`; 0 if there is none.
  [[nodiscard]] base::revision revision_of(const std::string& key) const;
  /// @return the highest revision of an entry of the latest known era.
  [[nodiscard]] base::revision highest_revision() const { return highest_.revision; }
  /// @return the latest known era.
  [[nodiscard]] base::store_era era() const { return highest_.era; }
  /// @return position of the latest entry of a replica.
  [[nodiscard]] store_position latest_replica_position() const { return latest_replica_position_; }
  /// @return position of the latest entry that is not the entry of a replica, such as the entry of
  ///         the configuration, a template, a machine or an evacuation.
  [[nodiscard]] store_position latest_operator_position() const {
    return latest_operator_position_;
  }
  /// Increases whenever an entry of a machine changes, so that readers know when to recompute data
  /// that they derive from `machines()`.
  [[nodiscard]] std::uint64_t machine_changes() const { return machine_changes_; }
  [[nodiscard]] std::vector<rejection> rejections() const;
  /// @return number of rejected entries of replicas. An invalid value that is written several times
  ///         in a row counts once.
  [[nodiscard]] std::uint64_t rejected_replica_entries() const { return rejected_replica_entries_; }
  /// @return number of keys ever seen, including deleted keys.
  [[nodiscard]] std::size_t size() const { return slots_.size(); }

 private:
  /// Position of an entry in the order in which the entries of one key replace each other.
  struct version {
    base::store_era era = 0;
    base::revision revision = 0;
    std::uint64_t value_hash = 0;
    auto operator<=>(const version&) const = default;
  };
  struct stored_entry {
    version entry_version;
    wire::catalog_entry entry;
  };
  /// State of one key.
  struct slot {
    std::optional<stored_entry> accepted;
    /// Set while the latest entry of the key is invalid.
    std::optional<stored_entry> rejected;
    std::string rejection_reason;
    std::uint64_t hash = 0;
  };

  static version version_of(const wire::catalog_entry& entry);
  static std::size_t bucket_of(const std::string& key);
  static bool is_duplicate(const slot& current, const version& offered);
  [[nodiscard]] bool is_older(const std::string& key, const slot& current,
                              const version& offered) const;
  /// A valid record of any kind.
  using any_record =
      std::variant<model::record, std::shared_ptr<const model::serving_configuration>,
                   std::shared_ptr<const model::replica>, model::evacuation>;
  /// Result of parsing a value: a record, or the reason why the value is invalid.
  using parse_result = std::variant<any_record, std::string>;

  static parse_result parse_value(const std::string& key, const std::string& value);
  void accept(slot& current, stored_entry offered, const std::optional<any_record>& value);
  apply_result reject(slot& current, stored_entry offered, std::string reason);
  /// @return position of the latest entry of `key`, accepted or rejected; zeros if there is none.
  [[nodiscard]] store_position latest_position_of(const std::string& key) const;
  /// @return whether a valid configuration is older than the configuration in effect: by the
  ///         version number in its record, or by the position of its entry if the version numbers
  ///         are equal.
  [[nodiscard]] bool is_older_configuration(const slot& current, const version& offered,
                                            const any_record& value) const;
  /// Merges the known state of a replica into its record if the record is of a later era than the
  /// known state, because the restored store may have lost writes. Records of other kinds are
  /// returned unchanged.
  /// @return the record: draining if the same incarnation of the replica was known to drain, marked
  ///         as `may_be_deleted` if the replica was deleted.
  static any_record merge_known_state(const slot& current, const version& offered,
                                      any_record value);
  /// Updates the hash of a key and of its bucket after the entries of the key changed.
  void rehash(const std::string& key, slot& current);
  /// Puts a record into effect: adds the record to the members that hold records of its kind.
  void index(const std::string& key, const any_record& value);
  void index(const std::string& key, const model::record& value);
  void remove_from_index(const std::string& key);
  void remove_tenant(const base::tenant_id& name);
  /// Appends the deletion of `key` if the key is not listed and all its entries were written before
  /// the position of the listing.
  void add_deletion_if_unlisted(const std::string& key, const std::set<std::string>& listed,
                                store_position listing_position,
                                std::vector<wire::catalog_entry>& deletions) const;

  base::safety_switches switches_;
  std::unordered_map<std::string, slot> slots_;
  std::array<std::uint64_t, bucket_count> buckets_{};
  template_map templates_;
  tenant_map tenants_;
  std::unordered_map<std::string, std::set<base::tenant_id>> tenants_by_token_;
  machine_map machines_;
  std::uint64_t machine_changes_ = 0;
  std::shared_ptr<const model::serving_configuration> serving_;
  replica_map replicas_;
  /// Keys of replicas whose latest entry is invalid.
  std::set<std::string> rejected_replica_keys_;
  std::uint64_t rejected_replica_entries_ = 0;
  std::set<base::zone_id> evacuated_zones_;
  change_log changes_;
  version highest_;
  store_position latest_replica_position_;
  store_position latest_operator_position_;
};

} // namespace spurrack::catalog
