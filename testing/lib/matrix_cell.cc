// Cells of the fault matrix: operations, text form and execution.
#include "berylreach/testing/matrix_cell.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstddef>
#include <string_view>

#include "berylreach/core/order_runner.h"
#include "berylreach/orders/bucket.h"
#include "berylreach/testing/deployment.h"
#include "berylreach/testing/fault.h"
#include "berylreach/testing/invariants.h"
#include "berylreach/testing/trace.h"
#include "berylreach/testing/traffic.h"
#include "berylreach/testing/world.h"

namespace berylreach::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view kOperationNames[] = {
    "query",           "lookup",         "order",
    "document_change", "ownership_move", "planned_stop"};

// The host that receives the request of the operation. Host faults are injected
// at this host unless TargetOf chooses another one.
constexpr const char* kTargetHost = "a1";
constexpr milliseconds kObserveInterval{20};
constexpr seconds kFaultDuration{4};
// Long enough for detection of a lost host (1 s), fencing of removed hosts and
// takeover (1.7 s), and a rejoin.
constexpr seconds kSettleTime{8};

/// Time over which the steps of an operation are distributed.
milliseconds DurationOf(Operation operation) {
  switch (operation) {
    case Operation::kQuery:
    case Operation::kLookup:
    case Operation::kOrder:
      return milliseconds(120);
    case Operation::kDocumentChange:
      return milliseconds(240);
    case Operation::kOwnershipMove:
      return milliseconds(4000);
    case Operation::kPlannedStop:
      return milliseconds(3000);
  }
  return milliseconds(0);
}

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts(1);
  for (const char character : text) {
    if (character == separator) {
      parts.emplace_back();
    } else {
      parts.back() += character;
    }
  }
  return parts;
}

std::optional<std::uint64_t> ParseNumber(const std::string& text) {
  std::uint64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return number;
}

/// Chooses the hosts and the leaf on which the operation depends most.
FaultTarget TargetOf(World& world, Invariants& invariants,
                     Operation operation) {
  FaultTarget target{world, invariants,       kTargetHost,
                     "b1",  "order-desk-0-0", "b"};
  if (operation == Operation::kOrder) {
    const auto bucket = orders::BucketOf({"hide-ledger"}, "matrix order");
    target.host =
        core::BucketOwner(bucket, world.Core(kTargetHost)->state().Members())
            ->host.value;
    target.other_host = target.host == kTargetHost ? "b1" : kTargetHost;
    target.leaf = "hide-ledger-0-0";
  } else if (operation == Operation::kLookup) {
    target.leaf = "buckle-screen-0-0";
  } else if (operation == Operation::kQuery) {
    // The owner of a leaf that the query calls.
    target.other_host = world.Core(kTargetHost)
                            ->state()
                            .Ownership()
                            .Owner({target.leaf})
                            ->value;
    if (target.other_host == kTargetHost) target.other_host = "a2";
  }
  return target;
}

void StartOperation(World& world, Invariants& invariants, Operation operation) {
  switch (operation) {
    case Operation::kQuery:
      world.SendRequest(kTargetHost, Query("\"matrix\""), milliseconds(800));
      break;
    case Operation::kLookup:
      world.SendRequest(kTargetHost, Lookup("matrix"), milliseconds(800));
      break;
    case Operation::kOrder:
      world.SendRequest(kTargetHost, Order(world, "matrix order"),
                        milliseconds(800));
      break;
    case Operation::kDocumentChange: {
      model::Environment changed = world.environment();
      changed.zones.back().region = "region-moved";
      world.SubmitLater(changed, [&invariants](std::uint64_t version) {
        invariants.OnWritten(version);
      });
      break;
    }
    case Operation::kOwnershipMove:
      world.KillHost("c2");
      world.After(seconds(3), [&world] { world.StartHost("c2", "c"); });
      break;
    case Operation::kPlannedStop:
      world.StopHost("c2");
      break;
  }
}

void ObserveFor(World& world, Invariants& invariants, base::Duration time) {
  const base::TimePoint end = world.Now() + time;
  while (world.Now() < end) {
    world.RunFor(kObserveInterval);
    invariants.Observe();
  }
}

