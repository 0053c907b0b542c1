/// Simulated fleet without a network: callers (nodes that send prompts), each with its own view of
/// the fleet, and engines with a simple prefix cache. Compares strategies to choose engines by the
/// number of tokens that are prefilled again and by the balance of the load.
#pragma once

#include "base/random.h"
#include "fleet_view/peer_directory.h"
#include "replicas/replica_chooser.h"
#include "replicas/replica_table.h"
#include "wire/outgoing.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace spurrack::serving {

/// Kind of prompt: its shared parts, its own tokens and the tokens of the answer.
struct prompt_kind {
  double per_second = 0;
  /// Position of a shared part in the prompt. Each request has one of `distinct` different parts
  /// there; their lengths in tokens have the mean `tokens` and the spread `spread`.
  struct level {
    std::uint32_t distinct = 1;
    double tokens = 0;
    double spread = 0;
  };
  std::vector<level> shared;
  double own_tokens = 0;
  double own_spread = 0;
  double output_tokens = 0;
  /// Fraction of the requests of this kind that all have the same shared parts.
  double hot_fraction = 0;
};

/// Size, load and disturbances of a simulated fleet.
struct fleet_shape {
  std::size_t callers = 71;
  std::size_t engines = 140;
  std::uint64_t memory_tokens = 460'000;
  double tokens_per_second = 48'200;
  double seconds_per_output_token = 0.0035;
  double duration_seconds = 34;
  std::vector<prompt_kind> kinds;
  /// Number of engines by which one zone has fewer engines than each of the other zones.
  std::size_t engines_missing_in_one_zone = 0;
  /// Times, in seconds, between which a third of the engines is evacuated, as every caller knows;
  /// -1 for no evacuation.
  double evacuation_begins_at = -1;
  double evacuation_ends_at = -1;
  /// Time, in seconds, at which a fraction of the engines is replaced by new engines with an empty
  /// cache; -1 for no replacement.
  double replaced_at = -1;
  double replaced_fraction = 0;
  std::uint64_t seed = 1;
};

struct simulation_result {
  double prefilled_tokens = 0;
  /// Prefilled tokens of shared parts that some engine had already prefilled before.
  double repeated_tokens = 0;
  /// Part of `repeated_tokens`: the tokens of shared parts other than the last shared part.
  double repeated_first_part_tokens = 0;
  /// Prefill time of the busiest engine, divided by the mean of the engines.
  double max_to_mean_load = 0;
  /// Prefill time per engine of the busiest zone, divided by the mean of the zones.
  double max_zone_to_mean_load = 0;
  double mean_first_event_seconds = 0;
  /// 95th percentile of the time from sending a prompt to its first event, in seconds, over the
  /// prompts of the first kind.
  double p95_first_event_seconds = 0;
  /// Largest number of tokens of running requests at an engine, as a fraction of its memory.
  double max_memory_utilization = 0;
  /// Bytes per second of messages between nodes: mean over all nodes, mean of the busiest node, and
  /// maximum over all nodes and seconds.
  double mean_bytes_per_second = 0;
  double max_bytes_per_second = 0;
  double max_bytes_in_one_second = 0;
  /// Fraction of the prompts of the first kind whose first event came later than 1.3 s after they
  /// were sent.
  double late_fraction = 0;
};

/// Strategy by which one caller chooses engines; is told of the caller's calls and messages.
class caller_strategy {
 public:
  caller_strategy() = default;
  caller_strategy(const caller_strategy&) = delete;
  caller_strategy& operator=(const caller_strategy&) = delete;
  virtual ~caller_strategy() = default;

  virtual replica_chooser& chooser() = 0;
  virtual void note_sent(const replica_state& /*engine*/, const request_content& /*content*/,
                         base::time_point /*now*/) {}
  virtual void note_first_event(const request_content& /*content*/, base::duration /*elapsed*/) {}
  virtual void set_peers(const std::vector<fleet_peer>& /*peers*/) {}
  virtual void handle(const wire::engine_news& /*news*/, base::time_point /*now*/) {}
  virtual wire::outbox take_messages() { return {}; }
};

using strategy_factory = std::function<std::unique_ptr<caller_strategy>(
    const fleet_peer& self, const replica_table&, base::random_source&)>;

/// Prefix cache of an engine; evicts the least recently used parts.
class engine_memory {
 public:
  explicit engine_memory(std::uint64_t capacity) : capacity_(capacity) {}

