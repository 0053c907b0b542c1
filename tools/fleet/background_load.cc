#include "background_load.h"

#include "example_records.h"

#include <utility>

namespace spurrack::fleet {
namespace {

std::string text_member(const boost::json::object& body, const char* name) {
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
    threads_.emplace_back([this, index] { run(index); });
  }
}

background_load::~background_load() {
  stop();
}

load_totals background_load::stop() {
  stopping_ = true;
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

bool background_load::wait_for_completed(std::uint64_t more) const {
  const auto goal = totals().count("completed") + more;
  return local_fleet::wait_until([&] { return totals().count("completed") >= goal; });
}

void background_load::run(unsigned index) {
  for (unsigned number = 0; !stopping_; ++number) {
    const auto input = "q" + std::to_string(index) + "-" + std::to_string(number);
    const auto& node = nodes_[(index + number) % nodes_.size()];
    record_answer(input,
                  fleet_->send_request(node, "client-answer", agents_token, {{"input", input}}));
  }
}

void background_load::record_answer(const std::string& input, const http_answer& answer) {
  const std::lock_guard lock(mutex_);
  if (answer.status == 0) {
    // A refused connection was never taken: nothing was cut.
    if (answer.error != "Connection refused") {
      ++totals_.broken_connections;
      totals_.last_broken_connection = input + ": " + answer.error;
    }
    return;
  }
  const auto body = answer.json();
  const auto outcome = text_member(body, "outcome");
  ++totals_.sent;
  ++totals_.outcomes[outcome];
  if (outcome != "completed") {
    ++totals_.error_codes[text_member(body, "code")];
    return;
  }
  const auto& outputs = body.at("outputs").as_object();
  totals_.wrong_answers +=
      text_member(outputs, "generate") == expected_client_answer(input) ? 0 : 1;
}

} // namespace spurrack::fleet
