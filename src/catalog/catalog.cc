#include "catalog/catalog.h"

#include "base/hashing.h"
#include "model/serving_record_parser.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace spurrack::catalog {
namespace {

std::string describe_faults(const std::vector<model::document_fault>& faults) {
  std::string text;
  for (const auto& fault : faults) {
    text += text.empty() ? "" : "; ";
    text += model::describe(fault);
  }
  return text;
}

bool is_replica_key(const std::string& key) {
  return key.starts_with(model::replica_prefix);
}

std::string name_in_key(const std::string& key) {
  return key.substr(key.find('/') + 1);
}

/// Fields of an entry's version that the content hash covers.
struct hashed_version {
  base::revision revision = 0;
  std::uint64_t value_hash = 0;
};

/// Returns the bytes of a trivially copyable object. Hashes of the bytes are equal on all nodes,
/// because all nodes have the same byte order.
template <typename object>
std::string_view raw_bytes(const object& value) {
  return {reinterpret_cast<const char*>(&value), sizeof(value)};
}

} // namespace

source_kind source_of(const std::string& key) {
  const bool is_in_machine_list = is_replica_key(key) || key.starts_with(model::machine_prefix);
  return is_in_machine_list ? source_kind::machine_list : source_kind::configuration;
}

catalog::version catalog::version_of(const wire::catalog_entry& entry) {
  return {entry.era(), entry.revision(), base::stable_hash(entry.value(), entry.deleted() ? 1 : 0)};
}

std::size_t catalog::bucket_of(const std::string& key) {
  return base::stable_hash(key) % bucket_count;
}

bool catalog::is_duplicate(const key_state& current, const version& offered) {
  return (current.accepted && current.accepted->entry_version == offered) ||
         (current.rejected && current.rejected->entry_version == offered);
}

bool catalog::is_older(const std::string& key, const key_state& current,
                       const version& offered) const {
  if (!switches_.revision_order) {
    return false;
  }
  // A rejected entry of a replica replaces the accepted entry. Therefore a new entry of a replica
  // also counts as older if it precedes the rejected entry.
  const bool is_before_rejected =
      is_replica_key(key) && current.rejected && offered < current.rejected->entry_version;
  return is_before_rejected || (current.accepted && offered < current.accepted->entry_version);
}

apply_result catalog::apply(const wire::catalog_entry& entry) {
  auto& current = key_states_[entry.key()];
  stored_entry offered{version_of(entry), entry};
  if (offered.entry_version.era == 0) {
    // The entry has no era, because it comes from a node of an older build. Nodes of an older build
    // may be the only nodes of this zone that read the store. Therefore the entry is not ignored,
    // but counts as an entry of the latest known era.
    offered.entry_version.era = highest_.era;
    offered.entry.set_era(highest_.era);
  }
  if (is_duplicate(current, offered.entry_version)) {
    return {apply_verdict::duplicate, {}};
  }
  // A configuration is compared with the accepted configuration only after its value has been
  // parsed, because the comparison begins with the version numbers in the two values.
  const bool is_configuration = entry.key() == model::configuration_key && !entry.deleted();
  if (!is_configuration && is_older(entry.key(), current, offered.entry_version)) {
    return {apply_verdict::older, {}};
  }
  highest_ = std::max(highest_, offered.entry_version);
  auto& latest = is_replica_key(entry.key()) ? latest_replica_position_ : latest_operator_position_;
  latest =
      std::max(latest, store_position{offered.entry_version.era, offered.entry_version.revision});
  if (entry.deleted()) {
    accept(current, std::move(offered), std::nullopt);
    return {apply_verdict::accepted, {}};
  }
  auto parsed = parse_value(entry.key(), entry.value());
  if (auto* value = std::get_if<any_record>(&parsed)) {
    if (is_configuration && is_older_configuration(current, offered.entry_version, *value)) {
      return {apply_verdict::older, {}};
    }
    auto merged = merge_known_state(current, offered.entry_version, std::move(*value));
    accept(current, std::move(offered), std::move(merged));
    return {apply_verdict::accepted, {}};
  }
  if (is_older(entry.key(), current, offered.entry_version)) {
    return {apply_verdict::older, {}};
  }
  if (current.rejected && offered.entry_version < current.rejected->entry_version) {
    return {apply_verdict::older, {}};
  }
  return reject(current, std::move(offered), std::get<std::string>(std::move(parsed)));
}

