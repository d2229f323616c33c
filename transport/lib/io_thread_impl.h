// Event loop of an IoThread.
#pragma once

#include <cstddef>
#include <functional>
#include <thread>

#include "berylreach/base/receive_quota.h"
#include "berylreach/transport/io_thread.h"
#include "io.h"

namespace berylreach::transport {

/// Maximum size of all incomplete answers on a thread together, in bytes.
inline constexpr std::size_t kMaxIncompleteBytes =
    std::size_t{40} * 1024 * 1024;

struct IoThread::Impl {
  Impl();
  ~Impl();

  /// Outlives `context`, whose handlers own the connections.
  base::ReceiveQuota receive_quota{kMaxIncompleteBytes};
  asio::io_context context{1};
  asio::executor_work_guard<asio::io_context::executor_type> work;
  std::thread thread;
};

/// Runs `task` on `thread` and returns when it is done. If the caller is on
/// `thread`, it runs `task` directly.
void RunAndWait(IoThread& thread, const std::function<void()>& task);

}  // namespace berylreach::transport
