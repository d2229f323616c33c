// Structured logging of changes of state.
#pragma once

#include <string>

namespace berylreach::host {

/// Configures logging to standard error as one JSON object a line, labelled
/// with the host's name. Call once, before any other thread starts.
void StartLog(const std::string& host);

/// Writes one line for a change of state. Counters cover everything else.
void LogStateChange(const std::string& type, const std::string& subject,
                    const std::string& detail);

/// Flushes and removes the log sink.
void StopLog();

}  // namespace berylreach::host
