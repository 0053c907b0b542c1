#include "background_load.h"

#include "example_records.h"

#include <utility>

namespace spurrack::fleet {
namespace {

std::string string_field(const boost::json::object& body, const char* name) {
  const auto* value = body.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->as_string()) : "";
}

} // namespace

std::string expected_client_answer(const std::string& input) {
  return "generate(rerank(retrieve(encode(" + input + ")))) w1 w2 w3 w4 w5 w6 w7";
}

background_load::background_load(const local_fleet& fleet, std::vector<std::string> nodes,
                                 unsigned threads)
    : fleet_(&fleet), nodes_(std::move(nodes)) {
  for (unsigned index = 0; index < threads; ++index) {
    threads_.emplace_back([this, index] { send_requests(index); });
  }
}

background_load::~background_load() {
  stop();
}

load_totals background_load::stop() {
  is_stopping_ = true;
  for (auto& thread : threads_) {
    if (thread.joinable()) {
      thread.join();
    }
  }
  return totals();
}

load_totals background_load::totals() const {
  const std::lock_guard lock(mutex_);
  return totals_;
}

bool background_load::wait_for_completed(std::uint64_t additional) const {
  const auto target_count = totals().count("completed") + additional;
  return local_fleet::wait_until([&] { return totals().count("completed") >= target_count; });
}

void background_load::send_requests(unsigned index) {
  for (unsigned sequence_number = 0; !is_stopping_; ++sequence_number) {
    const auto input = "q" + std::to_string(index) + "-" + std::to_string(sequence_number);
    const auto& node = nodes_[(index + sequence_number) % nodes_.size()];
    record_answer(input,
                  fleet_->send_request(node, "client-answer", agents_token, {{"input", input}}));
  }
}

void background_load::record_answer(const std::string& input, const http_answer& answer) {
  const std::lock_guard lock(mutex_);
  if (answer.status == 0) {
    // A refused connection carried no request, so it does not count as broken.
    if (answer.error != "Connection refused") {
      ++totals_.broken_connections;
      totals_.last_connection_error = input + ": " + answer.error;
    }
    return;
  }
  const auto body = answer.json();
  const auto outcome = string_field(body, "outcome");
  ++totals_.answered;
  ++totals_.outcomes[outcome];
  if (outcome != "completed") {
    ++totals_.error_codes[string_field(body, "code")];
    return;
  }
  const auto& outputs = body.at("outputs").as_object();
  totals_.wrong_answers +=
      string_field(outputs, "generate") == expected_client_answer(input) ? 0 : 1;
}

} // namespace spurrack::fleet
