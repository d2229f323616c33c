// Encodes an entry as a JSON object.
#include "berylreach/gateway/suspect_codec.h"

#include <boost/json.hpp>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

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

std::string_view StringMember(const boost::json::object& object,
                              std::string_view name) {
  const auto* member = object.if_contains({name.data(), name.size()});
  if (member == nullptr || !member->is_string()) return {};
  const auto& text = member->get_string();
  return {text.data(), text.size()};
}

std::optional<std::uint32_t> NumberMember(const boost::json::object& object,
                                          std::string_view name) {
  const auto* member = object.if_contains({name.data(), name.size()});
  if (member == nullptr) return std::nullopt;
  boost::json::error_code error;
  const auto value = member->to_number<std::uint32_t>(error);
  if (error) return std::nullopt;
  return value;
}

bool BoolMember(const boost::json::object& object, std::string_view name) {
  const auto* member = object.if_contains({name.data(), name.size()});
  return member != nullptr && member->is_bool() && member->get_bool();
}

std::vector<std::string> StringsMember(const boost::json::object& object,
                                       std::string_view name) {
  std::vector<std::string> texts;
  const auto* member = object.if_contains({name.data(), name.size()});
  if (member == nullptr || !member->is_array()) return texts;
  for (const auto& item : member->get_array())
    if (item.is_string()) texts.emplace_back(item.get_string());
  return texts;
}

/// Returns the leaves with the ids of one member and the start times of
/// another, which hosts of an older version do not send.
std::vector<model::UnansweredLeaf> LeavesMember(
    const boost::json::object& object) {
  std::vector<model::UnansweredLeaf> leaves;
  for (std::string& id : StringsMember(object, "leaves"))
    leaves.push_back({.id = std::move(id)});
  const auto* starts = object.if_contains("leaf_starts");
  if (starts == nullptr || !starts->is_array() ||
      starts->get_array().size() != leaves.size())
    return leaves;
  for (std::size_t i = 0; i < leaves.size(); ++i) {
    boost::json::error_code error;
    const auto start = starts->get_array()[i].to_number<std::uint64_t>(error);
    if (!error) leaves[i].started_unix_ms = start;
  }
  return leaves;
}

}  // namespace

std::string FormatSuspect(const model::SuspectEntry& entry) {
  boost::json::object value;
  value["fingerprint"] = FormatFingerprint(entry.fingerprint);
  value["state"] = StateName(entry.state);
  value["ended_leaves"] = entry.crashes;
  value["expires_in_ms"] = entry.expires_in.count();
  if (entry.hold_for.count() > 0) {
    value["hold_ms"] = entry.hold_for.count();
    boost::json::array ids;
    boost::json::array starts;
    for (const model::UnansweredLeaf& leaf : entry.unanswered_leaves) {
      ids.emplace_back(leaf.id);
      starts.emplace_back(leaf.started_unix_ms);
    }
    value["leaves"] = std::move(ids);
    value["leaf_starts"] = std::move(starts);
  }
  if (!entry.doubtful_leaves.empty())
    value["doubtful"] = boost::json::value_from(entry.doubtful_leaves);
  if (entry.completed) value["completed"] = true;
  return boost::json::serialize(value);
}

std::optional<model::SuspectEntry> ParseSuspect(std::string_view text) {
  boost::json::error_code error;
  const auto root = boost::json::parse({text.data(), text.size()}, error);
  if (error || !root.is_object()) return std::nullopt;
  const auto& object = root.get_object();
  const auto fingerprint =
      ParseFingerprint(StringMember(object, "fingerprint"));
  const auto state = StateOf(StringMember(object, "state"));
  const auto crashes = NumberMember(object, "ended_leaves");
  const auto expires_in_ms = NumberMember(object, "expires_in_ms");
  if (!fingerprint || !state || !crashes || !expires_in_ms) return std::nullopt;
  // Hosts of an older version do not send these members.
  const auto hold_ms = NumberMember(object, "hold_ms");
  return model::SuspectEntry{
      .fingerprint = *fingerprint,
      .state = *state,
      .crashes = *crashes,
      .expires_in = std::chrono::milliseconds(*expires_in_ms),
      .hold_for = std::chrono::milliseconds(hold_ms.value_or(0)),
      .unanswered_leaves = LeavesMember(object),
      .doubtful_leaves = StringsMember(object, "doubtful"),
      .completed = BoolMember(object, "completed")};
}

}  // namespace berylreach::gateway
