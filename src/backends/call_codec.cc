#include "backends/call_codec.h"

#include <boost/json.hpp>

#include <algorithm>
#include <chrono>

namespace spurrack::backends {
namespace {

namespace json = boost::json;

constexpr std::string_view event_end = "\n\n";
constexpr std::string_view data_prefix = "data: ";

/// Typed view of a JSON object. A field that is missing or has an invalid value reads as empty or 0
/// and clears `is_well_formed`.
class object_view {
 public:
  explicit object_view(const json::object& object) : object_(&object) {}

  std::string read_text(std::string_view name) {
    const auto* value = object_->if_contains(name);
    if (value == nullptr || !value->is_string()) {
      is_well_formed_ = false;
      return {};
    }
    return std::string(value->get_string());
  }

  std::int64_t read_number(std::string_view name) {
    const auto* value = object_->if_contains(name);
    if (value == nullptr || !value->is_int64() || value->get_int64() < 0) {
      is_well_formed_ = false;
      return 0;
    }
    return value->get_int64();
  }

  [[nodiscard]] bool is_well_formed() const { return is_well_formed_; }

 private:
  const json::object* object_;
  bool is_well_formed_ = true;
};

std::optional<json::object> parse_object(std::string_view text) {
  boost::system::error_code error;
  auto value = json::parse({text.data(), text.size()}, error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.get_object());
}

std::optional<execution::call_result> parse_result(base::call_id call, const json::object& object) {
  object_view view(object);
  execution::call_result result;
  result.call = call;
  result.status = execution::call_status::completed;
  result.identity.request = base::request_id(view.read_text("request_id"));
  result.identity.stage = view.read_text("stage");
  result.identity.attempt = static_cast<std::uint32_t>(view.read_number("attempt"));
  result.output = view.read_text("output");
  result.tokens = static_cast<std::uint32_t>(view.read_number("tokens"));
  result.backend_time = std::chrono::microseconds(view.read_number("backend_us"));
  result.reported_in_flight = static_cast<std::uint32_t>(view.read_number("in_flight"));
  if (!view.is_well_formed()) {
    return std::nullopt;
  }
  return result;
}

} // namespace

std::string encode_call(const execution::stage_call& call, base::time_point now) {
  json::object body;
  body["request_id"] = call.identity.request.text();
  body["stage"] = call.identity.stage;
  body["attempt"] = call.identity.attempt;
  body["tenant"] = call.tenant.text();
  body["model"] = call.model;
  body["adapter"] = call.adapter;
  body["input"] = call.input;
  body["max_tokens"] = call.max_tokens;
  body["resume_offset"] = call.resume_offset;
  body["priority"] = call.priority;
  body["repeatable"] = call.repeatable;
  body["expires_in_ms"] = std::max<std::int64_t>(0, base::to_milliseconds(call.not_after - now));
  return json::serialize(body);
}

std::optional<execution::call_result> decode_result(base::call_id call, std::string_view body) {
  const auto object = parse_object(body);
  return object ? parse_result(call, *object) : std::nullopt;
}

std::optional<std::vector<stream_item>> event_stream_decoder::feed(std::string_view bytes) {
  buffered_.append(bytes);
  std::vector<stream_item> items;
  for (auto end = buffered_.find(event_end); end != std::string::npos;
       end = buffered_.find(event_end)) {
    const auto event = buffered_.substr(0, end);
    buffered_.erase(0, end + event_end.size());
    if (!event.starts_with(data_prefix)) {
      return std::nullopt;
    }
    const auto object = parse_object(std::string_view(event).substr(data_prefix.size()));
    if (!object) {
      return std::nullopt;
    }
    stream_item item;
    if (object->contains("token")) {
      object_view view(*object);
      item.token = execution::call_token{
          call_, static_cast<std::uint32_t>(view.read_number("offset")), view.read_text("token")};
      if (!view.is_well_formed()) {
        return std::nullopt;
      }
    } else {
      item.result = parse_result(call_, *object);
      if (!item.result) {
        return std::nullopt;
      }
    }
    items.push_back(std::move(item));
  }
  return items;
}

} // namespace spurrack::backends
