// berylreach-fault-matrix: injects each fault at each step of each operation,
// and a random sample of pairs of faults, and checks the invariants.
#include <gflags/gflags.h>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <iostream>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "berylreach/testing/fault.h"
#include "berylreach/testing/matrix_cell.h"
#include "berylreach/testing/random.h"

DEFINE_uint64(seed, 1, "seed of all cells and of the random choice of pairs");
DEFINE_uint64(steps, 8,
              "number of steps of each operation at which faults are injected");
DEFINE_uint64(pairs, 200, "number of randomly chosen cells with two faults");
DEFINE_uint64(threads, 4, "number of cells that run at the same time");
DEFINE_string(cell, "", "runs only this cell, as printed for a failure");
DEFINE_bool(verbose, false,
            "prints each cell before it runs, and with --cell a trace");

namespace {

using berylreach::testing::AllFaults;
using berylreach::testing::AllOperations;
using berylreach::testing::MatrixCell;

/// One cell for each operation, fault and step.
std::vector<MatrixCell> SingleFaults() {
  std::vector<MatrixCell> cells;
  for (const auto operation : AllOperations()) {
    for (const auto& fault : AllFaults()) {
      for (std::size_t step = 0; step < FLAGS_steps; ++step) {
        cells.push_back(
            {operation, {fault.name}, step, FLAGS_steps, FLAGS_seed});
      }
    }
  }
  return cells;
}

/// FLAGS_pairs random cells with two different faults.
std::vector<MatrixCell> FaultPairs() {
  berylreach::testing::Random random(FLAGS_seed);
  const auto& faults = AllFaults();
  const auto& operations = AllOperations();
  std::vector<MatrixCell> cells;
  while (cells.size() < FLAGS_pairs) {
    const auto first = random.Below(faults.size());
    const auto second = random.Below(faults.size());
    if (first == second) continue;
    cells.push_back({operations[random.Below(operations.size())],
                     {faults[first].name, faults[second].name},
                     random.Below(FLAGS_steps),
                     FLAGS_steps,
                     FLAGS_seed + cells.size()});
  }
  return cells;
}

/// Runs all cells on FLAGS_threads threads, prints the failures, and returns
/// the number of failed cells.
std::size_t RunAll(const std::vector<MatrixCell>& cells) {
  std::atomic<std::size_t> next = 0;
  std::atomic<std::size_t> failed = 0;
  std::mutex output;
  std::vector<std::thread> threads;
  for (std::uint64_t i = 0; i < FLAGS_threads; ++i) {
    threads.emplace_back([&] {
      for (std::size_t index = next++; index < cells.size(); index = next++) {
        if (FLAGS_verbose) {
          const std::lock_guard<std::mutex> lock(output);
          std::cout << "running " << ToString(cells[index]) << std::endl;
        }
        const bool trace = FLAGS_verbose && cells.size() == 1;
        const auto violations =
            RunCell(cells[index], trace ? &std::cout : nullptr);
        if (violations.empty()) continue;
        ++failed;
        const std::lock_guard<std::mutex> lock(output);
        std::cout << "failed: berylreach-fault-matrix --cell="
                  << ToString(cells[index]) << "\n";
        for (const std::string& violation : violations)
          std::cout << "  " << violation << "\n";
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  return failed;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "runs the fault matrix and prints a command for each failed cell");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::vector<MatrixCell> cells;
  if (FLAGS_cell.empty()) {
    cells = SingleFaults();
    const auto pairs = FaultPairs();
    cells.insert(cells.end(), pairs.begin(), pairs.end());
  } else {
    const auto cell = berylreach::testing::ParseCell(FLAGS_cell);
    if (!cell) {
      std::cerr << "\"" << FLAGS_cell << "\" is not a cell\n";
      return 2;
    }
    cells.push_back(*cell);
  }
  const std::size_t failed = RunAll(cells);
  std::cout << cells.size() - failed << " passed, " << failed << " failed\n";
  return failed == 0 ? 0 : 1;
}
