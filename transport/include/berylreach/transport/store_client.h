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
  /// IP address and port of the store.
  std::string address;
  /// Time limit of a read or write, connecting included.
  std::chrono::milliseconds call_timeout{1000};
  /// Time that a watch may take beyond the wait that its request asks for.
  std::chrono::milliseconds watch_margin{2000};
  /// Maximum number of requests that Send has queued and the client's thread
  /// has not taken yet.
  std::size_t channel_capacity = 1024;
};

/// Uses the HTTP API of the Consul KV store. Reads and writes share a pool of
/// keep-alive connections; each watch has a connection of its own. All methods
/// may be called from any thread.
class StoreClient {
 public:
  struct Impl;
  using Callback = std::function<void(model::StoreResult)>;

  /// `on_result` is called on `thread`, exactly once per accepted request
  /// unless the client is destroyed first.
  StoreClient(IoThread& thread, StoreOptions options, Callback on_result);
  /// Closes all connections; afterwards `on_result` is not called again.
  ~StoreClient();
  StoreClient(const StoreClient&) = delete;
  StoreClient& operator=(const StoreClient&) = delete;

  /// Queues one request; false if the channel is full, in which case nothing is
  /// sent and no result follows. If no valid answer arrives, the result is
  /// kUnknown. The client never retries a request.
  bool Send(model::StoreRequest request);

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace berylreach::transport
