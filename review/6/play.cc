// A request crashes each leaf that begins to run it. The leaves go silent, and
// are back some seconds later under the ids that they had. Counts how often the
// request reaches leaves.
#include "../standins-2/deployment.h"

namespace {

using namespace standin;

constexpr char kCrashingPath[] = "/screen/order-4711";
constexpr int kHosts = 6;
constexpr int kLeaves = 6;
constexpr milliseconds kWorkTime{20};
/// Interval of a leaf's heartbeats, and the time without one after which the
/// platform removes its entry.
constexpr milliseconds kHeartbeat{1200};
constexpr milliseconds kEntryLifetime = 3 * kHeartbeat;
/// Time for which a crashed leaf is silent.
constexpr milliseconds kSilent{2000};
/// Time from the return of a leaf to its first heartbeat.
constexpr milliseconds kFirstHeartbeat{300};
/// Time for which a leaf that has started again is cold (`cold_start_s`).
constexpr milliseconds kCold{3000};
/// From the settings: the time after which retries count.
constexpr double kContactSeconds = 6;
/// Retries after that time which the rule allows.
constexpr int kAllowedRetries = 3;
/// Crashes after which the time begins.
constexpr std::size_t kCrashesBefore = 3;
constexpr milliseconds kRetryInterval{700};
constexpr milliseconds kOtherInterval{100};
constexpr milliseconds kLength{60000};

std::string Configuration() {
  const json::object route = {
      {"name", "screen"},     {"host", "shop.example"},
      {"prefix", "/screen/"}, {"kind", "idempotent"},
      {"timeout_ms", 3000},   {"goal_ms", 300},
      {"priority", 2},        {"service", "buckle"},
      {"attempts", 2},        {"allowed_regions", json::array()}};
  const json::object service = {{"name", "buckle"},
                                {"health_path", "/healthz"},
                                {"max_conns", 510},
                                {"cold_start_s", kCold.count() / 1000.0},
                                {"cold_per_s", 0.0}};
  const json::object limits = {{"max_header_bytes", 16384},
                               {"max_body_bytes", 262144},
                               {"header_timeout_ms", 3000},
                               {"idle_timeout_ms", 15000}};
  return json::serialize(json::object{{"version", 7},
                                      {"routes", json::array{route}},
                                      {"services", json::array{service}},
                                      {"limits", limits}});
}

/// A leaf that starts again under its id.
struct Leaf {
  std::string id;
  std::string zone;
  std::unique_ptr<Server> server;
  /// Number of its starts so far.
  std::atomic<int> starts = 1;
  std::atomic<bool> silent = false;
  /// The Unix time of the last start, and the end of the time in which the leaf
  /// is cold.
  std::int64_t born = UnixMs();
  Clock::time_point cold_until{};
  Clock::time_point last_heartbeat{};
  Clock::time_point next_heartbeat{};
  /// What the entry says; it is written again when that changes.
  std::string entry;
};

class Play {
 public:
  Play(const std::string& folder, std::string program)
      : record_(folder + "/record.txt"),
        program_(std::move(program)),
        store_(
            LoopbackIp(1), [](const std::string&) { return WriteFate{}; },
            [this](const std::string& what) { record_.Add(what); }) {}

  int Run() {
    store_.Put("op/config", Configuration());
    for (int i = 0; i < kLeaves; ++i) StartLeaf(i);
    clients_.emplace_back([this] { RunHeartbeats(); });
    StartHosts();
    if (!WaitUntilReady(hosts_, milliseconds(15000))) {
      record_.Say("the hosts are not ready");
      record_.End();
      return 2;
    }
    record_.Say("all hosts are ready");
    for (const auto& host : hosts_)
      clients_.emplace_back([this, &host] { SendOthers(*host); });
    std::this_thread::sleep_for(milliseconds(3000));
    clients_.emplace_back([this] { SendCrashing(); });
    std::this_thread::sleep_for(kLength);
    ended_ = true;
    for (std::thread& client : clients_) client.join();
    for (const auto& host : hosts_) host->Kill();
    return Judge();
  }

 private:
  static bool HasTrouble() {
    const char* trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
  }

