// Encoding of an entry as a JSON object.
#include "berylreach/gateway/suspect_codec.h"

#include <boost/json.hpp>
#include <cstdint>
#include <utility>

#include "berylreach/gateway/request_fingerprint.h"

namespace berylreach::gateway {
namespace {

constexpr std::pair<model::SuspectState, std::string_view> kStateNames[] = {
    {model::SuspectState::kSuspect, "suspect"},
    {model::SuspectState::kCleared, "cleared"},
    {model::SuspectState::kBlocked, "blocked"}};

std::string_view StateName(model::SuspectState state) {
  for (const auto& [known, name] : kStateNames)
    if (known == state) return name;
  return "";
}

std::optional<model::SuspectState> StateOf(std::string_view text) {
  for (const auto& [state, name] : kStateNames)
    if (name == text) return state;
  return std::nullopt;
}

std::string_view Text(const boost::json::object& object,
                      std::string_view name) {
  const auto* member = object.if_contains({name.data(), name.size()});
  if (member == nullptr || !member->is_string()) return {};
  const auto& text = member->get_string();
  return {text.data(), text.size()};
}

std::optional<std::uint32_t> Number(const boost::json::object& object,
                                    std::string_view name) {
  const auto* member = object.if_contains({name.data(), name.size()});
  if (member == nullptr) return std::nullopt;
  boost::json::error_code error;
  const auto value = member->to_number<std::uint32_t>(error);
  if (error) return std::nullopt;
  return value;
}

}  // namespace

std::string FormatSuspect(const model::SuspectEntry& entry) {
  boost::json::object value;
  value["fingerprint"] = FormatFingerprint(entry.fingerprint);
  value["state"] = StateName(entry.state);
  value["ended_leaves"] = entry.crashes;
  value["expires_in_ms"] = entry.expires_in.count();
  return boost::json::serialize(value);
}

std::optional<model::SuspectEntry> ParseSuspect(std::string_view text) {
  boost::json::error_code error;
  const auto root = boost::json::parse({text.data(), text.size()}, error);
  if (error || !root.is_object()) return std::nullopt;
  const auto& object = root.get_object();
  const auto fingerprint = ParseFingerprint(Text(object, "fingerprint"));
  const auto state = StateOf(Text(object, "state"));
  const auto crashes = Number(object, "ended_leaves");
  const auto expires_in_ms = Number(object, "expires_in_ms");
  if (!fingerprint || !state || !crashes || !expires_in_ms) return std::nullopt;
  return model::SuspectEntry{
      .fingerprint = *fingerprint,
      .state = *state,
      .crashes = *crashes,
      .expires_in = std::chrono::milliseconds(*expires_in_ms)};
}

}  // namespace berylreach::gateway