bool catalog::is_older_configuration(const key_state& current, const version& offered,
                                     const any_record& value) const {
  if (!switches_.revision_order || !serving_ || !current.accepted) {
    return false;
  }
  const auto& configuration = std::get<std::shared_ptr<const model::serving_configuration>>(value);
  if (configuration->version != serving_->version) {
    return configuration->version < serving_->version;
  }
  return offered < current.accepted->entry_version;
}

catalog::any_record catalog::merge_known_state(const key_state& current, const version& offered,
                                               any_record value) {
  auto* replica = std::get_if<std::shared_ptr<const model::replica>>(&value);
  const bool is_rolled_back = current.accepted && current.accepted->entry_version.era > 0 &&
                              offered.era > current.accepted->entry_version.era;
  if (replica == nullptr || !is_rolled_back) {
    return value;
  }
  const auto& known = current.accepted->entry;
  auto merged = std::make_shared<model::replica>(**replica);
  if (known.deleted()) {
    merged->may_be_deleted = true;
  } else {
    const auto parsed = model::parse_replica(known.value());
    const auto* record = std::get_if<std::shared_ptr<const model::replica>>(&parsed);
    const bool is_same_incarnation =
        record != nullptr && (*record)->incarnation == merged->incarnation;
    merged->draining = merged->draining || (is_same_incarnation && (*record)->draining);
  }
  return std::shared_ptr<const model::replica>(std::move(merged));
}

catalog::parse_result catalog::parse_value(const std::string& key, const std::string& value) {
  if (key == model::configuration_key) {
    auto parsed = model::parse_configuration(value);
    if (auto* reason = std::get_if<model::refusal_reason>(&parsed)) {
      return std::move(reason->text);
    }
    return any_record(std::get<0>(std::move(parsed)));
  }
  if (key.starts_with(model::replica_prefix)) {
    auto parsed = model::parse_replica(value);
    if (auto* reason = std::get_if<model::refusal_reason>(&parsed)) {
      return std::move(reason->text);
    }
    auto& replica = std::get<std::shared_ptr<const model::replica>>(parsed);
    if (replica->id.text() != name_in_key(key)) {
      return "its id differs from the id in its key";
    }
    return any_record(std::move(replica));
  }
  if (key.starts_with(model::evacuation_prefix)) {
    auto parsed = model::parse_evacuation(value);
    if (auto* reason = std::get_if<model::refusal_reason>(&parsed)) {
      return std::move(reason->text);
    }
    return any_record(std::get<model::evacuation>(std::move(parsed)));
  }
  auto parsed = model::parse_record(key, value);
  if (!parsed.value) {
    return describe_faults(parsed.faults);
  }
  return any_record(std::move(*parsed.value));
}

void catalog::accept(key_state& current, stored_entry offered,
                     const std::optional<any_record>& value) {
  const auto key = offered.entry.key();
  remove_from_index(key);
  if (value) {
    index(key, *value);
  }
  current.accepted = std::move(offered);
  if (current.rejected && current.rejected->entry_version < current.accepted->entry_version) {
    current.rejected.reset();
    current.rejection_reason.clear();
    rejected_replica_keys_.erase(key);
  }
  rehash(key, current);
}

apply_result catalog::reject(key_state& current, stored_entry offered, std::string reason) {
  const auto key = offered.entry.key();
  const bool is_repeated =
      current.rejected && current.rejected->entry.value() == offered.entry.value();
  if (is_replica_key(key)) {
    remove_from_index(key);
    current.accepted.reset();
    rejected_replica_keys_.insert(key);
    rejected_replica_entries_ += is_repeated ? 0 : 1;
  }
  current.rejected = std::move(offered);
  current.rejection_reason = std::move(reason);
  rehash(key, current);
  return {is_repeated ? apply_verdict::rejected_again : apply_verdict::rejected,
          current.rejection_reason};
}

