/// A fleet without network: callers with views of their own before engines with a simple memory.
/// Compares ways to choose engines by the tokens that are read again and by how even the work is.
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

/// One kind of prompt: parts that are shared, tokens of its own and of the answer.
struct prompt_kind {
  double per_second = 0;
  /// How many distinct parts there are and how long each is, by level.
  struct level {
    std::uint32_t distinct = 1;
    double tokens = 0;
    double spread = 0;
  };
  std::vector<level> shared;
  double own_tokens = 0;
  double own_spread = 0;
  double output_tokens = 0;
  /// Part of the requests that want one and the same prompt.
  double hot_share = 0;
};

struct fleet_shape {
  std::size_t callers = 71;
  std::size_t engines = 140;
  std::uint64_t memory_tokens = 460'000;
  double tokens_per_second = 48'200;
  double seconds_a_token = 0.0035;
  double seconds = 34;
  std::vector<prompt_kind> kinds;
  /// One zone has so many engines fewer than the others.
  std::size_t missing_in_one_zone = 0;
  /// From then on a third of the engines takes nothing for some seconds, as every caller knows.
  double evacuated_from = -1;
  double evacuated_until = -1;
  /// At this time a part of the engines is replaced by others with an empty memory.
  double replaced_at = -1;
  double replaced_share = 0;
  std::uint64_t seed = 1;
};

/// What a play showed.
struct fleet_figures {
  double read_tokens = 0;
  /// Of shared parts that some engine had read before.
  double again_tokens = 0;
  /// Of those, of parts before the last shared one.
  double again_first_level = 0;
  double busiest_to_mean = 0;
  /// Reading done by an engine of the busiest zone, by the mean of the zones.
  double busiest_zone_to_mean = 0;
  double mean_first_event = 0;
  /// Of prompts of the first kind, 95 in 100.
  double late_first_event = 0;
  /// Most tokens of running requests that an engine held, in parts of its memory.
  double fullest = 0;
  /// Bytes that a node sent in a second of what nodes tell each other: the mean of all, of the
  /// busiest node, and of the worst second of any.
  double bytes_a_second = 0;
  double most_bytes_a_second = 0;
  double most_bytes_in_a_second = 0;
  /// Share of prompts of the first kind that waited for longer than 1.3 s.
  double late_share = 0;
};

/// How a caller chooses, and what it is told of its calls.
class engine_caller {
 public:
  engine_caller() = default;
  engine_caller(const engine_caller&) = delete;
  engine_caller& operator=(const engine_caller&) = delete;
  virtual ~engine_caller() = default;

  virtual replica_chooser& chooser() = 0;
  virtual void sent(const replica_state& /*engine*/, const request_content& /*content*/,
                    base::time_point /*now*/) {}
  virtual void begun(const request_content& /*content*/, base::duration /*took*/) {}
  virtual void set_peers(const std::vector<fleet_peer>& /*peers*/) {}
  virtual void handle(const wire::engine_news& /*news*/, base::time_point /*now*/) {}
  virtual wire::outbox take_messages() { return {}; }
};

using make_caller = std::function<std::unique_ptr<engine_caller>(
    const fleet_peer& self, const replica_table&, base::random_source&)>;

/// Least recently used parts give way to new ones.
class engine_memory {
 public:
  explicit engine_memory(std::uint64_t capacity) : capacity_(capacity) {}

  /// @return whether the part is kept; uses it.
  bool use(const std::string& part) {
    const auto found = kept_.find(part);
    if (found == kept_.end()) {
      return false;
    }
    order_.splice(order_.begin(), order_, found->second);
    return true;
  }
  void keep(const std::string& part, std::uint32_t tokens) {
    if (use(part)) {
      return;
    }
    order_.emplace_front(part, tokens);
    kept_[part] = order_.begin();
    held_ += tokens;
    while (held_ > capacity_ && order_.size() > 1) {
      held_ -= order_.back().second;
      kept_.erase(order_.back().first);
      order_.pop_back();
    }
  }

 private:
  using entry_list = std::list<std::pair<std::string, std::uint32_t>>;
  std::uint64_t capacity_;
  std::uint64_t held_ = 0;
  entry_list order_;
  std::unordered_map<std::string, entry_list::iterator> kept_;
};

