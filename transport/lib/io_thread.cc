// Event loop of an IoThread.
#include "berylreach/transport/io_thread.h"

#include <future>
#include <utility>

#include "io_thread_impl.h"

namespace berylreach::transport {

IoThread::Impl::Impl() : work(asio::make_work_guard(context)) {
  thread = std::thread([this] { context.run(); });
}

IoThread::Impl::~Impl() {
  context.stop();
  thread.join();
}

IoThread::IoThread() : impl_(std::make_unique<Impl>()) {}

IoThread::~IoThread() = default;

void IoThread::Post(std::function<void()> task) {
  asio::post(impl_->context, std::move(task));
}

void RunAndWait(IoThread& thread, const std::function<void()>& task) {
  if (thread.impl().thread.get_id() == std::this_thread::get_id()) {
    task();
    return;
  }
  std::promise<void> done;
  thread.Post([&] {
    task();
    done.set_value();
  });
  done.get_future().wait();
}

}  // namespace berylreach::transport
