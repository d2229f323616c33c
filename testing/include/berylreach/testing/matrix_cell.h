// One cell of the fault matrix.
#pragma once

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace berylreach::testing {

/// What runs while the faults strike.
enum class Operation : std::uint8_t {
  kQuery,
  kLookup,
  kOrder,
  kDocumentChange,
  kOwnershipMove,
  kPlannedStop,
};

/// All operations.
const std::vector<Operation>& AllOperations();

/// Faults at one step of one operation.
struct MatrixCell {
  Operation operation = Operation::kQuery;
  /// Names of one or two faults.
  std::vector<std::string> faults;
  /// Step of the operation at which the first fault strikes; the second follows
  /// at the next step.
  std::size_t step = 0;
  /// Steps into which the operation is divided.
  std::size_t steps = 8;
  std::uint64_t seed = 1;
};

/// Text form that ParseCell reads, such as "order/kill_host+store_down/3/8/1".
std::string ToString(const MatrixCell& cell);

/// Nothing if `text` is not a cell or names an unknown fault.
std::optional<MatrixCell> ParseCell(const std::string& text);

/// Runs the cell under background traffic and returns all violations, those of
/// liveness after the faults have ended included.
/// Writes a trace of host events, order requests and order runs to `trace`
/// unless it is null.
std::vector<std::string> RunCell(const MatrixCell& cell,
                                 std::ostream* trace = nullptr);

}  // namespace berylreach::testing
