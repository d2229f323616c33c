// Common part of `submit` and `promote`: writes a document and waits for the
// hosts.
#include "write_and_await.h"

#include "berylreach/berylctl/fleet.h"
#include "report.h"

namespace berylreach::berylctl {

Result<void> WriteAndAwait(const Options& options, Runtime& runtime,
                           EnvironmentStore& store, const Proposal& proposal) {
  DocumentWriter writer(store, runtime, options.timeout);
  BOOST_OUTCOME_TRY(auto document, writer.Write(proposal));
  if (!options.json)
    runtime.err << "version " << document.version << " is accepted in "
                << store.name() << ", waiting for the hosts\n";
  BOOST_OUTCOME_TRY(auto hosts,
                    AwaitHosts(store, runtime, document, options.timeout));
  if (options.json)
    PrintJson({{"environment", store.name()},
               {"document", ToJson(document)},
               {"hosts", hosts}},
              runtime.out);
  else
    runtime.out << "version " << document.version << " (" << document.hash
                << ") is in force in " << store.name() << " on " << hosts
                << " hosts\n";
  return Success();
}

}  // namespace berylreach::berylctl
