// JSON form of leaf calls.
#include "leaf_codec.h"

#include <boost/json.hpp>
#include <charconv>
#include <string_view>

#include "berylreach/config/request_kind_name.h"

namespace berylreach::transport {
namespace {

namespace json = boost::json;

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;
constexpr int kHexadecimal = 16;

/// Payloads are JSON text; other text is sent as a JSON string.
json::value ToJson(const std::string& payload) {
  boost::system::error_code error;
  json::value value = json::parse(payload, error);
  if (error) return json::value(payload);
  return value;
}

std::string Text(const json::object& object, std::string_view field) {
  const json::value* value = object.if_contains(field);
  if (value == nullptr || !value->is_string()) return {};
  return std::string(value->get_string());
}

std::optional<std::uint64_t> Number(const json::object& object,
                                    std::string_view field) {
  const json::value* value = object.if_contains(field);
  if (value == nullptr) return std::nullopt;
  boost::system::error_code error;
  const auto number = value->to_number<std::uint64_t>(error);
  if (error) return std::nullopt;
  return number;
}

/// A number, or hexadecimal text. Zero if the field is neither.
std::uint64_t Incarnation(const json::object& object) {
  if (const auto number = Number(object, "incarnation")) return *number;
  const std::string text = Text(object, "incarnation");
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value, kHexadecimal);
  return value;
}

std::vector<model::Holding> Holdings(const json::object& object) {
  std::vector<model::Holding> holdings;
  const json::value* list = object.if_contains("holdings");
  if (list == nullptr || !list->is_array()) return holdings;
  for (const json::value& item : list->get_array()) {
    if (!item.is_object()) continue;
    const auto version = Number(item.get_object(), "version");
    const auto shard = Number(item.get_object(), "shard");
    const auto count = Number(item.get_object(), "shard_count");
    if (version && shard && count)
      holdings.push_back({*version, static_cast<std::uint32_t>(*shard),
                          static_cast<std::uint32_t>(*count)});
  }
  return holdings;
}

bool IsTrue(const json::object& object, std::string_view field) {
  const json::value* value = object.if_contains(field);
  return value != nullptr && value->is_bool() && value->get_bool();
}

std::optional<model::UpstreamResult> ReadOk(const model::UpstreamCall& call,
                                            const json::object& answer,
                                            model::UpstreamResult result) {
  const auto version = Number(answer, "version");
  const auto shard = Number(answer, "shard");
  const auto shard_count = Number(answer, "shard_count");
  const json::value* value = answer.if_contains("result");
  if (!version || !shard || !shard_count || value == nullptr)
    return std::nullopt;
  // Orders name no version: they run at the leaf's current state.
  const bool same_version = call.version == 0 || *version == call.version;
  if (Text(answer, "leaf") != call.leaf.value || *shard != call.shard ||
      !same_version)
    return std::nullopt;
  result.outcome = model::LeafOutcome::kOk;
  result.version = *version;
  result.shard = static_cast<std::uint32_t>(*shard);
  result.shard_count = static_cast<std::uint32_t>(*shard_count);
  result.result = json::serialize(*value);
  return result;
}

std::optional<model::UpstreamResult> ReadRefusal(const json::object& answer,
                                                 model::UpstreamResult result) {
  const std::string error = Text(answer, "error");
  result.retry_after =
      std::chrono::milliseconds(Number(answer, "retry_after_ms").value_or(0));
  if (!IsTrue(answer, "not_run")) {
    result.outcome = model::LeafOutcome::kLost;
    result.ended = true;
  } else if (error == "draining") {
    result.outcome = model::LeafOutcome::kDraining;
  } else if (error == "cancelled" || error == "deadline_exceeded") {
    result.outcome = model::LeafOutcome::kNotSent;
  } else {
    result.outcome = model::LeafOutcome::kShed;
  }
  return result;
}

}  // namespace

std::string FormatCall(const model::UpstreamCall& call) {
  json::object body;
  body["request_id"] = model::ToString(call.id);
  body["service"] = call.service.value;
  body["kind"] = config::ToString(call.kind);
  body["shard"] = call.shard;
  body["version"] = call.version;
  body["payload"] =
      call.payload.empty() ? json::value(call.key) : ToJson(call.payload);
  if (!call.key.empty()) body["key"] = call.key;
  body["deadline_unix_ms"] =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          call.deadline.time_since_epoch())
          .count();
  return json::serialize(body);
}

std::string FormatCancel(const model::CallId& id) {
  return R"({"request_id":")" + model::ToString(id) + R"("})";
}

std::optional<model::UpstreamResult> ParseCallAnswer(
    const model::UpstreamCall& call, int status, const std::string& body) {
  boost::system::error_code error;
  const json::value document = json::parse(body, error);
  if (error || !document.is_object()) return std::nullopt;
  const json::object& answer = document.get_object();
  if (Text(answer, "request_id") != model::ToString(call.id))
    return std::nullopt;
  model::UpstreamResult result;
  result.id = call.id;
  result.leaf = call.leaf;
  result.incarnation = Incarnation(answer);
  result.holdings = Holdings(answer);
  if (status == kOk) return ReadOk(call, answer, std::move(result));
  if (status == kUnavailable) return ReadRefusal(answer, std::move(result));
  if (status != kConflict || Text(answer, "error") != "version_gone")
    return std::nullopt;
  result.outcome = model::LeafOutcome::kVersionGone;
  return result;
}

LeafStatus ParseStatus(const model::LeafName& leaf, int status,
                       const std::string& body) {
  LeafStatus result;
  result.leaf = leaf;
  boost::system::error_code error;
  const json::value document = json::parse(body, error);
  if (status != kOk || error || !document.is_object()) return result;
  const json::object& answer = document.get_object();
  const std::string state = Text(answer, "state");
  const bool known_state = state == "live" || state == "draining";
  if (Text(answer, "leaf") != leaf.value || !known_state) return result;
  result.reachable = true;
  result.incarnation = Incarnation(answer);
  result.draining = state == "draining";
  result.holdings = Holdings(answer);
  return result;
}

}  // namespace berylreach::transport
