// A stream that saves system calls on the connections between hosts.
#pragma once

#include <kj/async-io.h>

#include <cstddef>
#include <vector>

namespace berylreach::transport {

/// Reads ahead into a buffer, and combines the writes of one turn of the event
/// loop into one. Without it Cap'n Proto RPC reads each message in two parts
/// and writes each message separately, and one call takes three messages. Used
/// on the RPC thread only.
class CoalescingStream final : public kj::AsyncIoStream {
 public:
  explicit CoalescingStream(kj::Own<kj::AsyncIoStream> inner);

  kj::Promise<std::size_t> tryRead(void* buffer, std::size_t min_bytes,
                                   std::size_t max_bytes) override;
  /// Copies the bytes and completes at once. A failure to write them is
  /// reported by the next write and by whenWriteDisconnected.
  kj::Promise<void> write(const void* buffer, std::size_t size) override;
  kj::Promise<void> write(
      kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
  kj::Promise<void> whenWriteDisconnected() override {
    return inner_->whenWriteDisconnected();
  }
  /// Takes effect after the bytes of earlier writes.
  void shutdownWrite() override;
  void abortRead() override { inner_->abortRead(); }
  kj::Maybe<int> getFd() const override { return inner_->getFd(); }

 private:
  std::size_t TakeBuffered(void* buffer, std::size_t max_bytes);
  void Append(const void* bytes, std::size_t size);
  kj::Promise<void> ScheduleFlush();
  kj::Promise<void> WriteOut();

  kj::Own<kj::AsyncIoStream> inner_;
  std::vector<kj::byte> read_ahead_;
  std::size_t read_begin_ = 0;
  std::size_t read_end_ = 0;
  /// Bytes to write after the current turn of the event loop, or after the
  /// write in progress.
  std::vector<kj::byte> pending_;
  /// Bytes of the write in progress.
  std::vector<kj::byte> writing_;
  bool flushing_ = false;
  bool shutdown_pending_ = false;
  kj::Maybe<kj::Exception> failure_;
  /// The write in progress. Must be the last member, because its destruction
  /// cancels the write, which uses the other members.
  kj::Promise<void> flush_ = kj::READY_NOW;
};

}  // namespace berylreach::transport
