// Common part of `submit` and `promote`: writes a document and waits for the
// hosts. Private to the package.
#pragma once

#include "berylreach/berylctl/document_writer.h"
#include "berylreach/berylctl/environment_store.h"
#include "berylreach/berylctl/options.h"
#include "berylreach/berylctl/result.h"
#include "berylreach/berylctl/runtime.h"

namespace berylreach::berylctl {

/// Writes the proposal, waits until all hosts have it in force and prints the
/// result. `options.timeout` bounds each of the two steps.
Result<void> WriteAndAwait(const Options& options, Runtime& runtime,
                           EnvironmentStore& store, const Proposal& proposal);

}  // namespace berylreach::berylctl
