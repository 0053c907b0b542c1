#include "soak_store.h"

#include "http_text.h"

#include <openssl/evp.h>

namespace spurrack::platform_tests {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds max_watch_time{2'000};
constexpr milliseconds unresponsive_time{1'500};

std::string base64(const std::string& text) {
  std::string encoded((text.size() + 2) / 3 * 4 + 1, '\0');
  const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(encoded.data()),
                                     reinterpret_cast<const unsigned char*>(text.data()),
                                     static_cast<int>(text.size()));
  encoded.resize(static_cast<std::size_t>(length));
  return encoded;
}

std::string query_value(const std::string& target, const std::string& name) {
  const auto start = target.find(name + "=");
  if (start == std::string::npos) {
    return {};
  }
  const auto from = start + name.size() + 1;
  return target.substr(from, target.find('&', from) - from);
}

} // namespace

soak_store::soak_store()
    : server_(std::make_unique<scripted_server>(
          [this](const http_request& request) { return answer(request); })) {}

void soak_store::put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  items_[key] = {value, ++revision_, false};
  changed_.notify_all();
}

void soak_store::remove(const std::string& key) {
  const std::lock_guard lock(mutex_);
  items_[key] = {"", ++revision_, true};
  changed_.notify_all();
}

void soak_store::take_snapshot() {
  const std::lock_guard lock(mutex_);
  snapshot_items_ = items_;
  snapshot_revision_ = revision_;
}

void soak_store::restore_snapshot() {
  const std::lock_guard lock(mutex_);
  items_ = snapshot_items_;
  revision_ = snapshot_revision_;
  ++era_;
  changed_.notify_all();
}

boost::json::array soak_store::list_items(const std::string& prefix, std::uint64_t after,
                                          bool include_deleted) const {
  boost::json::array listed;
  for (const auto& [key, entry] : items_) {
    if (!key.starts_with(prefix) || entry.revision <= after ||
        (entry.is_deleted && !include_deleted)) {
      continue;
    }
    boost::json::object listed_item{{"tls_key", key}, {"revision", entry.revision}};
    if (entry.is_deleted) {
      listed_item["gone"] = true;
    } else {
      listed_item["value"] = base64(entry.value);
    }
    listed.push_back(listed_item);
  }
  return listed;
}

scripted_answer soak_store::answer(const http_request& request) {
  const std::string target(request.target());
  const auto mode = mode_.load();
  const bool is_watch = target.starts_with("/kv-watch");
  if (mode == store_mode::refusing) {
    return {http_message("503 Service Unavailable", "", "")};
  }
  if (mode == store_mode::resetting) {
    return {"", false, true};
  }
  if (mode == store_mode::unresponsive) {
    std::this_thread::sleep_for(unresponsive_time);
    return {"", true};
  }
  if (mode == store_mode::expired_watches && is_watch) {
    return {http_message("410 Gone", "", "")};
  }
  const auto prefix = query_value(target, "path_prefix");
  const auto after = is_watch ? leading_number(query_value(target, "start_after")) : 0;
  std::unique_lock lock(mutex_);
  if (is_watch) {
    changed_.wait_for(
        lock,
        std::min(max_watch_time, milliseconds(leading_number(query_value(target, "wait_ms")))),
        [&] { return !list_items(prefix, after, true).empty(); });
  }
  const auto era = "Store-Era: " + std::to_string(era_) + "\r\n";
  if (is_watch && after > revision_) {
    return {http_message("410 Gone", era, "")};
  }
  boost::json::object body{{"at", revision_}, {"more", false}};
  body[is_watch ? "events" : "items"] = list_items(prefix, after, is_watch);
  return {http_message("200 OK", "Content-Type: application/json\r\n" + era,
                       boost::json::serialize(body))};
}

} // namespace spurrack::platform_tests
