/// Codec of the calls to `replica_stand_in`.
#pragma once

#include "serving/request_codec.h"

#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace spurrack::upstream {

/// Encodes every call as one POST request that carries its id. The results of all pieces of a call
/// have the body of its answer as their handle.
class stand_in_codec final : public serving::request_codec {
 public:
  /// @param body_bytes length of the body of each call.
  explicit stand_in_codec(std::size_t body_bytes) : body_bytes_(body_bytes) {}

  [[nodiscard]] std::variant<serving::request_content, serving::bad_request>
  read_request(serving::raw_request /*raw*/) const override {
    return serving::bad_request{"not used"};
  }
  [[nodiscard]] serving::header_list
  local_answer_headers(const base::request_id& /*id*/) const override {
    return {};
  }
  [[nodiscard]] serving::encoded_call encode(const serving::start_call& call) const override {
    return encoded(call.content->id.text());
  }
  [[nodiscard]] serving::encoded_call encode(const serving::start_stage_call& /*call*/,
                                             const std::string& id) const override {
    return encoded(id);
  }
  [[nodiscard]] serving::encoded_call encode(const serving::free_results& /*results*/,
                                             const std::string& id) const override {
    return encoded(id);
  }
  [[nodiscard]] serving::answer_head read_answer(serving::raw_answer raw) const override {
    serving::answer_head head;
    head.status = raw.status;
    return head;
  }
  [[nodiscard]] std::optional<serving::replica_self_report>
  read_self_report(const serving::raw_answer& /*raw*/) const override {
    return std::nullopt;
  }
  [[nodiscard]] std::optional<std::string>
  answered_call(const serving::header_list& headers) const override {
    for (const auto& field : headers) {
      if (field.name == id_field) {
        return field.value;
      }
    }
    return std::nullopt;
  }
  [[nodiscard]] std::optional<std::vector<serving::piece_outcome>>
  read_pieces(const serving::start_stage_call& call, const std::string& body) const override {
    serving::piece_outcome outcome;
    outcome.handle = body;
    return std::vector<serving::piece_outcome>(call.items.size(), outcome);
  }

 private:
  static constexpr const char* id_field = "X-Request-Id";

  [[nodiscard]] serving::encoded_call encoded(const std::string& id) const {
    return {
        "POST", "/", {{"Host", "replica"}, {id_field, id}}, std::string(body_bytes_, 'x'), true};
  }

  std::size_t body_bytes_;
};

} // namespace spurrack::upstream
