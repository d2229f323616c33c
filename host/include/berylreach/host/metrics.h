// Counters and latencies of caller requests.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "berylreach/host/latency_summary.h"
#include "berylreach/model/caller_reply.h"
#include "berylreach/model/request_kind.h"

namespace berylreach::host {

/// Counts replies by kind and result, and records their latencies. Thread-safe.
class Metrics {
 public:
  /// Records the final reply to a request that took `latency`.
  void OnReply(model::RequestKind kind, const model::CallerReply& reply,
               std::chrono::microseconds latency);

  /// Appends all metrics in the Prometheus text exposition format.
  void AppendTo(std::string& text) const;

 private:
  static constexpr std::size_t kKinds = 3;

  mutable std::mutex mutex_;
  std::array<LatencySummary, kKinds> latencies_;
  /// Number of replies by their metric labels.
  std::map<std::string, std::uint64_t> replies_;
  std::uint64_t shards_answered_ = 0;
  std::uint64_t shards_total_ = 0;
};

}  // namespace berylreach::host