void catalog::rehash(const std::string& key, key_state& current) {
  auto& bucket = buckets_[bucket_of(key)];
  bucket ^= current.hash;
  std::uint64_t hash = base::stable_hash(key);
  for (const auto* stored : {&current.accepted, &current.rejected}) {
    const auto stored_version = *stored ? (*stored)->entry_version : version{};
    // The hash does not cover the era. Nodes of an older build do not know the era, but must get
    // the same hash as other nodes with the same content.
    const hashed_version hashed{stored_version.revision, stored_version.value_hash};
    hash = base::stable_hash(raw_bytes(hashed), hash);
  }
  current.hash = hash;
  bucket ^= hash;
}

void catalog::index(const std::string& key, const any_record& value) {
  if (const auto* record = std::get_if<model::record>(&value)) {
    index(key, *record);
  } else if (const auto* configuration =
                 std::get_if<std::shared_ptr<const model::serving_configuration>>(&value)) {
    serving_ = *configuration;
    changes_.add({});
  } else if (const auto* evacuation = std::get_if<model::evacuation>(&value)) {
    evacuated_zones_.insert(evacuation->zone);
    changes_.add({});
  } else {
    const auto& replica = std::get<std::shared_ptr<const model::replica>>(value);
    replicas_[replica->id] = replica;
    changes_.add(replica->id);
  }
}

void catalog::index(const std::string& key, const model::record& value) {
  if (const auto* pipeline = std::get_if<std::shared_ptr<const model::pipeline_template>>(&value)) {
    templates_[(*pipeline)->name] = *pipeline;
  } else if (const auto* tenant = std::get_if<std::shared_ptr<const model::tenant>>(&value)) {
    tenants_[(*tenant)->name] = *tenant;
    tenants_by_token_[(*tenant)->token_sha256].insert((*tenant)->name);
  } else {
    machines_[name_in_key(key)] = std::get<std::shared_ptr<const model::machine>>(value);
  }
}

void catalog::remove_from_index(const std::string& key) {
  const auto name = name_in_key(key);
  if (key.starts_with(model::template_prefix)) {
    templates_.erase(base::template_id(name));
  } else if (key.starts_with(model::tenant_prefix)) {
    remove_tenant(base::tenant_id(name));
  } else if (key.starts_with(model::machine_prefix)) {
    machines_.erase(name);
    ++machine_changes_;
  } else if (key.starts_with(model::replica_prefix)) {
    if (replicas_.erase(base::replica_id(name)) > 0) {
      changes_.add(base::replica_id(name));
    }
  } else if (key.starts_with(model::evacuation_prefix)) {
    if (evacuated_zones_.erase(base::zone_id(name)) > 0) {
      changes_.add({});
    }
  }
}

std::vector<wire::catalog_entry>
catalog::deletions_of_unlisted_replicas(const std::set<std::string>& listed,
                                        store_position listing_position) const {
  std::vector<wire::catalog_entry> deletions;
  for (const auto& [id, known] : replicas_) {
    add_deletion_if_unlisted(std::string(model::replica_prefix) + id.text(), listed,
                             listing_position, deletions);
  }
  for (const auto& key : rejected_replica_keys_) {
    add_deletion_if_unlisted(key, listed, listing_position, deletions);
  }
  return deletions;
}

std::vector<wire::catalog_entry>
catalog::deletions_of_unlisted_evacuations(const std::set<std::string>& listed,
                                           store_position listing_position) const {
  std::vector<wire::catalog_entry> deletions;
  for (const auto& zone : evacuated_zones_) {
    add_deletion_if_unlisted(std::string(model::evacuation_prefix) + zone.text(), listed,
                             listing_position, deletions);
  }
  return deletions;
}

