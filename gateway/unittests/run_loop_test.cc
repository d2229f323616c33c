// Tests of the event loop with unexpected exceptions.
#include "berylreach/gateway/run_loop.h"

#include <gtest/gtest.h>

#include <boost/asio/post.hpp>
#include <stdexcept>

namespace berylreach::gateway {
namespace {

// Guards against one malformed message ending the whole process.
TEST(RunLoopTest, ContinuesAfterAnException) {
  boost::asio::io_context io;
  int handled = 0;
  for (int i = 0; i < 3; ++i) {
    boost::asio::post(io, [] { throw std::runtime_error("unexpected"); });
    boost::asio::post(io, [&handled] { ++handled; });
  }
  RunLoop(io);
  EXPECT_EQ(handled, 3);
}

}  // namespace
}  // namespace berylreach::gateway
