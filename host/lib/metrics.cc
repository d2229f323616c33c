// Records and formats the metrics of caller requests.
#include "berylreach/host/metrics.h"

#include <string_view>

#include "berylreach/config/request_kind_name.h"
#include "berylreach/model/error_code.h"

namespace berylreach::host {
namespace {

/// Label values of the request kinds, in the order of model::RequestKind.
constexpr std::string_view kRequestKinds[] = {"query", "lookup", "order"};

std::string ResultOf(const model::CallerReply& reply) {
  if (const auto* refusal = std::get_if<model::Refusal>(&reply)) {
    return std::string(model::ToString(refusal->code));
  }
  return std::get<model::Answer>(reply).coverage.missing.empty() ? "whole"
                                                                 : "partial";
}

}  // namespace

void Metrics::OnReply(model::RequestKind kind, const model::CallerReply& reply,
                      std::chrono::microseconds latency) {
  const std::lock_guard<std::mutex> lock(mutex_);
  latencies_.at(static_cast<std::size_t>(kind)).Add(latency);
  const std::string labels = "kind=\"" + std::string(config::ToString(kind)) +
                             "\",result=\"" + ResultOf(reply) + "\"";
  ++replies_[labels];
  if (const auto* answer = std::get_if<model::Answer>(&reply)) {
    shards_answered_ += answer->coverage.shards_answered;
    shards_total_ += answer->coverage.shards_total;
  }
}

void Metrics::AppendTo(std::string& text) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  text += "# TYPE berylreach_replies_total counter\n";
  for (const auto& [labels, count] : replies_) {
    text += "berylreach_replies_total{" + labels + "} " +
            std::to_string(count) + "\n";
  }
  text +=
      "# TYPE berylreach_shards_answered_total "
      "counter\nberylreach_shards_answered_total " +
      std::to_string(shards_answered_) + "\n";
  text += "# TYPE berylreach_shards_total counter\nberylreach_shards_total " +
          std::to_string(shards_total_) + "\n";
  text += "# TYPE berylreach_request_seconds summary\n";
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    latencies_.at(kind).AppendTo(
        text, "berylreach_request_seconds",
        "kind=\"" + std::string(kRequestKinds[kind]) + "\"");
  }
}

}  // namespace berylreach::host
