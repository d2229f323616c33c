// Control endpoint and error responses of a leaf stand-in.
#include <array>
#include <boost/json.hpp>
#include <chrono>
#include <cinttypes>
#include <cstdio>
#include <utility>

#include "berylreach/config/leaf_answer_codec.h"
#include "berylreach/standins/leaf_model.h"
#include "berylreach/standins/standin.h"

namespace berylreach::standins {
namespace {

namespace json = boost::json;

/// Retry delay in refusals.
constexpr std::chrono::milliseconds kRetryAfter{20};

bool IsSet(const json::object& fields, std::string_view name) {
  bool value = false;
  Assign(fields, name, value);
  return value;
}

model::Holding ReadHolding(const json::object& fields) {
  std::int64_t version = 0;
  std::int64_t shard = 0;
  std::int64_t shard_count = 1;
  Assign(fields, "version", version);
  Assign(fields, "shard", shard);
  Assign(fields, "shard_count", shard_count);
  return {static_cast<std::uint64_t>(version),
          static_cast<std::uint32_t>(shard),
          static_cast<std::uint32_t>(shard_count)};
}

}  // namespace

void LeafModel::Control(const transport::HttpRequest& request,
                        const json::object& fields) {
  Apply(fields, behaviour_);
  if (fields.contains("seed"))
    random_.seed(static_cast<std::uint64_t>(behaviour_.seed));
  if (const json::value* holdings = fields.if_contains("holdings");
      holdings != nullptr && holdings->is_array()) {
    holdings_.clear();
    for (const json::value& holding : holdings->get_array())
      if (holding.is_object())
        holdings_.push_back(ReadHolding(holding.get_object()));
  }
  if (fields.contains("silent"))
    silent_before_ = IsSet(fields, "silent") ? request.token.connection : 0;
  if (IsSet(fields, "reset")) counters_ = {};
  if (!IsSet(fields, "restart")) return;
  for (const auto& [run, call] : running_) server_.Abort(call.token);
  for (const Call& call : backlog_) server_.Abort(call.token);
  running_.clear();
  backlog_.clear();
  incarnation_ = random_();
}

json::object LeafModel::Counters() const {
  json::object counters = ToJson(counters_);
  counters["running"] = running_.size();
  std::array<char, 17> incarnation{};
  std::snprintf(incarnation.data(), incarnation.size(), "%016" PRIx64,
                incarnation_);
  counters["incarnation"] = incarnation.data();
  return counters;
}

void LeafModel::ReplyError(const Call& call, int status,
                           const std::string& error, bool not_run) {
  Reply(call.token, status,
        config::EncodeLeafRefusal(
            {call.request.id, error, not_run, kRetryAfter}));
}

void LeafModel::ReplyVersionGone(const Call& call) {
  model::UpstreamResult result;
  result.id = call.request.id;
  result.outcome = model::LeafOutcome::kVersionGone;
  result.holdings = holdings_;
  Reply(call.token, 409, config::EncodeLeafAnswer(result));
}

void LeafModel::Reply(transport::HttpToken token, int status,
                      std::string body) {
  server_.Respond(token, {status, "application/json", std::move(body), {}});
}

}  // namespace berylreach::standins
