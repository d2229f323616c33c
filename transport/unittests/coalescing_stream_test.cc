// Guards against bytes that buffering loses, duplicates, reorders or never
// sends, and against a separate system call for each message.
#include "../lib/coalescing_stream.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <string>
#include <vector>

namespace berylreach::transport {
namespace {

/// Counts the reads and writes and passes them on to another stream.
class CountingStream final : public kj::AsyncIoStream {
 public:
  CountingStream(kj::Own<kj::AsyncIoStream> inner, int& reads, int& writes)
      : inner_(kj::mv(inner)), reads_(reads), writes_(writes) {}

  kj::Promise<std::size_t> tryRead(void* buffer, std::size_t min_bytes,
                                   std::size_t max_bytes) override {
    ++reads_;
    return inner_->tryRead(buffer, min_bytes, max_bytes);
  }
  kj::Promise<void> write(const void* buffer, std::size_t size) override {
    ++writes_;
    return inner_->write(buffer, size);
  }
  kj::Promise<void> write(
      kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override {
    ++writes_;
    return inner_->write(pieces);
  }
  kj::Promise<void> whenWriteDisconnected() override {
    return inner_->whenWriteDisconnected();
  }
  void shutdownWrite() override { inner_->shutdownWrite(); }

 private:
  kj::Own<kj::AsyncIoStream> inner_;
  int& reads_;
  int& writes_;
};

class CoalescingStreamTest : public testing::Test {
 protected:
  CoalescingStreamTest()
      : io_(kj::setupAsyncIo()), pipe_(io_.provider->newTwoWayPipe()) {
    stream_ = kj::heap<CoalescingStream>(
        kj::heap<CountingStream>(kj::mv(pipe_.ends[0]), reads_, writes_));
  }

  // KJ destructors may throw, but the destructor of a test must be noexcept.
  ~CoalescingStreamTest() noexcept override {
  }  // NOLINT(modernize-use-equals-default)

  void Write(const std::string& bytes) {
    stream_->write(bytes.data(), bytes.size()).wait(io_.waitScope);
  }

  /// Reads `size` bytes at the other end of the pipe, or fewer at the end of
  /// the stream.
  std::string ReadAtPeer(std::size_t size) {
    return Read(*pipe_.ends[1], size, size);
  }

  std::string Read(kj::AsyncIoStream& from, std::size_t minimum,
                   std::size_t maximum) {
    std::string bytes(maximum, '\0');
    bytes.resize(
        from.tryRead(bytes.data(), minimum, maximum).wait(io_.waitScope));
    return bytes;
  }

  void WriteAtPeer(const std::string& bytes) {
    pipe_.ends[1]->write(bytes.data(), bytes.size()).wait(io_.waitScope);
  }

  int reads_ = 0;
  int writes_ = 0;
  kj::AsyncIoContext io_;
  kj::TwoWayPipe pipe_;
  kj::Own<CoalescingStream> stream_;
};

TEST_F(CoalescingStreamTest, WritesOfOneTurnAreCombined) {
  auto first = stream_->write("ab", 2);
  const kj::ArrayPtr<const kj::byte> pieces[] = {kj::StringPtr("cd").asBytes(),
                                                 kj::StringPtr("ef").asBytes()};
  auto second = stream_->write(kj::arrayPtr(pieces, 2));
  EXPECT_EQ(writes_, 0);
  EXPECT_EQ(ReadAtPeer(6), "abcdef");
  EXPECT_EQ(writes_, 1);
  Write("g");
  EXPECT_EQ(ReadAtPeer(1), "g");
  EXPECT_EQ(writes_, 2);
}

TEST_F(CoalescingStreamTest, WritesDuringAnIncompleteWriteKeepTheirOrder) {
  // More than the socket accepts at once, so that the first write stays
  // incomplete.
  const std::string large(std::size_t{4} * 1024 * 1024, 'x');
  auto first = stream_->write(large.data(), large.size());
  EXPECT_EQ(ReadAtPeer(1), "x");
  auto second = stream_->write("12", 2);
  auto third = stream_->write("34", 2);
  EXPECT_EQ(ReadAtPeer(large.size() - 1), large.substr(1));
  EXPECT_EQ(ReadAtPeer(4), "1234");
  EXPECT_EQ(writes_, 2);
}

TEST_F(CoalescingStreamTest, SmallReadsAreServedFromOneLargeRead) {
  WriteAtPeer("abcdefgh");
  EXPECT_EQ(Read(*stream_, 1, 1), "a");
  EXPECT_EQ(Read(*stream_, 3, 3), "bcd");
  EXPECT_EQ(Read(*stream_, 1, 10), "efgh");
  EXPECT_EQ(reads_, 1);
}

TEST_F(CoalescingStreamTest, ReadsLargerThanTheReadBuffer) {
  std::string bytes;
  for (int i = 0; i < 20000; ++i) bytes += std::to_string(i) + ",";
  auto written = pipe_.ends[1]->write(bytes.data(), bytes.size());
  std::string read = Read(*stream_, 5, 5);
  read += Read(*stream_, bytes.size() - 1005, bytes.size() - 1005);
  read += Read(*stream_, 1000, 1000);
  EXPECT_EQ(read, bytes);
}

TEST_F(CoalescingStreamTest, ReadAtEndOfStreamReturnsTheRemainingBytes) {
  WriteAtPeer("abc");
  pipe_.ends[1]->shutdownWrite();
  EXPECT_EQ(Read(*stream_, 2, 2), "ab");
  EXPECT_EQ(Read(*stream_, 4, 4), "c");
  EXPECT_EQ(Read(*stream_, 1, 1), "");
}

TEST_F(CoalescingStreamTest, ShutdownFollowsTheBytesWrittenBefore) {
  auto written = stream_->write("abc", 3);
  stream_->shutdownWrite();
  EXPECT_EQ(ReadAtPeer(10), "abc");
}

TEST_F(CoalescingStreamTest, FailureIsReportedByALaterWrite) {
  pipe_.ends[1] = nullptr;
  bool failed = false;
  for (int i = 0; i < 1000 && !failed; ++i) {
    auto write = stream_->write("abc", 3).then(
        [] {}, [&](kj::Exception&& /*error*/) { failed = true; });
    write.wait(io_.waitScope);
    // The flush runs before the loop waits.
    io_.provider->getTimer().afterDelay(0 * kj::SECONDS).wait(io_.waitScope);
  }
  EXPECT_TRUE(failed);
}

}  // namespace
}  // namespace berylreach::transport