class engine_fleet {
 public:
  engine_fleet(const fleet_shape& shape, const make_caller& make)
      : shape_(shape), random_(shape.seed) {
    std::size_t missing = 0;
    for (std::size_t index = 0; index < shape.engines; ++index) {
      if (zone_of(index) == zone_of(0) && missing < shape.missing_in_one_zone) {
        ++missing;
      } else {
        add_engine(index);
      }
    }
    for (std::size_t index = 0; index < shape.callers; ++index) {
      callers_.push_back(std::make_unique<caller>());
      auto& made = *callers_.back();
      made.random = std::make_unique<base::seeded_random>(shape.seed + index + 1);
      made.table = std::make_unique<replica_table>(base::node_id("node-" + std::to_string(index)),
                                                   zone_of(index), settings_, *made.random);
      made.table->update(published_, base::time_point{});
      made.self = {base::node_id("edge-some-zone-" + std::to_string(index)), zone_of(index),
                   base::network_address(std::to_string(index))};
      made.deciding = make(made.self, *made.table, *made.random);
    }
    introduce_callers();
  }

  fleet_figures play() {
    schedule_arrivals();
    if (shape_.evacuated_from >= 0) {
      at(shape_.evacuated_from, [this] { set_evacuated({base::zone_id("z0")}); });
      at(shape_.evacuated_until, [this] { set_evacuated({}); });
    }
    if (shape_.replaced_at >= 0) {
      at(shape_.replaced_at, [this] { replace_engines(); });
    }
    while (!events_.empty()) {
      const auto next = events_.top();
      events_.pop();
      now_ = next.when;
      next.what();
    }
    return figures();
  }

 private:
  struct engine {
    std::string name;
    base::zone_id zone;
    double speed = 1;
    engine_memory memory;
    /// The reading of prompts, one after the other, is done then.
    double free_at = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t running_tokens = 0;
    double busy = 0;
  };
  struct caller {
    fleet_peer self;
    std::size_t bytes_sent = 0;
    /// Bytes of the running second, and the most of any.
    std::size_t bytes_of_second = 0;
    std::size_t most_bytes_a_second = 0;
    long second = 0;
    std::unique_ptr<base::random_source> random;
    std::unique_ptr<replica_table> table;
    std::unique_ptr<engine_caller> deciding;
  };
  struct event {
    double when = 0;
    std::uint64_t order = 0;
    std::function<void()> what;
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

  void at(double when, std::function<void()> what) {
    events_.push({when, next_order_++, std::move(what)});
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
        static_cast<std::size_t>(shape_.replaced_share * static_cast<double>(published_.size()));
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

  double normal() {
    double sum = 0;
    for (int draw = 0; draw < 12; ++draw) {
      sum += random_.unit();
    }
    return sum - 6;
  }
  std::uint32_t tokens_of(double mean, double spread) {
    const double factor = std::exp(spread * normal() - spread * spread / 2);
    return static_cast<std::uint32_t>(std::clamp(mean * factor, 16.0, mean * 6));
  }

  std::uint32_t length_of(const std::string& id, const prompt_kind::level& level) {
    const auto [known, is_new] = lengths_.try_emplace(id, 0);
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
    const bool hot = random_.unit() < kind.hot_share;
    for (const auto& level : kind.shared) {
      path += "/" + std::to_string(hot ? 0 : random_.below(level.distinct));
      // A part of a later level belongs to one of the level before, whoever asks.
      if (level.distinct > 100 && kind.shared.size() > 1) {
        const auto thing = hot ? 0 : random_.below(level.distinct);
        const auto parent =
            std::to_string(kind_index) + "/" + std::to_string(thing % kind.shared.front().distinct);
        content->prompt_parts.front() = {parent, length_of(parent, kind.shared.front())};
        path = parent + "/" + std::to_string(thing);
      }
      content->prompt_parts.push_back({path, length_of(path, level)});
    }
    const auto own = "own-" + std::to_string(next_own_++);
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
        when += -std::log(1 - random_.unit()) / rate;
        if (when > shape_.seconds) {
          break;
        }
        at(when, [this, kind] { arrive(kind); });
      }
    }
  }

