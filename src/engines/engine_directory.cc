#include "engines/engine_directory.h"

#include "base/hashing.h"

#include <algorithm>
#include <utility>

namespace spurrack::serving {
namespace {

/// Prompts of fewer tokens are not reported to the accounting node: an engine prefills 50,000
/// tokens per second, so these prompts take at most some 20 ms.
constexpr std::uint32_t min_reported_tokens = 1'000;
/// Bytes of a message with one backlog and its envelope, as counted by placement_test, rounded up.
constexpr double bytes_per_report = 150;
/// Limit on the bytes of backlog reports that a node sends per second, on average. The node also
/// sends reports to accounting nodes: some 500 bytes per second at four prompts per second. With
/// both kinds of reports it stays under 2 kB/s.
constexpr double report_bytes_per_second = 1'000;
/// Maximum allowance for backlog reports that a node accumulates while it sends none, in seconds of
/// `reports_per_second`. It suffices for one report to each of 130 nodes. In a larger region, each
/// backlog is reported to only a part of the nodes, in rotation.
constexpr double max_saved_seconds = 20;
constexpr double reports_per_second = report_bytes_per_second / bytes_per_report;
/// In a large idle fleet, the prompts that begin with the same first part are distributed among
/// only a fraction of the engines: one in this many. All nodes use the same number, so that they
/// choose the same engines for a prompt.
constexpr std::size_t engines_per_prefix_replica = 32;
/// If the prompts with the same first part would be sent to fewer engines than this, they are
/// distributed among all engines instead. So few engines would be overloaded by prompts that happen
/// to arrive at the same time, and in such a small fleet a first part is rarely prefilled again
/// anyway.
constexpr std::size_t min_prefix_replicas = 16;
/// The fleet is idle if the engines that are chosen for one first part would be busy for at most
/// this fraction of their time even if all prompts of the fleet were sent to them.
constexpr double max_idle_utilization = 0.5;
/// Memory, in tokens, of an engine whose service does not publish it.
constexpr std::uint64_t default_memory_tokens = 400'000;

wire::outgoing message_to(const base::network_address& address) {
  return {address, {}};
}

} // namespace

engine_directory::engine_directory(fleet_peer self, model::zone_regions regions,
                                   const replica_table& replicas)
    : self_(std::move(self)), regions_(std::move(regions)), replicas_(&replicas),
      report_allowance_(reports_per_second * max_saved_seconds) {}

void engine_directory::set_peers(std::vector<fleet_peer> alive) {
  peers_ = std::move(alive);
}

void engine_directory::set_configuration(
    std::shared_ptr<const model::serving_configuration> configuration) {
  configuration_ = std::move(configuration);
}

void engine_directory::forget_removed_engines() {
  const auto is_removed = [this](const auto& entry) {
    return replicas_->find(entry.first) == nullptr;
  };
  std::erase_if(estimated_backlogs_, is_removed);
  std::erase_if(accounting_by_engine_, is_removed);
}

void engine_directory::forget(const base::replica_id& engine) {
  estimated_backlogs_.erase(engine);
  accounting_by_engine_.erase(engine);
}

const fleet_peer* engine_directory::accounting_node_of(const model::replica& engine) const {
  const auto seed = base::stable_hash(engine.id.text());
  const fleet_peer* best = nullptr;
  const bool self_is_in_same_region = regions_.are_in_same_region(engine.zone, self_.zone);
  std::uint64_t best_rank = self_is_in_same_region ? base::stable_hash(self_.node.text(), seed) : 0;
  for (const auto& peer : peers_) {
    if (!regions_.are_in_same_region(engine.zone, peer.zone)) {
      continue;
    }
    const auto rank = base::stable_hash(peer.node.text(), seed);
    if (rank > best_rank) {
      best = &peer;
      best_rank = rank;
    }
  }
  return best;
}

void engine_directory::note_sent(const replica_state& engine, const sent_prompt& prompt,
                                 base::time_point now) {
  const auto& record = *engine.record;
  sending_rate_.note(static_cast<double>(prompt.own_tokens) + prompt.shared_tokens, now);
  const double own = prompt.own_tokens;
  estimated_backlogs_[record.id].add(own, prefill_rate_.tokens_per_second(), now);
  if (prompt.own_tokens + prompt.shared_tokens < min_reported_tokens) {
    return;
  }
  const auto* accounting_node = accounting_node_of(record);
  if (accounting_node == nullptr) {
    account_send(record.id, prompt, now);
    return;
  }
  auto message = message_to(accounting_node->address);
  auto& report = *message.message.mutable_engine_news()->add_sends();
  report.set_replica(record.id.text());
  report.set_own_tokens(prompt.own_tokens);
  report.set_shared_part(prompt.shared_prefix);
  report.set_shared_tokens(prompt.shared_tokens);
  messages_.push_back(std::move(message));
  ++counts_.reported_sends;
}

void engine_directory::account_send(const base::replica_id& engine, const sent_prompt& prompt,
                                    base::time_point now) {
  const auto* known = replicas_->find(engine);
  if (known == nullptr) {
    return;
  }
  const auto* service =
      configuration_ ? configuration_->find_service(known->record->service) : nullptr;
  const auto published = service != nullptr && service->engine ? service->engine->memory_tokens : 0;
  const auto memory = published > 0 ? published : default_memory_tokens;
  auto& accounting = accounting_by_engine_.try_emplace(engine, memory).first->second;
  const double rate = prefill_rate_.tokens_per_second();
  const auto uncached = accounting.record_send(prompt, rate, now);
  counts_.tokens_to_prefill += uncached;
  counts_.cached_prompt_tokens +=
      std::uint64_t{prompt.own_tokens} + prompt.shared_tokens - uncached;
  if (const auto report = accounting.backlog_to_report(rate, now)) {
    report_backlog(engine, *report, now);
  }
}

void engine_directory::report_backlog(const base::replica_id& engine, std::uint32_t tokens,
                                      base::time_point now) {
  const double rate = prefill_rate_.tokens_per_second();
  estimated_backlogs_[engine].raise_to(tokens, rate, now);
  std::vector<base::network_address> receivers;
  for (const auto& peer : peers_) {
    if (regions_.are_in_same_region(peer.zone, self_.zone)) {
      receivers.push_back(peer.address);
    }
  }
  const auto granted = consume_allowance(receivers.size(), now);
  counts_.skipped_receivers += receivers.size() - granted;
  accounting_by_engine_.at(engine).note_reported(tokens, rate, now);
  for (std::size_t sent = 0; sent < granted; ++sent) {
    last_receiver_ = (last_receiver_ + 1) % receivers.size();
    auto message = message_to(receivers[last_receiver_]);
    auto& report = *message.message.mutable_engine_news()->add_loads();
    report.set_replica(engine.text());
    report.set_unread_tokens(tokens);
    messages_.push_back(std::move(message));
  }
  ++counts_.reported_backlogs;
}

std::size_t engine_directory::consume_allowance(std::size_t receivers, base::time_point now) {
  const double gained = reports_per_second * base::to_seconds(now - allowance_updated_at_);
  report_allowance_ = std::min(report_allowance_ + gained, reports_per_second * max_saved_seconds);
  allowance_updated_at_ = now;
  const auto taken = std::min(receivers, static_cast<std::size_t>(report_allowance_));
  report_allowance_ -= static_cast<double>(taken);
  return taken;
}

void engine_directory::handle(const wire::engine_news& news, base::time_point now) {
  for (const auto& send : news.sends()) {
    account_send(base::replica_id(send.replica()),
                 {send.own_tokens(), send.shared_part(), send.shared_tokens()}, now);
  }
  for (const auto& load : news.loads()) {
    const base::replica_id engine(load.replica());
    if (replicas_->find(engine) != nullptr) {
      estimated_backlogs_[engine].raise_to(load.unread_tokens(), prefill_rate_.tokens_per_second(),
                                           now);
    }
  }
}

base::duration engine_directory::expected_wait(const replica_state& engine,
                                               base::time_point now) const {
  const auto known = estimated_backlogs_.find(engine.record->id);
  if (known == estimated_backlogs_.end()) {
    return {};
  }
  return prefill_time(known->second.level(prefill_rate_.tokens_per_second(), now));
}

base::duration engine_directory::prefill_time(double tokens) const {
  return base::from_seconds(tokens / prefill_rate_.tokens_per_second());
}

std::size_t engine_directory::prefix_replica_count(std::size_t engines,
                                                   base::time_point now) const {
  const auto replica_count = engines / engines_per_prefix_replica;
  const double nodes = static_cast<double>(peers_.size()) + 1;
  const double busy_engines =
      sending_rate_.tokens_per_second(now) * nodes / prefill_rate_.tokens_per_second();
  const bool is_idle = busy_engines <= max_idle_utilization * static_cast<double>(replica_count);
  return replica_count >= min_prefix_replicas && is_idle ? replica_count : engines;
}

wire::outbox engine_directory::take_messages() {
  return std::exchange(messages_, {});
}

} // namespace spurrack::serving
