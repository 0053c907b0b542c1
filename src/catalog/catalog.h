/// Replicated set of published records. Entries only ever move forward in (era, revision, value
/// hash); deletes are revisions too. Replicas merge in any order and converge to the same content.
///
/// A store that comes back from an older copy begins a new era and gives revisions out again. What
/// it holds then replaces what was known, with two exceptions, since callers and replicas have
/// acted on what was lost: the configuration moves forward by its own version alone, and a replica
/// that was known to drain or to be gone is not taken back on the word of the copy.
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

/// What became of an entry that was offered.
enum class apply_verdict : std::uint8_t {
  accepted, ///< It is in force now.
  /// Newest for its key but invalid. The last accepted one stays in force, except that of a
  /// replica: what another writer has written over cannot be relied on.
  rejected,
  /// The same, and it says what the rejected one before it said.
  rejected_again,
  duplicate, ///< Already known.
  older,     ///< Not newer than what is known; ignored.
};

struct apply_result {
  apply_verdict verdict = apply_verdict::duplicate;
  /// Why it was rejected, for operators.
  std::string reason;
};

/// A rejected entry, as operators see it.
struct rejection {
  std::string key;
  base::revision revision = 0;
  std::string reason;
};

using machine_map = std::map<std::string, std::shared_ptr<const model::machine>>;
using template_map = std::map<base::template_id, std::shared_ptr<const model::pipeline_template>>;
using tenant_map = std::map<base::tenant_id, std::shared_ptr<const model::tenant>>;
using replica_map = std::map<base::replica_id, std::shared_ptr<const model::replica>>;

/// A moment of the store.
struct store_position {
  base::store_era era = 0;
  base::revision revision = 0;
  auto operator<=>(const store_position&) const = default;
};

/// Not thread-safe. Shared records live on after they are replaced.
class catalog {
 public:
  explicit catalog(base::safety_switches switches = {}) : switches_(switches) {}

  /// Number of hash buckets compared by anti-entropy.
  static constexpr std::size_t bucket_count = 256;
  using bucket_set = std::bitset<bucket_count>;

  /// Offers an entry from any source. It is taken in where it is newer than the newest of its key.
  apply_result apply(const wire::catalog_entry& entry);

  /// @return hash of the whole content; equal on replicas with equal content.
  [[nodiscard]] std::uint64_t content_hash() const;
  [[nodiscard]] const std::array<std::uint64_t, bucket_count>& bucket_hashes() const {
    return buckets_;
  }
  /// @return copies of all entries of some buckets: the accepted ones, and newer rejected ones.
  [[nodiscard]] std::vector<wire::catalog_entry> entries_in(const bucket_set& buckets) const;

  /// @return how many entries `entries_in` would copy.
  [[nodiscard]] std::size_t count_in(const bucket_set& buckets) const;

  /// Null where there is none.
  [[nodiscard]] std::shared_ptr<const model::pipeline_template>
  find_template(const base::template_id& name) const;
  /// Where tenants share a token, the one with the least name is found, on every node alike.
  [[nodiscard]] std::shared_ptr<const model::tenant>
  find_tenant_by_token(const std::string& token_sha256) const;
  [[nodiscard]] std::shared_ptr<const model::tenant> find_tenant(const base::tenant_id& name) const;

  [[nodiscard]] const machine_map& machines() const { return machines_; }
  [[nodiscard]] const template_map& templates() const { return templates_; }
  [[nodiscard]] const tenant_map& tenants() const { return tenants_; }

  /// Configuration of the serving path; null where none is known.
  [[nodiscard]] std::shared_ptr<const model::serving_configuration> serving() const {
    return serving_;
  }
  [[nodiscard]] const replica_map& replicas() const { return replicas_; }
  /// Zones whose replicas are to be sent nothing.
  [[nodiscard]] const std::set<base::zone_id>& evacuated_zones() const { return evacuated_zones_; }
  /// Raised whenever the configuration of the serving path, a replica or an evacuation changes.
  [[nodiscard]] std::uint64_t serving_changes() const { return changes_.count(); }
  /// @return the replicas that changed since a reader saw `serving_changes()`; nothing where it has
  ///         to look at all of them.
  [[nodiscard]] std::optional<std::vector<base::replica_id>>
  replicas_changed_since(std::uint64_t seen) const {
    return changes_.since(seen);
  }
  /// @param listed keys that a complete listing holds.
  /// @return deletions of the known replicas that the listing shows to be gone.
  [[nodiscard]] std::vector<wire::catalog_entry>
  deletions_of_unlisted_replicas(const std::set<std::string>& listed, store_position at) const;
  /// The same for evacuations that have ended.
  [[nodiscard]] std::vector<wire::catalog_entry>
  deletions_of_unlisted_evacuations(const std::set<std::string>& listed, store_position at) const;

  /// @return revision at which the accepted value of `key` was published; 0 where there is none.
  [[nodiscard]] base::revision revision_of(const std::string& key) const;
  /// @return the highest revision seen of the newest era, and that era.
  [[nodiscard]] base::revision highest_revision() const { return highest_.revision; }
  [[nodiscard]] base::store_era era() const { return highest_.era; }
  /// @return where the newest entry of a replica was written, and the newest of any other kind.
  [[nodiscard]] store_position latest_replica_position() const { return latest_replica_position_; }
  [[nodiscard]] store_position latest_operator_position() const {
    return latest_operator_position_;
  }
  /// Raised whenever a machine entry changes; lets readers rebuild what they derive from the list.
  [[nodiscard]] std::uint64_t machine_changes() const { return machine_changes_; }
  [[nodiscard]] std::vector<rejection> rejections() const;
  /// @return how often an entry of a replica was refused; one that is written again unchanged
  ///         counts once.
  [[nodiscard]] std::uint64_t rejected_replica_entries() const { return rejected_replica_entries_; }
  /// @return number of keys ever seen, deleted ones included.
  [[nodiscard]] std::size_t size() const { return slots_.size(); }

 private:
  /// Position in the order in which entries replace one another.
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
    /// Set while the newest entry of the key is invalid.
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
  /// What came of reading a value: a record, or why it is refused.
  using parse_result = std::variant<any_record, std::string>;

  static parse_result parse_value(const std::string& key, const std::string& value);
  void accept(slot& current, stored_entry offered, const std::optional<any_record>& value);
  apply_result reject(slot& current, stored_entry offered, std::string reason);
  /// @return where the newest entry of `key` was written, accepted or not; zeros where there is
  /// none.
  [[nodiscard]] store_position latest_position_of(const std::string& key) const;
  /// @return whether a valid configuration is older than the one in force: by its own version, and
  ///         of the same one by where it was written.
  [[nodiscard]] bool is_older_configuration(const slot& current, const version& offered,
                                            const any_record& value) const;
  /// @return the record as it is taken after a lost write: what was known to drain drains on, what
  ///         was gone may be gone still.
  static any_record merge_known_state(const slot& current, const version& offered,
                                      any_record value);
  void rehash(const std::string& key, slot& current);
  void index(const std::string& key, const any_record& value);
  void index(const std::string& key, const model::record& value);
  void remove_from_index(const std::string& key);
  void remove_tenant(const base::tenant_id& name);
  /// Appends the deletion of `key` where a listing shows it to be gone.
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
  /// Keys of replicas whose newest entry is invalid.
  std::set<std::string> rejected_replica_keys_;
  std::uint64_t rejected_replica_entries_ = 0;
  std::set<base::zone_id> evacuated_zones_;
  change_log changes_;
  version highest_;
  store_position latest_replica_position_;
  store_position latest_operator_position_;
};

} // namespace spurrack::catalog