void catalog::add_deletion_if_unlisted(const std::string& key, const std::set<std::string>& listed,
                                       store_position listing_position,
                                       std::vector<wire::catalog_entry>& deletions) const {
  if (listed.contains(key) || latest_position_of(key) >= listing_position) {
    return;
  }
  wire::catalog_entry deletion;
  deletion.set_key(key);
  deletion.set_era(listing_position.era);
  deletion.set_revision(listing_position.revision);
  deletion.set_deleted(true);
  deletions.push_back(std::move(deletion));
}

void catalog::remove_tenant(const base::tenant_id& name) {
  const auto found = tenants_.find(name);
  if (found == tenants_.end()) {
    return;
  }
  const auto token = tenants_by_token_.find(found->second->token_sha256);
  if (token != tenants_by_token_.end()) {
    token->second.erase(name);
    if (token->second.empty()) {
      tenants_by_token_.erase(token);
    }
  }
  tenants_.erase(found);
}

std::uint64_t catalog::content_hash() const {
  return base::stable_hash(raw_bytes(buckets_));
}

std::vector<wire::catalog_entry> catalog::entries_in(const bucket_set& buckets) const {
  std::vector<wire::catalog_entry> entries;
  if (buckets.none()) {
    return entries;
  }
  for (const auto& [key, current] : key_states_) {
    if (!buckets.test(bucket_of(key))) {
      continue;
    }
    if (current.accepted) {
      entries.push_back(current.accepted->entry);
    }
    if (current.rejected) {
      entries.push_back(current.rejected->entry);
    }
  }
  return entries;
}

std::vector<wire::catalog_entry> catalog::entries_after(source_kind source,
                                                        store_position position) const {
  std::vector<wire::catalog_entry> entries;
  for (const auto& [key, state] : key_states_) {
    if (source_of(key) != source) {
      continue;
    }
    for (const auto* stored : {&state.accepted, &state.rejected}) {
      const bool is_later = *stored && store_position{(*stored)->entry_version.era,
                                                      (*stored)->entry_version.revision} > position;
      if (is_later) {
        entries.push_back((*stored)->entry);
      }
    }
  }
  return entries;
}

std::size_t catalog::count_in(const bucket_set& buckets) const {
  std::size_t count = 0;
  for (const auto& [key, current] : key_states_) {
    if (buckets.test(bucket_of(key))) {
      count += (current.accepted ? 1U : 0U) + (current.rejected ? 1U : 0U);
    }
  }
  return count;
}

std::shared_ptr<const model::pipeline_template>
catalog::find_template(const base::template_id& name) const {
  const auto found = templates_.find(name);
  return found == templates_.end() ? nullptr : found->second;
}

std::shared_ptr<const model::tenant>
catalog::find_tenant_by_token(const std::string& token_sha256) const {
  const auto found = tenants_by_token_.find(token_sha256);
  return found == tenants_by_token_.end() ? nullptr : find_tenant(*found->second.begin());
}

std::shared_ptr<const model::tenant> catalog::find_tenant(const base::tenant_id& name) const {
  const auto found = tenants_.find(name);
  return found == tenants_.end() ? nullptr : found->second;
}

base::revision catalog::revision_of(const std::string& key) const {
  const auto found = key_states_.find(key);
  if (found == key_states_.end() || !found->second.accepted) {
    return 0;
  }
  return found->second.accepted->entry_version.revision;
}

store_position catalog::latest_position_of(const std::string& key) const {
  const auto found = key_states_.find(key);
  store_position latest;
  if (found == key_states_.end()) {
    return latest;
  }
  for (const auto* stored : {&found->second.accepted, &found->second.rejected}) {
    if (*stored) {
      latest = std::max(latest, {(*stored)->entry_version.era, (*stored)->entry_version.revision});
    }
  }
  return latest;
}

std::vector<rejection> catalog::rejections() const {
  std::vector<rejection> found;
  for (const auto& [key, current] : key_states_) {
    if (current.rejected) {
      found.push_back({key, current.rejected->entry_version.revision, current.rejection_reason});
    }
  }
  std::sort(found.begin(), found.end(),
            [](const auto& left, const auto& right) { return left.key < right.key; });
  return found;
}

} // namespace spurrack::catalog
