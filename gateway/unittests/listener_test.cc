// Tests of accepting connections, also without free file descriptors.
#include "../lib/listener.h"

#include <gtest/gtest.h>
#include <sys/resource.h>

#include "loopback.h"

namespace berylreach::gateway {
namespace {

/// Limits the file descriptors of the process during its lifetime.
class DescriptorLimit {
 public:
  explicit DescriptorLimit(rlim_t limit) {
    getrlimit(RLIMIT_NOFILE, &before_);
    rlimit lowered = before_;
    lowered.rlim_cur = limit;
    setrlimit(RLIMIT_NOFILE, &lowered);
  }
  ~DescriptorLimit() { setrlimit(RLIMIT_NOFILE, &before_); }
  DescriptorLimit(const DescriptorLimit&) = delete;
  DescriptorLimit& operator=(const DescriptorLimit&) = delete;

 private:
  rlimit before_{};
};

// Guards against an accept loop that uses all processor time while no file
// descriptor is free.
TEST(ListenerTest, WaitsAfterAnError) {
  asio::io_context io;
  const std::string address = FreeAddress();
  std::size_t accepted = 0;
  Listener listener(io, address, [&](const tcp::socket&) { ++accepted; });
  const RawClient client(io, address);
  std::size_t events = 0;
  {
    // The file descriptor that the next socket would get.
    const int next = dup(0);
    close(next);
    const DescriptorLimit no_descriptors(static_cast<rlim_t>(next));
    const auto end = std::chrono::steady_clock::now() + milliseconds(200);
    while (std::chrono::steady_clock::now() < end)
      events += io.run_one_for(milliseconds(10));
  }
  EXPECT_EQ(accepted, 0U);
  EXPECT_LE(events, 30U);
  EXPECT_TRUE(RunUntil(io, [&] { return accepted == 1; }));
}

}  // namespace
}  // namespace berylreach::gateway
