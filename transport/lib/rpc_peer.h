// The sending side towards one peer; used on the RPC thread.
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

/// Connects to a peer, sends batches and reconnects with back-off.
class RpcPeer : public std::enable_shared_from_this<RpcPeer> {
 public:
  /// What a peer shares with its node. Outlives all peers.
  struct Context {
    const RpcOptions& options;
    kj::AsyncIoContext& io;
    kj::TaskSet& tasks;
    std::atomic<std::uint64_t>& dropped;
    const RpcNode::PeerDisconnectedCallback& on_disconnected;
  };

  RpcPeer(Context context, model::HostName name, std::string address);

  const std::string& address() const { return address_; }

  /// Counts a message that is about to be queued; false if the queue is full.
  /// Callable from any thread.
  bool Reserve();

  /// Takes back a Reserve. Callable from any thread.
  void Unreserve() { --reserved_; }

  /// Queues a message for which Reserve succeeded. True if a Flush is due that
  /// no earlier Push has asked for.
  bool Push(model::PeerMessage message);

  /// Sends what is queued as far as calls may be in flight; connects if need
  /// be.
  void Flush();

  /// Closes the connection for good and drops the queue.
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
    /// Responses since the last batch. Dropping one tells the peer that the
    /// call is finished, which then travels with the next batch and not by
    /// itself.
    std::vector<DeliverResponse> responses;
  };

  void Connect();
  void OnConnected(kj::Own<kj::AsyncIoStream> stream);
  void SendBatch();
  static std::uint64_t EstimateWords(const std::vector<Queued>& batch);
  std::vector<Queued> TakeBatch();
  void DropExpired();
  void OnReturn(std::uint64_t generation, DeliverResponse response);
  void WatchConnection();
  void OnConnectFailed(const kj::Exception& error);
  /// Drops the connection of `generation` and reconnects: at once if it was
  /// reset and had worked, otherwise after a pause.
  void OnConnectionLost(std::uint64_t generation, std::size_t lost_messages,
                        const kj::Exception& error);
  void RetryLater();

  Context context_;
  model::HostName name_;
  std::string address_;
  /// Reserved and not yet sent or dropped.
  std::atomic<std::size_t> reserved_{0};
  std::deque<Queued> queue_;
  kj::Own<Connection> connection_;
  /// Identifies the connection that a pending call belongs to.
  std::uint64_t generation_ = 0;
  std::size_t in_flight_ = 0;
  /// A connection was reset and no attempt to reconnect has been refused yet.
  bool disconnect_unconfirmed_ = false;
  bool connecting_ = false;
  bool stopped_ = false;
  bool flush_pending_ = false;
  std::chrono::milliseconds reconnect_delay_;
};

}  // namespace berylreach::transport
