/// Restore of the platform's store from an older backup, which begins a new era with lower
/// revisions. Guards against a node that deletes replicas which the restored store lacks only at
/// first, ignores entries for their lower revisions, or applies answers of the earlier era.
#include "node_driver.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace spurrack;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Node that reads the platform services itself and has received a listing of the replicas in
/// era 1.
struct reading_node : node_driver {
  reading_node() { answer(1, 100, true, entries); }

  void answer(std::optional<base::store_era> era, base::revision revision, bool is_listing,
              std::vector<wire::catalog_entry> content,
              node::source_kind source = node::source_kind::machine_list) {
    node::service_answered answered;
    answered.source = source;
    answered.entries = std::move(content);
    answered.service_revision = revision;
    answered.is_listing = is_listing;
    answered.era = era;
    deliver(answered);
  }

  /// @return the revision after which the node last requested the changes of a platform service;
  ///         std::nullopt if the node has not read the service.
  [[nodiscard]] std::optional<base::revision>
  latest_requested_revision(node::source_kind source) const {
    std::optional<base::revision> latest;
    for (const auto& command : commands) {
      const auto* read = std::get_if<node::read_service>(&command);
      if (read != nullptr && read->source == source) {
        latest = read->after;
      }
    }
    return latest;
  }

  /// @return number of events of a kind in the event log.
  [[nodiscard]] std::size_t event_count(base::event_kind kind) const {
    const auto& all = subject.events().entries();
    return static_cast<std::size_t>(std::count_if(
        all.begin(), all.end(), [&](const base::event& entry) { return entry.kind == kind; }));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(node_store_era, reading_node)

BOOST_AUTO_TEST_CASE(replicas_missing_in_a_new_era_are_kept_until_its_second_listing) {
  advance_time(milliseconds(1500));
  answer(2, 90, false, {});
  BOOST_TEST((latest_requested_revision(node::source_kind::machine_list) == 0U));
  BOOST_TEST(event_count(base::event_kind::service_era) == 1U);
  // A listing that lacks the replicas, immediately after the store was restored.
  answer(2, 90, true, {});
  BOOST_TEST(!subject.published_catalog().replicas().empty());
  advance_time(seconds(4));
  answer(2, 95, true, {});
  BOOST_TEST(subject.published_catalog().replicas().empty());
}

BOOST_AUTO_TEST_CASE(entries_of_a_new_era_are_accepted_at_lower_revisions) {
  auto rewritten = entries;
  for (auto& entry : rewritten) {
    entry.set_revision(entry.revision() / 2 + 1);
  }
  answer(2, 60, true, rewritten);
  for (const auto& entry : rewritten) {
    BOOST_TEST(subject.published_catalog().revision_of(entry.key()) == entry.revision());
  }
}

BOOST_AUTO_TEST_CASE(a_late_answer_of_the_earlier_era_changes_nothing) {
  answer(2, 90, true, entries);
  auto late = entries;
  for (auto& entry : late) {
    entry.set_revision(900);
  }
  answer(1, 900, true, late);
  BOOST_TEST(subject.published_catalog().highest_revision() < 900U);
  BOOST_TEST(subject.store_answer_counters().outdated_answers == 1U);
}

BOOST_AUTO_TEST_CASE(a_missing_or_unreadable_era_counts_as_the_latest_era) {
  answer(std::nullopt, 101, false, {});
  node::service_answered unreadable;
  unreadable.source = node::source_kind::machine_list;
  unreadable.service_revision = 102;
  unreadable.is_era_unreadable = true;
  deliver(unreadable);
  BOOST_TEST(subject.store_answer_counters().unreadable_eras == 1U);
  BOOST_TEST(subject.store_answer_counters().era_changes == 0U);
  BOOST_TEST(!subject.published_catalog().replicas().empty());
}

BOOST_AUTO_TEST_SUITE_END()
