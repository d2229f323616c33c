// Sends messages to one peer; used on the RPC thread, unless a comment says
// otherwise.
#pragma once

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/model/peer_message.h"
#include "berylreach/transport/rpc_node.h"
#include "generated/peer.capnp.h"

namespace berylreach::transport {

/// Connects to a peer, sends messages in batches and reconnects with backoff.
class RpcPeer : public std::enable_shared_from_this<RpcPeer> {
 public:
  /// Objects that the peers of a node share and that outlive them.
  struct Context {
    const RpcOptions& options;
    kj::AsyncIoContext& io;
    kj::TaskSet& tasks;
    std::atomic<std::uint64_t>& dropped;
    const RpcNode::PeerDisconnectedCallback& on_disconnected;
  };

  RpcPeer(Context context, model::HostName name, std::string address);

  const std::string& address() const { return address_; }

  /// Reserves a place in the queue for one message; false if the queue is full.
  /// Callable from any thread.
  bool Reserve();

  /// Reverts one successful Reserve. Callable from any thread.
  void Unreserve() { --reserved_; }

  /// Queues a message for which Reserve succeeded. True if the caller must call
  /// Flush, because no earlier Push has returned true since the last Flush.
  bool Push(model::PeerMessage message);

  /// Sends queued messages as far as the maximum number of calls in flight
  /// allows. Connects first if there is no connection.
  void Flush();

  /// Closes the connection permanently and drops the queue.
  void Stop();

 private:
  struct Queued {
    model::PeerMessage message;
    base::TimePoint queued_at;
  };

  using DeliverResponse = capnp::Response<rpc::Peer::DeliverResults>;

  struct Connection {
    explicit Connection(kj::Own<kj::AsyncIoStream> opened);

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyClient client;
    rpc::Peer::Client peer;
    /// Responses received since the last batch. Destroying a response sends a
    /// Finish message for its call. The responses are kept until the next
    /// batch, so that their Finish messages are written together with it.
    std::vector<DeliverResponse> responses;
  };

  void Connect();
  void OnConnected(kj::Own<kj::AsyncIoStream> stream);
  void SendBatch();
  static std::uint64_t EstimateWords(const std::vector<Queued>& batch);
  std::vector<Queued> TakeBatch();
  void DropExpired();
  void OnReturn(std::uint64_t generation, DeliverResponse response);
  /// Calls OnConnectionLost when the connection is closed, even if no call is
  /// in flight.
  void WatchConnection();
  void OnConnectFailed(const kj::Exception& error);
  /// Closes the connection of `generation` and reconnects: at once if the peer
  /// closed it and a call had returned since the last failure, otherwise after
  /// a delay.
  void OnConnectionLost(std::uint64_t generation, std::size_t lost_messages,
                        const kj::Exception& error);
  void RetryLater();

  Context context_;
  model::HostName name_;
  std::string address_;
  /// Number of messages that are reserved and not yet sent or dropped.
  std::atomic<std::size_t> reserved_{0};
  std::deque<Queued> queue_;
  kj::Own<Connection> connection_;
  /// Identifies the connection that a pending call belongs to.
  std::uint64_t generation_ = 0;
  std::size_t in_flight_ = 0;
  /// Set when the peer has closed the connection and the node waits before it
  /// reconnects. It then reconnects even if the queue is empty, to learn
  /// whether the peer refuses the connection.
  bool disconnect_unconfirmed_ = false;
  bool connecting_ = false;
  bool stopped_ = false;
  /// Set when Push has returned true and Flush has not been called since.
  bool flush_pending_ = false;
  std::chrono::milliseconds reconnect_delay_;
};

}  // namespace berylreach::transport
