// Queues, sends and times out the calls to one leaf.
#include "leaf_pool.h"

#include <algorithm>
#include <utility>

#include "berylreach/config/leaf_answer_codec.h"
#include "berylreach/config/leaf_call_codec.h"

namespace berylreach::transport {

LeafPool::LeafPool(const Context& context, model::LeafName leaf)
    : context_(context), leaf_(std::move(leaf)), status_timer_(context.io) {}

void LeafPool::Submit(model::UpstreamCall call) {
  SetAddress(call.address, call.max_connections);
  std::string request =
      FormatRequest("POST", "/v1/call", address_, config::EncodeLeafCall(call));
  auto pending = std::make_shared<PendingLeafCall>(context_.io, std::move(call),
                                                   std::move(request));
  if (queue_.size() >= context_.options.max_queued_calls ||
      !pending_calls_.emplace(pending->call.id, pending).second) {
    Report(pending, model::LeafOutcome::kNotSent);
    return;
  }
  queue_.push_back(pending);
  ArmTimer(pending);
  SendQueued();
}

void LeafPool::SendQueued() {
  while (!closed_ && !verifying_ && !queue_.empty()) {
    const ConnectionPtr connection = TakeIdle();
    if (std::exchange(all_connections_lost_, false)) VerifyIncarnation();
    if (!connection) break;
    const PendingCallPtr pending = queue_.front();
    queue_.pop_front();
    Write(pending, connection, true);
  }
  while (!closed_ && !verifying_ && opening_ < queue_.size() &&
         open_.size() < max_connections_)
    Open();
}

void LeafPool::OnOpened(const ConnectionPtr& connection,
                        const ErrorCode& error) {
  --opening_;
  if (error) {
    Drop(connection);
    FailQueued();
    return;
  }
  if (queue_.empty()) {
    idle_.push_back(connection);
    return;
  }
  const PendingCallPtr pending = queue_.front();
  queue_.pop_front();
  Write(pending, connection, false);
}

void LeafPool::Write(const PendingCallPtr& pending,
                     const ConnectionPtr& connection, bool reused) {
  pending->reused = reused;
  pending->incarnation = incarnation_;
  const auto now = context_.clock.Now();
  if (now >= pending->call.not_after) {
    idle_.push_back(connection);
    Report(pending, model::LeafOutcome::kNotSent);
    RemoveCall(pending);
    return;
  }
  // Nothing may run between the check of `not_after` and the write, because a
  // delay there could write the call too late.
  pending->connection = connection;
  pending->written_at = now;
  connection->Send(pending->request,
                   [self = shared_from_this(), pending](Exchange exchange) {
                     self->OnExchange(pending, exchange);
                   });
  if (pending->connection) ArmTimer(pending);
}

void LeafPool::OnExchange(const PendingCallPtr& pending,
                          const Exchange& exchange) {
  switch (exchange.outcome) {
    case ExchangeOutcome::kAnswered:
      OnAnswer(pending, exchange);
      break;
    case ExchangeOutcome::kNotWritten:
      OnNotWritten(pending);
      break;
    case ExchangeOutcome::kLost:
      Drop(std::exchange(pending->connection, nullptr));
      if (pending->reported) {
        RemoveCall(pending);
      } else if (!pending->probing) {
        DetermineLossCause(pending, 0);
      }
      break;
  }
  SendQueued();
}

void LeafPool::OnAnswer(const PendingCallPtr& pending,
                        const Exchange& exchange) {
  const ConnectionPtr connection = std::exchange(pending->connection, nullptr);
  auto answer = config::ParseLeafAnswer(exchange.response.result_int(),
                                        exchange.response.body());
  if (!answer.value || !config::MatchesCall(*answer.value, pending->call)) {
    Drop(connection);
    Report(pending, model::LeafOutcome::kLost);
    RemoveCall(pending);
    return;
  }
  model::UpstreamResult& result = *answer.value;
  result.leaf = leaf_;
  if (result.incarnation != 0) incarnation_ = result.incarnation;
  ReturnToPool(connection);
  if (!pending->reported) {
    pending->reported = true;
    context_.on_result(std::move(result));
  }
  RemoveCall(pending);
}

void LeafPool::OnNotWritten(const PendingCallPtr& pending) {
  Drop(std::exchange(pending->connection, nullptr));
  if (pending->reused) {
    // The kernel accepted no byte, so the call may be sent on another
    // connection.
    queue_.push_front(pending);
    return;
  }
  Report(pending, model::LeafOutcome::kNotSent, true);
  RemoveCall(pending);
}

base::TimePoint LeafPool::DeadlineOf(const model::UpstreamCall& call) const {
  const auto left = call.deadline - context_.clock.WallNow();
  return context_.clock.Now() +
         std::chrono::duration_cast<base::Duration>(left);
}

void LeafPool::ArmTimer(const PendingCallPtr& pending) {
  base::TimePoint when = pending->call.not_after;
  if (pending->connection) {
    when = DeadlineOf(pending->call);
    if (!pending->was_probed)
      when = std::min(when, pending->written_at + context_.silence_threshold(
                                                      pending->call.service));
  }
  pending->timer.expires_after(when - context_.clock.Now());
  pending->timer.async_wait(
      [self = shared_from_this(), pending](const ErrorCode& error) {
        if (!error && !self->closed_) self->OnTimer(pending);
      });
}

void LeafPool::OnTimer(const PendingCallPtr& pending) {
  const auto now = context_.clock.Now();
  if (!pending->connection) {
    const auto queued = std::find(queue_.begin(), queue_.end(), pending);
    if (queued == queue_.end()) return;
    if (now < pending->call.not_after) {
      ArmTimer(pending);
      return;
    }
    queue_.erase(queued);
    Report(pending, model::LeafOutcome::kNotSent);
    RemoveCall(pending);
    return;
  }
  if (now >= DeadlineOf(pending->call)) {
    OnTimeOut(pending);
    return;
  }
  const auto silence_threshold =
      context_.silence_threshold(pending->call.service);
  if (!pending->was_probed && now - pending->written_at >= silence_threshold) {
    pending->was_probed = true;
    ProbeSilentConnection(pending);
  }
  ArmTimer(pending);
}

void LeafPool::OnTimeOut(const PendingCallPtr& pending) {
  Report(pending, model::LeafOutcome::kTimedOut);
  SendCancel(pending->call.id);
  pending->timer.expires_after(context_.options.late_answer_wait);
  pending->timer.async_wait(
      [self = shared_from_this(), pending](const ErrorCode& error) {
        if (error || self->closed_ || !pending->connection) return;
        self->Drop(std::exchange(pending->connection, nullptr));
        self->RemoveCall(pending);
        self->SendQueued();
      });
}

void LeafPool::Cancel(const model::CallId& id) {
  const auto found = pending_calls_.find(id);
  if (found == pending_calls_.end()) return;
  const PendingCallPtr pending = found->second;
  const auto queued = std::find(queue_.begin(), queue_.end(), pending);
  if (queued != queue_.end()) {
    queue_.erase(queued);
    Report(pending, model::LeafOutcome::kNotSent);
    RemoveCall(pending);
  } else if (pending->connection) {
    SendCancel(id);
  }
}

void LeafPool::Report(const PendingCallPtr& pending, model::LeafOutcome outcome,
                      bool connect_failed) {
  if (std::exchange(pending->reported, true)) return;
  model::UpstreamResult result;
  result.id = pending->call.id;
  result.leaf = leaf_;
  result.outcome = outcome;
  result.connect_failed = connect_failed;
  if (outcome == model::LeafOutcome::kLeafCrashed)
    result.incarnation = incarnation_;
  context_.on_result(std::move(result));
}

void LeafPool::RemoveCall(const PendingCallPtr& pending) {
  pending->timer.cancel();
  pending_calls_.erase(pending->call.id);
  if (released_ && pending_calls_.empty()) DropIdle();
}

}  // namespace berylreach::transport
