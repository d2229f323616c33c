// Cap'n Proto codec of the head record: its members, removed hosts, current
// document and document history.
#include <chrono>

#include "codec_support.h"
#include "control_codec.h"

namespace berylreach::transport {
namespace {

void Encode(const model::Member& member, rpc::Member::Builder builder) {
  builder.setHost(member.host.value);
  builder.setIncarnation(member.incarnation);
  builder.setZone(member.zone.value);
  builder.setRpcAddress(member.rpc_address);
  builder.setHttpAddress(member.http_address);
}

model::Member Decode(rpc::Member::Reader reader) {
  model::Member member;
  member.host.value = FromText(reader.getHost());
  member.incarnation = reader.getIncarnation();
  member.zone.value = FromText(reader.getZone());
  member.rpc_address = FromText(reader.getRpcAddress());
  member.http_address = FromText(reader.getHttpAddress());
  return member;
}

void Encode(const model::RemovedHost& removed, rpc::Departed::Builder builder) {
  Encode(removed.member, builder.initMember());
  builder.setEpoch(removed.epoch);
  builder.setQuorum(removed.quorum);
}

model::RemovedHost Decode(rpc::Departed::Reader reader) {
  return {Decode(reader.getMember()), reader.getEpoch(), reader.getQuorum()};
}

void Encode(const model::DocumentEntry& entry,
            rpc::DocumentEntry::Builder builder) {
  transport::Encode(entry.document, builder.initDocument());
  builder.setAuthor(entry.author);
  builder.setAtNs(std::chrono::duration_cast<std::chrono::nanoseconds>(
                      entry.submitted_at.time_since_epoch())
                      .count());
  builder.setNote(entry.note);
}

model::DocumentEntry Decode(rpc::DocumentEntry::Reader reader) {
  model::DocumentEntry entry;
  entry.document = transport::Decode(reader.getDocument());
  entry.author = FromText(reader.getAuthor());
  entry.submitted_at = std::chrono::system_clock::time_point(
      std::chrono::duration_cast<std::chrono::system_clock::duration>(
          std::chrono::nanoseconds(reader.getAtNs())));
  entry.note = FromText(reader.getNote());
  return entry;
}

void Encode(const model::HeadRecord& record, rpc::HeadRecord::Builder builder) {
  builder.setEpoch(record.epoch);
  builder.setNonce(record.nonce);
  builder.setWriter(record.writer);
  auto members = builder.initMembers(record.members.size());
  for (std::uint32_t i = 0; i < record.members.size(); ++i)
    Encode(record.members[i], members[i]);
  auto removed_hosts = builder.initDeparted(record.removed_hosts.size());
  for (std::uint32_t i = 0; i < record.removed_hosts.size(); ++i)
    Encode(record.removed_hosts[i], removed_hosts[i]);
  transport::Encode(record.document, builder.initDocument());
  auto history = builder.initHistory(record.history.size());
  for (std::uint32_t i = 0; i < record.history.size(); ++i)
    Encode(record.history[i], history[i]);
}

model::HeadRecord Decode(rpc::HeadRecord::Reader reader) {
  model::HeadRecord record;
  record.epoch = reader.getEpoch();
  record.nonce = reader.getNonce();
  record.writer = FromText(reader.getWriter());
  for (const auto member : reader.getMembers())
    record.members.push_back(Decode(member));
  for (const auto removed : reader.getDeparted())
    record.removed_hosts.push_back(Decode(removed));
  record.document = transport::Decode(reader.getDocument());
  for (const auto entry : reader.getHistory())
    record.history.push_back(Decode(entry));
  return record;
}

}  // namespace

void Encode(const model::HeadUpdate& update, rpc::HeadUpdate::Builder builder) {
  Encode(update.record, builder.initRecord());
  builder.setRevision(update.revision);
}

model::HeadUpdate Decode(rpc::HeadUpdate::Reader reader) {
  return {Decode(reader.getRecord()), reader.getRevision()};
}

}  // namespace berylreach::transport
