// Measures messages per second and CPU time per LeafCall and LeafReply pair
// between two RPC nodes of one process over loopback.
#include <gflags/gflags.h>
#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cinttypes>
#include <cstdint>
#include <cstdio>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "berylreach/transport/rpc_node.h"

DEFINE_int32(pairs, 200000, "calls per run");
DEFINE_int32(window, 4000, "calls without reply at any time");
DEFINE_int32(runs, 5, "runs; the median is printed");
DEFINE_int32(payload_bytes, 100, "size of each call's payload and result");

namespace berylreach::transport {
namespace {

using std::chrono::duration;
using std::chrono::steady_clock;

/// User and system time of the process in microseconds.
double CpuMicroseconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto microseconds = [](const timeval& time) {
    return 1e6 * static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec);
  };
  return microseconds(usage.ru_utime) + microseconds(usage.ru_stime);
}

std::unique_ptr<RpcNode> Open(const std::string& name,
                              RpcNode::Callback on_messages) {
  RpcOptions options;
  options.self = {name};
  options.address = "127.0.0.1:0";
  auto node = RpcNode::Open(options, std::move(on_messages));
  if (node.has_error()) {
    std::cerr << node.error().message << std::endl;
    std::exit(1);
  }
  return std::move(node.value());
}

/// Two nodes, of which `entry` sends calls and `owner` replies to each.
struct Pair {
  Pair()
      : owner(Open("owner",
                   [this](const std::vector<model::Envelope>& envelopes) {
                     for (const model::Envelope& envelope : envelopes)
                       Answer(std::get<model::LeafCall>(envelope.message));
                   })),
        entry(Open("entry",
                   [this](const std::vector<model::Envelope>& envelopes) {
                     replies += static_cast<int>(envelopes.size());
                   })) {
    owner->SetPeers({{{"entry"}, entry->address()}});
    entry->SetPeers({{{"owner"}, owner->address()}});
  }

  void Answer(const model::LeafCall& call) {
    model::LeafReply reply;
    reply.id = call.id;
    reply.leaf = call.leaf;
    reply.outcome = model::LeafOutcome::kOk;
    reply.version = call.version;
    reply.result.assign(static_cast<std::size_t>(FLAGS_payload_bytes), 'r');
    while (!owner->Send({"entry"}, reply)) std::this_thread::yield();
  }

  std::atomic<int> replies{0};
  std::unique_ptr<RpcNode> owner;
  std::unique_ptr<RpcNode> entry;
};

model::LeafCall MakeCall(int number) {
  model::LeafCall call;
  call.id = {1, static_cast<std::uint64_t>(number)};
  call.leaf = {"leaf-017"};
  call.service = {"order-desk"};
  call.version = 41;
  call.payload.assign(static_cast<std::size_t>(FLAGS_payload_bytes), 'p');
  call.budget = std::chrono::seconds(1);
  return call;
}

struct Figures {
  double pairs_per_second = 0;
  double cpu_us_per_pair = 0;
};

Figures Run(Pair& pair) {
  pair.replies = 0;
  const auto start = steady_clock::now();
  const double cpu = CpuMicroseconds();
  for (int sent = 0; sent < FLAGS_pairs; ++sent) {
    // The sender sleeps while the window is full, so that its waiting does not
    // count as CPU time of the pair.
    while (sent - pair.replies >= FLAGS_window)
      std::this_thread::sleep_for(std::chrono::microseconds(200));
    while (!pair.entry->Send({"owner"}, MakeCall(sent)))
      std::this_thread::yield();
  }
  const auto limit = start + std::chrono::seconds(60);
  while (pair.replies < FLAGS_pairs && steady_clock::now() < limit)
    std::this_thread::sleep_for(std::chrono::microseconds(200));
  const duration<double> elapsed = steady_clock::now() - start;
  const double done = pair.replies;
  return {done / elapsed.count(), (CpuMicroseconds() - cpu) / done};
}

void RunAll() {
  Pair pair;
  std::vector<double> rates;
  std::vector<double> costs;
  for (int i = 0; i < FLAGS_runs; ++i) {
    const Figures figures = Run(pair);
    rates.push_back(figures.pairs_per_second);
    costs.push_back(figures.cpu_us_per_pair);
  }
  std::sort(rates.begin(), rates.end());
  std::sort(costs.begin(), costs.end());
  const std::uint64_t dropped =
      pair.entry->dropped_messages() + pair.owner->dropped_messages();
  std::printf(
      "pairs/s median %.0f (%.0f to %.0f), messages/s %.0f, "
      "CPU us/pair median %.2f (%.2f to %.2f), dropped %" PRIu64 "\n",
      rates[rates.size() / 2], rates.front(), rates.back(),
      2 * rates[rates.size() / 2], costs[costs.size() / 2], costs.front(),
      costs.back(), dropped);
}

}  // namespace
}  // namespace berylreach::transport

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  berylreach::transport::RunAll();
  return 0;
}
