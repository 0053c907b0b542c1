/// Replicated set of published records: templates, tenants, machines, replicas, evacuations and the
/// configuration of the serving path. The platform stores each record under a key. An entry
/// describes one write to a key: the new value of the key, or its deletion. A few nodes read the
/// entries from the platform services (node/events.h). All nodes replicate the entries to each
/// other (replicator.h).
///
/// The entries of a key are ordered by (era, revision, value hash), but configurations are ordered
/// first by the version number in their records. An entry is replaced only by a later entry of its
/// key. Nodes that apply the same entries therefore have the same content, in whatever order they
/// apply the entries.
///
/// An entry is accepted if its value is a valid record, or if it is a deletion; otherwise it is
/// rejected (`apply_verdict`). The latest accepted entry of a key is in effect.
///
/// A new era begins when the store is restored from an older backup. The store then assigns
/// revisions again that it had assigned before. The entries of the new era replace the known
/// entries, with exceptions for configurations and for draining or deleted replicas
/// (`is_older_configuration`, `merge_known_state`).
#pragma once

#include "base/safety_switches.h"
#include "catalog/change_log.h"
#include "catalog/source_kind.h"
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

/// Result of applying a new entry.
enum class apply_verdict : std::uint8_t {
  accepted, ///< The new entry is in effect now.
  /// The new entry is the latest entry of its key, but its value is invalid. If the key belongs to
  /// a replica, the accepted entry is dropped: another writer has overwritten the value of this
  /// entry, so the value cannot be relied on. The accepted entry of any other key stays in effect.
  rejected,
  /// Like `rejected`, but the value equals the value of the previous rejected entry of the key.
  rejected_again,
  duplicate, ///< The new entry was already known.
  older,     ///< The new entry was ignored, because a later entry of its key is known.
};

struct apply_result {
  apply_verdict verdict = apply_verdict::duplicate;
  /// Reason for the rejection, shown to operators; empty if the entry was not rejected.
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

/// @return the service that publishes a key.
[[nodiscard]] source_kind source_of(const std::string& key);

/// Entries that one node knows, and the records that are in effect. Not thread-safe. A reader
/// shares the ownership of a record, and may still use the record after the catalog has replaced
/// it.
class catalog {
 public:
  explicit catalog(base::safety_switches switches = {}) : switches_(switches) {}

  /// Number of buckets into which the keys are divided by the hash of the key. Two nodes compare
  /// the hashes of their buckets to find entries that one of them lacks (anti-entropy).
  static constexpr std::size_t bucket_count = 256;
  using bucket_set = std::bitset<bucket_count>;

  /// Applies an entry from the store or from a peer. If the verdict is `duplicate` or `older`, the
  /// entry was not stored.
  apply_result apply(const wire::catalog_entry& entry);

  /// @return hash of all entries; equal on nodes with equal entries.
  [[nodiscard]] std::uint64_t content_hash() const;
  [[nodiscard]] const std::array<std::uint64_t, bucket_count>& bucket_hashes() const {
    return buckets_;
  }
  /// @return copies of the accepted and rejected entries of all keys in the buckets.
  [[nodiscard]] std::vector<wire::catalog_entry> entries_in(const bucket_set& buckets) const;

  /// @return copies of the accepted and rejected entries of a service that were written after
  ///         `position`. Takes time in proportion to the number of all keys.
  [[nodiscard]] std::vector<wire::catalog_entry> entries_after(source_kind source,
                                                               store_position position) const;

  /// @return number of entries that `entries_in` would copy.
  [[nodiscard]] std::size_t count_in(const bucket_set& buckets) const;

  /// @return the published template with the given name; null if there is none.
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

  /// @return the configuration of the serving path that is in effect; null if none is known.
  [[nodiscard]] std::shared_ptr<const model::serving_configuration> serving() const {
    return serving_;
  }
  [[nodiscard]] const replica_map& replicas() const { return replicas_; }
  /// @return the zones under evacuation. No requests are to be sent to the replicas of these zones.
  [[nodiscard]] const std::set<base::zone_id>& evacuated_zones() const { return evacuated_zones_; }
  /// Increases whenever the configuration of the serving path, a replica or an evacuation changes.
  [[nodiscard]] std::uint64_t serving_changes() const { return changes_.count(); }
  /// @param seen value of `serving_changes()` when the caller last checked for changes.
  /// @return the replicas that changed since the last check; std::nullopt if the catalog no longer
  ///         keeps all changes since the last check, so that the caller has to check all replicas.
  [[nodiscard]] std::optional<std::vector<base::replica_id>>
  replicas_changed_since(std::uint64_t seen) const {
    return changes_.changed_since(seen);
  }
  /// Finds the known replicas that were deleted according to a listing, which is a complete read of
  /// a platform service. A replica counts as deleted if the listing lacks the key of the replica,
  /// and the latest known entry of this key was written before the position of the listing.
  /// @param listed keys of all entries of the listing.
  /// @param listing_position position of the last write that the listing reflects.
  /// @return for each of these replicas, its deletion as an entry at `listing_position`.
  [[nodiscard]] std::vector<wire::catalog_entry>
  deletions_of_unlisted_replicas(const std::set<std::string>& listed,
                                 store_position listing_position) const;
  /// Finds the known evacuations that were deleted according to a listing, by the same rule and
  /// with the same parameters as `deletions_of_unlisted_replicas`.
  [[nodiscard]] std::vector<wire::catalog_entry>
  deletions_of_unlisted_evacuations(const std::set<std::string>& listed,
                                    store_position listing_position) const;

