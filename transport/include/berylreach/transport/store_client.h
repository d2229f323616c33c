// Client of the platform's key-value store.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "berylreach/model/store_request.h"
#include "berylreach/model/store_result.h"
#include "berylreach/transport/io_thread.h"

namespace berylreach::transport {

/// Address and time limits of a StoreClient.
struct StoreOptions {
  /// IP address and port.
  std::string address;
  /// Limit of a read or write, connecting included.
  std::chrono::milliseconds call_timeout{1000};
  /// A watch is given up this long after the wait it asked for.
  std::chrono::milliseconds watch_margin{2000};
  /// Requests handed over and not yet taken by the store thread.
  std::size_t channel_capacity = 1024;
};

/// Speaks the Consul KV form. Reads and writes share idle keep-alive
/// connections, and each waiting watch has its own. All methods may be called
/// from any thread.
class StoreClient {
 public:
  struct Impl;
  using Callback = std::function<void(model::StoreResult)>;

  /// `on_result` is called on `thread`, exactly once per accepted request.
  StoreClient(IoThread& thread, StoreOptions options, Callback on_result);
  /// Closes all connections; afterwards `on_result` is not called again.
  ~StoreClient();
  StoreClient(const StoreClient&) = delete;
  StoreClient& operator=(const StoreClient&) = delete;

  /// Hands over one request; false if the channel is full, in which case
  /// nothing is sent and no result follows. Any failure to get a valid answer
  /// ends as kUnknown with the connection dropped; nothing is sent twice.
  bool Send(model::StoreRequest request);

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace berylreach::transport
