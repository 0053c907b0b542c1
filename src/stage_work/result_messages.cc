#include "stage_work/result_messages.h"

#include <algorithm>

namespace spurrack::serving {

void write_producer(const result_producer& producer, wire::result_producer& message) {
  message.set_replica(producer.replica.text());
  message.set_address(producer.address.text());
  message.set_replica_end(producer.incarnation_exit);
  message.set_service(producer.service);
}

result_producer read_producer(const wire::result_producer& message) {
  return {base::replica_id(message.replica()), base::network_address(message.address()),
          message.replica_end(), message.service()};
}

void write_inputs(const std::vector<stage_result>& inputs, wire::piece_request& request) {
  std::vector<result_producer> producers;
  for (const auto& input : inputs) {
    request.add_inputs(input.handle);
    const auto known = std::find(producers.begin(), producers.end(), input.producer);
    request.add_producer_indexes(static_cast<std::uint32_t>(known - producers.begin()));
    if (known == producers.end()) {
      producers.push_back(input.producer);
      write_producer(input.producer, *request.add_producers());
    }
  }
}

std::vector<stage_result> read_inputs(const wire::piece_request& request) {
  std::vector<stage_result> inputs;
  for (int index = 0; index < request.inputs_size(); ++index) {
    auto& input = inputs.emplace_back();
    input.handle = request.inputs(index);
    const bool has_index = index < request.producer_indexes_size();
    const auto producer = has_index ? request.producer_indexes(index) : 0;
    if (has_index && producer < static_cast<std::uint32_t>(request.producers_size())) {
      input.producer = read_producer(request.producers(static_cast<int>(producer)));
    }
  }
  return inputs;
}

} // namespace spurrack::serving
