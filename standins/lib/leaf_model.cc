// The state of one leaf stand-in.
#include "berylreach/standins/leaf_model.h"

#include <unistd.h>

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <cmath>
#include <utility>

namespace berylreach::standins {
namespace {

namespace json = boost::json;
using std::chrono::duration_cast;

/// Distinct payloads that are counted, which bounds the memory of load tests.
constexpr std::size_t kMaxPayloads = 100'000;

template <typename Unit>
std::int64_t UnixNow() {
  return duration_cast<Unit>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::uint64_t NumberOf(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  boost::system::error_code error;
  return value == nullptr ? 0 : value->to_number<std::uint64_t>(error);
}

std::string TextOf(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : std::string();
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
  // Silent connections accept bytes and never answer.
  if (request.token.connection < silent_before_) return;
  if (request.target == "/v1/call") {
    ServeCall(request);
  } else if (request.target == "/v1/cancel") {
    ServeCancel(request);
  } else if (request.target == "/v1/status") {
    ServeStatus(request);
  } else {
    Reply(request.token, 404, {{"error", "not_found"}});
  }
}

void LeafModel::ServeCall(const transport::HttpRequest& request) {
  counters_.last_new_call_unix_us = UnixNow<std::chrono::microseconds>();
  boost::system::error_code error;
  const json::value body = json::parse(request.body, error);
  if (error || !body.is_object()) {
    Reply(request.token, 400, {{"error", "bad_request"}});
    return;
  }
  const json::object& fields = body.get_object();
  Call call;
  call.token = request.token;
  call.id = TextOf(fields, "request_id");
  call.kind = TextOf(fields, "kind");
  if (const json::value* payload = fields.if_contains("payload"))
    call.payload_json = *payload;
  call.payload = json::serialize(call.payload_json);
  call.key = TextOf(fields, "key");
  if (call.key.empty()) call.key = call.payload;
  call.version = NumberOf(fields, "version");
  call.shard = static_cast<std::uint32_t>(NumberOf(fields, "shard"));
  call.deadline_unix_ms =
      static_cast<std::int64_t>(NumberOf(fields, "deadline_unix_ms"));
  Admit(std::move(call));
}

void LeafModel::Admit(Call call) {
  if (Refuse(call)) return;
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

bool LeafModel::Refuse(const Call& call) {
  if (call.deadline_unix_ms <= UnixNow<std::chrono::milliseconds>()) {
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
  Reply(call.token, 409,
        {{"error", "version_gone"},
         {"request_id", call.id},
         {"holdings", HoldingsJson()}});
  return true;
}

const model::Holding* LeafModel::FindHolding(const Call& call) const {
  const model::Holding* found = nullptr;
  for (const model::Holding& holding : holdings_) {
    const bool version = call.version == 0 || holding.version == call.version;
    if (!version || holding.shard != call.shard) continue;
    if (found == nullptr || holding.version > found->version) found = &holding;
  }
  return found;
}

void LeafModel::Run(Call call) {
  ++counters_.started[call.kind];
  if (counters_.payloads.size() < kMaxPayloads)
    ++counters_.payloads[call.payload];
  if (call.kind == "order") ++counters_.orders[call.key];
  if (!behaviour_.die_on.empty() &&
      call.payload.find(behaviour_.die_on) != std::string::npos)
    _exit(1);
  const std::uint64_t run = next_run_++;
  const auto left = std::chrono::milliseconds(
      call.deadline_unix_ms - UnixNow<std::chrono::milliseconds>());
  const auto service_time = DrawServiceTime();
  const bool in_time = service_time < left;
  running_.emplace(run, std::move(call));
  counters_.max_running = std::max(counters_.max_running,
                                   static_cast<std::int64_t>(running_.size()));
  server_.RunAfter(in_time ? service_time : left,
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
  StartWaiting();
}

void LeafModel::StartWaiting() {
  while (!backlog_.empty() &&
         static_cast<std::int64_t>(running_.size()) < options_.slots) {
    Call call = std::move(backlog_.front());
    backlog_.pop_front();
    if (!Refuse(call)) Run(std::move(call));
  }
}

void LeafModel::Answer(const Call& call) {
  if (behaviour_.garbage) {
    server_.Respond(call.token, {200, "application/json", "\x01garbage{", {}});
    return;
  }
  const model::Holding* holding = FindHolding(call);
  if (holding == nullptr) {
    // The version went away while the call ran.
    Reply(call.token, 409,
          {{"error", "version_gone"},
           {"request_id", call.id},
           {"holdings", HoldingsJson()}});
    return;
  }
  const std::string wrong = "0000000000000000-0000000000000000";
  Reply(call.token, 200,
        {{"request_id", behaviour_.wrong_request_id ? wrong : call.id},
         {"leaf", options_.name},
         {"incarnation", IncarnationText()},
         {"shard", call.shard},
         {"shard_count", holding->shard_count},
         {"version", holding->version},
         {"result",
          {{"shard", call.shard},
           {"version", holding->version},
           {"payload", call.payload_json}}},
         {"holdings", HoldingsJson()}});
}

void LeafModel::ServeCancel(const transport::HttpRequest& request) {
  boost::system::error_code error;
  const json::value body = json::parse(request.body, error);
  const std::string id =
      body.is_object() ? TextOf(body.get_object(), "request_id") : "";
  const auto same_id = [&](const Call& call) { return call.id == id; };
  const auto queued = std::find_if(backlog_.begin(), backlog_.end(), same_id);
  const auto running =
      std::find_if(running_.begin(), running_.end(),
                   [&](const auto& item) { return same_id(item.second); });
  if (queued != backlog_.end()) {
    ++counters_.cancelled;
    ReplyError(*queued, 503, "cancelled", true);
    backlog_.erase(queued);
  } else if (running != running_.end() && running->second.kind != "order") {
    ++counters_.cancelled;
    ReplyError(running->second, 503, "cancelled", false);
    running_.erase(running);
    StartWaiting();
  }
  Reply(request.token, 200, {{"ok", true}});
}

void LeafModel::ServeStatus(const transport::HttpRequest& request) {
  ++counters_.status_reads;
  Reply(request.token, 200,
        {{"leaf", options_.name},
         {"incarnation", IncarnationText()},
         {"state", behaviour_.drain ? "draining" : "live"},
         {"holdings", HoldingsJson()}});
}

void LeafModel::OnClientGone(transport::HttpToken token) {
  // A running call goes on, as in a server that learns late of the loss.
  const auto gone = [&](const Call& call) { return call.token == token; };
  backlog_.erase(std::remove_if(backlog_.begin(), backlog_.end(), gone),
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
