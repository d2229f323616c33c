// Encodes change sets as JSON. Values may hold any bytes and are therefore
// encoded as base64.
#include "berylreach/gateway/feed_codec.h"

#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <utility>

#include "berylreach/config/base64.h"

namespace berylreach::gateway {
namespace {

constexpr char kCurrentField[] = "current_after_arrival_ms";
constexpr char kChangesField[] = "changes_after_arrival_ms";
constexpr char kPollWaitField[] = "poll_wait_ms";

/// Reads a field into `time` if it is there; returns false if it is malformed.
bool ReadTime(const boost::json::object& object, const char* field,
              std::optional<std::chrono::milliseconds>& time) {
  const auto* value = object.if_contains(field);
  if (value == nullptr) return true;
  boost::json::error_code error;
  time = std::chrono::milliseconds(value->to_number<std::int32_t>(error));
  return !error;
}

}  // namespace

std::string FormatChangeSet(const forward::ChangeSet& set) {
  boost::json::array changes;
  for (const forward::RecordChange& change : set.changes) {
    boost::json::object row;
    row["key"] = change.key;
    if (change.value) row["value"] = config::EncodeBase64(*change.value);
    changes.push_back(std::move(row));
  }
  boost::json::object root;
  root["era"] = set.position.era;
  root["revision"] = set.position.revision;
  root["whole"] = set.is_full_listing;
  root["changes"] = std::move(changes);
  if (set.current_after_arrival)
    root[kCurrentField] = set.current_after_arrival->count();
  if (set.changes_after_arrival)
    root[kChangesField] = set.changes_after_arrival->count();
  if (set.poll_wait) root[kPollWaitField] = set.poll_wait->count();
  return boost::json::serialize(root);
}

std::optional<forward::ChangeSet> ParseChangeSet(std::string_view text) {
  // Keys may hold any bytes, also some that are no text.
  constexpr boost::json::parse_options options{.allow_invalid_utf8 = true};
  boost::json::error_code error;
  const auto root = boost::json::parse({text.data(), text.size()}, error,
                                       boost::json::storage_ptr(), options);
  if (error || !root.is_object()) return std::nullopt;
  const auto& object = root.get_object();
  const auto* revision = object.if_contains("revision");
  const auto* whole = object.if_contains("whole");
  const auto* changes = object.if_contains("changes");
  if (revision == nullptr || !revision->is_number() || whole == nullptr ||
      !whole->is_bool() || changes == nullptr || !changes->is_array())
    return std::nullopt;
  forward::ChangeSet set;
  set.position.revision = revision->to_number<std::uint64_t>(error);
  if (error) return std::nullopt;
  // Builds that know no eras leave the field out.
  if (const auto* era = object.if_contains("era")) {
    if (!era->is_number()) return std::nullopt;
    set.position.era = era->to_number<std::uint64_t>(error);
    if (error) return std::nullopt;
  }
  set.is_full_listing = whole->get_bool();
  // Older builds leave some of these fields out.
  if (!ReadTime(object, kCurrentField, set.current_after_arrival) ||
      !ReadTime(object, kChangesField, set.changes_after_arrival) ||
      !ReadTime(object, kPollWaitField, set.poll_wait))
    return std::nullopt;
  for (const auto& row : changes->get_array()) {
    const auto* fields = row.if_object();
    const auto* key = fields == nullptr ? nullptr : fields->if_contains("key");
    if (key == nullptr || !key->is_string()) return std::nullopt;
    forward::RecordChange change{.key = std::string(key->get_string())};
    if (const auto* value = fields->if_contains("value")) {
      if (!value->is_string()) return std::nullopt;
      change.value = config::DecodeBase64(
          {value->get_string().data(), value->get_string().size()});
      if (!change.value) return std::nullopt;
    }
    set.changes.push_back(std::move(change));
  }
  return set;
}

}  // namespace berylreach::gateway
