// Sends and receives messages between hosts over Cap'n Proto RPC.
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

/// Identity, address and limits of an RpcNode.
struct RpcOptions {
  /// Name of this host, sent with each message.
  model::HostName self;
  /// Incarnation of this host, sent with each message.
  std::uint64_t incarnation = 0;
  /// IP address and port to listen on; port 0 takes any free port.
  std::string address;
  /// Maximum number of messages queued for one peer; Send rejects further ones.
  std::size_t max_queued_messages = 16384;
  /// Maximum number of messages in one call.
  std::size_t max_batch_messages = 512;
  /// Approximate size in bytes from which on no further message is added to a
  /// call.
  std::size_t max_batch_bytes = std::size_t{4} * 1024 * 1024;
  /// Maximum number of calls to one peer that have not returned.
  std::size_t max_calls_in_flight = 4;
  /// Time after which a call that has not returned closes its connection.
  std::chrono::milliseconds call_timeout{1000};
  /// Delay before a reconnect; doubles after each failure up to the maximum.
  std::chrono::milliseconds min_reconnect_delay{50};
  std::chrono::milliseconds max_reconnect_delay{1000};
};

/// Owns the RPC thread. Messages may be lost when a connection is closed, and
/// reordered across a reconnect. Methods may be called from any thread.
class RpcNode {
 public:
  struct Impl;
  /// Called on the RPC thread with the messages of one call, in order; must not
  /// block.
  using Callback = std::function<void(std::vector<model::Envelope>)>;
  /// Called on the RPC thread for each refused attempt to connect to a peer,
  /// such as the one that follows a closed connection; must not block. A peer
  /// that is only unresponsive is not reported.
  using PeerDisconnectedCallback = std::function<void(model::HostName)>;

  /// Binds the address and starts the thread. `on_peer_disconnected` may be
  /// empty.
  static BindResult<std::unique_ptr<RpcNode>> Open(
      RpcOptions options, Callback on_messages,
      PeerDisconnectedCallback on_peer_disconnected = {});
  /// Closes all connections and joins the thread.
  ~RpcNode();
  RpcNode(const RpcNode&) = delete;
  RpcNode& operator=(const RpcNode&) = delete;

  /// Bound IP address and port.
  const std::string& address() const;

  /// Queues a message; false if `to` is not a peer or its queue is full.
  /// Messages that are queued with Wakeup::kAtFlush are sent together by the
  /// next Flush.
  bool Send(const model::HostName& to, model::PeerMessage message,
            base::Wakeup wakeup = base::Wakeup::kNow);
  /// Sends the messages that were queued with Wakeup::kAtFlush.
  void Flush();

  /// Replaces the peers; `peers` maps names to RPC addresses. A peer that is
  /// removed or has another address loses its connection and its queue.
  void SetPeers(std::map<model::HostName, std::string> peers);

  /// Number of messages dropped since the start: those that expired in a queue,
  /// were in flight when a connection was closed, belonged to a peer that was
  /// removed, or could not be decoded.
  std::uint64_t dropped_messages() const;

 private:
  explicit RpcNode(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace berylreach::transport
