// State of an RpcNode and of its thread.
#pragma once

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/async-unix.h>

#include <atomic>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "berylreach/base/channel.h"
#include "berylreach/transport/rpc_node.h"
#include "rpc_peer.h"

namespace berylreach::transport {

struct RpcNode::Impl : private kj::TaskSet::ErrorHandler {
  Impl(RpcOptions node_options, Callback on_messages,
       PeerDisconnectedCallback on_peer_disconnected);
  ~Impl();

  /// Starts the thread; returns an error if it cannot listen.
  std::optional<BindError> Start();
  bool Send(const model::HostName& to, model::PeerMessage message,
            base::Wakeup wakeup);
  void Flush() { outgoing_.Flush(); }
  void SetPeers(std::map<model::HostName, std::string> peers);

  std::string address;
  std::atomic<std::uint64_t> dropped{0};

 private:
  struct Outgoing {
    std::shared_ptr<RpcPeer> peer;
    model::PeerMessage message;
  };
  using Peers = std::map<model::HostName, std::shared_ptr<RpcPeer>>;

  void Run(std::promise<std::optional<BindError>> started);
  void RunLoop(std::promise<std::optional<BindError>>& started);
  kj::Promise<void> WaitForWake(kj::UnixEventPort::FdObserver& observer);
  kj::Promise<void> AcceptLoop(kj::ConnectionReceiver& receiver,
                               capnp::TwoPartyServer& server);
  void Wake();
  /// Executes the work that other threads have queued.
  void ExecuteQueuedWork();
  void StopRemovedPeers();
  void taskFailed(kj::Exception&& exception) override;

  const RpcOptions options_;
  const Callback on_messages_;
  const PeerDisconnectedCallback on_peer_disconnected_;
  base::Channel<Outgoing> outgoing_;
  /// An eventfd through which other threads wake the RPC thread.
  const int wake_fd_;
  std::atomic<bool> stop_{false};
  std::mutex mutex_;
  /// Guarded by mutex_.
  Peers peers_;
  /// Peers that the RPC thread is to stop. Guarded by mutex_.
  std::vector<std::shared_ptr<RpcPeer>> removed_peers_;
  /// Whether the node listens. Used on the RPC thread only.
  bool listening_ = false;
  /// Set before Start returns without an error.
  std::optional<RpcPeer::Context> context_;
  /// Fulfilled to end the loop of the RPC thread.
  kj::Own<kj::PromiseFulfiller<void>> stopped_;
  std::thread thread_;
};

}  // namespace berylreach::transport
