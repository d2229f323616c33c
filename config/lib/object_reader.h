// Reads and validates the members of a JSON object. Private to the package.
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

/// Largest integer that every JSON implementation represents exactly, including
/// those that store numbers as doubles.
inline constexpr std::uint64_t kMaxExactInteger = (1ULL << 53) - 1;

/// Typed access to the members of one object. If a member is missing or
/// invalid, each read method adds a finding and returns the default value of
/// its type, so that reading continues and all problems are found. The names
/// passed to the methods must outlive the reader.
class ObjectReader {
 public:
  /// `location` is the JSON pointer to `value`. `value` and `findings` must
  /// outlive the reader. If `value` is not an object, the constructor adds a
  /// finding, and the methods then report no member as missing.
  ObjectReader(const json::value& value, std::string location,
               base::Findings& findings);

  /// JSON pointer to the member `name`.
  std::string Location(std::string_view name) const;

  /// Adds a finding about the member `name`.
  void AddFinding(std::string_view name, std::string message);

  /// Whether the member is present. RejectUnknown treats `name` as known
  /// afterwards.
  bool Has(std::string_view name);

  /// Reads a string of 0 to `max_bytes` bytes.
  std::string Text(std::string_view name, std::size_t max_bytes);

  /// Reads a string of 1 to `max_bytes` bytes.
  std::string NonEmptyText(std::string_view name, std::size_t max_bytes);

  /// Reads a name: 1 to kMaxNameBytes letters, digits, '.', '_' and '-', of
  /// which the first is a letter or digit.
  std::string Name(std::string_view name);

  /// Reads an address of the form "IP:port". Port 0, which means any free port,
  /// is valid only if `allow_any_port`.
  std::string IpAddress(std::string_view name, bool allow_any_port = false);

  /// Reads a signed 64-bit integer from `min` to `max`.
  std::int64_t Int64(std::string_view name, std::int64_t min, std::int64_t max);

  /// Reads an unsigned 32-bit integer from `min` to `max`.
  std::uint32_t Uint32(
      std::string_view name, std::uint32_t min = 0,
      std::uint32_t max = std::numeric_limits<std::uint32_t>::max());

  /// Reads an unsigned 64-bit integer.
  std::uint64_t Uint64(std::string_view name);

  /// Reads a 64-bit number in the form of a string of 16 hexadecimal digits.
  std::uint64_t Hex(std::string_view name);

  /// Reads a 64-bit number in the form of a string of 16 hexadecimal digits or
  /// of an unsigned integer.
  std::uint64_t HexOrUint64(std::string_view name);

  /// Reads a number from `min` to `max`.
  double Fraction(std::string_view name, double min, double max);

  /// Reads true or false.
  bool Bool(std::string_view name);

  /// Reads a time in milliseconds since the Unix epoch.
  std::chrono::system_clock::time_point Time(std::string_view name);

  /// Reads a value of any type and returns it as serialized JSON.
  std::string AnyValue(std::string_view name);

  /// Reads a string that must be one of `names` and returns its index in
  /// `names`; returns the size of `names` if the member is missing or invalid.
  std::size_t OneOf(std::string_view name,
                    const std::vector<std::string_view>& names);

  /// Reads an array of `min` to `max` elements: calls `read` with each element
  /// and its JSON pointer. Does not call `read` if the array has more than
  /// `max` elements.
  void ForEachElement(
      std::string_view name, std::size_t min, std::size_t max,
      const std::function<void(const json::value&, const std::string&)>& read);

  /// Reads a value of any type: calls `read` with the value and its JSON
  /// pointer. Does not call `read` if the member is missing.
  void Member(
      std::string_view name,
      const std::function<void(const json::value&, const std::string&)>& read);

  /// Reads an array of holdings.
  std::vector<model::Holding> Holdings(std::string_view name);

  /// Adds a finding for each member whose name was not passed to any method
  /// before.
  void RejectUnknown();

 private:
  /// Finds a member and records its name as known; null if it is absent.
  const json::value* Find(std::string_view name);
  /// Finds a member; null, with a finding, if it is absent.
  const json::value* Require(std::string_view name);
  /// Finds a string member; null, with a finding, if it is absent or of another
  /// type.
  const json::string* RequireString(std::string_view name);

  const json::object* object_;
  std::string location_;
  base::Findings& findings_;
  std::vector<std::string_view> known_names_;
};

}  // namespace berylreach::config
