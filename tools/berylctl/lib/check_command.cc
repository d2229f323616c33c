// The subcommand `check`.
#include <utility>

#include "arguments.h"
#include "berylreach/berylctl/commands.h"
#include "berylreach/config/document_parts.h"
#include "document_file.h"
#include "report.h"

namespace berylreach::berylctl {

Result<void> Check(const Options& options, Runtime& runtime) {
  BOOST_OUTCOME_TRY(RequireArguments(options, 1, 1));
  const std::string& path = options.arguments[0];
  BOOST_OUTCOME_TRY(auto bytes, ReadDocumentFile(path));
  auto split = config::SplitDocument(bytes);
  if (!split.value)
    return Failure{
        ExitCode::kFindings,
        path + " has " + std::to_string(split.findings.size()) + " findings",
        std::move(split.findings)};
  const std::string& hash = split.value->manifest.hash;
  if (options.json)
    PrintJson({{"findings", json::array()}, {"hash", hash}}, runtime.out);
  else
    runtime.out << path << " is valid, hash " << hash << '\n';
  return Success();
}

}  // namespace berylreach::berylctl
