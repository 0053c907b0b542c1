/// Replicated set of published records. An entry is replaced only by an entry of the same key with
/// a higher (era, revision, value hash); deletions are entries with a revision too. Nodes that
/// merge the same entries in any order converge to the same content.
///
/// A store that is restored from an older copy begins a new era and assigns revisions again that it
/// had assigned before. Its content then replaces the known content, with two exceptions, because
/// callers and replicas have acted on the lost writes: a configuration is replaced only by one with
/// a higher version of its own, or by the same version written later; and a replica that was known
/// to drain or was deleted is not restored to normal by its record in the older copy.
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
  /// The entry is the latest of its key but invalid. The last accepted entry stays in effect,
  /// except for a replica: a record that another writer has overwritten cannot be relied on.
  rejected,
  /// The entry is rejected and has the same value as the rejected entry before it.
  rejected_again,
  duplicate, ///< The entry is already known.
  older,     ///< The entry is older than the known entry of its key; ignored.
};

struct apply_result {
  apply_verdict verdict = apply_verdict::duplicate;
  /// Reason for a rejection, shown to operators.
  std::string reason;
};

/// A rejected entry, shown to operators.
struct rejection {
  std::string key;
  base::revision revision = 0;
  std::string reason;
};

using machine_map = std::map<std::string, std::shared_ptr<const model::machine>>;
using template_map = std::map<base::template_id, std::shared_ptr<const model::pipeline_template>>;
using tenant_map = std::map<base::tenant_id, std::shared_ptr<const model::tenant>>;
using replica_map = std::map<base::replica_id, std::shared_ptr<const model::replica>>;

/// Position in the order of writes to the store.
struct store_position {
  base::store_era era = 0;
  base::revision revision = 0;
  auto operator<=>(const store_position&) const = default;
};

/// Not thread-safe. Records are shared: readers may use a record after it has been replaced.
class catalog {
 public:
  explicit catalog(base::safety_switches switches = {}) : switches_(switches) {}

  /// Number of hash buckets that anti-entropy compares.
  static constexpr std::size_t bucket_count = 256;
  using bucket_set = std::bitset<bucket_count>;

  /// Applies an entry from the store or from a peer, if it is newer than the latest entry of its
  /// key.
  apply_result apply(const wire::catalog_entry& entry);

  /// @return hash of the whole content; equal on nodes with equal content.
  [[nodiscard]] std::uint64_t content_hash() const;
  [[nodiscard]] const std::array<std::uint64_t, bucket_count>& bucket_hashes() const {
    return buckets_;
  }
  /// @return copies of all entries in the buckets: accepted entries, and newer rejected entries.
  [[nodiscard]] std::vector<wire::catalog_entry> entries_in(const bucket_set& buckets) const;

  /// @return number of entries that `entries_in` would copy.
  [[nodiscard]] std::size_t count_in(const bucket_set& buckets) const;

  /// @return null if no such template is published.
  [[nodiscard]] std::shared_ptr<const model::pipeline_template>
  find_template(const base::template_id& name) const;
  /// If several tenants share the token, returns the tenant with the least name, so that all nodes
  /// return the same tenant.
  [[nodiscard]] std::shared_ptr<const model::tenant>
  find_tenant_by_token(const std::string& token_sha256) const;
  [[nodiscard]] std::shared_ptr<const model::tenant> find_tenant(const base::tenant_id& name) const;

  [[nodiscard]] const machine_map& machines() const { return machines_; }
  [[nodiscard]] const template_map& templates() const { return templates_; }
  [[nodiscard]] const tenant_map& tenants() const { return tenants_; }

