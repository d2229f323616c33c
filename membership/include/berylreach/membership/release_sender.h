// Sends Release messages, which tell peers that this host has stopped work on
// leaves that it does not own.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/membership/action.h"
#include "berylreach/membership/release_table.h"
#include "berylreach/model/head_record.h"
#include "berylreach/model/names.h"

namespace berylreach::membership {

/// Sends the Release of this host in each epoch and on each change of its held
/// leaves, and repeats it to members whose own Release has not arrived or still
/// names held leaves.
class ReleaseSender {
 public:
  explicit ReleaseSender(model::HostName self) : self_(std::move(self)) {}

  /// Sets the leaves that this host does not own at `epoch` but on which its
  /// work still runs, and sends the Release if it differs from the last one.
  void SetHeldLeaves(std::uint64_t epoch,
                     std::vector<model::LeafName> held_leaves,
                     const model::HeadRecord& record, base::TimePoint now,
                     Actions& out);

  /// Sends the Release again to the members that may lack it, at most once per
  /// `kHeartbeatInterval` to each; with `to_all` to all members.
  void Repeat(const model::HeadRecord& record, const ReleaseTable& releases,
              bool to_all, base::TimePoint now, Actions& out);

  /// Answers a repeated Release of `peer`, which shows that `peer` may lack the
  /// Release of this host.
  void OnRepeatedRelease(const model::HostName& peer,
                         std::uint64_t current_epoch, base::TimePoint now,
                         Actions& out);

 private:
  void Send(const model::HostName& peer, base::TimePoint now, Actions& out);

  model::HostName self_;
  /// Release sent last.
  std::optional<model::Release> release_;
  std::map<model::HostName, base::TimePoint> last_sent_;
};

}  // namespace berylreach::membership
