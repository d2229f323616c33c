// The subcommand `check`.
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
  BOOST_OUTCOME_TRY(auto document,
                    ValueOrFindings(config::SplitDocument(bytes), path));
  const std::string& hash = document.manifest.hash;
  if (options.json)
    PrintJson({{"findings", json::array()}, {"hash", hash}}, runtime.out);
  else
    runtime.out << path << " is valid, hash " << hash << '\n';
  return Success();
}

}  // namespace berylreach::berylctl
