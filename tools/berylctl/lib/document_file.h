// Document files. Private to the package.
#pragma once

#include <string>

#include "berylreach/berylctl/result.h"

namespace berylreach::berylctl {

/// The bytes of a file. Fails with kUsage if it cannot be read or is above the
/// bound of documents.
Result<std::string> ReadDocumentFile(const std::string& path);

}  // namespace berylreach::berylctl
