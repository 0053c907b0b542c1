#include "upstream/connection_pool.h"

#include <algorithm>
#include <utility>

namespace spurrack::upstream {

void connection_pool::close_expired(idle_connections& idle, base::time_point now) {
  std::erase_if(idle, [&](const std::shared_ptr<connection>& idle_connection) {
    const bool is_expired = !idle_connection->is_idle || idle_connection->idle_deadline <= now;
    if (is_expired) {
      idle_connection->is_idle = false;
      idle_connection->stream.close();
    }
    return is_expired;
  });
}

std::shared_ptr<connection> connection_pool::take(const base::network_address& address,
                                                  idle_time_bounds bounds, base::time_point now) {
  const auto found = idle_.find(address);
  if (found == idle_.end()) {
    return nullptr;
  }
  auto& idle = found->second;
  close_expired(idle, now);
  for (auto position = idle.rbegin(); position != idle.rend(); ++position) {
    const auto idle_time = now - (*position)->idle_since;
    if (idle_time < bounds.min || idle_time > bounds.max) {
      continue;
    }
    auto taken = *position;
    idle.erase(std::next(position).base());
    taken->is_idle = false;
    // Ends `watch_idle`.
    boost::system::error_code ignored;
    taken->stream.socket().cancel(ignored);
    return taken;
  }
  return nullptr;
}

void connection_pool::give_back(const base::network_address& address,
                                std::shared_ptr<connection> returned, base::duration max_idle_time,
                                base::time_point now) {
  auto& idle = idle_[address];
  close_expired(idle, now);
  if (idle.size() >= max_idle_per_address) {
    returned->stream.close();
    return;
  }
  returned->stream.expires_never();
  returned->idle_since = now;
  returned->idle_deadline = now + max_idle_time;
  returned->is_idle = true;
  ++returned->idle_periods;
  watch_idle(address, returned);
  idle.push_back(std::move(returned));
}

void connection_pool::close_idle(const base::network_address& address) {
  const auto found = idle_.find(address);
  if (found == idle_.end()) {
    return;
  }
  for (const auto& idle_connection : found->second) {
    idle_connection->is_idle = false;
    idle_connection->stream.close();
  }
  idle_.erase(found);
}

void connection_pool::watch_idle(const base::network_address& /*address*/,
                                 const std::shared_ptr<connection>& returned) {
  returned->stream.socket().async_wait(
      boost::asio::ip::tcp::socket::wait_read,
      [watched = std::weak_ptr<connection>(returned),
       idle_period = returned->idle_periods](const boost::system::error_code& error) {
        const auto idle_connection = watched.lock();
        if (!error && idle_connection && idle_connection->is_idle &&
            idle_connection->idle_periods == idle_period) {
          idle_connection->is_idle = false;
          idle_connection->stream.close();
        }
      });
}

} // namespace spurrack::upstream
