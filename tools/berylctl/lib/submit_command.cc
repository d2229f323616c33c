// The subcommand `submit`.
#include <utility>

#include "arguments.h"
#include "berylreach/berylctl/commands.h"
#include "berylreach/berylctl/document_writer.h"
#include "berylreach/berylctl/fleet.h"
#include "document_file.h"
#include "write_and_await.h"

namespace berylreach::berylctl {

Result<void> Submit(const Options& options, Runtime& runtime) {
  BOOST_OUTCOME_TRY(RequireArguments(options, 1, 1));
  BOOST_OUTCOME_TRY(RequireEnvironment(options.environment, "--environment"));
  BOOST_OUTCOME_TRY(RequireAuthor(options));
  const std::string& path = options.arguments[0];
  BOOST_OUTCOME_TRY(auto bytes, ReadDocumentFile(path));
  BOOST_OUTCOME_TRY(auto document,
                    ValueOrFindings(config::SplitDocument(bytes), path));
  StoreClient client(runtime.http, options.store);
  EnvironmentStore store(client, options.environment);
  const Proposal proposal{std::move(document), options.base_version,
                          options.author, options.note};
  return WriteAndAwait(options, runtime, store, proposal);
}

}  // namespace berylreach::berylctl
