// The common end of `submit` and `promote`. Private to the package.
#pragma once

#include "berylreach/berylctl/document_writer.h"
#include "berylreach/berylctl/environment_store.h"
#include "berylreach/berylctl/options.h"
#include "berylreach/berylctl/result.h"
#include "berylreach/berylctl/runtime.h"

namespace berylreach::berylctl {

/// Writes the proposal, waits for the hosts and prints the result.
Result<void> WriteAndAwait(const Options& options, Runtime& runtime,
                           EnvironmentStore& store, const Proposal& proposal);

}  // namespace berylreach::berylctl
