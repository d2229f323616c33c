// A small deployment with one tenant that asks for more than its quota, and the
// check of the quota.
#pragma once

#include "deployment.h"

namespace standin {

inline constexpr char kTenant[] = "workshop";
inline constexpr char kKey[] = "key-of-workshop";
inline constexpr double kRate = 100;
inline constexpr double kBurst = 20;
inline constexpr double kWindowSeconds = 5;
inline constexpr double kOverage = 0.1;
inline constexpr double kSlack = 20;
/// The most requests that leaves may run in a window.
inline constexpr double kBound =
    (kRate * kWindowSeconds + kBurst) * (1 + kOverage) + kSlack;

/// Requests that the clients of one host send in a second, and their number.
inline constexpr int kRequestsPerSecond = 40;
inline constexpr int kClientsPerHost = 4;

inline constexpr int kHosts = 6;
inline constexpr int kLeaves = 6;

class QuotaDeployment {
 public:
  QuotaDeployment(const std::string& folder, const std::string& program,
                  Store::Fate fate)
      : record_(folder + "/record.txt"),
        store_(LoopbackIp(1), std::move(fate),
               [this](const std::string& what) { record_.Add(what); }) {
    const char* scratch = std::getenv("SCRATCH");
    store_.Put("op/config", Configuration());
    for (int i = 0; i < kLeaves; ++i) StartLeaf(i);
    for (int i = 0; i < kHosts; ++i) {
      const std::string letter(1, static_cast<char>('a' + i % 3));
      hosts_.push_back(std::make_unique<Host>(
          scratch == nullptr ? "/tmp" : scratch, program, 10 + i,
          HostPlace{"front-" + letter + "-" + std::to_string(1 + i / 3),
                    "zone-" + letter, "region-" + letter},
          json::object{{"zone-a", "region-a"},
                       {"zone-b", "region-b"},
                       {"zone-c", "region-c"}},
          Bounds(), store_));
      hosts_.back()->Start();
    }
  }

  Record& record() { return record_; }
  Store& store() { return store_; }
  std::vector<std::unique_ptr<Host>>& hosts() { return hosts_; }

  /// Waits for the hosts and starts the clients; false if a host does not get
  /// ready.
  bool Begin() {
    if (!WaitUntilReady(hosts_, milliseconds(15000))) {
      record_.Say("the hosts are not ready");
      record_.End();
      return false;
    }
    record_.Say("all hosts are ready");
    for (const auto& host : hosts_)
      for (int i = 0; i < kClientsPerHost; ++i)
        clients_.emplace_back(
            [this, address = host->front()] { SendRequests(address); });
    return true;
  }

  void Wait(milliseconds time) const { std::this_thread::sleep_for(time); }

  /// Ends everything, and returns 1 if the quota was exceeded and 0 otherwise.
  int End() {
    ended_ = true;
    for (std::thread& client : clients_) client.join();
    for (const auto& host : hosts_) host->Kill();
    const auto [count, end] = LargestWindow();
    record_.Say("bound: " + std::to_string(static_cast<int>(kBound)) +
                " requests in any 5 s");
    record_.Say("most that were sent and run: " + std::to_string(count) +
                ", in the 5 s up to " + std::to_string(end));
    record_.End();
    return count > kBound ? 1 : 0;
  }

 private:
  struct Run {
    double sent = 0;
    double arrived = 0;
  };

  static json::object Bounds() {
    return {{"contact_ms", 6000},
            {"drain_ms", 6000},
            {"grace_s", 6},
            {"config_apply_ms", 6000},
            {"budget_ratio", 0.2},
            {"budget_window_s", 10},
            {"budget_slack", 190},
            {"quota_window_s", kWindowSeconds},
            {"quota_overage", kOverage},
            {"quota_slack", kSlack},
            {"cold_overage", 1.5},
            {"cold_slack", 5},
            {"evac_ms", 5000}};
  }

