/// Reuse and removal of idle connections. When the replica at an address has restarted, the idle
/// connections to this address are closed, so that calls use new connections. The sockets in these
/// tests are not connected.
#include "upstream/connection_pool.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;
using namespace spurrack::upstream;

namespace {

struct pool_fixture {
  std::shared_ptr<connection> add_idle(const base::network_address& address) {
    auto added = std::make_shared<connection>(io);
    pool.give_back(address, added, std::chrono::seconds(4), now);
    return added;
  }
  std::shared_ptr<connection> take(const base::network_address& address) {
    return pool.take(address, {{}, std::chrono::seconds(3)}, now);
  }

  boost::asio::io_context io;
  connection_pool pool;
  base::time_point now{std::chrono::hours(1)};
  base::network_address restarted_address{"10.0.0.1:80"};
  base::network_address other_address{"10.0.0.2:80"};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(connection_pool_test, pool_fixture)

BOOST_AUTO_TEST_CASE(an_idle_connection_is_taken_once) {
  const auto idle = add_idle(restarted_address);
  BOOST_TEST((take(restarted_address) == idle));
  BOOST_TEST((take(restarted_address) == nullptr));
}

BOOST_AUTO_TEST_CASE(close_idle_removes_the_connections_to_one_address_only) {
  const auto first = add_idle(restarted_address);
  const auto second = add_idle(restarted_address);
  const auto at_other_address = add_idle(other_address);
  pool.close_idle(restarted_address);
  pool.close_idle(base::network_address("10.0.0.3:80"));
  BOOST_TEST(!first->is_idle);
  BOOST_TEST(!second->is_idle);
  BOOST_TEST((take(restarted_address) == nullptr));
  BOOST_TEST((take(other_address) == at_other_address));
}

BOOST_AUTO_TEST_SUITE_END()
