// Records and formats latency summaries by route and outcome.
#include "berylreach/gateway/request_metrics.h"

#include <chrono>
#include <cstddef>
#include <string_view>

#include "metric_label.h"

namespace berylreach::gateway {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

/// Maximum number of pairs of a route and an outcome that have a summary of
/// their own.
constexpr std::size_t kMaxSummaries = 256;
/// Route label of all requests beyond that limit.
constexpr char kOtherRoutes[] = "other";

std::string_view NameOf(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::kWhole:
      return "whole";
    case RequestOutcome::kPartial:
      return "partial";
    case RequestOutcome::kRefused:
      return "refused";
    case RequestOutcome::kFailed:
      break;
  }
  return "failed";
}

}  // namespace

void RequestMetrics::OnRequest(const std::string& route, RequestOutcome outcome,
                               base::Duration latency) {
  auto found = requests_.find({route, outcome});
  if (found == requests_.end()) {
    const bool full = requests_.size() >= kMaxSummaries;
    found = requests_.try_emplace({full ? kOtherRoutes : route, outcome}).first;
  }
  found->second.Add(duration_cast<microseconds>(latency));
}

void RequestMetrics::OnLeafAnswer(base::Duration latency) {
  leaf_answers_.Add(duration_cast<microseconds>(latency));
}

void RequestMetrics::AppendTo(std::string& text) const {
  text += "# TYPE berylreach_request_seconds summary\n";
  for (const auto& [key, summary] : requests_) {
    summary.AppendTo(text, "berylreach_request_seconds",
                     "route=\"" + EscapeLabel(key.first) + "\",outcome=\"" +
                         std::string(NameOf(key.second)) + "\"");
  }
  text += "# TYPE berylreach_leaf_answer_seconds summary\n";
  leaf_answers_.AppendTo(text, "berylreach_leaf_answer_seconds", "");
}

}  // namespace berylreach::gateway