  void StartHosts() {
    const char* scratch = std::getenv("SCRATCH");
    const json::object bounds = {{"contact_ms", 1000 * kContactSeconds},
                                 {"drain_ms", 6000},
                                 {"grace_s", 6},
                                 {"config_apply_ms", 6000},
                                 {"budget_ratio", 0.2},
                                 {"budget_window_s", 10},
                                 {"budget_slack", 190},
                                 {"cold_overage", 1.5},
                                 {"cold_slack", 5},
                                 {"evac_ms", 5000}};
    for (int i = 0; i < kHosts; ++i) {
      const std::string letter(1, static_cast<char>('a' + i % 3));
      hosts_.push_back(std::make_unique<Host>(
          scratch == nullptr ? "/tmp" : scratch, program_, 10 + i,
          HostPlace{"front-" + letter + "-" + std::to_string(1 + i / 3),
                    "zone-" + letter, "region-" + letter},
          json::object{{"zone-a", "region-a"},
                       {"zone-b", "region-b"},
                       {"zone-c", "region-c"}},
          bounds, store_));
      hosts_.back()->Start();
    }
  }

  void StartLeaf(int number) {
    Leaf& leaf = *leaves_.emplace_back(std::make_unique<Leaf>());
    leaf.id = "i-buckle" + std::to_string(number);
    leaf.zone = std::string("zone-") + static_cast<char>('a' + number % 3);
    leaf.server = std::make_unique<Server>(
        LoopbackIp(2) + ":0", [this, &leaf](const Message& request, int) {
          return Serve(leaf, request);
        });
    // The leaves beat at different moments.
    leaf.next_heartbeat = Clock::now() + number * kHeartbeat / kLeaves;
    Beat(leaf);
  }

  /// Milliseconds for which the leaf stays cold.
  static std::int64_t ColdLeft(const Leaf& leaf) {
    return std::max<std::int64_t>(
        0, std::chrono::ceil<milliseconds>(leaf.cold_until - Clock::now())
               .count());
  }

  /// Writes the entry of the leaf if more than its `seq` has changed.
  void Beat(Leaf& leaf) {
    leaf.last_heartbeat = Clock::now();
    const std::int64_t cold = ColdLeft(leaf);
    const std::string entry =
        std::to_string(leaf.born) + (cold > 0 ? " cold" : " warm");
    if (entry == leaf.entry) return;
    leaf.entry = entry;
    store_.Put("servers/" + leaf.id,
               json::serialize(json::object{{"service", "buckle"},
                                            {"addr", leaf.server->address()},
                                            {"zone", leaf.zone},
                                            {"version", "v1"},
                                            {"slots", 4},
                                            {"state", "ready"},
                                            {"cold_left_ms", cold},
                                            {"born", leaf.born},
                                            {"seq", 1}}));
    record_.Add(leaf.id + " writes its entry: born " + entry);
  }

  /// Lets the leaves beat, and removes the entries of those that are silent for
  /// too long.
  void RunHeartbeats() {
    while (!ended_) {
      std::this_thread::sleep_for(milliseconds(10));
      const std::lock_guard lock(beats_);
      const auto now = Clock::now();
      for (const auto& leaf : leaves_) {
        if (!leaf->silent && now >= leaf->next_heartbeat) {
          leaf->next_heartbeat = now + kHeartbeat;
          Beat(*leaf);
        }
        if (now - leaf->last_heartbeat < kEntryLifetime || leaf->entry.empty())
          continue;
        leaf->entry.clear();
        store_.Delete("servers/" + leaf->id);
        record_.Add("the entry of " + leaf->id + " is removed");
      }
    }
  }

