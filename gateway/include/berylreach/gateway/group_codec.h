// Encoding of the messages by which one host runs a group of shards for
// another.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "berylreach/forward/configuration.h"

namespace berylreach::gateway {

/// Parameters of a group of shards, sent as one header field of the caller's
/// request that is forwarded with it.
struct GroupHeader {
  /// Version of the sender's configuration, for the log.
  std::uint64_t version = 0;
  /// Digest of the route at the sender; see ShardDigest.
  std::uint64_t digest = 0;
  /// Positions in Route::shards, ascending.
  std::vector<std::size_t> shards;
  /// Number of shards that a partial answer may lack.
  std::size_t allowed_missing = 0;
  /// Number of shards that may be left out without a call.
  std::size_t may_skip = 0;
  /// Time after which a partial answer is sent if the complete one is not
  /// ready.
  std::chrono::milliseconds partial_in{0};
  /// The group was sent to another host before, which was lost and may already
  /// have called the leaves.
  bool repeats = false;

  friend bool operator==(const GroupHeader&, const GroupHeader&) = default;
};

/// Returns a digest of what determines the answer of a group: the route's name,
/// the shards and their order, the number of records and the number of
/// attempts. Hosts compare it to find out whether their routes agree.
std::uint64_t ShardDigest(const forward::Route& route);

std::string FormatGroupHeader(const GroupHeader& header);

/// Returns nullopt if the text is malformed.
std::optional<GroupHeader> ParseGroupHeader(std::string_view text);

/// Encodes records as a header value, and decodes them; ParseRecords returns
/// nullopt if the text is malformed.
std::string FormatRecords(const std::string& records);
std::optional<std::string> ParseRecords(std::string_view text);

/// Joins the signatures of a merged response into one header value, and splits
/// them again.
std::string JoinSignatures(const std::vector<std::string>& signatures);
std::vector<std::string> SplitSignatures(std::string_view text);

}  // namespace berylreach::gateway
