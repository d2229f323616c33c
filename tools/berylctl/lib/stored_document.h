// Documents of environments, as named on the command line. Private to the
// package.
#pragma once

#include <string>
#include <string_view>

#include "berylreach/berylctl/options.h"
#include "berylreach/berylctl/result.h"
#include "berylreach/berylctl/runtime.h"

namespace berylreach::berylctl {

/// A document that is or was in force.
struct StoredDocument {
  std::string environment;
  /// Empty if the environment has no document yet.
  std::string hash;
};

/// Whether an argument has the form "env:...".
bool NamesStoredDocument(std::string_view argument);

/// Finds "env:NAME", the document in force, or "env:NAME@VERSION". Fails with
/// kUsage for another form or a version that is not in the history.
Result<StoredDocument> FindStoredDocument(const Options& options,
                                          Runtime& runtime,
                                          std::string_view argument);

}  // namespace berylreach::berylctl
