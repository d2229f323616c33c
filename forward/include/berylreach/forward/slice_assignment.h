// Which coordinators run which slice of a request's shards.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace berylreach::forward {

/// Hosts of one slice as one sender uses them.
struct SliceHosts {
  /// Run the slice for this sender, which holds a connection to each.
  std::vector<std::string> primaries;
  /// Take over while no primary answers; a connection is held to each.
  std::vector<std::string> backups;
  /// Used while none of the others answers.
  std::vector<std::string> others;

  friend bool operator==(const SliceHosts&, const SliceHosts&) = default;
};

/// Assigns each of `coordinators` to one of `count` slices, evenly and so that
/// the loss of a coordinator moves few of the others: a coordinator that
/// changes its slice needs new connections to all leaves of it. Every slice
/// has a host if there are as many coordinators as slices.
std::vector<std::vector<std::string>> AssignSlices(
    const std::vector<std::string>& coordinators, std::size_t count);

/// The hosts of each slice for the sender `self`. A sender uses few hosts a
/// slice, other ones than most senders do, so that neither its connections nor
/// those that a coordinator accepts grow with the fleet.
std::vector<SliceHosts> HostsForSender(
    const std::string& self,
    const std::vector<std::vector<std::string>>& slices);

}  // namespace berylreach::forward
