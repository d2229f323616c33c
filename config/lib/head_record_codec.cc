// Encodes and decodes the membership record as JSON.
#include "berylreach/config/head_record_codec.h"

#include "berylreach/config/bounds.h"
#include "json_output.h"
#include "object_reader.h"

namespace berylreach::config {
namespace {

/// Maximum number of members and of removed hosts in a record. No environment
/// has as many, so only corrupt records exceed it.
constexpr std::size_t kMaxMembers = 100'000;
constexpr std::size_t kMaxTextBytes = 4096;

json::object ToJson(const model::Member& member) {
  return {{"host", member.host.value},
          {"incarnation", ToHex(member.incarnation)},
          {"zone", member.zone.value},
          {"rpc_address", member.rpc_address},
          {"http_address", member.http_address}};
}

json::object ToJson(const model::DocumentRef& document) {
  return {{"version", document.version}, {"hash", document.hash}};
}

json::object ToJson(const model::RemovedHost& removed) {
  return {{"member", ToJson(removed.member)},
          {"epoch", removed.epoch},
          {"quorum", removed.quorum}};
}

json::object ToJson(const model::DocumentEntry& entry) {
  return {{"document", ToJson(entry.document)},
          {"author", entry.author},
          {"at", ToUnixMs(entry.submitted_at)},
          {"note", entry.note}};
}

template <typename T>
json::array ToJsonArray(const std::vector<T>& items) {
  json::array result;
  result.reserve(items.size());
  for (const T& item : items) result.push_back(ToJson(item));
  return result;
}

/// Reads a head record and the objects in it.
class HeadRecordReader {
 public:
  explicit HeadRecordReader(base::Findings& findings) : findings_(findings) {}

  model::HeadRecord Record(const json::value& value) {
    ObjectReader reader(value, "", findings_);
    model::HeadRecord record;
    record.epoch = reader.Uint64("epoch");
    record.nonce = reader.Hex("nonce");
    record.writer = reader.Text("writer", kMaxTextBytes);
    reader.ForEachElement("members", 0, kMaxMembers,
                          [&](const auto& item, auto& location) {
                            record.members.push_back(Member(item, location));
                          });
    reader.ForEachElement(
        "departed", 0, kMaxMembers, [&](const auto& item, auto& location) {
          record.removed_hosts.push_back(RemovedHost(item, location));
        });
    reader.Member("document", [&](const auto& item, auto& location) {
      record.document = Document(item, location);
    });
    reader.ForEachElement(
        "history", 0, model::kMaxHistoryEntries,
        [&](const auto& item, auto& location) {
          record.history.push_back(HistoryEntry(item, location));
        });
    return record;
  }

 private:
  model::Member Member(const json::value& value, const std::string& location) {
    ObjectReader reader(value, location, findings_);
    model::Member member;
    member.host.value = reader.NonEmptyText("host", kMaxTextBytes);
    member.incarnation = reader.Hex("incarnation");
    member.zone.value = reader.Text("zone", kMaxTextBytes);
    member.rpc_address = reader.Text("rpc_address", kMaxTextBytes);
    member.http_address = reader.Text("http_address", kMaxTextBytes);
    return member;
  }

  model::RemovedHost RemovedHost(const json::value& value,
                                 const std::string& location) {
    ObjectReader reader(value, location, findings_);
    model::RemovedHost removed;
    reader.Member("member", [&](const auto& item, auto& member_location) {
      removed.member = Member(item, member_location);
    });
    removed.epoch = reader.Uint64("epoch");
    removed.quorum = reader.Uint32("quorum");
    return removed;
  }

  model::DocumentRef Document(const json::value& value,
                              const std::string& location) {
    ObjectReader reader(value, location, findings_);
    model::DocumentRef document;
    document.version = reader.Uint64("version");
    document.hash = reader.Text("hash", kMaxTextBytes);
    return document;
  }

  model::DocumentEntry HistoryEntry(const json::value& value,
                                    const std::string& location) {
    ObjectReader reader(value, location, findings_);
    model::DocumentEntry entry;
    reader.Member("document", [&](const auto& item, auto& document_location) {
      entry.document = Document(item, document_location);
    });
    entry.author = reader.Text("author", kMaxTextBytes);
    entry.submitted_at = reader.Time("at");
    entry.note = reader.Text("note", kMaxTextBytes);
    return entry;
  }

  base::Findings& findings_;
};

}  // namespace

std::string EncodeHeadRecord(const model::HeadRecord& record) {
  return json::serialize(
      json::object{{"epoch", record.epoch},
                   {"nonce", ToHex(record.nonce)},
                   {"writer", record.writer},
                   {"members", ToJsonArray(record.members)},
                   {"departed", ToJsonArray(record.removed_hosts)},
                   {"document", ToJson(record.document)},
                   {"history", ToJsonArray(record.history)}});
}

Parsed<model::HeadRecord> DecodeHeadRecord(std::string_view bytes) {
  Parsed<model::HeadRecord> result;
  const auto value = ParseJson(bytes, kMaxStoreValueBytes, result.findings);
  if (!value) return result;
  auto record = HeadRecordReader(result.findings).Record(*value);
  if (result.findings.empty()) result.value = std::move(record);
  return result;
}

}  // namespace berylreach::config
