// Reads the members of a JSON object and collects findings. Private to the
// package.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include "berylreach/base/finding.h"
#include "berylreach/model/holding.h"
#include "json_input.h"

namespace berylreach::config {

/// Largest integer that every JSON implementation keeps exactly.
inline constexpr std::uint64_t kMaxExactInteger = (1ULL << 53) - 1;

/// Typed access to one object. Each method adds a finding and returns the
/// default value of its type if the member is missing or wrong, so that reading
/// goes on and finds all problems. Names of members must outlive the reader.
class ObjectReader {
 public:
  /// `value` and `findings` must outlive the reader. A value that is not an
  /// object is one finding, and then no member is reported as missing.
  ObjectReader(const json::value& value, std::string place,
               base::Findings& findings);

  /// JSON pointer of a member.
  std::string Place(std::string_view name) const;

  /// Adds a finding about a member.
  void Add(std::string_view name, std::string message);

  /// Whether the member is present; accepts it as known.
  bool Has(std::string_view name);

  /// A string of 0 to `max_bytes` bytes.
  std::string Text(std::string_view name, std::size_t max_bytes);

  /// A string of 1 to `max_bytes` bytes.
  std::string NonEmptyText(std::string_view name, std::size_t max_bytes);

  /// A name: 1 to kMaxNameBytes letters, digits, '.', '_' and '-', starting
  /// with a letter or digit.
  std::string Name(std::string_view name);

  /// An "IP:port" address; port 0 only if `allow_any_port`.
  std::string IpAddress(std::string_view name, bool allow_any_port = false);

  /// An integer from `min` to `max`.
  std::int64_t Integer(std::string_view name, std::int64_t min,
                       std::int64_t max);

  /// An unsigned 32-bit integer from `min` to `max`.
  std::uint32_t Count(
      std::string_view name, std::uint32_t min = 0,
      std::uint32_t max = std::numeric_limits<std::uint32_t>::max());

  /// An unsigned 64-bit integer.
  std::uint64_t Unsigned(std::string_view name);

  /// A 16-digit hexadecimal string.
  std::uint64_t Hex(std::string_view name);

  /// A 16-digit hexadecimal string or an unsigned integer.
  std::uint64_t HexOrUnsigned(std::string_view name);

  /// A number from `min` to `max`.
  double Fraction(std::string_view name, double min, double max);

  bool Flag(std::string_view name);

  /// Milliseconds since the Unix epoch.
  std::chrono::system_clock::time_point Time(std::string_view name);

  /// Any value, as its serialized text.
  std::string AnyValue(std::string_view name);

  /// The value of one of `names`, as its position; the size of `names` if it is
  /// none of them.
  std::size_t OneOf(std::string_view name,
                    const std::vector<std::string_view>& names);

  /// Calls `read` with each element and its place. The array must have `min` to
  /// `max` elements.
  void Each(
      std::string_view name, std::size_t min, std::size_t max,
      const std::function<void(const json::value&, const std::string&)>& read);

  /// Calls `read` with the member and its place.
  void Member(
      std::string_view name,
      const std::function<void(const json::value&, const std::string&)>& read);

  std::vector<model::Holding> Holdings(std::string_view name);

  /// Adds a finding for each member that no method has named.
  void RejectUnknown();

 private:
  /// The member, which is then known; null if it is absent.
  const json::value* Find(std::string_view name);
  /// The member; null with a finding if it is absent.
  const json::value* Require(std::string_view name);
  const json::string* RequireString(std::string_view name);

  const json::object* object_;
  std::string place_;
  base::Findings& findings_;
  std::vector<std::string_view> known_;
};

}  // namespace berylreach::config
