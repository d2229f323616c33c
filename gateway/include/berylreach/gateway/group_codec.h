// What hosts tell each other of the shards that one runs for another.
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

/// Goes along with the caller's request, as one header field.
struct GroupHeader {
  /// Version of the sender's configuration, for the log.
  std::uint64_t version = 0;
  /// Digest of the route's shards there; see ShardDigest.
  std::uint64_t digest = 0;
  /// Positions in Route::shards, ascending.
  std::vector<std::size_t> shards;
  std::size_t allowed_missing = 0;
  /// Shards that may be left out without a call.
  std::size_t may_skip = 0;
  /// Time until an answer without some shards is to be sent.
  std::chrono::milliseconds partial_in{0};
  /// Another host that may have called the leaves was lost.
  bool repeats = false;

  friend bool operator==(const GroupHeader&, const GroupHeader&) = default;
};

/// Differs for routes whose groups give other answers: other shards, another
/// order of them, another number of records or of attempts.
std::uint64_t ShardDigest(const forward::Route& route);

std::string FormatGroupHeader(const GroupHeader& header);

/// Nothing if the text is malformed.
std::optional<GroupHeader> ParseGroupHeader(std::string_view text);

/// Records as a header value, and back; nothing if the text is malformed.
std::string FormatRecords(const std::string& records);
std::optional<std::string> ParseRecords(std::string_view text);

/// The signatures of a merged answer as one header value, and back.
std::string JoinSignatures(const std::vector<std::string>& signatures);
std::vector<std::string> SplitSignatures(std::string_view text);

}  // namespace berylreach::gateway
