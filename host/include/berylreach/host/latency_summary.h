// Latency quantiles of one kind of request.
#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <chrono>
#include <string>

namespace berylreach::host {

/// Estimates the 0.5, 0.9, 0.99 and 0.999 quantiles without storing samples.
/// Not thread-safe.
class LatencySummary {
 public:
  LatencySummary();

  void Add(std::chrono::microseconds latency);

  /// Appends the summary in the Prometheus text exposition format under the
  /// metric `name`, in seconds. `labels` is empty or of the form
  /// `kind="query"`.
  void AppendTo(std::string& text, const std::string& name,
                const std::string& labels) const;

 private:
  using Accumulator = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::sum,
                                 boost::accumulators::tag::extended_p_square>>;

  Accumulator accumulator_;
};

}  // namespace berylreach::host
