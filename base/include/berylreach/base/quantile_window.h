// Quantiles over the most recent samples.
#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <vector>

#include "berylreach/base/clock.h"

namespace berylreach::base {

/// Keeps the last `capacity` durations and computes quantiles over them. This
/// is a sliding window rather than a streaming estimator because thresholds
/// derived from it must follow a changed service time within seconds.
class QuantileWindow {
 public:
  explicit QuantileWindow(std::size_t capacity) : capacity_(capacity) {}

  void Add(Duration sample) {
    if (samples_.size() < capacity_) {
      samples_.push_back(sample);
    } else {
      samples_[next_] = sample;
    }
    next_ = (next_ + 1) % capacity_;
    sorted_valid_ = false;
  }

  std::size_t size() const { return samples_.size(); }

  /// The quantile `q` (0 to 1; values outside are clamped). Returns nullopt if
  /// the window is empty or holds fewer than `min_samples` samples.
  std::optional<Duration> Quantile(double q,
                                   std::size_t min_samples = 1) const {
    if (samples_.size() < min_samples || samples_.empty()) return std::nullopt;
    if (!sorted_valid_) {
      sorted_ = samples_;
      std::sort(sorted_.begin(), sorted_.end());
      sorted_valid_ = true;
    }
    const auto last = static_cast<double>(sorted_.size() - 1);
    return sorted_[static_cast<std::size_t>(std::clamp(q, 0.0, 1.0) * last)];
  }

 private:
  std::size_t capacity_;
  std::size_t next_ = 0;
  std::vector<Duration> samples_;
  mutable std::vector<Duration> sorted_;
  mutable bool sorted_valid_ = false;
};

}  // namespace berylreach::base
