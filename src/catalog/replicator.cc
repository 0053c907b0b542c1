#include "catalog/replicator.h"

#include <utility>

namespace spurrack::catalog {
namespace {

/// A peer's content that was not heard of for this time is forgotten.
constexpr base::duration foreign_hash_lifetime = std::chrono::seconds(3);

} // namespace

replicator::replicator(catalog& content, base::random_source& random, apply_observer observer)
    : content_(&content), random_(&random), observer_(std::move(observer)) {}

bool replicator::take(const wire::catalog_entry& entry) {
  const auto result = content_->apply(entry);
  if (result.verdict == apply_verdict::duplicate) {
    return false;
  }
  observer_(entry, result);
  if (result.verdict == apply_verdict::older) {
    return false;
  }
  return true;
}

void replicator::offer(const std::vector<wire::catalog_entry>& entries,
                       const std::vector<base::network_address>& peers, wire::outbox& out) {
  std::vector<wire::catalog_entry> fresh;
  for (const auto& entry : entries) {
    if (take(entry)) {
      fresh.push_back(entry);
    }
  }
  pass_on(fresh, rumour_hops, first_fanout, peers, out);
}

void replicator::pass_on(const std::vector<wire::catalog_entry>& fresh, std::uint32_t hops,
                         std::size_t fanout, const std::vector<base::network_address>& peers,
                         wire::outbox& out) {
  if (fresh.empty() || hops == 0) {
    return;
  }
  auto candidates = peers;
  for (std::size_t sent = 0; sent < fanout && !candidates.empty(); ++sent) {
    const auto chosen = random_->below(candidates.size());
    wire::outgoing push{candidates[chosen], {}};
    auto& body = *push.message.mutable_catalog_push();
    body.set_hops_left(hops - 1);
    for (const auto& entry : fresh) {
      *body.add_entries() = entry;
    }
    out.push_back(std::move(push));
    candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(chosen));
  }
}

void replicator::compare(const base::network_address& peer, std::uint64_t peer_hash, bool eager,
                         base::time_point now, wire::outbox& out) {
  if (peer_hash == content_->content_hash()) {
    differs_since_.reset();
    return;
  }
  const bool settled = has_settled(peer_hash, now);
  if ((!settled && !eager) || now - last_exchange_ < exchange_period) {
    return;
  }
  last_exchange_ = now;
  wire::outgoing message{peer, {}};
  auto& body = *message.message.mutable_catalog_buckets();
  for (const auto hash : content_->bucket_hashes()) {
    body.add_hashes(hash);
  }
  out.push_back(std::move(message));
}

bool replicator::has_settled(std::uint64_t peer_hash, base::time_point now) {
  std::erase_if(foreign_hashes_, [&](const auto& entry) {
    return now - entry.second.last_seen > foreign_hash_lifetime;
  });
  const auto seen = foreign_hashes_.try_emplace(peer_hash, foreign_hash{now, now}).first;
  seen->second.last_seen = now;
  differs_since_ = differs_since_.value_or(now);
  return now - seen->second.first_seen >= settle_time || now - *differs_since_ >= settle_time;
}

void replicator::handle(const wire::envelope& message,
                        const std::vector<base::network_address>& peers, wire::outbox& out) {
  const base::network_address sender(message.sender_address());
  if (message.has_catalog_push()) {
    std::vector<wire::catalog_entry> fresh;
    for (const auto& entry : message.catalog_push().entries()) {
      if (take(entry)) {
        fresh.push_back(entry);
      }
    }
    pass_on(fresh, message.catalog_push().hops_left(), rumour_fanout, peers, out);
  } else if (message.has_catalog_buckets()) {
    answer_buckets(message, out);
  } else if (message.has_catalog_pull()) {
    bucket_set wanted;
    for (const auto bucket : message.catalog_pull().buckets()) {
      if (bucket < catalog::bucket_count) {
        wanted.set(bucket);
      }
    }
    send_buckets(wanted, sender, out);
  }
}

void replicator::answer_buckets(const wire::envelope& message, wire::outbox& out) {
  const auto& theirs = message.catalog_buckets();
  if (static_cast<std::size_t>(theirs.hashes_size()) != catalog::bucket_count) {
    return;
  }
  const base::network_address sender(message.sender_address());
  wire::outgoing pull{sender, {}};
  auto& body = *pull.message.mutable_catalog_pull();
  bucket_set different;
  for (std::size_t bucket = 0; bucket < catalog::bucket_count; ++bucket) {
    if (theirs.hashes(static_cast<int>(bucket)) != content_->bucket_hashes()[bucket]) {
      body.add_buckets(static_cast<std::uint32_t>(bucket));
      different.set(bucket);
    }
  }
  send_buckets(different, sender, out);
  if (body.buckets_size() > 0) {
    out.push_back(std::move(pull));
  }
}

void replicator::send_buckets(const bucket_set& buckets, const base::network_address& peer,
                              wire::outbox& out) {
  wire::outgoing push{peer, {}};
  for (auto& entry : content_->entries_in(buckets)) {
    *push.message.mutable_catalog_push()->add_entries() = std::move(entry);
  }
  if (push.message.has_catalog_push()) {
    out.push_back(std::move(push));
  }
}

} // namespace spurrack::catalog
