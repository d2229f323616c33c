// Reading of document files. Private to the package.
#pragma once

#include <string>
#include <utility>

#include "berylreach/berylctl/result.h"
#include "berylreach/config/parsed.h"

namespace berylreach::berylctl {

/// Reads a file. Fails with kUsage if it cannot be read. Of a file larger than
/// the maximum size of a document, reads only one byte more than that, so that
/// the parser reports the size.
Result<std::string> ReadDocumentFile(const std::string& path);

/// Returns the value that was parsed from the document at `path`, or a failure
/// with kFindings and the findings if parsing failed.
template <typename T>
Result<T> ValueOrFindings(config::Parsed<T> parsed, const std::string& path) {
  if (parsed.value) return std::move(*parsed.value);
  return Failure{
      ExitCode::kFindings,
      path + " has " + std::to_string(parsed.findings.size()) + " findings",
      std::move(parsed.findings)};
}

}  // namespace berylreach::berylctl