  void arrive(std::size_t kind) {
    const auto content = draw_prompt(kind);
    auto& from = *callers_[random_.below(callers_.size())];
    const std::set<base::replica_id> none;
    const auto everywhere = model::residency::everywhere();
    const replica_demand demand{service_, *content, everywhere, none};
    const auto* chosen = from.deciding->chooser().choose(demand, time_now());
    if (chosen == nullptr) {
      return;
    }
    const auto id = chosen->record->id;
    from.table->call_started(id, time_now());
    from.deciding->sent(*chosen, *content, time_now());
    post_messages(from);
    run(kind, from, engines_.at(id.text()), content);
  }

  void introduce_callers() {
    for (auto& each : callers_) {
      std::vector<fleet_peer> others;
      for (const auto& other : callers_) {
        if (other != each) {
          others.push_back(other->self);
        }
      }
      each->deciding->set_peers(others);
    }
  }

  /// Carries what a caller tells the others, two milliseconds later.
  void post_messages(caller& from) {
    for (auto& told : from.deciding->take_messages()) {
      auto& message = told.message;
      message.set_sender(from.self.node.text());
      message.set_sender_incarnation(1'791'999'664'651'219);
      message.set_sender_zone("zone-some-name");
      message.set_sender_address("127.100.100.100:41000");
      message.mutable_sent_at()->set_wall_microseconds(1'791'999'664'651'219);
      message.mutable_sent_at()->set_logical(3);
      message.set_catalog_hash(~0ULL);
      message.set_sender_processor_share(0.12F);
      count_bytes(from, message.ByteSizeLong());
      auto& to = *callers_.at(std::stoul(told.to.text()));
      at(now_ + 0.002, [this, &to, news = message.engine_news()] {
        to.deciding->handle(news, time_now());
        post_messages(to);
      });
    }
  }

  void count_bytes(caller& from, std::size_t bytes) {
    from.bytes_sent += bytes;
    const auto second = static_cast<long>(now_);
    if (second != from.second) {
      from.second = second;
      from.bytes_of_second = 0;
    }
    from.bytes_of_second += bytes;
    from.most_bytes_a_second = std::max(from.most_bytes_a_second, from.bytes_of_second);
  }

  /// @return tokens that the engine reads of the prompt.
  double missing_tokens(engine& where, const request_content& content) {
    double missing = 0;
    bool kept = true;
    for (std::size_t index = 0; index < content.prompt_parts.size(); ++index) {
      const auto& part = content.prompt_parts[index];
      kept = kept && where.memory.use(part.id);
      if (!kept) {
        missing += part.tokens;
        const bool is_shared = index + 1 < content.prompt_parts.size();
        if (is_shared && !ever_read_.insert(part.id).second) {
          again_tokens_ += part.tokens;
          again_first_level_ += index + 2 < content.prompt_parts.size() ? part.tokens : 0;
        }
        where.memory.keep(part.id, part.tokens);
      }
    }
    return missing;
  }

  void run(std::size_t kind, caller& from, engine& where,
           const std::shared_ptr<request_content>& content) {
    const double missing = missing_tokens(where, *content);
    const double reading = missing * where.speed / shape_.tokens_per_second;
    read_tokens_ += missing;
    where.busy += reading;
    const double sent_at = now_;
    where.free_at = std::max(where.free_at, now_) + reading;
    ++where.waiting;
    const auto total = content->prompt_tokens + content->output_tokens;
    at(where.free_at, [this, kind, &from, &where, content, sent_at, total] {
      --where.waiting;
      ++where.running;
      where.running_tokens += total;
      fullest_ = std::max(fullest_, static_cast<double>(where.running_tokens) /
                                        static_cast<double>(shape_.memory_tokens));
      from.table->note_load(base::replica_id(where.name), {where.running, where.waiting, 64},
                            time_now());
      from.deciding->begun(*content, base::from_seconds(now_ - sent_at));
      first_events_.push_back(now_ - sent_at);
      if (kind == 0) {
        first_events_of_first_kind_.push_back(now_ - sent_at);
      }
      const double answering =
          content->output_tokens * shape_.seconds_a_token * (1 + 0.05 * where.running);
      at(now_ + answering, [&from, &where, total] {
        --where.running;
        where.running_tokens -= total;
        from.table->call_ended(base::replica_id(where.name));
      });
    });
  }

  [[nodiscard]] fleet_figures figures() {
    fleet_figures made;
    made.read_tokens = read_tokens_;
    made.again_tokens = again_tokens_;
    made.again_first_level = again_first_level_;
    double sum = 0;
    double most = 0;
    std::map<base::zone_id, double> by_zone;
    std::map<base::zone_id, double> engines_of;
    for (const auto& [name, each] : engines_) {
      sum += each.busy;
      most = std::max(most, each.busy);
      by_zone[each.zone] += each.busy / each.speed;
      ++engines_of[each.zone];
    }
    double most_of_zone = 0;
    double sum_of_zones = 0;
    for (const auto& [zone, busy] : by_zone) {
      const double of_an_engine = busy / engines_of[zone];
      most_of_zone = std::max(most_of_zone, of_an_engine);
      sum_of_zones += of_an_engine;
    }
    made.busiest_zone_to_mean = most_of_zone / (sum_of_zones / static_cast<double>(by_zone.size()));
    made.busiest_to_mean = most / (sum / static_cast<double>(published_.size()));
    for (const auto took : first_events_) {
      made.mean_first_event += took / static_cast<double>(first_events_.size());
    }
    std::sort(first_events_of_first_kind_.begin(), first_events_of_first_kind_.end());
    const auto late =
        std::count_if(first_events_of_first_kind_.begin(), first_events_of_first_kind_.end(),
                      [](double took) { return took > 1.3; });
    made.late_share =
        static_cast<double>(late) / static_cast<double>(first_events_of_first_kind_.size());
    made.late_first_event =
        first_events_of_first_kind_.at(first_events_of_first_kind_.size() * 95 / 100);
    made.fullest = fullest_;
    for (const auto& each : callers_) {
      const double mean = static_cast<double>(each->bytes_sent) / shape_.seconds;
      made.bytes_a_second += mean / static_cast<double>(callers_.size());
      made.most_bytes_a_second = std::max(made.most_bytes_a_second, mean);
      made.most_bytes_in_a_second =
          std::max(made.most_bytes_in_a_second, static_cast<double>(each->most_bytes_a_second));
    }
    return made;
  }

  fleet_shape shape_;
  base::seeded_random random_;
  serving_settings settings_;
  const std::string service_ = "llm";
  std::map<base::replica_id, std::shared_ptr<const model::replica>> published_;
  std::map<std::string, engine> engines_;
  std::vector<std::unique_ptr<caller>> callers_;
  std::priority_queue<event> events_;
  std::unordered_map<std::string, std::uint32_t> lengths_;
  std::unordered_set<std::string> ever_read_;
  std::vector<double> first_events_;
  std::vector<double> first_events_of_first_kind_;
  double now_ = 0;
  std::uint64_t next_order_ = 0;
  std::uint64_t next_own_ = 0;
  std::uint64_t next_engine_ = 0;
  double read_tokens_ = 0;
  double again_tokens_ = 0;
  double again_first_level_ = 0;
  double fullest_ = 0;
};

/// Three kinds as a large customer sends them: long shared beginnings, two levels, short questions.
inline fleet_shape large_prompts(std::uint64_t seed) {
  fleet_shape shape;
  shape.seed = seed;
  shape.kinds.push_back({61.9, {{977, 13'300, 0.7}}, 3'720, 1.0, 120, 0});
  shape.kinds.push_back({77.3, {{4, 2'520, 0.4}, {1'055, 3'780, 0.7}}, 2'890, 1.0, 54, 0});
  shape.kinds.push_back({74.9, {{80, 210, 0.4}, {1'766, 140, 0.7}}, 1'110, 1.0, 171, 0});
  return shape;
}

/// A region in which twice the usual number of callers asks for 1.8 times as much all day: prompts
/// of two shared levels, of which four first parts serve half of the tokens.
inline fleet_shape crowded_all_day(std::uint64_t seed) {
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
