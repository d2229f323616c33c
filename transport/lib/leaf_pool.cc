// Calls of one leaf.
#include "leaf_pool.h"

#include <algorithm>
#include <utility>

#include "berylreach/config/leaf_answer_codec.h"
#include "berylreach/config/leaf_call_codec.h"

namespace berylreach::transport {

LeafPool::LeafPool(const Context& context, model::LeafName leaf)
    : context_(context), leaf_(std::move(leaf)), status_timer_(context.io) {}

void LeafPool::Submit(model::UpstreamCall call) {
  SetPlace(call.address, call.connections);
  std::string request =
      FormatRequest("POST", "/v1/call", address_, config::EncodeLeafCall(call));
  auto flight = std::make_shared<LeafFlight>(context_.io, std::move(call),
                                             std::move(request));
  if (queue_.size() >= context_.options.leaf_queue ||
      !flights_.emplace(flight->call.id, flight).second) {
    Report(flight, model::LeafOutcome::kNotSent);
    return;
  }
  queue_.push_back(flight);
  ArmTimer(flight);
  Pump();
}

void LeafPool::Pump() {
  while (!closed_ && !verifying_ && !queue_.empty()) {
    const ConnectionPtr connection = TakeIdle();
    if (std::exchange(lost_all_, false)) VerifyIncarnation();
    if (!connection) break;
    const FlightPtr flight = queue_.front();
    queue_.pop_front();
    Write(flight, connection, true);
  }
  while (!closed_ && !verifying_ && opening_ < queue_.size() &&
         open_.size() < limit_)
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
  const FlightPtr flight = queue_.front();
  queue_.pop_front();
  Write(flight, connection, false);
}

void LeafPool::Write(const FlightPtr& flight, const ConnectionPtr& connection,
                     bool reused) {
  flight->reused = reused;
  flight->incarnation = incarnation_;
  const auto now = context_.clock.Now();
  if (now >= flight->call.not_after) {
    idle_.push_back(connection);
    Report(flight, model::LeafOutcome::kNotSent);
    Forget(flight);
    return;
  }
  // Nothing may come between the check above and the write.
  flight->connection = connection;
  flight->written_at = now;
  connection->Send(flight->request,
                   [self = shared_from_this(), flight](Exchange exchange) {
                     self->OnExchange(flight, exchange);
                   });
  if (flight->connection) ArmTimer(flight);
}

void LeafPool::OnExchange(const FlightPtr& flight, const Exchange& exchange) {
  switch (exchange.end) {
    case ExchangeEnd::kAnswered:
      OnAnswer(flight, exchange);
      break;
    case ExchangeEnd::kNotWritten:
      OnNotWritten(flight);
      break;
    case ExchangeEnd::kLost:
      Drop(std::exchange(flight->connection, nullptr));
      if (flight->reported) {
        Forget(flight);
      } else if (!flight->probing) {
        Investigate(flight, 0);
      }
      break;
  }
  Pump();
}

void LeafPool::OnAnswer(const FlightPtr& flight, const Exchange& exchange) {
  const ConnectionPtr connection = std::exchange(flight->connection, nullptr);
  auto answer = config::ParseLeafAnswer(exchange.response.result_int(),
                                        exchange.response.body());
  if (!answer.value || !config::BelongsTo(*answer.value, flight->call)) {
    Drop(connection);
    Report(flight, model::LeafOutcome::kLost);
    Forget(flight);
    return;
  }
  model::UpstreamResult& result = *answer.value;
  result.leaf = leaf_;
  if (result.incarnation != 0) incarnation_ = result.incarnation;
  Return(connection);
  if (!flight->reported) {
    flight->reported = true;
    context_.on_result(std::move(result));
  }
  Forget(flight);
}

void LeafPool::OnNotWritten(const FlightPtr& flight) {
  Drop(std::exchange(flight->connection, nullptr));
  if (flight->reused) {
    // The kernel took no byte, so another connection may carry the call.
    queue_.push_front(flight);
    return;
  }
  Report(flight, model::LeafOutcome::kNotSent, true);
  Forget(flight);
}

base::TimePoint LeafPool::DeadlineOf(const model::UpstreamCall& call) const {
  const auto left = call.deadline - context_.clock.WallNow();
  return context_.clock.Now() +
         std::chrono::duration_cast<base::Duration>(left);
}

void LeafPool::ArmTimer(const FlightPtr& flight) {
  base::TimePoint when = flight->call.not_after;
  if (flight->connection) {
    when = DeadlineOf(flight->call);
    if (!flight->probed)
      when = std::min(when, flight->written_at +
                                context_.silent_after(flight->call.service));
  }
  flight->timer.expires_after(when - context_.clock.Now());
  flight->timer.async_wait(
      [self = shared_from_this(), flight](const ErrorCode& error) {
        if (!error && !self->closed_) self->OnTimer(flight);
      });
}

void LeafPool::OnTimer(const FlightPtr& flight) {
  const auto now = context_.clock.Now();
  if (!flight->connection) {
    const auto queued = std::find(queue_.begin(), queue_.end(), flight);
    if (queued == queue_.end()) return;
    if (now < flight->call.not_after) {
      ArmTimer(flight);
      return;
    }
    queue_.erase(queued);
    Report(flight, model::LeafOutcome::kNotSent);
    Forget(flight);
    return;
  }
  if (now >= DeadlineOf(flight->call)) {
    OnTimeOut(flight);
    return;
  }
  const auto silent_after = context_.silent_after(flight->call.service);
  if (!flight->probed && now - flight->written_at >= silent_after) {
    flight->probed = true;
    ProbeSilent(flight);
  }
  ArmTimer(flight);
}

void LeafPool::OnTimeOut(const FlightPtr& flight) {
  Report(flight, model::LeafOutcome::kTimedOut);
  SendCancel(flight->call.id);
  flight->timer.expires_after(context_.options.late_answer_wait);
  flight->timer.async_wait(
      [self = shared_from_this(), flight](const ErrorCode& error) {
        if (error || self->closed_ || !flight->connection) return;
        self->Drop(std::exchange(flight->connection, nullptr));
        self->Forget(flight);
        self->Pump();
      });
}

void LeafPool::Cancel(const model::CallId& id) {
  const auto found = flights_.find(id);
  if (found == flights_.end()) return;
  const FlightPtr flight = found->second;
  const auto queued = std::find(queue_.begin(), queue_.end(), flight);
  if (queued != queue_.end()) {
    queue_.erase(queued);
    Report(flight, model::LeafOutcome::kNotSent);
    Forget(flight);
  } else if (flight->connection) {
    SendCancel(id);
  }
}

void LeafPool::Report(const FlightPtr& flight, model::LeafOutcome outcome,
                      bool connect_failed) {
  if (std::exchange(flight->reported, true)) return;
  model::UpstreamResult result;
  result.id = flight->call.id;
  result.leaf = leaf_;
  result.outcome = outcome;
  result.connect_failed = connect_failed;
  if (outcome == model::LeafOutcome::kLeafDied)
    result.incarnation = incarnation_;
  context_.on_result(std::move(result));
}

void LeafPool::Forget(const FlightPtr& flight) {
  flight->timer.cancel();
  flights_.erase(flight->call.id);
  if (released_ && flights_.empty()) DropIdle();
}

}  // namespace berylreach::transport
