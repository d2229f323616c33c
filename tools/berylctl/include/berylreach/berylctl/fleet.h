// The hosts of an environment.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "berylreach/berylctl/environment_store.h"
#include "berylreach/berylctl/result.h"
#include "berylreach/berylctl/runtime.h"
#include "berylreach/config/host_status.h"
#include "berylreach/config/host_timeline.h"
#include "berylreach/model/document_ref.h"
#include "berylreach/model/member.h"

namespace berylreach::berylctl {

/// What is known about one member.
struct HostView {
  model::Member member;
  /// Nothing if the host did not answer.
  std::optional<config::HostStatus> status;
};

/// Asks one host for its status.
HostView AskStatus(HttpClient& http, const model::Member& member);

/// Asks one host for its time line; nothing if it did not answer.
std::optional<config::HostTimeline> AskTimeline(HttpClient& http,
                                                const model::Member& member);

/// Whether the host has `wanted` or a later version in force, or cannot serve
/// an older one because its lease has lapsed.
bool HasInForce(const HostView& view, const model::DocumentRef& wanted);

/// Why the host does not count, such as "h2 (aarhus): has version 3".
std::string DescribeLag(const HostView& view);

/// Asks the members of the head record until all have `wanted` in force, and
/// returns their number. Fails
/// with kHostsLag and the hosts that lag after `limit`.
Result<std::size_t> AwaitHosts(EnvironmentStore& store, Runtime& runtime,
                               const model::DocumentRef& wanted,
                               base::Duration limit);

}  // namespace berylreach::berylctl
