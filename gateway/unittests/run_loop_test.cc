// The event loop in the face of unexpected errors.
#include "berylreach/gateway/run_loop.h"

#include <gtest/gtest.h>

#include <boost/asio/post.hpp>
#include <stdexcept>

namespace berylreach::gateway {
namespace {

// Guards against one malformed message that takes the whole process down.
TEST(RunLoopTest, GoesOnAfterAnException) {
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
