// A budget of extra work as a fraction of regular work.
#pragma once

#include <algorithm>

namespace berylreach::base {

/// Accrues `ratio` tokens for each unit of regular work, up to `burst`; each
/// unit of extra work spends one token. The ratio therefore bounds extra work
/// over any long run.
class TokenBucket {
 public:
  /// `ratio` in [0, 1]; `burst` is the largest number of tokens held, which is
  /// also the start value.
  TokenBucket(double ratio, double burst)
      : ratio_(ratio), burst_(burst), tokens_(burst) {}

  /// Records `count` units of regular work.
  void Earn(double count = 1) {
    tokens_ = std::min(burst_, tokens_ + ratio_ * count);
  }

  /// Spends one token; returns false if less than one is left.
  bool TrySpend() {
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

  /// Tokens held as a fraction of `burst`, 0 to 1.
  double Level() const { return tokens_ / burst_; }

  /// Returns one token for extra work that was withdrawn before it started.
  void Refund() { tokens_ = std::min(burst_, tokens_ + 1); }

 private:
  double ratio_;
  double burst_;
  double tokens_;
};

}  // namespace berylreach::base
