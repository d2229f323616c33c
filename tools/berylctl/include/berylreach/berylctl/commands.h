// The subcommands of berylctl, one function for each.
#pragma once

#include "berylreach/berylctl/options.h"
#include "berylreach/berylctl/result.h"
#include "berylreach/berylctl/runtime.h"

namespace berylreach::berylctl {

/// Validates a document file; needs no network. Fails with kFindings for an
/// invalid document.
Result<void> Check(const Options& options, Runtime& runtime);

/// Validates a document file, makes it the current document of the environment
/// and waits until all hosts have it in force.
Result<void> Submit(const Options& options, Runtime& runtime);

/// Copies the current document of one environment to another, if all hosts of
/// the source environment have it in force, and waits until all hosts of the
/// target environment have it in force.
Result<void> Promote(const Options& options, Runtime& runtime);

/// Prints the differences between two documents, each from a file or from the
/// store.
Result<void> Diff(const Options& options, Runtime& runtime);

/// Prints a stored document: the current one or one of the history.
Result<void> Show(const Options& options, Runtime& runtime);

/// Lists the accepted documents of an environment, newest first.
Result<void> History(const Options& options, Runtime& runtime);

/// Prints the document, lease and readiness of each host. Fails with kHostsLag,
/// after the output, unless all hosts have the document in force.
Result<void> Status(const Options& options, Runtime& runtime);

/// Prints the events of all hosts, sorted by wall time, host and sequence
/// number. Fails with kHostsLag, after the output, unless all hosts responded.
Result<void> Timeline(const Options& options, Runtime& runtime);

/// Prints the lines of the hosts' log files that explain the outcome of one
/// request, causes before effects. Fails with kFindings if there are none.
Result<void> Explain(const Options& options, Runtime& runtime);

}  // namespace berylreach::berylctl
