// A budget that limits extra work, such as retries and hedges, to a fraction of
// regular work.
#pragma once

#include <algorithm>

namespace berylreach::base {

/// Token bucket that is refilled by work rather than by time. Each unit of
/// regular work adds `ratio` tokens, up to `burst` in total; each unit of extra
/// work takes one. Over a long time, extra work is therefore at most `ratio`
/// times the regular work.
class TokenBucket {
 public:
  /// `ratio` is in [0, 1]. `burst` is the maximum number of tokens; the bucket
  /// starts full.
  TokenBucket(double ratio, double burst)
      : ratio_(ratio), burst_(burst), tokens_(burst) {}

  /// Records `count` units of regular work.
  void RecordWork(double count = 1) {
    tokens_ = std::min(burst_, tokens_ + ratio_ * count);
  }

  /// Takes one token; returns false if less than one is available.
  bool TrySpend() {
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

  /// Available tokens as a fraction of `burst`, 0 to 1.
  double Level() const { return tokens_ / burst_; }

  /// Puts back the token of extra work that was cancelled before it started.
  void Refund() { tokens_ = std::min(burst_, tokens_ + 1); }

 private:
  double ratio_;
  double burst_;
  double tokens_;
};

}  // namespace berylreach::base
