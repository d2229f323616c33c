// Measurement of leaf latencies and reports of silence thresholds.
#include "berylreach/core/silence_thresholds.h"

namespace berylreach::core {
namespace {

using model::LeafOutcome;

constexpr std::chrono::seconds kReportInterval{1};

}  // namespace

void SilenceThresholds::OnResult(const model::ServiceName& service,
                                 base::TimePoint started_at,
                                 const model::UpstreamResult& result) {
  const base::Duration elapsed = clock_.Now() - started_at;
  limits::SilenceThreshold& threshold = services_[service].threshold;
  if (result.outcome == LeafOutcome::kOk || result.call_ended) {
    threshold.OnAnswer(elapsed);
    return;
  }
  // A call that was lost earlier than the minimum threshold, for example with a
  // reset connection, says nothing about the latency of the leaf.
  const bool unanswered = result.outcome == LeafOutcome::kLost ||
                          result.outcome == LeafOutcome::kTimedOut;
  if (unanswered && elapsed >= limits::SilenceThreshold::kMinThreshold)
    threshold.OnUnansweredCall(elapsed);
}

void SilenceThresholds::Tick() {
  if (clock_.Now() < next_report_) return;
  next_report_ = clock_.Now() + kReportInterval;
  for (auto& [name, service] : services_) {
    const auto value = service.threshold.Value();
    if (value == service.reported) continue;
    service.reported = value;
    outbox_.Emit(SetSilenceThreshold{name, value});
  }
}

void SilenceThresholds::Retain(const model::Environment& environment) {
  std::erase_if(services_, [&](const auto& item) {
    if (model::FindService(environment, item.first) != nullptr) return false;
    if (item.second.reported != limits::SilenceThreshold::kMinThreshold)
      outbox_.Emit(SetSilenceThreshold{
          item.first, limits::SilenceThreshold::kMinThreshold});
    return true;
  });
}

}  // namespace berylreach::core
