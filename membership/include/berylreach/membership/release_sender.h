// Sending of Release messages.
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

/// Sends this host's Release on each epoch and each change of the held leaves,
/// and repeats it to members whose own Release is missing or incomplete.
class ReleaseSender {
 public:
  explicit ReleaseSender(model::HostName self) : self_(std::move(self)) {}

  /// Sets the leaves not owned at `epoch` on which work still runs, and sends
  /// the Release if it differs from the last one.
  void SetHeld(std::uint64_t epoch, std::vector<model::LeafName> held,
               const model::HeadRecord& record, base::TimePoint now,
               Actions& out);

  /// Repeats the Release where it is due. `to_all` repeats it to all members.
  void Repeat(const model::HeadRecord& record, const ReleaseTable& releases,
              bool to_all, base::TimePoint now, Actions& out);

  /// Answers a repeated Release of `peer`, which shows that it may lack ours.
  void OnRepeatedRelease(const model::HostName& peer,
                         std::uint64_t current_epoch, base::TimePoint now,
                         Actions& out);

 private:
  void Send(const model::HostName& peer, base::TimePoint now, Actions& out);

  model::HostName self_;
  std::optional<model::Release> release_;
  std::map<model::HostName, base::TimePoint> last_sent_;
};

}  // namespace berylreach::membership
