// Tests of the loopback addresses that tests use.
#include "loopback.h"

#include <gtest/gtest.h>

namespace berylreach::gateway {
namespace {

// Guards against two servers that get the same address, in one test or in tests
// that run at the same time. Without a reservation, the system may hand out a
// port again as soon as the socket that found it has been closed.
TEST(LoopbackTest, FreeAddressIsReserved) {
  EXPECT_EQ(BindError(EndpointOf(FreeAddress())), asio::error::address_in_use);
}

TEST(LoopbackTest, AcceptorMayListenAtAFreeAddress) {
  asio::io_context io;
  const tcp::endpoint endpoint = EndpointOf(FreeAddress());
  tcp::socket client(io);
  boost::system::error_code error;
  client.connect(endpoint, error);
  EXPECT_EQ(error, asio::error::connection_refused);
  client.close();
  const tcp::acceptor acceptor(io, endpoint);
  client.connect(endpoint, error);
  EXPECT_FALSE(error);
}

}  // namespace
}  // namespace berylreach::gateway
