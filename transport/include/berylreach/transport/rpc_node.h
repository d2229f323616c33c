// Messages between hosts over Cap'n Proto RPC.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "berylreach/base/channel.h"
#include "berylreach/model/envelope.h"
#include "berylreach/model/names.h"
#include "berylreach/model/peer_message.h"
#include "berylreach/transport/bind_error.h"

namespace berylreach::transport {

/// Identity and bounds of an RpcNode.
struct RpcOptions {
  model::HostName self;
  /// Sent with each message.
  std::uint64_t incarnation = 0;
  /// IP address and port to listen on; port 0 takes any free port.
  std::string address;
  /// Messages waiting for one peer; further ones are refused.
  std::size_t peer_queue = 16384;
  /// Most messages in one call.
  std::size_t batch_messages = 512;
  /// Approximate bytes of payload after which a call is closed to further
  /// messages.
  std::size_t batch_bytes = std::size_t{4} * 1024 * 1024;
  /// Calls to one peer that wait for their return.
  std::size_t calls_in_flight = 4;
  /// A call without return for this time drops the connection.
  std::chrono::milliseconds call_timeout{1000};
  std::chrono::milliseconds reconnect_least{50};
  std::chrono::milliseconds reconnect_most{1000};
};

/// Owns the RPC thread. Messages may be lost when a connection ends, and
/// reordered across a reconnect. Methods may be called from any thread.
class RpcNode {
 public:
  struct Impl;
  /// Called on the RPC thread with the messages of one call, in order; must not
  /// block.
  using Callback = std::function<void(std::vector<model::Envelope>)>;
  /// Called on the RPC thread when a connection to a peer ended and could not
  /// be opened again at once, and at each further refusal; must not block. A
  /// peer that is only silent is not reported.
  using PeerDisconnectedCallback = std::function<void(model::HostName)>;

  /// Binds and starts the thread. `on_peer_disconnected` may be empty.
  static BindResult<std::unique_ptr<RpcNode>> Open(
      RpcOptions options, Callback on_messages,
      PeerDisconnectedCallback on_peer_disconnected = {});
  /// Closes all connections and joins the thread.
  ~RpcNode();
  RpcNode(const RpcNode&) = delete;
  RpcNode& operator=(const RpcNode&) = delete;

  /// The bound address.
  const std::string& address() const;

  /// Queues a message; false if `to` is not a peer or its queue is full.
  /// Messages that are queued with Wakeup::kAtFlush travel together.
  bool Send(const model::HostName& to, model::PeerMessage message,
            base::Wakeup wakeup = base::Wakeup::kNow);
  /// Sends what was queued with Wakeup::kAtFlush.
  void Flush();

  /// Replaces the peers by name and RPC address. Connections to peers that are
  /// gone or have moved are closed and their queues dropped.
  void SetPeers(std::map<model::HostName, std::string> peers);

  /// Messages dropped since the start: queued or in flight when a connection
  /// ended, a peer was removed, or undecodable.
  std::uint64_t dropped_messages() const;

 private:
  explicit RpcNode(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace berylreach::transport
