// Cap'n Proto codec of heartbeats, leaf states, host lists, suspects, releases
// and silence notices.
#include "control_codec.h"

#include "codec_support.h"

namespace berylreach::transport {

void Encode(const model::Heartbeat& heartbeat,
            rpc::Heartbeat::Builder builder) {
  builder.setSequence(heartbeat.sequence);
  builder.setIncarnation(heartbeat.incarnation);
  builder.setEpoch(heartbeat.epoch);
  Encode(heartbeat.document, builder.initDocument());
  builder.setHostListIndex(heartbeat.host_list_index);
  builder.setQuarantineDigest(heartbeat.quarantine_digest);
  builder.setLeafStatesDigest(heartbeat.leaf_states_digest);
}

model::Heartbeat Decode(rpc::Heartbeat::Reader reader) {
  model::Heartbeat heartbeat;
  heartbeat.sequence = reader.getSequence();
  heartbeat.incarnation = reader.getIncarnation();
  heartbeat.epoch = reader.getEpoch();
  heartbeat.document = Decode(reader.getDocument());
  heartbeat.host_list_index = reader.getHostListIndex();
  heartbeat.quarantine_digest = reader.getQuarantineDigest();
  heartbeat.leaf_states_digest = reader.getLeafStatesDigest();
  return heartbeat;
}

void Encode(const model::HeartbeatAck& ack,
            rpc::HeartbeatAck::Builder builder) {
  builder.setSequence(ack.sequence);
  builder.setIncarnation(ack.incarnation);
  builder.setEpoch(ack.epoch);
  builder.setGranted(ack.granted);
  Encode(ack.document, builder.initDocument());
  builder.setHostListIndex(ack.host_list_index);
  builder.setQuarantineDigest(ack.quarantine_digest);
}

model::HeartbeatAck Decode(rpc::HeartbeatAck::Reader reader) {
  model::HeartbeatAck ack;
  ack.sequence = reader.getSequence();
  ack.incarnation = reader.getIncarnation();
  ack.epoch = reader.getEpoch();
  ack.granted = reader.getGranted();
  ack.document = Decode(reader.getDocument());
  ack.host_list_index = reader.getHostListIndex();
  ack.quarantine_digest = reader.getQuarantineDigest();
  return ack;
}

void Encode(const model::LeafState& state, rpc::LeafState::Builder builder) {
  builder.setLeaf(state.leaf.value);
  builder.setOwner(state.owner.value);
  builder.setEpoch(state.epoch);
  builder.setSequence(state.sequence);
  builder.setHealth(static_cast<std::uint8_t>(state.health));
  Encode(state.holdings, builder.initHoldings(state.holdings.size()));
}

model::LeafState Decode(rpc::LeafState::Reader reader) {
  model::LeafState state;
  state.leaf.value = FromText(reader.getLeaf());
  state.owner.value = FromText(reader.getOwner());
  state.epoch = reader.getEpoch();
  state.sequence = reader.getSequence();
  state.health = FromNumber(reader.getHealth(), model::LeafHealth::kDown);
  state.holdings = Decode(reader.getHoldings());
  return state;
}

void Encode(const model::HostList& list, rpc::HostList::Builder builder) {
  builder.setIndex(list.index);
  auto entries = builder.initEntries(list.entries.size());
  for (std::uint32_t i = 0; i < list.entries.size(); ++i) {
    entries[i].setNode(list.entries[i].node);
    entries[i].setLeaving(list.entries[i].leaving);
  }
}

model::HostList Decode(rpc::HostList::Reader reader) {
  model::HostList list;
  list.index = reader.getIndex();
  for (const auto entry : reader.getEntries())
    list.entries.push_back({FromText(entry.getNode()), entry.getLeaving()});
  return list;
}

void Encode(const model::SuspectEntry& entry,
            rpc::SuspectEntry::Builder builder) {
  builder.setFingerprint(entry.fingerprint);
  builder.setState(static_cast<std::uint8_t>(entry.state));
  builder.setDeaths(entry.crashes);
  builder.setExpiresInMs(entry.expires_in.count());
  auto leaves = builder.initCanaryLeaves(entry.canary_leaves.size());
  for (std::uint32_t i = 0; i < entry.canary_leaves.size(); ++i)
    leaves.set(i, entry.canary_leaves[i]);
}

model::SuspectEntry Decode(rpc::SuspectEntry::Reader reader) {
  model::SuspectEntry entry;
  entry.fingerprint = reader.getFingerprint();
  entry.state = FromNumber(reader.getState(), model::SuspectState::kBlocked);
  entry.crashes = reader.getDeaths();
  entry.expires_in = std::chrono::milliseconds(reader.getExpiresInMs());
  for (const std::uint64_t leaf : reader.getCanaryLeaves())
    entry.canary_leaves.push_back(leaf);
  return entry;
}

void Encode(const model::Release& release, rpc::Release::Builder builder) {
  builder.setEpoch(release.epoch);
  auto held = builder.initHeld(release.held_leaves.size());
  for (std::uint32_t i = 0; i < release.held_leaves.size(); ++i)
    held.set(i, release.held_leaves[i].value);
}

model::Release Decode(rpc::Release::Reader reader) {
  model::Release release;
  release.epoch = reader.getEpoch();
  for (const auto leaf : reader.getHeld())
    release.held_leaves.push_back({FromText(leaf)});
  return release;
}

void Encode(const model::SilenceNotice& notice,
            rpc::SilenceNotice::Builder builder) {
  builder.setHost(notice.host.value);
  builder.setIncarnation(notice.incarnation);
  builder.setHeard(notice.heartbeat_received);
  Encode(notice.release, builder.initRelease());
}

model::SilenceNotice Decode(rpc::SilenceNotice::Reader reader) {
  return {{FromText(reader.getHost())},
          reader.getIncarnation(),
          reader.getHeard(),
          Decode(reader.getRelease())};
}

}  // namespace berylreach::transport
