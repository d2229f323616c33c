// Sizes of stored records and messages, and the CPU time of their codecs.
#include "record_sizes.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include "berylreach/config/document.h"
#include "berylreach/config/document_parts.h"
#include "berylreach/config/head_record_codec.h"
#include "berylreach/config/leaf_call_codec.h"
#include "berylreach/config/order_journal_codec.h"
#include "fleet.h"
#include "traffic_counter.h"

namespace berylreach::capacity {
namespace {

constexpr std::size_t kRepetitions = 5;
const std::string kDocumentHash(32, 'a');

/// Median CPU time of kRepetitions runs of `work`, in microseconds.
double MedianMicroseconds(const std::function<void()>& work) {
  std::vector<double> times;
  for (std::size_t i = 0; i < kRepetitions; ++i) {
    const auto start = ThreadCpuTime();
    work();
    times.push_back(static_cast<double>((ThreadCpuTime() - start).count()) /
                    1e3);
  }
  std::sort(times.begin(), times.end());
  return times.at(kRepetitions / 2);
}

void PrintRow(const char* record, std::size_t items, std::size_t bytes,
              double encode_us, double decode_us) {
  std::printf("%s\t%zu\t%zu\t%.1f\t%.1f\n", record, items, bytes, encode_us,
              decode_us);
}

void MeasureHeadRecord(std::size_t members) {
  const auto head =
      FleetHeadRecord(members, {7, kDocumentHash}, model::kMaxHistoryEntries);
  const std::string bytes = config::EncodeHeadRecord(head);
  const double encode_us =
      MedianMicroseconds([&] { config::EncodeHeadRecord(head); });
  const double decode_us =
      MedianMicroseconds([&] { config::DecodeHeadRecord(bytes); });
  PrintRow("head", members, bytes.size(), encode_us, decode_us);
  PrintRow("HeadUpdate", members,
           EncodedSize(HostName(0), model::HeadUpdate{head, 1}), 0, 0);
}

void MeasureDocument(std::size_t leaves) {
  const auto environment = FleetEnvironment(leaves, 2);
  const std::string bytes = config::EncodeDocument(environment);
  const double encode_us =
      MedianMicroseconds([&] { config::EncodeDocument(environment); });
  const double decode_us =
      MedianMicroseconds([&] { config::ParseDocument(bytes); });
  PrintRow("document", leaves, bytes.size(), encode_us, decode_us);
  const auto split = config::SplitDocument(bytes);
  if (!split.value) {
    std::printf("# document of %zu leaves refused: %s\n", leaves,
                split.findings.front().message.c_str());
    return;
  }
  std::vector<std::string> parts;
  std::size_t largest = 0;
  for (const auto& part : split.value->parts) {
    parts.push_back(part.bytes);
    largest = std::max(largest, part.bytes.size());
  }
  const double split_us =
      MedianMicroseconds([&] { config::SplitDocument(bytes); });
  const double assemble_us = MedianMicroseconds(
      [&] { config::AssembleDocument(split.value->manifest.bytes, parts); });
  PrintRow("largest-part", leaves, largest, split_us, assemble_us);
}

model::OrderRecord MakeOrderRecord(std::size_t index) {
  model::OrderRecord record;
  record.service = {"hide-ledger"};
  record.key = "customer-4711-order-" + std::to_string(1000000 + index);
  record.payload_hash = 0x123456789abcdef0;
  record.issued_at = std::chrono::system_clock::time_point(
      std::chrono::seconds(1'700'000'000 + index));
  record.claimer = {HostName(index % 6)};
  record.claimer_incarnation = 0x123456789abcdef0;
  record.nonce = 0x123456789abcdef0 + index;
  record.state = model::OrderState::kDone;
  record.outcome = R"({"accepted":true,"batch":"2026-12-04-17"})";
  record.version = 1;
  return record;
}

void MeasureJournal(std::size_t records) {
  model::OrderJournal journal;
  for (std::size_t i = 0; i < records; ++i)
    journal.records.push_back(MakeOrderRecord(i));
  const std::string bytes = config::EncodeOrderJournal(journal);
  const double encode_us =
      MedianMicroseconds([&] { config::EncodeOrderJournal(journal); });
  const double decode_us =
      MedianMicroseconds([&] { config::DecodeOrderJournal(bytes); });
  PrintRow("journal", records, bytes.size(), encode_us, decode_us);
}

void MeasureMessages() {
  const std::string host = HostName(0);
  model::LeafCall call;
  call.leaf = {"order-desk-leaf-00042"};
  call.service = {"order-desk"};
  call.payload = std::string(100, 'p');
  PrintRow("LeafCall", 100, EncodedSize(host, call), 0, 0);
  model::UpstreamCall upstream;
  upstream.service = call.service;
  upstream.payload = "\"" + std::string(98, 'p') + "\"";
  upstream.shard = 719;
  upstream.version = 1234567;
  PrintRow("body-of-v1-call", 100, config::EncodeLeafCall(upstream).size(), 0,
           0);
  model::LeafReply reply;
  reply.leaf = call.leaf;
  reply.result = std::string(100, 'r');
  reply.holdings = {{1, 0, 720}, {2, 0, 720}};
  PrintRow("LeafReply", 100, EncodedSize(host, reply), 0, 0);
  model::LeafStates states;
  states.states.push_back(
      {call.leaf, {host}, 1, 1, model::LeafHealth::kUsable, reply.holdings});
  PrintRow("LeafStates", 1, EncodedSize(host, states), 0, 0);
  states.states.resize(7, states.states.front());
  PrintRow("LeafStates", 7, EncodedSize(host, states), 0, 0);
  model::SuspectUpdate suspects;
  PrintRow("SuspectUpdate", 0, EncodedSize(host, suspects), 0, 0);
  suspects.entries.resize(100);
  PrintRow("SuspectUpdate", 100, EncodedSize(host, suspects), 0, 0);
}

}  // namespace

int MeasureRecords() {
  std::printf("record\titems\tbytes\tencode_us\tdecode_us\n");
  for (std::size_t members : {6, 24, 100, 200, 2400})
    MeasureHeadRecord(members);
  for (std::size_t leaves : {40, 200, 720, 1440, 4000, 8000, 18000})
    MeasureDocument(leaves);
  for (std::size_t records : {10, 100, 1000, 3000}) MeasureJournal(records);
  MeasureMessages();
  return 0;
}

}  // namespace berylreach::capacity
