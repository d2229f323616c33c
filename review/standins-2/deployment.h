// Host processes of a small deployment on loopback, and the record of a run.
#pragma once

#include <fcntl.h>
#include <signal.h>  // NOLINT(modernize-deprecated-headers): kill is POSIX only.
#include <sys/prctl.h>
#include <sys/wait.h>

#include <cstdio>
#include <fstream>

#include "store.h"

namespace standin {

/// The Unix time in milliseconds.
inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// The file in which a run writes what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& path)
      : file_(path), start_(Clock::now()) {}

  double Seconds() const {
    return std::chrono::duration<double>(Clock::now() - start_).count();
  }
  void Add(const std::string& text) {
    const std::lock_guard lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f ", Seconds());
    file_ << time << text << "\n";
  }
  /// Adds a line that is also printed.
  void Say(const std::string& text) {
    Add(text);
    std::printf("%s\n", text.c_str());
    std::fflush(stdout);
  }
  /// Writes everything and keeps others from writing more.
  void End() {
    mutex_.lock();
    file_.flush();
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point start_;
};

/// Returns a loopback address of this process for each number.
inline std::string LoopbackIp(int number) {
  const auto pid = static_cast<unsigned>(getpid());
  return "127." + std::to_string(64 + pid / 250 % 64) + "." +
         std::to_string(1 + pid % 250) + "." + std::to_string(number);
}

struct HostPlace {
  std::string name;
  std::string zone;
  std::string region;
};

/// One host process, started as the deploy file says.
class Host {
 public:
  static constexpr int kFrontPort = 21010;
  static constexpr int kReadyPort = 21011;
  static constexpr int kPeerPort = 21012;

  /// `zones` maps zones to regions; `bounds` are those of the settings.
  Host(const std::string& folder, std::string program, int number,
       HostPlace place, const json::object& zones, const json::object& bounds,
       Store& store)
      : program_(std::move(program)),
        place_(std::move(place)),
        ip_(LoopbackIp(number)),
        settings_(folder + "/" + place_.name + ".json"),
        log_(folder + "/" + place_.name + ".log") {
    const json::object settings = {
        {"node_name", place_.name},
        {"role", "query"},
        {"machine_class", "front"},
        {"serves", {"front"}},
        {"ip", ip_},
        {"zone", place_.zone},
        {"region", place_.region},
        {"zones", zones},
        {"listen", {{"front", front()}, {"ready", ready()}}},
        {"port_range", {kPeerPort, kPeerPort + 15}},
        {"seeds", json::array()},
        {"bootstrap", true},
        {"limits",
         {{"cpu_share", 0.25},
          {"cores", 1},
          {"ram_mb", 260},
          {"max_fds", 4100},
          {"link_mbps", 1000.0},
          {"disk_mb", 0}}},
        {"data_dir", nullptr},
        {"discovery", "platform"},
        {"entry", "vip"},
        {"heartbeat_ms", 1200},
        {"bounds", bounds},
        {"platform",
         {{"addr", store.AddressFor(place_.name)},
          {"form", "kv"},
          {"writes_per_s", 400},
          {"reads_per_s", 2000},
          {"history_s", 20},
          {"value_bytes", 1048576},
          {"ttl_min_ms", 1000}}}};
    std::ofstream(settings_) << json::serialize(settings);
  }
  ~Host() { Kill(); }
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  const std::string& name() const { return place_.name; }
  const std::string& region() const { return place_.region; }
  std::string front() const { return ip_ + ":" + std::to_string(kFrontPort); }
  std::string ready() const { return ip_ + ":" + std::to_string(kReadyPort); }
  pid_t pid() const { return pid_; }

  void Start() {
    pid_ = fork();
    if (pid_ != 0) return;
    // The host ends with the process that started it.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int file = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    setenv("BERYLREACH_BOOT", settings_.c_str(), 1);
    execl(program_.c_str(), program_.c_str(), "--platform", nullptr);
    _exit(127);
  }
  void Signal(int signal) const {
    if (pid_ > 0) kill(pid_, signal);
  }
  void Kill() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
  /// Whether the process has ended; reaps it.
  bool HasEnded() {
    int status = 0;
    if (pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_) pid_ = 0;
    return pid_ == 0;
  }
  /// Waits until the process has ended; false after `limit`.
  bool WaitForEnd(milliseconds limit) {
    const auto until = Clock::now() + limit;
    while (!HasEnded()) {
      if (Clock::now() >= until) return false;
      std::this_thread::sleep_for(milliseconds(10));
    }
    return true;
  }
  bool IsReady() const {
    Client client(ready());
    const auto answer = client.Call("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n",
                                    milliseconds(500));
    return answer && answer->Status() == 200;
  }
  std::string Metrics() const {
    Client client(ready());
    const auto answer = client.Call("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n",
                                    milliseconds(1000));
    return answer ? answer->body : "";
  }

 private:
  std::string program_;
  HostPlace place_;
  std::string ip_;
  std::string settings_;
  std::string log_;
  pid_t pid_ = 0;
};

/// Waits until all hosts are ready; false after `limit`.
template <typename Hosts>
bool WaitUntilReady(const Hosts& hosts, milliseconds limit) {
  const auto until = Clock::now() + limit;
  while (!std::all_of(hosts.begin(), hosts.end(),
                      [](const auto& host) { return host->IsReady(); })) {
    if (Clock::now() >= until) return false;
    std::this_thread::sleep_for(milliseconds(50));
  }
  return true;
}

}  // namespace standin
