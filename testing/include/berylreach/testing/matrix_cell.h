// One cell of the fault matrix: an operation and the faults injected into it.
#pragma once

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace berylreach::testing {

/// The operation during which faults are injected.
enum class Operation : std::uint8_t {
  kQuery,
  kLookup,
  kOrder,
  kDocumentChange,
  kOwnershipMove,
  kPlannedStop,
};

/// All operations, in the order of the enumerators.
const std::vector<Operation>& AllOperations();

/// One or two faults injected at one step of an operation.
struct MatrixCell {
  Operation operation = Operation::kQuery;
  /// Names of one or two faults.
  std::vector<std::string> faults;
  /// Step of the operation at which the first fault begins; the second begins
  /// at the next step.
  std::size_t step = 0;
  /// Number of steps into which the time of the operation is divided.
  std::size_t steps = 8;
  std::uint64_t seed = 1;
};

/// Text form that ParseCell reads, such as "order/kill_host+store_down/3/8/1".
std::string ToString(const MatrixCell& cell);

/// Parses the text form; nullopt if `text` is not a cell or names an unknown
/// fault.
std::optional<MatrixCell> ParseCell(const std::string& text);

/// Runs the cell under background traffic and returns all violations, including
/// hosts that do not serve again after the faults have ended. Writes a trace of
/// host events, order requests and order runs to `trace` unless it is null.
std::vector<std::string> RunCell(const MatrixCell& cell,
                                 std::ostream* trace = nullptr);

}  // namespace berylreach::testing
