// The subcommand `promote`.
#include <utility>

#include "arguments.h"
#include "berylreach/berylctl/commands.h"
#include "berylreach/berylctl/document_writer.h"
#include "berylreach/berylctl/fleet.h"
#include "write_and_await.h"

namespace berylreach::berylctl {
namespace {

/// Fails with kHostsLag unless every host of the source environment has exactly
/// the document of the head record in force. A host without a lease fails the
/// check too, since it has not served under the document.
Result<void> RequireInForce(Runtime& runtime, const std::string& environment,
                            const model::HeadRecord& head) {
  Failure failure{ExitCode::kHostsLag,
                  environment + " does not have version " +
                      std::to_string(head.document.version) +
                      " in force on all its hosts"};
  for (const HostView& view : FetchStatuses(runtime.http, head.members)) {
    const bool in_force = view.status && view.status->has_lease &&
                          view.status->document == head.document;
    if (!in_force) failure.hosts.push_back(DescribeLag(view));
  }
  if (head.members.empty()) failure.hosts.emplace_back("no hosts");
  if (!failure.hosts.empty()) return failure;
  return Success();
}

}  // namespace

Result<void> Promote(const Options& options, Runtime& runtime) {
  BOOST_OUTCOME_TRY(RequireArguments(options, 0, 0));
  BOOST_OUTCOME_TRY(RequireEnvironment(options.from, "--from"));
  BOOST_OUTCOME_TRY(RequireEnvironment(options.to, "--to"));
  BOOST_OUTCOME_TRY(RequireAuthor(options));
  if (options.from == options.to)
    return Failure{ExitCode::kUsage, "--from and --to must differ"};
  StoreClient client(runtime.http, options.store);
  EnvironmentStore source(client, options.from);
  EnvironmentStore target(client, options.to);
  BOOST_OUTCOME_TRY(auto head, source.ReadHead());
  const model::DocumentRef& document = head.record.document;
  if (document.version == 0)
    return Failure{ExitCode::kFindings, options.from + " has no document"};
  BOOST_OUTCOME_TRY(RequireInForce(runtime, options.from, head.record));
  BOOST_OUTCOME_TRY(auto parts, source.ReadParts(document.hash));
  const std::string origin = "promoted from " + options.from + " version " +
                             std::to_string(document.version);
  const Proposal proposal{
      std::move(parts), options.base_version, options.author,
      options.note.empty() ? origin : origin + ": " + options.note};
  return WriteAndAwait(options, runtime, target, proposal);
}

}  // namespace berylreach::berylctl
