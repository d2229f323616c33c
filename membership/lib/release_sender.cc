// Sending of Release messages and their repetition.
#include "berylreach/membership/release_sender.h"

#include <algorithm>
#include <utility>

#include "berylreach/membership/constants.h"

namespace berylreach::membership {

void ReleaseSender::SetHeldLeaves(std::uint64_t epoch,
                                  std::vector<model::LeafName> held_leaves,
                                  const model::HeadRecord& record,
                                  base::TimePoint now, Actions& out) {
  std::sort(held_leaves.begin(), held_leaves.end());
  model::Release release{epoch, std::move(held_leaves)};
  if (release_ == release) return;
  release_ = std::move(release);
  last_sent_.clear();
  for (const model::Member& member : record.members) {
    if (member.host != self_) Send(member.host, now, out);
  }
}

void ReleaseSender::Repeat(const model::HeadRecord& record,
                           const ReleaseTable& releases, bool to_all,
                           base::TimePoint now, Actions& out) {
  if (!release_ || release_->epoch != record.epoch) return;
  for (const model::Member& member : record.members) {
    if (member.host == self_) continue;
    const model::Release* answer = releases.Find(member);
    const bool answered = answer != nullptr && answer->epoch >= record.epoch &&
                          answer->held_leaves.empty();
    if (answered && !to_all) continue;
    const auto last = last_sent_.find(member.host);
    if (last != last_sent_.end() && now - last->second < kHeartbeatInterval) {
      continue;
    }
    Send(member.host, now, out);
  }
}

void ReleaseSender::OnRepeatedRelease(const model::HostName& peer,
                                      std::uint64_t current_epoch,
                                      base::TimePoint now, Actions& out) {
  if (!release_ || release_->epoch != current_epoch) return;
  // Without this limit two hosts whose answers cross would keep answering each
  // other.
  const auto last = last_sent_.find(peer);
  if (last != last_sent_.end() && now - last->second < kHeartbeatInterval) {
    return;
  }
  Send(peer, now, out);
}

void ReleaseSender::Send(const model::HostName& peer, base::TimePoint now,
                         Actions& out) {
  last_sent_[peer] = now;
  out.push_back(SendTo{peer, *release_});
}

}  // namespace berylreach::membership
