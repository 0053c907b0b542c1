#include "stage_work/stage_result.h"

#include <algorithm>
#include <iterator>

namespace spurrack::serving {

std::vector<std::string> handles_of(const std::vector<stage_result>& results) {
  std::vector<std::string> handles;
  std::transform(results.begin(), results.end(), std::back_inserter(handles),
                 [](const stage_result& result) { return result.handle; });
  return handles;
}

const replica_state* holder_of(const replica_table& replicas, const result_producer& producer) {
  const auto* replica = producer.is_known() ? replicas.find(producer.replica) : nullptr;
  if (replica == nullptr) {
    return nullptr;
  }
  const auto& record = *replica->record;
  const bool is_same_process = exit_id_of(record) == producer.incarnation_exit &&
                               record.address == producer.address &&
                               record.service == producer.service;
  return is_same_process ? replica : nullptr;
}

result_producer producer_by_address(const replica_table& replicas, const std::string& handle,
                                    const std::string& service) {
  const base::network_address address(handle.substr(0, handle.find('/')));
  const auto* replica = replicas.find_at(address);
  if (replica == nullptr || replica->record->service != service) {
    return {};
  }
  return {replica->record->id, address, exit_id_of(*replica->record), service};
}

} // namespace spurrack::serving
