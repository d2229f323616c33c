// Document files. Private to the package.
#pragma once

#include <string>
#include <utility>

#include "berylreach/berylctl/result.h"
#include "berylreach/config/parsed.h"

namespace berylreach::berylctl {

/// The bytes of a file. Fails with kUsage if it cannot be read or is above the
/// bound of documents.
Result<std::string> ReadDocumentFile(const std::string& path);

/// The value that was parsed from the document at `path`; fails with kFindings
/// if there is none.
template <typename T>
Result<T> ValueOrFindings(config::Parsed<T> parsed, const std::string& path) {
  if (parsed.value) return std::move(*parsed.value);
  return Failure{
      ExitCode::kFindings,
      path + " has " + std::to_string(parsed.findings.size()) + " findings",
      std::move(parsed.findings)};
}

}  // namespace berylreach::berylctl
