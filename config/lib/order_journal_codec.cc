// Encodes and decodes order journals as JSON.
#include "berylreach/config/order_journal_codec.h"

#include <array>

#include "berylreach/config/bounds.h"
#include "json_output.h"
#include "object_reader.h"

namespace berylreach::config {
namespace {

/// Names of the enumerators of model::OrderState, in their order.
constexpr std::array<std::string_view, 4> kStateNames{"claimed", "released",
                                                      "done", "unknown"};
constexpr std::size_t kMaxRecords = 100'000;

json::object ToJson(const model::OrderRecord& record) {
  const std::string_view state =
      kStateNames.at(static_cast<std::size_t>(record.state));
  return {{"service", record.service.value},
          {"key", record.key},
          {"payload_hash", ToHex(record.payload_hash)},
          {"issued_at", ToUnixMs(record.issued_at)},
          {"claimer", record.claimer.value},
          {"claimer_incarnation", ToHex(record.claimer_incarnation)},
          {"nonce", ToHex(record.nonce)},
          {"state", json::string_view(state.data(), state.size())},
          {"outcome", record.outcome},
          {"version", record.version}};
}

model::OrderRecord ReadRecord(const json::value& value,
                              const std::string& location,
                              base::Findings& findings) {
  ObjectReader reader(value, location, findings);
  model::OrderRecord record;
  record.service.value = reader.NonEmptyText("service", kMaxStoreValueBytes);
  record.key = reader.NonEmptyText("key", kMaxStoreValueBytes);
  record.payload_hash = reader.Hex("payload_hash");
  record.issued_at = reader.Time("issued_at");
  record.claimer.value = reader.Text("claimer", kMaxStoreValueBytes);
  record.claimer_incarnation = reader.Hex("claimer_incarnation");
  record.nonce = reader.Hex("nonce");
  record.state = static_cast<model::OrderState>(
      reader.OneOf("state", {kStateNames.begin(), kStateNames.end()}));
  record.outcome = reader.Text("outcome", kMaxStoreValueBytes);
  record.version = reader.Uint64("version");
  return record;
}

}  // namespace

std::string EncodeOrderJournal(const model::OrderJournal& journal) {
  json::array records;
  records.reserve(journal.records.size());
  for (const model::OrderRecord& record : journal.records)
    records.push_back(ToJson(record));
  return json::serialize(json::object{{"records", std::move(records)}});
}

Parsed<model::OrderJournal> DecodeOrderJournal(std::string_view bytes) {
  Parsed<model::OrderJournal> result;
  const auto value = ParseJson(bytes, kMaxStoreValueBytes, result.findings);
  if (!value) return result;
  model::OrderJournal journal;
  ObjectReader reader(*value, "", result.findings);
  reader.ForEachElement(
      "records", 0, kMaxRecords,
      [&](const json::value& item, const std::string& location) {
        journal.records.push_back(ReadRecord(item, location, result.findings));
      });
  if (result.findings.empty()) result.value = std::move(journal);
  return result;
}

}  // namespace berylreach::config
