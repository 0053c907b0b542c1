#include "upstream/connection_pool.h"

#include <algorithm>
#include <utility>

namespace spurrack::upstream {

void connection_pool::drop_old(resting_connections& resting, base::time_point now) {
  std::erase_if(resting, [&](const std::shared_ptr<connection>& kept) {
    const bool old = !kept->resting || kept->usable_until <= now;
    if (old) {
      kept->resting = false;
      kept->stream.close();
    }
    return old;
  });
}

std::shared_ptr<connection> connection_pool::take(const base::network_address& address,
                                                  idle_time_bounds bounds, base::time_point now) {
  const auto found = resting_.find(address);
  if (found == resting_.end()) {
    return nullptr;
  }
  auto& resting = found->second;
  drop_old(resting, now);
  for (auto place = resting.rbegin(); place != resting.rend(); ++place) {
    const auto rested = now - (*place)->rests_since;
    if (rested < bounds.least || rested > bounds.most) {
      continue;
    }
    auto taken = *place;
    resting.erase(std::next(place).base());
    taken->resting = false;
    // Ends the watch.
    boost::system::error_code ignored;
    taken->stream.socket().cancel(ignored);
    return taken;
  }
  return nullptr;
}

void connection_pool::give_back(const base::network_address& address,
                                std::shared_ptr<connection> given, base::duration lifetime,
                                base::time_point now) {
  auto& resting = resting_[address];
  drop_old(resting, now);
  if (resting.size() >= max_idle_per_address) {
    given->stream.close();
    return;
  }
  given->stream.expires_never();
  given->rests_since = now;
  given->usable_until = now + lifetime;
  given->resting = true;
  ++given->rests;
  watch(address, given);
  resting.push_back(std::move(given));
}

void connection_pool::close_idle(const base::network_address& address) {
  const auto found = resting_.find(address);
  if (found == resting_.end()) {
    return;
  }
  for (const auto& kept : found->second) {
    kept->resting = false;
    kept->stream.close();
  }
  resting_.erase(found);
}

void connection_pool::watch(const base::network_address& /*address*/,
                            const std::shared_ptr<connection>& given) {
  given->stream.socket().async_wait(boost::asio::ip::tcp::socket::wait_read,
                                    [watched = std::weak_ptr<connection>(given),
                                     rest = given->rests](const boost::system::error_code& error) {
                                      const auto kept = watched.lock();
                                      if (!error && kept && kept->resting && kept->rests == rest) {
                                        kept->resting = false;
                                        kept->stream.close();
                                      }
                                    });
}

} // namespace spurrack::upstream