  static std::string Configuration() {
    const json::object route = {
        {"name", "fetch"},     {"host", "shop.example"},
        {"prefix", "/fetch/"}, {"kind", "idempotent"},
        {"timeout_ms", 3000},  {"goal_ms", 300},
        {"priority", 2},       {"service", "screen"},
        {"attempts", 2},       {"allowed_regions", json::array()}};
    const json::object service = {{"name", "screen"},
                                  {"health_path", "/healthz"},
                                  {"max_conns", 510},
                                  {"cold_start_s", 3.0},
                                  {"cold_per_s", 0.0}};
    const json::object tenant = {{"name", kTenant},
                                 {"api_keys", json::array{kKey}},
                                 {"rate_per_s", kRate},
                                 {"burst", kBurst}};
    const json::object limits = {{"max_header_bytes", 16384},
                                 {"max_body_bytes", 262144},
                                 {"header_timeout_ms", 3000},
                                 {"idle_timeout_ms", 15000}};
    return json::serialize(json::object{{"version", 7},
                                        {"routes", json::array{route}},
                                        {"services", json::array{service}},
                                        {"tenants", json::array{tenant}},
                                        {"limits", limits}});
  }

  void StartLeaf(int number) {
    const std::string id = "i-leaf" + std::to_string(number);
    leaves_.push_back(std::make_unique<Server>(
        LoopbackIp(2) + ":0", [this, id](const Message& request, int) {
          return Serve(id, request);
        }));
    const std::string zone =
        std::string("zone-") + static_cast<char>('a' + number % 3);
    store_.Put("servers/" + id,
               json::serialize(json::object{{"service", "screen"},
                                            {"addr", leaves_.back()->address()},
                                            {"zone", zone},
                                            {"version", "v1"},
                                            {"slots", 8},
                                            {"state", "ready"},
                                            {"cold_left_ms", 0},
                                            {"born", UnixMs()},
                                            {"seq", 4}}));
  }

  std::string Serve(const std::string& leaf, const Message& request) {
    const std::string instance = "X-Instance-Id: " + leaf + "\r\n";
    if (request.Target() == "/healthz") return Response(200, instance, "");
    if (request.Field("x-expect-instance") != leaf)
      return Response(421, instance, "");
    const std::string id = request.Field("x-request-id");
    {
      const std::lock_guard lock(mutex_);
      Run& run = runs_[id];
      if (run.arrived == 0) run.arrived = record_.Seconds();
    }
    record_.Add(leaf + " runs " + id + " " + request.Field("x-tenant"));
    return Response(200,
                    "X-Request-Id: " + id + "\r\nX-Reply-Stamp: " + leaf + "." +
                        id + "\r\n",
                    "order " + id);
  }

  void SendRequests(const std::string& address) {
    Client client(address);
    const milliseconds pause(1000 * kClientsPerHost / kRequestsPerSecond);
    auto at = Clock::now();
    while (!ended_) {
      const std::string id = "q" + std::to_string(next_id_++);
      {
        const std::lock_guard lock(mutex_);
        runs_[id].sent = record_.Seconds();
      }
      const auto answer = client.Call(
          "GET /fetch/" + id +
              " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id +
              "\r\nX-Deadline-Ms: 3000\r\nX-Api-Key: " + kKey + "\r\n\r\n",
          milliseconds(3000));
      record_.Add(id + " " +
                  (answer ? std::to_string(answer->Status()) : "unanswered"));
      at = std::max(at + pause, Clock::now() - pause);
      std::this_thread::sleep_until(at);
    }
  }

  /// The largest number of requests that were sent and run in one window, and
  /// the end of that window in seconds.
  std::pair<int, double> LargestWindow() const {
    std::vector<Run> ran;
    for (const auto& [id, run] : runs_)
      if (run.arrived > 0) ran.push_back(run);
    std::sort(ran.begin(), ran.end(),
              [](const Run& a, const Run& b) { return a.arrived < b.arrived; });
    std::pair<int, double> largest{0, 0};
    std::size_t first = 0;
    for (std::size_t last = 0; last < ran.size(); ++last) {
      const double begin = ran[last].arrived - kWindowSeconds;
      while (ran[first].arrived < begin) ++first;
      int count = 0;
      for (std::size_t i = first; i <= last; ++i)
        if (ran[i].sent >= begin) ++count;
      if (count > largest.first) largest = {count, ran[last].arrived};
    }
    return largest;
  }

  Record record_;
  Store store_;
  std::vector<std::unique_ptr<Server>> leaves_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<std::thread> clients_;
  std::atomic<bool> ended_ = false;
  std::atomic<int> next_id_ = 0;
  std::mutex mutex_;
  std::map<std::string, Run> runs_;
};

/// Whether the case is played with its disruption.
inline bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace standin
