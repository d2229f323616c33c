// Runs one command of berylctl; separate from main() so that tests can call it.
#pragma once

#include <string>

#include "berylreach/berylctl/exit_code.h"
#include "berylreach/berylctl/options.h"
#include "berylreach/berylctl/runtime.h"

namespace berylreach::berylctl {

/// Runs the subcommand. Reports a failure as text on `runtime.err` or, with
/// --json, as a JSON object on `runtime.out`.
ExitCode Run(const Options& options, Runtime& runtime);

/// Help text with all subcommands, flags and exit codes.
const char* UsageText();

/// Text of --version: the release and what the program was built from.
std::string VersionText();

}  // namespace berylreach::berylctl
