// Measures the message rate between two RPC nodes of one process over loopback,
// and the CPU time of each pair of a LeafCall and its LeafReply.
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
DEFINE_int32(window, 4000, "maximum number of calls without reply at any time");
DEFINE_int32(runs, 5,
             "runs, of which the median, minimum and maximum are printed");
DEFINE_int32(payload_bytes, 100,
             "size in bytes of each call's payload and result");

namespace berylreach::transport {
namespace {

using std::chrono::duration;
using std::chrono::steady_clock;

/// Returns the CPU time of the process, user and system, in microseconds.
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

/// Two connected nodes: `entry` sends calls, and `owner` replies to each.
struct NodePair {
  NodePair()
      : owner(Open("owner",
                   [this](const std::vector<model::Envelope>& envelopes) {
                     for (const model::Envelope& envelope : envelopes)
                       SendReply(std::get<model::LeafCall>(envelope.message));
                   })),
        entry(Open("entry",
                   [this](const std::vector<model::Envelope>& envelopes) {
                     replies += static_cast<int>(envelopes.size());
                   })) {
    owner->SetPeers({{{"entry"}, entry->address()}});
    entry->SetPeers({{{"owner"}, owner->address()}});
  }

  void SendReply(const model::LeafCall& call) {
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

/// Results of one run.
struct RunResult {
  double pairs_per_second = 0;
  double cpu_us_per_pair = 0;
};

RunResult Run(NodePair& nodes) {
  nodes.replies = 0;
  const auto start = steady_clock::now();
  const double cpu_before = CpuMicroseconds();
  for (int sent = 0; sent < FLAGS_pairs; ++sent) {
    // Sleeps while the window is full, since waiting in a busy loop would add
    // to the measured CPU time.
    while (sent - nodes.replies >= FLAGS_window)
      std::this_thread::sleep_for(std::chrono::microseconds(200));
    while (!nodes.entry->Send({"owner"}, MakeCall(sent)))
      std::this_thread::yield();
  }
  const auto timeout = start + std::chrono::seconds(60);
  while (nodes.replies < FLAGS_pairs && steady_clock::now() < timeout)
    std::this_thread::sleep_for(std::chrono::microseconds(200));
  const duration<double> elapsed = steady_clock::now() - start;
  const double completed = nodes.replies;
  return {completed / elapsed.count(),
          (CpuMicroseconds() - cpu_before) / completed};
}

void RunAll() {
  NodePair nodes;
  std::vector<double> rates;
  std::vector<double> cpu_times;
  for (int i = 0; i < FLAGS_runs; ++i) {
    const RunResult result = Run(nodes);
    rates.push_back(result.pairs_per_second);
    cpu_times.push_back(result.cpu_us_per_pair);
  }
  std::sort(rates.begin(), rates.end());
  std::sort(cpu_times.begin(), cpu_times.end());
  const std::uint64_t dropped =
      nodes.entry->dropped_messages() + nodes.owner->dropped_messages();
  std::printf(
      "pairs/s median %.0f (%.0f to %.0f), messages/s %.0f, "
      "CPU us/pair median %.2f (%.2f to %.2f), dropped %" PRIu64 "\n",
      rates[rates.size() / 2], rates.front(), rates.back(),
      2 * rates[rates.size() / 2], cpu_times[cpu_times.size() / 2],
      cpu_times.front(), cpu_times.back(), dropped);
}

}  // namespace
}  // namespace berylreach::transport

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  berylreach::transport::RunAll();
  return 0;
}
