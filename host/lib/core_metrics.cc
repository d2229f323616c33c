// Collects and formats the metrics of the core's state.
#include "berylreach/host/core_metrics.h"

#include <cstdint>
#include <string_view>

namespace berylreach::host {
namespace {

void Append(std::string& text, std::string_view type, std::string_view name,
            std::uint64_t value) {
  text.append("# TYPE berylreach_").append(name).append(" ").append(type);
  text.append("\nberylreach_").append(name).append(" ");
  text.append(std::to_string(value)).append("\n");
}

}  // namespace

void AppendCoreMetrics(const core::HostCore& core, std::string& text) {
  Append(text, "gauge", "ready", core.ready() ? 1 : 0);
  Append(text, "gauge", "lease_held", core.HoldsLease() ? 1 : 0);
  Append(text, "gauge", "epoch", core.epoch());
  Append(text, "gauge", "document_version", core.document().version);
  Append(text, "gauge", "open_requests",
         core.caller_requests().open_requests());
  limits::GateCounters sum;
  std::uint64_t running = 0;
  std::uint64_t queued = 0;
  for (const auto& [name, leaf] : core.leaf_owner().leaves()) {
    const limits::GateCounters& counters = leaf.gate.counters();
    sum.received += counters.received;
    sum.started += counters.started;
    sum.completed += counters.completed;
    sum.refused_overload += counters.refused_overload;
    sum.unanswered += counters.unanswered;
    sum.cold_resets += counters.cold_resets;
    running += leaf.gate.running();
    queued += leaf.gate.queued();
  }
  Append(text, "gauge", "owned_leaves", core.leaf_owner().leaves().size());
  Append(text, "gauge", "leaf_calls_running", running);
  Append(text, "gauge", "leaf_calls_queued", queued);
  // Gauges rather than counters, since a leaf's counts are lost when its
  // ownership moves to another host.
  Append(text, "gauge", "leaf_calls_received", sum.received);
  Append(text, "gauge", "leaf_calls_started", sum.started);
  Append(text, "gauge", "leaf_calls_completed", sum.completed);
  Append(text, "gauge", "leaf_calls_refused_overload", sum.refused_overload);
  Append(text, "gauge", "leaf_calls_unproven", sum.unanswered);
  Append(text, "gauge", "leaf_cold_resets", sum.cold_resets);
  const orders::OrderCounters& orders = core.orders().counters();
  Append(text, "counter", "orders_sent_total", orders.sent);
  Append(text, "counter", "orders_done_total", orders.done);
  Append(text, "counter", "orders_not_run_total", orders.not_run);
  Append(text, "counter", "orders_may_have_run_total", orders.may_have_run);
  Append(text, "counter", "order_journal_writes_total", orders.writes);
}

}  // namespace berylreach::host