  /// Marks a part as used if it is cached. @return whether the part is cached.
  bool use(const std::string& part) {
    const auto found = entry_by_part_.find(part);
    if (found == entry_by_part_.end()) {
      return false;
    }
    lru_.splice(lru_.begin(), lru_, found->second);
    return true;
  }
  void add(const std::string& part, std::uint32_t tokens) {
    if (use(part)) {
      return;
    }
    lru_.emplace_front(part, tokens);
    entry_by_part_[part] = lru_.begin();
    used_tokens_ += tokens;
    while (used_tokens_ > capacity_ && lru_.size() > 1) {
      used_tokens_ -= lru_.back().second;
      entry_by_part_.erase(lru_.back().first);
      lru_.pop_back();
    }
  }

 private:
  using entry_list = std::list<std::pair<std::string, std::uint32_t>>;
  std::uint64_t capacity_;
  std::uint64_t used_tokens_ = 0;
  entry_list lru_;
  std::unordered_map<std::string, entry_list::iterator> entry_by_part_;
};

class engine_fleet {
 public:
  engine_fleet(const fleet_shape& shape, const strategy_factory& make_strategy)
      : shape_(shape), random_(shape.seed) {
    std::size_t missing_engines = 0;
    for (std::size_t index = 0; index < shape.engines; ++index) {
      if (zone_of(index) == zone_of(0) && missing_engines < shape.engines_missing_in_one_zone) {
        ++missing_engines;
      } else {
        add_engine(index);
      }
    }
    for (std::size_t index = 0; index < shape.callers; ++index) {
      callers_.push_back(std::make_unique<caller>());
      auto& new_caller = *callers_.back();
      new_caller.random = std::make_unique<base::seeded_random>(shape.seed + index + 1);
      new_caller.table =
          std::make_unique<replica_table>(base::node_id("node-" + std::to_string(index)),
                                          zone_of(index), settings_, *new_caller.random);
      new_caller.table->update(published_, base::time_point{});
      new_caller.self = {base::node_id("edge-some-zone-" + std::to_string(index)), zone_of(index),
                         base::network_address(std::to_string(index))};
      new_caller.strategy = make_strategy(new_caller.self, *new_caller.table, *new_caller.random);
    }
    connect_callers();
  }

  simulation_result simulate() {
    schedule_arrivals();
    if (shape_.evacuation_begins_at >= 0) {
      at(shape_.evacuation_begins_at, [this] { set_evacuated({base::zone_id("z0")}); });
      at(shape_.evacuation_ends_at, [this] { set_evacuated({}); });
    }
    if (shape_.replaced_at >= 0) {
      at(shape_.replaced_at, [this] { replace_engines(); });
    }
    while (!events_.empty()) {
      const auto next = events_.top();
      events_.pop();
      now_ = next.when;
      next.action();
    }
    return collect_result();
  }

