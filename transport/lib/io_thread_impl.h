// Event loop of an IoThread.
#pragma once

#include <functional>
#include <thread>

#include "berylreach/transport/io_thread.h"
#include "io.h"

namespace berylreach::transport {

struct IoThread::Impl {
  Impl();
  ~Impl();

  asio::io_context context{1};
  asio::executor_work_guard<asio::io_context::executor_type> work;
  std::thread thread;
};

/// Runs `task` on `thread` and returns when it is done. If the caller is on
/// `thread`, it runs `task` directly.
void RunAndWait(IoThread& thread, const std::function<void()>& task);

}  // namespace berylreach::transport
