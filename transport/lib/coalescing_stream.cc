// Buffers the reads and combines the writes of a stream between hosts.
#include "coalescing_stream.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace berylreach::transport {
namespace {

/// Size of the read buffer; it holds several batches of leaf calls.
constexpr std::size_t kReadAheadBytes = std::size_t{16} * 1024;

/// Write buffer capacity that is kept for later writes. A larger buffer is
/// freed after its write.
constexpr std::size_t kMaxRetainedBytes = std::size_t{64} * 1024;

}  // namespace

CoalescingStream::CoalescingStream(kj::Own<kj::AsyncIoStream> inner)
    : inner_(kj::mv(inner)), read_ahead_(kReadAheadBytes) {}

std::size_t CoalescingStream::TakeBuffered(void* buffer,
                                           std::size_t max_bytes) {
  const std::size_t taken = std::min(max_bytes, read_end_ - read_begin_);
  if (taken > 0) std::memcpy(buffer, &read_ahead_[read_begin_], taken);
  read_begin_ += taken;
  return taken;
}

kj::Promise<std::size_t> CoalescingStream::tryRead(void* buffer,
                                                   std::size_t min_bytes,
                                                   std::size_t max_bytes) {
  const std::size_t taken = TakeBuffered(buffer, max_bytes);
  if (taken >= min_bytes) return taken;
  auto* rest = static_cast<kj::byte*>(buffer) + taken;
  const std::size_t needed = min_bytes - taken;
  const std::size_t wanted = max_bytes - taken;
  if (wanted >= kReadAheadBytes) {
    return inner_->tryRead(rest, needed, wanted)
        .then([taken](std::size_t count) { return taken + count; });
  }
  return inner_->tryRead(read_ahead_.data(), needed, kReadAheadBytes)
      .then([this, rest, taken, wanted](std::size_t count) {
        read_begin_ = 0;
        read_end_ = count;
        return taken + TakeBuffered(rest, wanted);
      });
}

void CoalescingStream::Append(const void* bytes, std::size_t size) {
  const auto* begin = static_cast<const kj::byte*>(bytes);
  pending_.insert(pending_.end(), begin, begin + size);
}

kj::Promise<void> CoalescingStream::write(const void* buffer,
                                          std::size_t size) {
  Append(buffer, size);
  return ScheduleFlush();
}

kj::Promise<void> CoalescingStream::write(
    kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) {
  for (const auto& piece : pieces) Append(piece.begin(), piece.size());
  return ScheduleFlush();
}

void CoalescingStream::shutdownWrite() {
  if (flushing_) {
    shutdown_pending_ = true;
  } else {
    inner_->shutdownWrite();
  }
}

kj::Promise<void> CoalescingStream::ScheduleFlush() {
  KJ_IF_MAYBE (failure, failure_) return kj::cp(*failure);
  if (std::exchange(flushing_, true)) return kj::READY_NOW;
  flush_ = kj::evalLast([this] {
             return WriteOut();
           }).eagerlyEvaluate([this](kj::Exception&& error) {
    failure_ = kj::mv(error);
  });
  return kj::READY_NOW;
}

kj::Promise<void> CoalescingStream::WriteOut() {
  if (pending_.empty()) {
    flushing_ = false;
    if (shutdown_pending_) inner_->shutdownWrite();
    if (writing_.capacity() > kMaxRetainedBytes) writing_ = {};
    return kj::READY_NOW;
  }
  std::swap(pending_, writing_);
  pending_.clear();
  return inner_->write(writing_.data(), writing_.size()).then([this] {
    return WriteOut();
  });
}

}  // namespace berylreach::transport