 private:
  struct engine {
    std::string name;
    base::zone_id zone;
    double speed = 1;
    engine_memory memory;
    /// Time, in seconds, at which the engine has prefilled all its prompts, one after the other.
    double free_at = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t running_tokens = 0;
    double busy_seconds = 0;
  };
  struct caller {
    fleet_peer self;
    std::size_t bytes_sent = 0;
    /// Bytes sent in the current second, and the maximum over all seconds.
    std::size_t bytes_in_current_second = 0;
    std::size_t max_bytes_in_one_second = 0;
    long second = 0;
    std::unique_ptr<base::random_source> random;
    std::unique_ptr<replica_table> table;
    std::unique_ptr<caller_strategy> strategy;
  };
  struct event {
    double when = 0;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const event& other) const {
      return std::pair(other.when, other.order) < std::pair(when, order);
    }
  };

  static base::zone_id zone_of(std::size_t index) {
    return base::zone_id("z" + std::to_string(index % 3));
  }
  [[nodiscard]] base::time_point time_now() const {
    return base::time_point{} + std::chrono::hours(1) + base::from_seconds(now_);
  }

  void at(double when, std::function<void()> action) {
    events_.push({when, next_event_number_++, std::move(action)});
  }

  void add_engine(std::size_t index) {
    const auto name = "engine-" + std::to_string(next_engine_++);
    auto record = std::make_shared<model::replica>();
    record->id = base::replica_id(name);
    record->service = service_;
    record->zone = zone_of(index);
    record->slots = 64;
    record->address = base::network_address(name);
    published_[record->id] = record;
    const double speed = index % 3 == 2 ? 1.3 : 1.0;
    engines_.emplace(name, engine{name, record->zone, speed, engine_memory(shape_.memory_tokens)});
  }

  void set_evacuated(const std::set<base::zone_id>& zones) {
    for (auto& each : callers_) {
      each->table->set_evacuated(zones, time_now());
    }
  }

  void replace_engines() {
    const auto count =
        static_cast<std::size_t>(shape_.replaced_fraction * static_cast<double>(published_.size()));
    for (std::size_t index = 0; index < count; ++index) {
      auto gone = published_.begin();
      std::advance(gone, random_.below(published_.size()));
      const auto zone = gone->second->zone;
      published_.erase(gone);
      add_engine(static_cast<std::size_t>(zone.text().back() - '0'));
    }
    for (auto& each : callers_) {
      each->table->update(published_, time_now());
    }
  }

  double standard_normal() {
    double sum = 0;
    for (int sample = 0; sample < 12; ++sample) {
      sum += random_.next_fraction();
    }
    return sum - 6;
  }
  std::uint32_t tokens_of(double mean, double spread) {
    const double factor = std::exp(spread * standard_normal() - spread * spread / 2);
    return static_cast<std::uint32_t>(std::clamp(mean * factor, 16.0, mean * 6));
  }

  std::uint32_t part_length(const std::string& id, const prompt_kind::level& level) {
    const auto [known, is_new] = part_lengths_.try_emplace(id, 0);
    if (is_new) {
      known->second = tokens_of(level.tokens, level.spread);
    }
    return known->second;
  }

  std::shared_ptr<request_content> draw_prompt(std::size_t kind_index) {
    const auto& kind = shape_.kinds[kind_index];
    auto content = std::make_shared<request_content>();
    content->model = "m";
    std::string path = std::to_string(kind_index);
    const bool is_hot = random_.next_fraction() < kind.hot_fraction;
    for (const auto& level : kind.shared) {
      path += "/" + std::to_string(is_hot ? 0 : random_.below(level.distinct));
      // The shared parts of a prompt are drawn one per level (position in the prompt). A part of a
      // level with more than 100 different parts always follows the same part of the first level.
      if (level.distinct > 100 && kind.shared.size() > 1) {
        const auto part_number = is_hot ? 0 : random_.below(level.distinct);
        const auto parent = std::to_string(kind_index) + "/" +
                            std::to_string(part_number % kind.shared.front().distinct);
        content->prompt_parts.front() = {parent, part_length(parent, kind.shared.front())};
        path = parent + "/" + std::to_string(part_number);
      }
      content->prompt_parts.push_back({path, part_length(path, level)});
    }
    const auto own = "own-" + std::to_string(next_own_part_++);
    content->prompt_parts.push_back({own, tokens_of(kind.own_tokens, kind.own_spread)});
    for (const auto& part : content->prompt_parts) {
      content->prompt_tokens += part.tokens;
    }
    content->output_tokens = tokens_of(kind.output_tokens, 0.5);
    return content;
  }

  void schedule_arrivals() {
    for (std::size_t kind = 0; kind < shape_.kinds.size(); ++kind) {
      double when = 0;
      const double rate = shape_.kinds[kind].per_second;
      for (;;) {
        when += -std::log(1 - random_.next_fraction()) / rate;
        if (when > shape_.duration_seconds) {
          break;
        }
        at(when, [this, kind] { send_prompt(kind); });
      }
    }
  }

  void send_prompt(std::size_t kind) {
    const auto content = draw_prompt(kind);
    auto& sender = *callers_[random_.below(callers_.size())];
    const std::set<base::replica_id> none;
    const auto everywhere = model::residency::everywhere();
    const replica_requirements demand{service_, *content, everywhere, none};
    const auto* chosen = sender.strategy->chooser().choose(demand, time_now());
    if (chosen == nullptr) {
      return;
    }
    const auto id = chosen->record->id;
    sender.table->call_started(id, time_now());
    sender.strategy->note_sent(*chosen, *content, time_now());
    deliver_messages(sender);
    run(kind, sender, engines_.at(id.text()), content);
  }

  void connect_callers() {
    for (auto& each : callers_) {
      std::vector<fleet_peer> others;
      for (const auto& other : callers_) {
        if (other != each) {
          others.push_back(other->self);
        }
      }
      each->strategy->set_peers(others);
    }
  }

  /// Delivers the messages of a caller after a delay of 2 ms.
  void deliver_messages(caller& sender) {
    for (auto& outgoing : sender.strategy->take_messages()) {
      auto& message = outgoing.message;
      message.set_sender(sender.self.node.text());
      message.set_sender_incarnation(1'791'999'664'651'219);
      message.set_sender_zone("zone-some-name");
      message.set_sender_address("127.100.100.100:41000");
      message.mutable_sent_at()->set_wall_microseconds(1'791'999'664'651'219);
      message.mutable_sent_at()->set_logical(3);
      message.set_catalog_hash(~0ULL);
      message.set_sender_processor_share(0.12F);
      count_bytes(sender, message.ByteSizeLong());
      auto& receiver = *callers_.at(std::stoul(outgoing.to.text()));
      at(now_ + 0.002, [this, &receiver, news = message.engine_news()] {
        receiver.strategy->handle(news, time_now());
        deliver_messages(receiver);
      });
    }
  }

  void count_bytes(caller& sender, std::size_t bytes) {
    sender.bytes_sent += bytes;
    const auto second = static_cast<long>(now_);
    if (second != sender.second) {
      sender.second = second;
      sender.bytes_in_current_second = 0;
    }
    sender.bytes_in_current_second += bytes;
    sender.max_bytes_in_one_second =
        std::max(sender.max_bytes_in_one_second, sender.bytes_in_current_second);
  }

  /// Returns the number of tokens of a prompt that the engine has to prefill, and caches the parts.
  double tokens_to_prefill(engine& target, const request_content& content) {
    double uncached_tokens = 0;
    bool is_cached = true;
    for (std::size_t index = 0; index < content.prompt_parts.size(); ++index) {
      const auto& part = content.prompt_parts[index];
      is_cached = is_cached && target.memory.use(part.id);
      if (!is_cached) {
        uncached_tokens += part.tokens;
        const bool is_shared_part = index + 1 < content.prompt_parts.size();
        if (is_shared_part && !ever_prefilled_.insert(part.id).second) {
          repeated_tokens_ += part.tokens;
          repeated_first_part_tokens_ += index + 2 < content.prompt_parts.size() ? part.tokens : 0;
        }
        target.memory.add(part.id, part.tokens);
      }
    }
    return uncached_tokens;
  }

  void run(std::size_t kind, caller& sender, engine& target,
           const std::shared_ptr<request_content>& content) {
    const double uncached_tokens = tokens_to_prefill(target, *content);
    const double prefill_seconds = uncached_tokens * target.speed / shape_.tokens_per_second;
    prefilled_tokens_ += uncached_tokens;
    target.busy_seconds += prefill_seconds;
    const double sent_at = now_;
    target.free_at = std::max(target.free_at, now_) + prefill_seconds;
    ++target.waiting;
    const auto total = content->prompt_tokens + content->output_tokens;
    at(target.free_at, [this, kind, &sender, &target, content, sent_at, total] {
      --target.waiting;
      ++target.running;
      target.running_tokens += total;
      max_memory_utilization_ =
          std::max(max_memory_utilization_, static_cast<double>(target.running_tokens) /
                                                static_cast<double>(shape_.memory_tokens));
      sender.table->note_load(base::replica_id(target.name), {target.running, target.waiting, 64},
                              time_now());
      sender.strategy->note_first_event(*content, base::from_seconds(now_ - sent_at));
      first_event_seconds_.push_back(now_ - sent_at);
      if (kind == 0) {
        first_event_seconds_of_first_kind_.push_back(now_ - sent_at);
      }
      const double decode_seconds =
          content->output_tokens * shape_.seconds_per_output_token * (1 + 0.05 * target.running);
      at(now_ + decode_seconds, [&sender, &target, total] {
        --target.running;
        target.running_tokens -= total;
        sender.table->call_ended(base::replica_id(target.name));
      });
    });
  }

  [[nodiscard]] simulation_result collect_result() {
    simulation_result result;
    result.prefilled_tokens = prefilled_tokens_;
    result.repeated_tokens = repeated_tokens_;
    result.repeated_first_part_tokens = repeated_first_part_tokens_;
    double total_busy = 0;
    double max_busy = 0;
    std::map<base::zone_id, double> busy_by_zone;
    std::map<base::zone_id, double> engines_by_zone;
    for (const auto& [name, each] : engines_) {
      total_busy += each.busy_seconds;
      max_busy = std::max(max_busy, each.busy_seconds);
      busy_by_zone[each.zone] += each.busy_seconds / each.speed;
      ++engines_by_zone[each.zone];
    }
    double max_zone_busy = 0;
    double total_zone_busy = 0;
    for (const auto& [zone, busy] : busy_by_zone) {
      const double busy_per_engine = busy / engines_by_zone[zone];
      max_zone_busy = std::max(max_zone_busy, busy_per_engine);
      total_zone_busy += busy_per_engine;
    }
    result.max_zone_to_mean_load =
        max_zone_busy / (total_zone_busy / static_cast<double>(busy_by_zone.size()));
    result.max_to_mean_load = max_busy / (total_busy / static_cast<double>(published_.size()));
    for (const auto elapsed : first_event_seconds_) {
      result.mean_first_event_seconds += elapsed / static_cast<double>(first_event_seconds_.size());
    }
    std::sort(first_event_seconds_of_first_kind_.begin(), first_event_seconds_of_first_kind_.end());
    const auto late = std::count_if(first_event_seconds_of_first_kind_.begin(),
                                    first_event_seconds_of_first_kind_.end(),
                                    [](double elapsed) { return elapsed > 1.3; });
    result.late_fraction =
        static_cast<double>(late) / static_cast<double>(first_event_seconds_of_first_kind_.size());
    result.p95_first_event_seconds =
        first_event_seconds_of_first_kind_.at(first_event_seconds_of_first_kind_.size() * 95 / 100);
    result.max_memory_utilization = max_memory_utilization_;
    for (const auto& each : callers_) {
      const double mean = static_cast<double>(each->bytes_sent) / shape_.duration_seconds;
      result.mean_bytes_per_second += mean / static_cast<double>(callers_.size());
      result.max_bytes_per_second = std::max(result.max_bytes_per_second, mean);
      result.max_bytes_in_one_second = std::max(result.max_bytes_in_one_second,
                                                static_cast<double>(each->max_bytes_in_one_second));
    }
    return result;
  }

  fleet_shape shape_;
  base::seeded_random random_;
  serving_settings settings_;
  const std::string service_ = "llm";
  std::map<base::replica_id, std::shared_ptr<const model::replica>> published_;
  std::map<std::string, engine> engines_;
  std::vector<std::unique_ptr<caller>> callers_;
  std::priority_queue<event> events_;
  std::unordered_map<std::string, std::uint32_t> part_lengths_;
  std::unordered_set<std::string> ever_prefilled_;
  std::vector<double> first_event_seconds_;
  std::vector<double> first_event_seconds_of_first_kind_;
  double now_ = 0;
  std::uint64_t next_event_number_ = 0;
  std::uint64_t next_own_part_ = 0;
  std::uint64_t next_engine_ = 0;
  double prefilled_tokens_ = 0;
  double repeated_tokens_ = 0;
  double repeated_first_part_tokens_ = 0;
  double max_memory_utilization_ = 0;
};

/// Three kinds of prompts of a large customer: long shared prefixes, shared prefixes of two levels,
/// and short prompts.
inline fleet_shape large_prompts(std::uint64_t seed) {
  fleet_shape shape;
  shape.seed = seed;
  shape.kinds.push_back({61.9, {{977, 13'300, 0.7}}, 3'720, 1.0, 120, 0});
  shape.kinds.push_back({77.3, {{4, 2'520, 0.4}, {1'055, 3'780, 0.7}}, 2'890, 1.0, 54, 0});
  shape.kinds.push_back({74.9, {{80, 210, 0.4}, {1'766, 140, 0.7}}, 1'110, 1.0, 171, 0});
  return shape;
}

/// Region in which twice the usual number of callers sends 1.8 times the usual load all day. All
/// prompts have two shared levels. The prompts that begin with one of four first parts make up more
/// than half of the tokens.
inline fleet_shape busy_region(std::uint64_t seed) {
  fleet_shape shape;
  shape.seed = seed;
  shape.callers = 59;
  shape.engines = 60;
  shape.memory_tokens = 244'508;
  shape.tokens_per_second = 32'400;
  shape.kinds.push_back({65, {{4, 2'520, 0.4}, {468, 3'780, 0.7}}, 2'890, 1.0, 52, 0});
  shape.kinds.push_back({85, {{40, 341, 0.4}, {412, 227, 0.7}}, 1'800, 1.0, 23, 0});
  shape.kinds.push_back({92, {{80, 103, 0.4}, {463, 69, 0.7}}, 543, 0.9, 266, 0});
  return shape;
}

} // namespace spurrack::serving
