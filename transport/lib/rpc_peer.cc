// Sends messages to one peer in batches.
#include "rpc_peer.h"

#include <algorithm>
#include <utility>

#include "coalescing_stream.h"
#include "peer_codec.h"

namespace berylreach::transport {
namespace {

/// Messages that wait longer than this for a connection are dropped, because
/// their senders have timed out by then or will send newer ones.
constexpr std::chrono::seconds kMaxQueueTime{2};

/// Size of a call in words without its messages.
constexpr std::uint64_t kCallOverheadWords = 32;

kj::Duration ToKj(std::chrono::milliseconds time) {
  return time.count() * kj::MILLISECONDS;
}

/// Subtracts the time spent in the queue from the time budget of a message.
struct BudgetReducer {
  std::chrono::microseconds queue_time;

  void operator()(model::LeafCall& call) const { Reduce(call.budget); }
  void operator()(model::OrderForward& order) const { Reduce(order.budget); }
  template <typename Other>
  void operator()(Other& /*message*/) const {}

  void Reduce(std::chrono::microseconds& budget) const {
    budget = std::max(budget - queue_time, std::chrono::microseconds(0));
  }
};

}  // namespace

RpcPeer::Connection::Connection(kj::Own<kj::AsyncIoStream> opened)
    : stream(kj::heap<CoalescingStream>(kj::mv(opened))),
      client(*stream),
      peer(client.bootstrap().castAs<rpc::Peer>()) {}

RpcPeer::RpcPeer(Context context, model::HostName name, std::string address)
    : context_(context),
      name_(std::move(name)),
      address_(std::move(address)),
      reconnect_delay_(context.options.min_reconnect_delay) {}

bool RpcPeer::Reserve() {
  if (reserved_.fetch_add(1) < context_.options.max_queued_messages)
    return true;
  --reserved_;
  return false;
}

bool RpcPeer::Push(model::PeerMessage message) {
  if (stopped_) {
    --reserved_;
    ++context_.dropped;
    return false;
  }
  queue_.push_back({std::move(message), base::TimePoint::clock::now()});
  return !std::exchange(flush_pending_, true);
}

void RpcPeer::Flush() {
  flush_pending_ = false;
  if (stopped_) return;
  DropExpired();
  if (queue_.empty()) return;
  if (connection_.get() == nullptr) {
    Connect();
    return;
  }
  while (!queue_.empty() && in_flight_ < context_.options.max_calls_in_flight)
    SendBatch();
}

void RpcPeer::Stop() {
  stopped_ = true;
  ++generation_;
  context_.dropped += queue_.size();
  reserved_ -= queue_.size();
  queue_.clear();
  connection_ = nullptr;
}

void RpcPeer::Connect() {
  if (connecting_) return;
  connecting_ = true;
  auto attempt = context_.io.provider->getNetwork().parseAddress(address_).then(
      [](kj::Own<kj::NetworkAddress> address) {
        auto connecting = address->connect();
        return connecting.attach(kj::mv(address));
      });
  auto self = shared_from_this();
  context_.tasks.add(
      context_.io.provider->getTimer()
          .timeoutAfter(ToKj(context_.options.call_timeout), kj::mv(attempt))
          .then(
              [self](kj::Own<kj::AsyncIoStream> stream) {
                self->OnConnected(kj::mv(stream));
              },
              [self](kj::Exception&& error) { self->OnConnectFailed(error); }));
}

void RpcPeer::OnConnected(kj::Own<kj::AsyncIoStream> stream) {
  connecting_ = false;
  if (stopped_) return;
  ++generation_;
  in_flight_ = 0;
  connection_ = kj::heap<Connection>(kj::mv(stream));
  WatchConnection();
  Flush();
}

void RpcPeer::WatchConnection() {
  // A delivery returns before its messages are answered, and the replies arrive
  // on another connection. While this host waits for them, there may be no call
  // in flight whose failure would show that this connection was closed.
  auto self = shared_from_this();
  context_.tasks.add(connection_->client.onDisconnect().then(
      [self, generation = generation_] {
        self->OnConnectionLost(generation, 0,
                               KJ_EXCEPTION(DISCONNECTED, "connection closed"));
      },
      [](kj::Exception&& /*error*/) {}));
}

void RpcPeer::OnConnectFailed(const kj::Exception& error) {
  // A connect that times out does not prove that the peer has ended, because
  // the peer may only be unresponsive.
  const bool refused = error.getType() == kj::Exception::Type::DISCONNECTED;
  if (refused && !stopped_ && context_.on_disconnected)
    context_.on_disconnected(name_);
  RetryLater();
}

void RpcPeer::DropExpired() {
  const auto oldest = base::TimePoint::clock::now() - kMaxQueueTime;
  while (!queue_.empty() && queue_.front().queued_at < oldest) {
    queue_.pop_front();
    --reserved_;
    ++context_.dropped;
  }
}

std::vector<RpcPeer::Queued> RpcPeer::TakeBatch() {
  std::vector<Queued> batch;
  std::size_t bytes = 0;
  while (!queue_.empty() &&
         batch.size() < context_.options.max_batch_messages &&
         bytes < context_.options.max_batch_bytes) {
    bytes += EstimateSize(queue_.front().message);
    batch.push_back(std::move(queue_.front()));
    queue_.pop_front();
    --reserved_;
  }
  return batch;
}

std::uint64_t RpcPeer::EstimateWords(const std::vector<Queued>& batch) {
  std::size_t bytes = 0;
  for (const Queued& queued : batch) bytes += EstimateSize(queued.message);
  return bytes / sizeof(capnp::word) + kCallOverheadWords;
}

void RpcPeer::SendBatch() {
  auto batch = TakeBatch();
  connection_->responses.clear();
  // Without a size hint each call clears 8 KB for its message.
  auto request = connection_->peer.deliverRequest(
      capnp::MessageSize{EstimateWords(batch), 0});
  auto messages = request.initMessages(batch.size());
  const auto now = base::TimePoint::clock::now();
  for (std::uint32_t i = 0; i < batch.size(); ++i) {
    const auto queue_time =
        std::chrono::duration_cast<std::chrono::microseconds>(
            now - batch[i].queued_at);
    std::visit(BudgetReducer{queue_time}, batch[i].message);
    messages[i].setFrom(context_.options.self.value);
    messages[i].setIncarnation(context_.options.incarnation);
    EncodeMessage(batch[i].message, messages[i]);
  }
  ++in_flight_;
  auto self = shared_from_this();
  context_.tasks.add(
      context_.io.provider->getTimer()
          .timeoutAfter(ToKj(context_.options.call_timeout),
                        request.send().then([](DeliverResponse&& response) {
                          return kj::mv(response);
                        }))
          .then(
              [self, generation = generation_](DeliverResponse&& response) {
                self->OnReturn(generation, kj::mv(response));
              },
              [self, generation = generation_,
               lost_messages = batch.size()](kj::Exception&& error) {
                self->OnConnectionLost(generation, lost_messages, error);
              }));
}

void RpcPeer::OnReturn(std::uint64_t generation, DeliverResponse response) {
  if (generation != generation_) return;
  connection_->responses.push_back(kj::mv(response));
  reconnect_delay_ = context_.options.min_reconnect_delay;
  --in_flight_;
  Flush();
}

void RpcPeer::OnConnectionLost(std::uint64_t generation,
                               std::size_t lost_messages,
                               const kj::Exception& error) {
  context_.dropped += lost_messages;
  if (generation != generation_) return;
  ++generation_;
  // The connection must not be destroyed inside a continuation of its own call.
  context_.tasks.add(kj::evalLater(
      [closed = kj::mv(connection_)]() mutable { closed = nullptr; }));
  const bool reset = error.getType() == kj::Exception::Type::DISCONNECTED;
  // The delay is the minimum only if a call has returned since the last
  // failure. This keeps a peer that accepts connections and closes them from
  // being retried in a busy loop.
  const bool calls_returned =
      reconnect_delay_ == context_.options.min_reconnect_delay;
  if (reset && calls_returned && !stopped_) {
    reconnect_delay_ =
        std::min(2 * reconnect_delay_, context_.options.max_reconnect_delay);
    connecting_ = false;
    Connect();
    return;
  }
  connecting_ = true;
  disconnect_unconfirmed_ = reset;
  RetryLater();
}

void RpcPeer::RetryLater() {
  if (stopped_) return;
  auto self = shared_from_this();
  context_.tasks.add(
      context_.io.provider->getTimer()
          .afterDelay(ToKj(reconnect_delay_))
          .then([self] {
            self->connecting_ = false;
            // The previous connection may have been accepted by a process that
            // was exiting. Only this attempt shows whether the process has
            // ended.
            if (std::exchange(self->disconnect_unconfirmed_, false))
              self->Connect();
            self->Flush();
          }));
  reconnect_delay_ =
      std::min(2 * reconnect_delay_, context_.options.max_reconnect_delay);
}

}  // namespace berylreach::transport
