// Metrics of the core's state.
#pragma once

#include <string>

#include "berylreach/core/host_core.h"

namespace berylreach::host {

/// Appends the core's metrics in the text exposition format. Call on the core
/// thread.
void AppendCoreMetrics(const core::HostCore& core, std::string& text);

}  // namespace berylreach::host
