// Admission, queueing and execution of calls by a leaf stand-in.
#include "berylreach/standins/leaf_model.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "berylreach/config/leaf_answer_codec.h"
#include "berylreach/config/leaf_call_codec.h"
#include "berylreach/config/leaf_status_codec.h"
#include "berylreach/config/request_kind_name.h"

namespace berylreach::standins {
namespace {

using model::RequestKind;

/// Maximum number of distinct payloads that are counted; it bounds the memory
/// used in load tests.
constexpr std::size_t kMaxPayloads = 100'000;

std::int64_t UnixMicroseconds() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// The key under which a call is counted: its own, or its payload if it has
/// none.
const std::string& KeyOf(const model::UpstreamCall& call) {
  return call.key.empty() ? call.payload : call.key;
}

}  // namespace

LeafModel::LeafModel(transport::HttpServer& server, LeafOptions options,
                     std::uint64_t incarnation)
    : server_(server),
      options_(std::move(options)),
      incarnation_(incarnation),
      holdings_{{1, static_cast<std::uint32_t>(options_.shard),
                 static_cast<std::uint32_t>(options_.shard_count)}},
      random_(static_cast<std::uint64_t>(behaviour_.seed)) {}

void LeafModel::Serve(const transport::HttpRequest& request) {
  // A silent connection stays open, but its requests get no response.
  if (request.token.connection < silent_before_) return;
  if (request.target == "/v1/call") {
    ServeCall(request);
  } else if (request.target == "/v1/cancel") {
    ServeCancel(request);
  } else if (request.target == "/v1/status") {
    ServeStatus(request);
  } else {
    Reply(request.token, 404, R"({"error":"not_found"})");
  }
}

void LeafModel::ServeCall(const transport::HttpRequest& request) {
  counters_.last_new_call_unix_us = UnixMicroseconds();
  auto call = config::ParseLeafCall(request.body);
  if (call.value) {
    Admit({request.token, std::move(*call.value)});
  } else {
    Reply(request.token, 400, R"({"error":"bad_request"})");
  }
}

void LeafModel::Admit(Call call) {
  if (RefuseIfNeeded(call)) return;
  const auto running = static_cast<std::int64_t>(running_.size());
  if (behaviour_.cold > 0 && running >= 1) {
    ++counters_.failed_cold;
    ReplyError(call, 500, "cold", false);
  } else if (running < options_.slots) {
    Run(std::move(call));
  } else if (static_cast<std::int64_t>(backlog_.size()) < options_.slots) {
    backlog_.push_back(std::move(call));
  } else {
    ++counters_.shed;
    ReplyError(call, 503, "shedding", true);
  }
}

bool LeafModel::RefuseIfNeeded(const Call& call) {
  if (call.request.deadline <= std::chrono::system_clock::now()) {
    ++counters_.past_deadline;
    ReplyError(call, 503, "deadline_exceeded", true);
    return true;
  }
  if (behaviour_.shed || behaviour_.drain) {
    ++counters_.shed;
    ReplyError(call, 503, behaviour_.drain ? "draining" : "shedding", true);
    return true;
  }
  if (FindHolding(call) != nullptr) return false;
  ++counters_.version_gone;
  ReplyVersionGone(call);
  return true;
}

const model::Holding* LeafModel::FindHolding(const Call& call) const {
  const model::Holding* found = nullptr;
  for (const model::Holding& holding : holdings_) {
    const bool version_matches =
        call.request.version == 0 || holding.version == call.request.version;
    if (!version_matches || holding.shard != call.request.shard) continue;
    if (found == nullptr || holding.version > found->version) found = &holding;
  }
  return found;
}

void LeafModel::Run(Call call) {
  const model::UpstreamCall& request = call.request;
  ++counters_.started[std::string(config::ToString(request.kind))];
  if (counters_.payloads.size() < kMaxPayloads)
    ++counters_.payloads[request.payload];
  if (request.kind == RequestKind::kOrder) ++counters_.orders[KeyOf(request)];
  if (!behaviour_.die_on.empty() &&
      request.payload.find(behaviour_.die_on) != std::string::npos)
    _exit(1);
  const std::uint64_t run = next_run_++;
  const auto remaining = std::chrono::duration_cast<std::chrono::microseconds>(
      request.deadline - std::chrono::system_clock::now());
  const auto service_time = DrawServiceTime();
  const bool in_time = service_time < remaining;
  running_.emplace(run, std::move(call));
  counters_.max_running = std::max(counters_.max_running,
                                   static_cast<std::int64_t>(running_.size()));
  server_.RunAfter(in_time ? service_time : remaining,
                   [this, run, in_time] { Finish(run, in_time); });
}

void LeafModel::Finish(std::uint64_t run, bool in_time) {
  const auto found = running_.find(run);
  if (found == running_.end()) return;
  const Call call = std::move(found->second);
  running_.erase(found);
  if (in_time) {
    ++counters_.completed;
    behaviour_.cold = std::max<std::int64_t>(behaviour_.cold - 1, 0);
    Answer(call);
  } else {
    ReplyError(call, 503, "deadline_exceeded", false);
  }
  StartQueued();
}

void LeafModel::StartQueued() {
  while (!backlog_.empty() &&
         static_cast<std::int64_t>(running_.size()) < options_.slots) {
    Call call = std::move(backlog_.front());
    backlog_.pop_front();
    if (!RefuseIfNeeded(call)) Run(std::move(call));
  }
}

void LeafModel::Answer(const Call& call) {
  if (behaviour_.garbage) {
    server_.Respond(call.token, {200, "application/json", "\x01garbage{", {}});
    return;
  }
  const model::Holding* holding = FindHolding(call);
  if (holding == nullptr) {
    // The version was removed while the call ran.
    ReplyVersionGone(call);
    return;
  }
  model::UpstreamResult result;
  if (!behaviour_.wrong_request_id) result.id = call.request.id;
  result.leaf.value = options_.name;
  result.outcome = model::LeafOutcome::kOk;
  result.incarnation = incarnation_;
  result.shard = call.request.shard;
  result.shard_count = holding->shard_count;
  result.version = holding->version;
  result.result = "{\"shard\":" + std::to_string(result.shard) +
                  ",\"version\":" + std::to_string(result.version) +
                  ",\"payload\":" + call.request.payload + '}';
  result.holdings = holdings_;
  Reply(call.token, 200, config::EncodeLeafAnswer(result));
}

void LeafModel::ServeCancel(const transport::HttpRequest& request) {
  const auto id = config::ParseLeafCancel(request.body).value;
  const auto same_id = [&](const Call& call) { return call.request.id == id; };
  const auto queued = std::find_if(backlog_.begin(), backlog_.end(), same_id);
  const auto running =
      std::find_if(running_.begin(), running_.end(),
                   [&](const auto& item) { return same_id(item.second); });
  if (queued != backlog_.end()) {
    ++counters_.cancelled;
    ReplyError(*queued, 503, "cancelled", true);
    backlog_.erase(queued);
  } else if (running != running_.end() &&
             running->second.request.kind != RequestKind::kOrder) {
    ++counters_.cancelled;
    ReplyError(running->second, 503, "cancelled", false);
    running_.erase(running);
    StartQueued();
  }
  Reply(request.token, 200, R"({"ok":true})");
}

void LeafModel::ServeStatus(const transport::HttpRequest& request) {
  ++counters_.status_reads;
  model::LeafStatus status;
  status.leaf.value = options_.name;
  status.incarnation = incarnation_;
  status.draining = behaviour_.drain;
  status.holdings = holdings_;
  Reply(request.token, 200, config::EncodeLeafStatus(status));
}

void LeafModel::OnClientDisconnected(transport::HttpToken token) {
  // A running call continues, as in a leaf that does not notice the closed
  // connection.
  const auto from_client = [&](const Call& call) {
    return call.token == token;
  };
  backlog_.erase(std::remove_if(backlog_.begin(), backlog_.end(), from_client),
                 backlog_.end());
}

std::chrono::microseconds LeafModel::DrawServiceTime() {
  std::lognormal_distribution<double> lognormal(std::log(behaviour_.median_ms),
                                                behaviour_.sigma);
  std::uniform_real_distribution<double> uniform;
  double milliseconds = lognormal(random_);
  if (uniform(random_) < behaviour_.straggler_ratio)
    milliseconds *= behaviour_.straggler_factor;
  return std::chrono::microseconds(
      static_cast<std::int64_t>(milliseconds * 1000));
}

}  // namespace berylreach::standins
