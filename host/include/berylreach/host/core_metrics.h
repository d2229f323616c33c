// Formats metrics of the core's state.
#pragma once

#include <string>

#include "berylreach/core/host_core.h"

namespace berylreach::host {

/// Appends the core's metrics in the Prometheus text exposition format. Must be
/// called on the core thread.
void AppendCoreMetrics(const core::HostCore& core, std::string& text);

}  // namespace berylreach::host