  std::string Serve(Leaf& leaf, const Message& request) {
    if (leaf.silent) return "";
    const std::string instance = "X-Instance-Id: " + leaf.id + "\r\n";
    if (request.Target() == "/healthz") {
      const std::lock_guard lock(beats_);
      return Response(
          200,
          instance + "X-Cold-Ms: " + std::to_string(ColdLeft(leaf)) + "\r\n",
          "");
    }
    if (request.Field("x-expect-instance") != leaf.id)
      return Response(421, instance, "");
    const std::string id = request.Field("x-request-id");
    const int start = leaf.starts;
    if (request.Target() == kCrashingPath) {
      {
        const std::lock_guard lock(mutex_);
        arrivals_.push_back({sent_.at(id), record_.Seconds()});
      }
      record_.Add(leaf.id + " begins to run " + id);
      if (HasTrouble()) {
        Crash(leaf);
        return "";
      }
    }
    std::this_thread::sleep_for(kWorkTime);
    // The process that began the request is gone.
    if (leaf.silent || leaf.starts != start) return "";
    return Response(200,
                    "X-Request-Id: " + id + "\r\nX-Reply-Stamp: " + leaf.id +
                        "." + id + "\r\n",
                    "order " + id);
  }

  void Crash(Leaf& leaf) {
    if (leaf.silent.exchange(true)) return;
    record_.Add(leaf.id + " crashes and falls silent");
    std::thread([this, &leaf] {
      std::this_thread::sleep_for(kSilent);
      const std::lock_guard lock(beats_);
      ++leaf.starts;
      leaf.born = UnixMs();
      leaf.cold_until = Clock::now() + kCold;
      leaf.next_heartbeat = Clock::now() + kFirstHeartbeat;
      leaf.silent = false;
      record_.Add(leaf.id + " is back under its id");
    }).detach();
  }

  std::optional<Message> Send(Client& client, const std::string& path,
                              const std::string& id) {
    {
      const std::lock_guard lock(mutex_);
      sent_[id] = record_.Seconds();
    }
    const auto answer = client.Call(
        "GET " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " +
            id + "\r\nX-Deadline-Ms: 3000\r\n\r\n",
        milliseconds(3500));
    record_.Add(id + " " +
                (answer ? std::to_string(answer->Status()) : "unanswered"));
    return answer;
  }

  /// Sends the request again and again, at the hosts in turn.
  void SendCrashing() {
    for (std::size_t i = 0; !ended_; ++i) {
      Client client(hosts_[i % hosts_.size()]->front());
      Send(client, kCrashingPath, "again" + std::to_string(i));
      std::this_thread::sleep_for(kRetryInterval);
    }
  }

  void SendOthers(const Host& host) {
    Client client(host.front());
    for (int i = 0; !ended_; ++i) {
      const std::string id = host.name() + "-" + std::to_string(i);
      const auto answer = Send(client, "/screen/" + id, id);
      ++others_;
      if (!answer || answer->Status() != 200) ++others_lost_;
      std::this_thread::sleep_for(kOtherInterval);
    }
  }

  int Judge() {
    int late = 0;
    if (arrivals_.size() >= kCrashesBefore) {
      const double from = arrivals_[kCrashesBefore - 1].at + kContactSeconds;
      late = static_cast<int>(std::count_if(
          arrivals_.begin(), arrivals_.end(),
          [from](const Arrival& arrival) { return arrival.sent > from; }));
    }
    record_.Say("the request reached leaves " +
                std::to_string(arrivals_.size()) + " times, " +
                std::to_string(late) +
                " of them in retries sent later than 6 s after the third");
    record_.Say("other requests: " + std::to_string(others_) +
                ", not served: " + std::to_string(others_lost_));
    record_.End();
    return HasTrouble() && late > kAllowedRetries ? 1 : 0;
  }

  struct Arrival {
    double sent = 0;
    double at = 0;
  };

  Record record_;
  std::string program_;
  Store store_;
  std::vector<std::unique_ptr<Leaf>> leaves_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<std::thread> clients_;
  std::atomic<bool> ended_ = false;
  std::atomic<int> others_ = 0;
  std::atomic<int> others_lost_ = 0;
  std::mutex mutex_;
  /// Protects what heartbeats read and write.
  std::mutex beats_;
  std::map<std::string, double> sent_;
  std::vector<Arrival> arrivals_;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  signal(SIGPIPE, SIG_IGN);
  // Its threads run until the process ends, so it is not destroyed.
  const int result = (new Play(argv[1], argv[2]))->Run();
  std::fflush(stdout);
  _exit(result);
}
