#include "soak_store.h"

#include "http_text.h"

#include <openssl/evp.h>

namespace spurrack::platform_tests {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds longest_watch{2'000};
constexpr milliseconds silent_time{1'500};

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

void soak_store::take_copy() {
  const std::lock_guard lock(mutex_);
  copied_items_ = items_;
  copied_revision_ = revision_;
}

void soak_store::restore_copy() {
  const std::lock_guard lock(mutex_);
  items_ = copied_items_;
  revision_ = copied_revision_;
  ++era_;
  changed_.notify_all();
}

boost::json::array soak_store::items(const std::string& prefix, std::uint64_t after,
                                     bool with_gone) const {
  boost::json::array found;
  for (const auto& [key, entry] : items_) {
    if (!key.starts_with(prefix) || entry.revision <= after || (entry.gone && !with_gone)) {
      continue;
    }
    boost::json::object shown{{"tls_key", key}, {"revision", entry.revision}};
    if (entry.gone) {
      shown["gone"] = true;
    } else {
      shown["value"] = base64(entry.value);
    }
    found.push_back(shown);
  }
  return found;
}

scripted_answer soak_store::answer(const http_request& request) {
  const std::string target(request.target());
  const auto mode = mode_.load();
  const bool watch = target.starts_with("/kv-watch");
  if (mode == store_mode::refusing) {
    return {http_message("503 Service Unavailable", "", "")};
  }
  if (mode == store_mode::resetting) {
    return {"", false, true};
  }
  if (mode == store_mode::silent) {
    std::this_thread::sleep_for(silent_time);
    return {"", true};
  }
  if (mode == store_mode::forgetful && watch) {
    return {http_message("410 Gone", "", "")};
  }
  const auto prefix = query_value(target, "path_prefix");
  const auto after = watch ? number_in(query_value(target, "start_after")) : 0;
  std::unique_lock lock(mutex_);
  if (watch) {
    changed_.wait_for(
        lock, std::min(longest_watch, milliseconds(number_in(query_value(target, "wait_ms")))),
        [&] { return !items(prefix, after, true).empty(); });
  }
  const auto era = "Store-Era: " + std::to_string(era_) + "\r\n";
  if (watch && after > revision_) {
    return {http_message("410 Gone", era, "")};
  }
  boost::json::object body{{"at", revision_}, {"more", false}};
  body[watch ? "events" : "items"] = items(prefix, after, watch);
  return {http_message("200 OK", "Content-Type: application/json\r\n" + era,
                       boost::json::serialize(body))};
}

} // namespace spurrack::platform_tests
