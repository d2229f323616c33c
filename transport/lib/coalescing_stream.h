// A stream between hosts with fewer system calls.
#pragma once

#include <kj/async-io.h>

#include <cstddef>
#include <vector>

namespace berylreach::transport {

/// Reads ahead, and joins the writes of one turn of the event loop. Cap'n Proto
/// RPC reads each message in two parts and writes each one by itself, of which
/// a call takes three. Belongs to the RPC thread.
class CoalescingStream final : public kj::AsyncIoStream {
 public:
  explicit CoalescingStream(kj::Own<kj::AsyncIoStream> inner);

  kj::Promise<std::size_t> tryRead(void* buffer, std::size_t min_bytes,
                                   std::size_t max_bytes) override;
  /// Ready at once: the bytes are copied. A failure shows at the next write and
  /// in whenWriteDisconnected.
  kj::Promise<void> write(const void* buffer, std::size_t size) override;
  kj::Promise<void> write(
      kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
  kj::Promise<void> whenWriteDisconnected() override {
    return inner_->whenWriteDisconnected();
  }
  /// Takes effect after the bytes written before.
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
  /// Waits for the end of the turn, or for the write before it.
  std::vector<kj::byte> pending_;
  std::vector<kj::byte> writing_;
  bool flushing_ = false;
  bool shutdown_due_ = false;
  kj::Maybe<kj::Exception> failure_;
  /// Last member: it uses the others.
  kj::Promise<void> flush_ = kj::READY_NOW;
};

}  // namespace berylreach::transport
