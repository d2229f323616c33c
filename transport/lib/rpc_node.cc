// The RPC thread, which accepts connections, sends messages and executes work
// that other threads have queued.
#include "berylreach/transport/rpc_node.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

#include "coalescing_stream.h"
#include "rpc_node_impl.h"
#include "rpc_service.h"

namespace berylreach::transport {
namespace {

/// Maximum number of messages that the RPC thread has not taken yet.
constexpr std::size_t kOutgoingCapacity = 16384;

// With these values TCP keepalive takes about 25 s to detect a peer that has
// disappeared without closing its connection.
constexpr int kKeepAliveIdleSeconds = 10;
constexpr int kKeepAliveIntervalSeconds = 5;
constexpr int kKeepAliveProbes = 3;

/// Delay after a failed accept.
constexpr kj::Duration kAcceptRetryDelay = 100 * kj::MILLISECONDS;

void SetOption(kj::AsyncIoStream& stream, int level, int option, int value) {
  stream.setsockopt(level, option, &value, sizeof(value));
}

void EnableKeepAlive(kj::AsyncIoStream& stream) {
  SetOption(stream, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(stream, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetOption(stream, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetOption(stream, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

}  // namespace

RpcNode::Impl::Impl(RpcOptions node_options, Callback on_messages,
                    PeerDisconnectedCallback on_peer_disconnected)
    : options_(std::move(node_options)),
      on_messages_(std::move(on_messages)),
      on_peer_disconnected_(std::move(on_peer_disconnected)),
      outgoing_(kOutgoingCapacity, [this] { Wake(); }),
      wake_fd_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {}

RpcNode::Impl::~Impl() {
  stop_ = true;
  Wake();
  if (thread_.joinable()) thread_.join();
  close(wake_fd_);
}

std::optional<BindError> RpcNode::Impl::Start() {
  std::promise<std::optional<BindError>> started;
  auto result = started.get_future();
  thread_ = std::thread([this, started = std::move(started)]() mutable {
    Run(std::move(started));
  });
  return result.get();
}

bool RpcNode::Impl::Send(const model::HostName& to, model::PeerMessage message,
                         base::Wakeup wakeup) {
  std::shared_ptr<RpcPeer> peer;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    const auto found = peers_.find(to);
    if (found == peers_.end()) return false;
    peer = found->second;
  }
  if (!peer->Reserve()) return false;
  if (outgoing_.TryPush({peer, std::move(message)}, wakeup)) return true;
  peer->Unreserve();
  return false;
}

void RpcNode::Impl::SetPeers(std::map<model::HostName, std::string> peers) {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    Peers next;
    for (auto& [name, peer_address] : peers) {
      const auto found = peers_.find(name);
      const bool kept =
          found != peers_.end() && found->second->address() == peer_address;
      next[name] =
          kept ? found->second
               : std::make_shared<RpcPeer>(*context_, name, peer_address);
    }
    for (const auto& [name, peer] : peers_) {
      const auto found = next.find(name);
      if (found == next.end() || found->second != peer)
        removed_peers_.push_back(peer);
    }
    peers_.swap(next);
  }
  Wake();
}

void RpcNode::Impl::StopRemovedPeers() {
  std::vector<std::shared_ptr<RpcPeer>> removed;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    removed.swap(removed_peers_);
  }
  for (const auto& peer : removed) peer->Stop();
}

void RpcNode::Impl::Run(std::promise<std::optional<BindError>> started) {
  try {
    RunLoop(started);
  } catch (const kj::Exception& error) {
    if (listening_) throw;
    started.set_value(BindError{options_.address,
                                std::string(error.getDescription().cStr())});
  }
}

void RpcNode::Impl::RunLoop(std::promise<std::optional<BindError>>& started) {
  auto io = kj::setupAsyncIo();
  auto local = io.provider->getNetwork()
                   .parseAddress(options_.address)
                   .wait(io.waitScope);
  auto receiver = local->listen();
  const std::string& configured = options_.address;
  address = configured.substr(0, configured.rfind(':') + 1) +
            std::to_string(receiver->getPort());
  kj::UnixEventPort::FdObserver observer(
      io.unixEventPort, wake_fd_, kj::UnixEventPort::FdObserver::OBSERVE_READ);
  capnp::TwoPartyServer server(kj::heap<RpcService>(on_messages_, dropped));
  kj::TaskSet tasks(*this);
  context_.emplace(
      RpcPeer::Context{options_, io, tasks, dropped, on_peer_disconnected_});
  auto stopped = kj::newPromiseAndFulfiller<void>();
  stopped_ = kj::mv(stopped.fulfiller);
  tasks.add(AcceptLoop(*receiver, server));
  tasks.add(WaitForWake(observer));
  listening_ = true;
  started.set_value(std::nullopt);
  stopped.promise.wait(io.waitScope);
  SetPeers({});
  StopRemovedPeers();
  stopped_ = nullptr;
}

kj::Promise<void> RpcNode::Impl::WaitForWake(
    kj::UnixEventPort::FdObserver& observer) {
  return observer.whenBecomesReadable().then([this, &observer] {
    // The counter must be cleared before the work is taken, so that work queued
    // afterwards wakes the loop again.
    std::uint64_t count = 0;
    while (read(wake_fd_, &count, sizeof(count)) > 0) {
    }
    ExecuteQueuedWork();
    return WaitForWake(observer);
  });
}

kj::Promise<void> RpcNode::Impl::AcceptLoop(kj::ConnectionReceiver& receiver,
                                            capnp::TwoPartyServer& server) {
  return receiver.accept()
      .then([&server](kj::Own<kj::AsyncIoStream> stream) -> kj::Promise<void> {
        EnableKeepAlive(*stream);
        server.accept(kj::heap<CoalescingStream>(kj::mv(stream)));
        return kj::READY_NOW;
      })
      .catch_([this](kj::Exception&& /*error*/) {
        // A shortage of file descriptors may last for a while.
        return context_->io.provider->getTimer().afterDelay(kAcceptRetryDelay);
      })
      .then(
          [this, &receiver, &server] { return AcceptLoop(receiver, server); });
}

void RpcNode::Impl::Wake() {
  const std::uint64_t one = 1;
  // The write fails only if the counter is at its maximum. The loop is woken
  // then anyway, so the result is ignored.
  [[maybe_unused]] const auto written = write(wake_fd_, &one, sizeof(one));
}

void RpcNode::Impl::ExecuteQueuedWork() {
  if (stop_) {
    stopped_->fulfill();
    return;
  }
  StopRemovedPeers();
  std::vector<std::shared_ptr<RpcPeer>> peers_to_flush;
  for (Outgoing& outgoing : outgoing_.Drain()) {
    if (outgoing.peer->Push(std::move(outgoing.message)))
      peers_to_flush.push_back(std::move(outgoing.peer));
  }
  for (const auto& peer : peers_to_flush) peer->Flush();
}

void RpcNode::Impl::taskFailed(kj::Exception&& /*exception*/) {
  // Tasks handle their own failures. If the accept loop or the wake loop ended
  // nevertheless, calls from peers would time out and the host would lose its
  // lease.
}

BindResult<std::unique_ptr<RpcNode>> RpcNode::Open(
    RpcOptions options, Callback on_messages,
    PeerDisconnectedCallback on_peer_disconnected) {
  auto impl = std::make_unique<Impl>(std::move(options), std::move(on_messages),
                                     std::move(on_peer_disconnected));
  if (auto error = impl->Start()) return *error;
  return std::unique_ptr<RpcNode>(new RpcNode(std::move(impl)));
}

RpcNode::RpcNode(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

RpcNode::~RpcNode() = default;

const std::string& RpcNode::address() const { return impl_->address; }

bool RpcNode::Send(const model::HostName& to, model::PeerMessage message,
                   base::Wakeup wakeup) {
  return impl_->Send(to, std::move(message), wakeup);
}

void RpcNode::Flush() { impl_->Flush(); }

void RpcNode::SetPeers(std::map<model::HostName, std::string> peers) {
  impl_->SetPeers(std::move(peers));
}

std::uint64_t RpcNode::dropped_messages() const { return impl_->dropped; }

}  // namespace berylreach::transport
