// The subcommand `show`.
#include "arguments.h"
#include "berylreach/berylctl/commands.h"
#include "berylreach/berylctl/environment_store.h"
#include "stored_document.h"

namespace berylreach::berylctl {

Result<void> Show(const Options& options, Runtime& runtime) {
  BOOST_OUTCOME_TRY(RequireArguments(options, 1, 1));
  const std::string& argument = options.arguments[0];
  BOOST_OUTCOME_TRY(auto found, FindStoredDocument(options, runtime, argument));
  if (found.hash.empty())
    return Failure{ExitCode::kUsage, argument + " has no document"};
  StoreClient client(runtime.http, options.store);
  EnvironmentStore store(client, found.environment);
  BOOST_OUTCOME_TRY(auto text, store.ReadDocumentText(found.hash));
  runtime.out << text << '\n';
  return Success();
}

}  // namespace berylreach::berylctl
