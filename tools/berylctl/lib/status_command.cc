// The subcommand `status`, which shows whether hosts have the document in
// force.
#include <utility>

#include "arguments.h"
#include "berylreach/berylctl/commands.h"
#include "berylreach/berylctl/fleet.h"
#include "report.h"

namespace berylreach::berylctl {
namespace {

json::object ViewToJson(const HostView& view) {
  json::object result{{"host", view.member.host.value},
                      {"zone", view.member.zone.value},
                      {"http_address", view.member.http_address},
                      {"answers", view.status.has_value()}};
  if (!view.status) return result;
  result["epoch"] = view.status->epoch;
  result["document"] = ToJson(view.status->document);
  result["lease"] = view.status->has_lease;
  result["ready"] = view.status->ready;
  result["build"] = view.status->build;
  return result;
}

void Print(const HostView& view, std::ostream& out) {
  out << Printable(view.member.host.value) << "  "
      << Printable(view.member.zone.value) << "  "
      << Printable(view.member.http_address) << "  ";
  if (!view.status) {
    out << "does not answer\n";
    return;
  }
  out << "epoch " << view.status->epoch << "  version "
      << view.status->document.version << "  "
      << (view.status->has_lease ? "lease" : "no lease") << "  "
      << (view.status->ready ? "ready" : "not ready") << "  build "
      << (view.status->build.empty() ? "unknown"
                                     : Printable(view.status->build))
      << '\n';
}

Failure LagFailure(const model::DocumentRef& document) {
  return {ExitCode::kHostsLag, "version " + std::to_string(document.version) +
                                   " is not in force on all hosts"};
}

}  // namespace

Result<void> Status(const Options& options, Runtime& runtime) {
  BOOST_OUTCOME_TRY(RequireArguments(options, 0, 0));
  BOOST_OUTCOME_TRY(RequireEnvironment(options.environment, "--environment"));
  StoreClient client(runtime.http, options.store);
  EnvironmentStore store(client, options.environment);
  BOOST_OUTCOME_TRY(auto head, store.ReadHead());
  const model::HeadRecord& record = head.record;
  if (!options.json)
    runtime.out << options.environment << ": epoch " << record.epoch
                << ", version " << record.document.version << " ("
                << record.document.hash << ")\n";
  Failure lag = LagFailure(record.document);
  json::array hosts;
  for (const HostView& view : FetchStatuses(runtime.http, record.members)) {
    if (!options.json) Print(view, runtime.out);
    hosts.push_back(ViewToJson(view));
    if (!HasInForce(view, record.document))
      lag.hosts.push_back(DescribeLag(view));
  }
  const bool in_force = lag.hosts.empty();
  if (options.json)
    PrintJson({{"environment", options.environment},
               {"epoch", record.epoch},
               {"document", ToJson(record.document)},
               {"hosts", std::move(hosts)},
               {"in_force", in_force}},
              runtime.out);
  if (!in_force) return lag;
  return Success();
}

}  // namespace berylreach::berylctl