/// Checks that each host is ready and answers all kinds of requests in full
/// after all faults have ended.
std::vector<std::string> CheckRecovery(World& world) {
  std::vector<std::string> problems;
  std::vector<std::size_t> asked;
  for (const std::string& host : world.RunningHosts()) {
    if (world.Stopped(host)) continue;
    if (!world.Ready(host)) {
      problems.push_back("recovery: " + host + " is not ready");
      continue;
    }
    asked.push_back(
        world.SendRequest(host, Query("\"batch 1\""), milliseconds(1000)));
    asked.push_back(
        world.SendRequest(host, Lookup("buckle 1"), milliseconds(1000)));
    asked.push_back(world.SendRequest(
        host, Order(world, "last order at " + host), milliseconds(1000)));
    world.RunFor(milliseconds(300));
  }
  world.RunFor(milliseconds(1300));
  for (const std::size_t index : asked) {
    const CallerRecord& record = world.records()[index];
    const auto* answer = AnswerOf(record);
    if (answer != nullptr && answer->coverage.missing.empty()) continue;
    const auto* refusal = RefusalOf(record);
    problems.push_back(
        "recovery: " + record.host.value + " gave no whole answer from " +
        record.request.service.value + ": " +
        (refusal == nullptr ? "partial or none" : refusal->message));
  }
  return problems;
}

}  // namespace

const std::vector<Operation>& AllOperations() {
  static const std::vector<Operation> operations = {
      Operation::kQuery,         Operation::kLookup,
      Operation::kOrder,         Operation::kDocumentChange,
      Operation::kOwnershipMove, Operation::kPlannedStop};
  return operations;
}

std::string ToString(const MatrixCell& cell) {
  std::string text(kOperationNames[static_cast<std::size_t>(cell.operation)]);
  for (std::size_t i = 0; i < cell.faults.size(); ++i) {
    text += (i == 0 ? "/" : "+") + cell.faults[i];
  }
  return text + "/" + std::to_string(cell.step) + "/" +
         std::to_string(cell.steps) + "/" + std::to_string(cell.seed);
}

std::optional<MatrixCell> ParseCell(const std::string& text) {
  const auto parts = Split(text, '/');
  if (parts.size() != 5) return std::nullopt;
  const auto name = std::find(std::begin(kOperationNames),
                              std::end(kOperationNames), parts[0]);
  const auto step = ParseNumber(parts[2]);
  const auto steps = ParseNumber(parts[3]);
  const auto seed = ParseNumber(parts[4]);
  if (name == std::end(kOperationNames) || !step || !steps || *steps == 0 ||
      !seed) {
    return std::nullopt;
  }
  MatrixCell cell;
  cell.operation = static_cast<Operation>(name - std::begin(kOperationNames));
  cell.faults = Split(parts[1], '+');
  cell.step = *step;
  cell.steps = *steps;
  cell.seed = *seed;
  for (const std::string& fault : cell.faults) {
    if (FindFault(fault) == nullptr) return std::nullopt;
  }
  return cell;
}

std::vector<std::string> RunCell(const MatrixCell& cell, std::ostream* trace) {
  World world(SmallEnvironment(), cell.seed);
  Invariants invariants(world);
  if (!StartSixHosts(world)) return {"the hosts did not become ready"};
  Traffic traffic(world);
  traffic.Start(milliseconds(60));
  ObserveFor(world, invariants, milliseconds(500));

  FaultTarget target = TargetOf(world, invariants, cell.operation);
  StartOperation(world, invariants, cell.operation);
  const base::Duration step_time = base::Duration(DurationOf(cell.operation)) /
                                   static_cast<std::int64_t>(cell.steps);
  base::Duration fault_start = step_time * static_cast<std::int64_t>(cell.step);
  for (const std::string& name : cell.faults) {
    const Fault* fault = FindFault(name);
    world.After(fault_start, [fault, &target] { fault->begin(target); });
    world.After(fault_start + kFaultDuration,
                [fault, &target] { fault->end(target); });
    fault_start += step_time;
  }
  ObserveFor(world, invariants, fault_start + kFaultDuration);
  ObserveFor(world, invariants, kSettleTime);
  traffic.Stop();
  world.RunFor(seconds(1));
  auto problems = CheckRecovery(world);
  const auto violations = invariants.Violations();
  problems.insert(problems.end(), violations.begin(), violations.end());
  if (trace != nullptr) WriteTrace(world, *trace);
  return problems;
}

}  // namespace berylreach::testing
