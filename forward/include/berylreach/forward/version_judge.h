// Sequential test that compares the target version of a shift with the other
// versions.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/forward/version_totals.h"

namespace berylreach::forward {

enum class VersionVerdict { kUndecided, kGood, kBad };

/// Judges the target version by the bad answers that it gives beyond the rate
/// of the other versions on the same route, in the same zone and at the same
/// time. Runs a sequential probability ratio test that restarts at its lower
/// bound (Page's cumulative sum), so that good answers in the past do not
/// conceal a fault that begins late. Failed and slow answers are tested apart:
/// pauses of leaves make some answers of any version slow, which would hide
/// failures. For both, there is one test for each route and one over all. Not
/// thread-safe.
class VersionJudge {
 public:
  /// Evidence is compared in windows of at least this length.
  static constexpr std::chrono::milliseconds kWindow{500};

  explicit VersionJudge(const base::Clock& clock) : clock_(clock) {}

  /// Compares the answers since the previous window. `totals` are cumulative.
  /// `others_in_use` is false once all calls go to the target version, so that
  /// there is no comparison at the same time. `target_leaves` is the number of
  /// listed leaves of the target version.
  void Update(const VersionTotals& totals, bool others_in_use,
              std::size_t target_leaves);

  /// The verdict of the sequential test. kBad is final.
  VersionVerdict verdict() const { return verdict_; }
  /// The verdict at the end of the observation: kUndecided if a few more
  /// answers may show the version as bad, and kGood otherwise.
  VersionVerdict FinalVerdict() const;
  /// Route of the test that says bad, or empty for the test over all routes.
  const std::string& bad_route() const { return bad_route_; }

 private:
  /// What makes an answer bad.
  enum class Fault { kFailed, kSlow };

  /// Log-likelihood ratios of one window, by leaf.
  struct LeafEvidence {
    std::string leaf;
    std::string zone;
    double ratio = 0;
  };

  /// Cumulative sums of one test: over all leaves, and without one leaf or one
  /// zone each.
  struct Test {
    double sum = 0;
    /// As `sum`, but without restarts.
    double total = 0;
    std::map<std::string, double> without_leaf;
    std::map<std::string, double> without_zone;
  };

  static void Accumulate(Test& test, const std::vector<LeafEvidence>& window);
  /// Whether the evidence exceeds `bound`, and does not come from one leaf or
  /// one zone alone.
  bool Exceeds(const Test& test, double bound) const;
  static std::uint64_t Bad(Fault fault, const VersionCounts& counts);
  /// Adds the window's answers to the tests for a fault.
  void UpdateTests(Fault fault, const VersionTotals& totals,
                   bool others_in_use);
  void TestForBad();
  /// Whether the evidence of any test exceeds `bound`. See Exceeds.
  bool AnyExceeds(double bound) const;
  /// Rate of bad answers that is expected of a good target version.
  double ExpectedRate(Fault fault, const VersionTotals& totals,
                      const VersionTotals::Key& route_and_zone,
                      bool others_in_use) const;

  const base::Clock& clock_;
  base::TimePoint window_start_{};
  VersionTotals previous_;
  std::size_t target_leaves_ = 0;
  std::map<std::pair<Fault, std::string>, Test> by_route_;
  std::map<Fault, Test> all_;
  VersionVerdict verdict_ = VersionVerdict::kUndecided;
  std::string bad_route_;
};

}  // namespace berylreach::forward
