#include "simulation/emulated_platform.h"

#include "catalog/catalog.h"

#include <algorithm>
#include <utility>

namespace spurrack::simulation {

base::revision emulated_platform::publish(const std::string& key,
                                          std::optional<std::string> value) {
  entries_[key] = {++revision_, std::move(value)};
  finish_all_watches();
  return revision_;
}

void emulated_platform::restore(base::revision revision) {
  revision_ = revision;
  std::erase_if(entries_, [&](const auto& entry) { return entry.second.revision > revision; });
  finish_all_watches();
}

void emulated_platform::set_mode(platform_mode mode) {
  mode_ = mode;
  stale_revision_ = revision_;
  finish_all_watches();
}

void emulated_platform::read(const node::read_service& request, answer_handler answer) {
  ++calls_;
  listings_ += request.after == 0 ? 1 : 0;
  const auto latest_revision = mode_ == platform_mode::stale ? stale_revision_ : revision_;
  if (mode_ == platform_mode::down || request.after != latest_revision) {
    answer(mode_ == platform_mode::down ? std::nullopt : std::optional(answer_for(request)));
    return;
  }
  const auto id = next_watch_++;
  watches_.emplace(id, watch{request, std::move(answer)});
  events_->schedule_after(std::min<base::duration>(request.max_hold_time, watch_timeout),
                          [this, id] { finish_watch(id); });
}

void emulated_platform::finish_watch(std::uint64_t watch_id) {
  auto found = watches_.extract(watch_id);
  if (found.empty()) {
    return;
  }
  const auto& pending = found.mapped();
  pending.answer(mode_ == platform_mode::down ? std::nullopt
                                              : std::optional(answer_for(pending.request)));
}

void emulated_platform::finish_all_watches() {
  std::vector<std::uint64_t> ids;
  for (const auto& [id, pending] : watches_) {
    ids.push_back(id);
  }
  for (const auto id : ids) {
    finish_watch(id);
  }
}

node::service_answered emulated_platform::answer_for(const node::read_service& request) const {
  node::service_answered answer;
  answer.source = request.source;
  answer.read_number = request.number;
  answer.service_revision = mode_ == platform_mode::stale ? stale_revision_ : revision_;
  answer.is_listing = request.after == 0;
  if (request.allow_stale && stale_listing_revision_) {
    answer.service_revision = *stale_listing_revision_;
  }
  for (const auto& [key, entry] : entries_) {
    const bool is_requested = catalog::source_of(key) == request.source;
    if (!is_requested || entry.revision <= request.after ||
        entry.revision > answer.service_revision) {
      continue;
    }
    wire::catalog_entry change;
    change.set_key(key);
    change.set_revision(entry.revision);
    change.set_deleted(!entry.value);
    change.set_value(entry.value.value_or(""));
    answer.entries.push_back(std::move(change));
  }
  return answer;
}

} // namespace spurrack::simulation
