// The subcommand `diff`.
#include "arguments.h"
#include "berylreach/berylctl/commands.h"
#include "berylreach/berylctl/environment_store.h"
#include "berylreach/config/document.h"
#include "berylreach/config/document_diff.h"
#include "document_file.h"
#include "report.h"
#include "stored_document.h"

namespace berylreach::berylctl {
namespace {

Result<model::Environment> LoadFile(const std::string& path) {
  BOOST_OUTCOME_TRY(auto bytes, ReadDocumentFile(path));
  return ValueOrFindings(config::ParseDocument(bytes), path);
}

/// Loads "env:NAME" or "env:NAME@VERSION".
Result<model::Environment> LoadStored(const Options& options, Runtime& runtime,
                                      const std::string& argument) {
  BOOST_OUTCOME_TRY(auto found, FindStoredDocument(options, runtime, argument));
  StoreClient client(runtime.http, options.store);
  return EnvironmentStore(client, found.environment).ReadDocument(found.hash);
}

Result<model::Environment> Load(const Options& options, Runtime& runtime,
                                const std::string& argument) {
  if (NamesStoredDocument(argument))
    return LoadStored(options, runtime, argument);
  return LoadFile(argument);
}

}  // namespace

Result<void> Diff(const Options& options, Runtime& runtime) {
  BOOST_OUTCOME_TRY(RequireArguments(options, 2, 2));
  BOOST_OUTCOME_TRY(auto before, Load(options, runtime, options.arguments[0]));
  BOOST_OUTCOME_TRY(auto after, Load(options, runtime, options.arguments[1]));
  const auto changes = config::DiffDocuments(before, after);
  if (options.json)
    PrintJson({{"changes", ToJson(changes)}}, runtime.out);
  else
    PrintChanges(changes, runtime.out);
  return Success();
}

}  // namespace berylreach::berylctl
