/// Replica table of one node with engines, for tests.
#pragma once

#include "base/random.h"
#include "replicas/replica_table.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace spurrack::serving {

/// Two regions: zones z0 to z2 in `here`, zone z9 in `there`.
inline model::zone_regions two_regions_of_zones() {
  const base::region_id here("here");
  return model::zone_regions({{base::zone_id("z0"), here},
                              {base::zone_id("z1"), here},
                              {base::zone_id("z2"), here},
                              {base::zone_id("z9"), base::region_id("there")}});
}

class engine_table {
 public:
  explicit engine_table(std::size_t count) : random(1) {
    for (std::size_t index = 0; index < count; ++index) {
      add("engine-" + std::to_string(index), "z" + std::to_string(index % 3));
    }
    publish();
  }

  void add(const std::string& name, const std::string& zone) {
    auto record = std::make_shared<model::replica>();
    record->id = base::replica_id(name);
    record->service = "llm";
    record->zone = base::zone_id(zone);
    record->slots = 64;
    record->address = base::network_address(name);
    published[record->id] = record;
  }
  void remove(const base::replica_id& id) { published.erase(id); }
  void publish() { replicas.update(published, now); }

  [[nodiscard]] std::vector<const replica_state*> engines() const {
    std::vector<const replica_state*> all;
    for (const auto& [id, state] : replicas.all()) {
      all.push_back(&state);
    }
    return all;
  }

  base::time_point now{std::chrono::hours(1)};
  base::seeded_random random;
  serving_settings settings;
  std::map<base::replica_id, std::shared_ptr<const model::replica>> published;
  replica_table replicas{base::node_id("self"), base::zone_id("z0"), settings, random};
};

} // namespace spurrack::serving