  /// @return revision of the accepted entry of `key`; 0 if `key` has no accepted entry.
  [[nodiscard]] base::revision revision_of(const std::string& key) const;
  /// @return the highest revision among the entries of the latest known era.
  [[nodiscard]] base::revision highest_revision() const { return highest_.revision; }
  /// @return the latest known era.
  [[nodiscard]] base::store_era era() const { return highest_.era; }
  /// @return position of the latest entry of any replica.
  [[nodiscard]] store_position latest_replica_position() const { return latest_replica_position_; }
  /// @return position of the latest entry of any key that does not belong to a replica: of the
  ///         configuration, templates, tenants, machines and evacuations.
  [[nodiscard]] store_position latest_operator_position() const {
    return latest_operator_position_;
  }
  /// @return `latest_replica_position` or `latest_operator_position`, by service. The position may
  ///         be later than that of the service's latest entry, but not earlier.
  [[nodiscard]] store_position latest_position(source_kind source) const {
    return source == source_kind::machine_list ? latest_replica_position_
                                               : latest_operator_position_;
  }
  /// Increases whenever an entry of a machine is accepted, so that a reader that derives data from
  /// `machines()` knows when to recompute the data.
  [[nodiscard]] std::uint64_t machine_changes() const { return machine_changes_; }
  /// @return the rejected entries that are the latest entries of their keys, sorted by key.
  [[nodiscard]] std::vector<rejection> rejections() const;
  /// @return number of entries of replicas that were rejected since this object was constructed. An
  ///         invalid value that is written several times in a row counts once.
  [[nodiscard]] std::uint64_t rejected_replica_entries() const { return rejected_replica_entries_; }
  /// @return number of keys of which an entry was ever applied, including deleted keys.
  [[nodiscard]] std::size_t size() const { return key_states_.size(); }

 private:
  /// Version of an entry. Of two entries of the same key, the entry with the lower version is
  /// replaced by the entry with the higher version.
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
  /// Known entries of one key.
  struct key_state {
    std::optional<stored_entry> accepted;
    /// The latest rejected entry of the key; set only while no accepted entry is later. It is kept
    /// so that all nodes have the same content and operators can see the reason for the rejection.
    std::optional<stored_entry> rejected;
    std::string rejection_reason;
    std::uint64_t hash = 0;
  };

  static version version_of(const wire::catalog_entry& entry);
  static std::size_t bucket_of(const std::string& key);
  static bool is_duplicate(const key_state& current, const version& offered);
  [[nodiscard]] bool is_older(const std::string& key, const key_state& current,
                              const version& offered) const;
  /// A valid record of any kind.
  using any_record =
      std::variant<model::record, std::shared_ptr<const model::serving_configuration>,
                   std::shared_ptr<const model::replica>, model::evacuation>;
  /// Result of parsing the value of an entry: a record, or the reason why the value is invalid.
  using parse_result = std::variant<any_record, std::string>;

  static parse_result parse_value(const std::string& key, const std::string& value);
  void accept(key_state& current, stored_entry offered, const std::optional<any_record>& value);
  apply_result reject(key_state& current, stored_entry offered, std::string reason);
  /// @return position of the latest entry of `key`, accepted or rejected; era 0 and revision 0 if
  ///         `key` has no entry.
  [[nodiscard]] store_position latest_position_of(const std::string& key) const;
  /// Compares an offered valid configuration with the configuration in effect. The version number
  /// in the record decides even if the offered entry is of a later era: callers and replicas have
  /// acted on the higher version that the restored store lost.
  /// @return whether the offered configuration is older: the version number in its record is lower,
  ///         or the version numbers are equal and the `version` of its entry is lower.
  [[nodiscard]] bool is_older_configuration(const key_state& current, const version& offered,
                                            const any_record& value) const;
  /// Changes only the record of a replica whose accepted entry is of an earlier era. The restored
  /// store may have lost that the replica drains or was deleted, although callers and replicas have
  /// acted on it. Therefore the record keeps what the accepted entry says about this. Other records
  /// are returned unchanged.
  /// @return the record. Its field `draining` is also set if the accepted entry is of the same
  ///         incarnation and says that it drains. Its field `may_be_deleted` is set if the accepted
  ///         entry is a deletion.
  static any_record merge_known_state(const key_state& current, const version& offered,
                                      any_record value);
  /// Updates the hash of a key and of its bucket, after the entries of the key have changed.
  void rehash(const std::string& key, key_state& current);
  /// Puts a record into effect: stores it in the member for records of its kind, such as
  /// `templates_`.
  void index(const std::string& key, const any_record& value);
  void index(const std::string& key, const model::record& value);
  void remove_from_index(const std::string& key);
  void remove_tenant(const base::tenant_id& name);
  /// Appends a deletion of `key` to `deletions` if the listing lacks `key` and all known entries of
  /// `key` were written before `listing_position`.
  void add_deletion_if_unlisted(const std::string& key, const std::set<std::string>& listed,
                                store_position listing_position,
                                std::vector<wire::catalog_entry>& deletions) const;

  base::safety_switches switches_;
  std::unordered_map<std::string, key_state> key_states_;
  std::array<std::uint64_t, bucket_count> buckets_{};
  template_map templates_;
  tenant_map tenants_;
  std::unordered_map<std::string, std::set<base::tenant_id>> tenants_by_token_;
  machine_map machines_;
  std::uint64_t machine_changes_ = 0;
  std::shared_ptr<const model::serving_configuration> serving_;
  replica_map replicas_;
  /// Keys of the replicas whose latest entry is rejected.
  std::set<std::string> rejected_replica_keys_;
  std::uint64_t rejected_replica_entries_ = 0;
  std::set<base::zone_id> evacuated_zones_;
  change_log changes_;
  version highest_;
  store_position latest_replica_position_;
  store_position latest_operator_position_;
};

} // namespace spurrack::catalog
