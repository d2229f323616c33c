// Runs one command.
#pragma once

#include "berylreach/berylctl/exit_code.h"
#include "berylreach/berylctl/options.h"
#include "berylreach/berylctl/runtime.h"

namespace berylreach::berylctl {

/// Runs the subcommand and reports its failure, as text on `runtime.err` or
/// with `--json` as an object on `runtime.out`.
ExitCode Run(const Options& options, Runtime& runtime);

/// Usage of all subcommands, their flags and exit codes.
const char* UsageText();

/// Version of the program.
const char* VersionText();

}  // namespace berylreach::berylctl
