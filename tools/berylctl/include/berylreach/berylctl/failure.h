// The error type of commands.
#pragma once

#include <string>
#include <vector>

#include "berylreach/base/finding.h"
#include "berylreach/berylctl/exit_code.h"
#include "berylreach/config/document_change.h"

namespace berylreach::berylctl {

/// Why a command failed, with the details that the operator needs.
struct Failure {
  ExitCode code = ExitCode::kUsage;
  /// Starts in lower case and ends without a full stop.
  std::string message;
  /// For kFindings: the problems of the document or record.
  base::Findings findings = {};
  /// For kConflict: the changes from the base version to the current document.
  std::vector<config::DocumentChange> changes = {};
  /// For kHostsLag: one line for each host that lags.
  std::vector<std::string> hosts = {};
};

}  // namespace berylreach::berylctl
