// Why a command failed.
#pragma once

#include <string>
#include <vector>

#include "berylreach/base/finding.h"
#include "berylreach/berylctl/exit_code.h"
#include "berylreach/config/document_change.h"

namespace berylreach::berylctl {

/// A failed command, with all that helps the operator to go on.
struct Failure {
  ExitCode code = ExitCode::kUsage;
  /// Lower-case sentence without a full stop.
  std::string message;
  /// kFindings: the problems of the document or record.
  base::Findings findings = {};
  /// kConflict: what changed between the base and the document now in force.
  std::vector<config::DocumentChange> changes = {};
  /// kHostsLag: one line for each host concerned.
  std::vector<std::string> hosts = {};
};

}  // namespace berylreach::berylctl
