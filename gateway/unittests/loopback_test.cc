// Tests of the loopback addresses that tests use.
#include "loopback.h"

#include <gtest/gtest.h>

#include "../lib/address.h"

namespace berylreach::gateway {
namespace {

/// Returns the error of binding a socket without SO_REUSEADDR to `address`.
boost::system::error_code BindError(const std::string& address) {
  asio::io_context io;
  tcp::socket socket(io, tcp::v4());
  boost::system::error_code error;
  socket.bind(ParseEndpoint(address).value(), error);
  return error;
}

// Guards against two servers that get the same address, in one test or in tests
// that run at the same time. Without a reservation, the system may hand out a
// port again as soon as the socket that found it has been closed.
TEST(LoopbackTest, FreeAddressIsReserved) {
  const std::string address = FreeAddress();
  EXPECT_EQ(BindError(address), asio::error::address_in_use);
}

TEST(LoopbackTest, AcceptorMayListenAtAFreeAddress) {
  asio::io_context io;
  const tcp::endpoint endpoint = ParseEndpoint(FreeAddress()).value();
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
