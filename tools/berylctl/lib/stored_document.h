// Lookup of stored documents by their names on the command line. Private to the
// package.
#pragma once

#include <string>
#include <string_view>

#include "berylreach/berylctl/options.h"
#include "berylreach/berylctl/result.h"
#include "berylreach/berylctl/runtime.h"

namespace berylreach::berylctl {

/// The current document of an environment, or one of its history.
struct StoredDocument {
  std::string environment;
  /// Empty if the environment has no document yet.
  std::string hash;
};

/// Whether an argument has the form "env:...".
bool NamesStoredDocument(std::string_view argument);

/// Finds the current document, "env:NAME", or one of the history,
/// "env:NAME@VERSION". Fails with kUsage for an argument of another form or a
/// version that is not in the history.
Result<StoredDocument> FindStoredDocument(const Options& options,
                                          Runtime& runtime,
                                          std::string_view argument);

}  // namespace berylreach::berylctl