  /// Configuration of the serving path; null if none is known.
  [[nodiscard]] std::shared_ptr<const model::serving_configuration> serving() const {
    return serving_;
  }
  [[nodiscard]] const replica_map& replicas() const { return replicas_; }
  /// Zones under evacuation: no requests are to be sent to their replicas.
  [[nodiscard]] const std::set<base::zone_id>& evacuated_zones() const { return evacuated_zones_; }
  /// Increases whenever the configuration of the serving path, a replica or an evacuation changes.
  [[nodiscard]] std::uint64_t serving_changes() const { return changes_.count(); }
  /// @param seen value of `serving_changes()` when the caller last checked.
  /// @return the replicas that changed since then; std::nullopt if the caller has to check all
  ///         replicas.
  [[nodiscard]] std::optional<std::vector<base::replica_id>>
  replicas_changed_since(std::uint64_t seen) const {
    return changes_.since(seen);
  }
  /// @param listed keys in a complete listing of the store.
  /// @param at position of the store at the listing.
  /// @return deletions of the known replicas that the listing lacks and that were written before
  ///         it.
  [[nodiscard]] std::vector<wire::catalog_entry>
  deletions_of_unlisted_replicas(const std::set<std::string>& listed, store_position at) const;
  /// Returns deletions of evacuations that have ended, by the rule of
  /// `deletions_of_unlisted_replicas`.
  [[nodiscard]] std::vector<wire::catalog_entry>
  deletions_of_unlisted_evacuations(const std::set<std::string>& listed, store_position at) const;

  /// @return revision of the accepted entry of `key`; 0 if there is none.
  [[nodiscard]] base::revision revision_of(const std::string& key) const;
  /// @return the highest revision seen in the latest era.
  [[nodiscard]] base::revision highest_revision() const { return highest_.revision; }
  /// @return the latest era seen.
  [[nodiscard]] base::store_era era() const { return highest_.era; }
  /// @return position of the latest entry of a replica.
  [[nodiscard]] store_position latest_replica_position() const { return latest_replica_position_; }
  /// @return position of the latest entry of any other kind.
  [[nodiscard]] store_position latest_operator_position() const {
    return latest_operator_position_;
  }
  /// Increases whenever a machine entry changes, so that readers know when to recompute data that
  /// they derive from the machine list.
  [[nodiscard]] std::uint64_t machine_changes() const { return machine_changes_; }
  [[nodiscard]] std::vector<rejection> rejections() const;
  /// @return number of rejected entries of replicas. An invalid entry that is written again
  ///         unchanged counts once.
  [[nodiscard]] std::uint64_t rejected_replica_entries() const { return rejected_replica_entries_; }
  /// @return number of keys ever seen, including deleted keys.
  [[nodiscard]] std::size_t size() const { return slots_.size(); }

 private:
  /// Position of an entry in the order in which entries of a key replace each other.
  struct version {
    base::store_era era = 0;
    base::revision revision = 0;
    std::uint64_t value_hash = 0;
    auto operator<=>(const version&) const = default;
  };
  struct stored_entry {
    version at;
    wire::catalog_entry entry;
  };
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
  /// @return whether a valid configuration is older than the configuration in effect: by its own
  ///         version, or by its position in the store if the versions are equal.
  [[nodiscard]] bool is_older_configuration(const slot& current, const version& offered,
                                            const any_record& value) const;
  /// Merges known state of a replica into its record if the store was restored from an older copy
  /// and may have lost writes. Records of other kinds are returned unchanged.
  /// @return the record: draining if the same incarnation was known to drain, marked as
  ///         `may_be_deleted` if the replica was deleted.
  static any_record merge_known_state(const slot& current, const version& offered,
                                      any_record value);
  void rehash(const std::string& key, slot& current);
  void index(const std::string& key, const any_record& value);
  void index(const std::string& key, const model::record& value);
  void remove_from_index(const std::string& key);
  void remove_tenant(const base::tenant_id& name);
  /// Appends the deletion of `key` if a listing lacks it and all its entries were written before
  /// the listing.
  void add_deletion_if_unlisted(const std::string& key, const std::set<std::string>& listed,
                                store_position at,
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
