// The subcommands.
#pragma once

#include "berylreach/berylctl/options.h"
#include "berylreach/berylctl/result.h"
#include "berylreach/berylctl/runtime.h"

namespace berylreach::berylctl {

/// Checks a document without any network use.
Result<void> Check(const Options& options, Runtime& runtime);

/// Checks a document, puts it in force and waits for the hosts.
Result<void> Submit(const Options& options, Runtime& runtime);

/// Puts the document of one environment in force in another.
Result<void> Promote(const Options& options, Runtime& runtime);

/// Shows the difference of two documents.
Result<void> Diff(const Options& options, Runtime& runtime);

/// Prints a document that is or was in force.
Result<void> Show(const Options& options, Runtime& runtime);

/// Lists the accepted documents of an environment, newest first.
Result<void> History(const Options& options, Runtime& runtime);

/// Shows every host with its document, lease and readiness. Fails with
/// kHostsLag, after the output, if not all have the document in force.
Result<void> Status(const Options& options, Runtime& runtime);

/// Shows the events of all hosts by wall time, then host and sequence. Fails
/// with kHostsLag, after the output, if not all hosts answered.
Result<void> Timeline(const Options& options, Runtime& runtime);

/// Prints the lines of the hosts' log files that explain one request, in the
/// order of their causes. Fails with kFindings if there are none.
Result<void> Explain(const Options& options, Runtime& runtime);

}  // namespace berylreach::berylctl
