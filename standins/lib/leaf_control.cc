// Control endpoint and common answers of one leaf stand-in.
#include <array>
#include <boost/json.hpp>
#include <cinttypes>
#include <cstdio>
#include <utility>

#include "berylreach/standins/leaf_model.h"
#include "berylreach/standins/standin.h"

namespace berylreach::standins {
namespace {

namespace json = boost::json;

constexpr int kRetryAfterMs = 20;

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
  counters["incarnation"] = IncarnationText();
  return counters;
}

void LeafModel::ReplyError(const Call& call, int status,
                           const std::string& error, bool not_run) {
  json::object body{{"error", error}, {"request_id", call.id}};
  if (not_run) body["not_run"] = true;
  body["retry_after_ms"] = kRetryAfterMs;
  Reply(call.token, status, body);
}

void LeafModel::Reply(transport::HttpToken token, int status,
                      const json::value& body) {
  server_.Respond(token,
                  {status, "application/json", json::serialize(body), {}});
}

json::array LeafModel::HoldingsJson() const {
  json::array list;
  for (const model::Holding& holding : holdings_)
    list.push_back({{"version", holding.version},
                    {"shard", holding.shard},
                    {"shard_count", holding.shard_count}});
  return list;
}

std::string LeafModel::IncarnationText() const {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64, incarnation_);
  return text.data();
}

}  // namespace berylreach::standins
