#include "simulation/emulated_platform.h"

#include "model/record_parser.h"

#include <utility>

namespace spurrack::simulation {

base::revision emulated_platform::publish(const std::string& key,
                                          std::optional<std::string> value) {
  entries_[key] = {++revision_, std::move(value)};
  wake_all();
  return revision_;
}

void emulated_platform::restore(base::revision revision) {
  revision_ = revision;
  std::erase_if(entries_, [&](const auto& entry) { return entry.second.revision > revision; });
  wake_all();
}

void emulated_platform::set_mode(platform_mode mode) {
  mode_ = mode;
  stale_revision_ = revision_;
  wake_all();
}

void emulated_platform::read(const node::read_service& what, answer_handler answer) {
  ++calls_;
  listings_ += what.after == 0 ? 1 : 0;
  const auto newest = mode_ == platform_mode::stale ? stale_revision_ : revision_;
  if (mode_ == platform_mode::down || what.after != newest) {
    answer(mode_ == platform_mode::down ? std::nullopt : std::optional(answer_for(what)));
    return;
  }
  const auto id = next_watch_++;
  watches_.emplace(id, watch{what, std::move(answer)});
  events_->schedule_after(watch_time, [this, id] { finish(id); });
}

void emulated_platform::finish(std::uint64_t watch_id) {
  auto found = watches_.extract(watch_id);
  if (found.empty()) {
    return;
  }
  const auto& held = found.mapped();
  held.answer(mode_ == platform_mode::down ? std::nullopt : std::optional(answer_for(held.what)));
}

void emulated_platform::wake_all() {
  std::vector<std::uint64_t> ids;
  for (const auto& [id, held] : watches_) {
    ids.push_back(id);
  }
  for (const auto id : ids) {
    finish(id);
  }
}

node::service_answered emulated_platform::answer_for(const node::read_service& what) const {
  node::service_answered answer;
  answer.source = what.source;
  answer.service_revision = mode_ == platform_mode::stale ? stale_revision_ : revision_;
  const bool machines = what.source == node::source_kind::machine_list;
  for (const auto& [key, entry] : entries_) {
    const bool wanted = key.starts_with(model::machine_prefix) == machines;
    if (!wanted || entry.revision <= what.after || entry.revision > answer.service_revision) {
      continue;
    }
    wire::catalog_entry item;
    item.set_key(key);
    item.set_revision(entry.revision);
    item.set_deleted(!entry.value);
    item.set_value(entry.value.value_or(""));
    answer.entries.push_back(std::move(item));
  }
  return answer;
}

} // namespace spurrack::simulation
