#include "host.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>

#include "http.h"

namespace review {
namespace {

/// Ports of the hosts. Each run has a loopback address of its own.
constexpr int kFrontPort = 8104;
constexpr int kReadyPort = 8108;
constexpr int kPeerPort = 7380;
constexpr int kPortsPerHost = 20;

constexpr char kProgram[] = "target/tools/berylreachd/berylreachd";

}  // namespace

Host::Host(const std::string& folder, const Place& place, int index,
           const boost::json::object& bounds, const std::string& store)
    : name_(place.name),
      settings_path_(folder + "/" + place.name + ".json"),
      log_path_(folder + "/" + place.name + ".log") {
  const int offset = kPortsPerHost * index;
  address_ = place.ip + ":" + std::to_string(kFrontPort + offset);
  ready_address_ = place.ip + ":" + std::to_string(kReadyPort + offset);
  const int peer_port = kPeerPort + offset;
  boost::json::object settings;
  settings["node_name"] = name_;
  settings["role"] = "query";
  settings["machine_class"] = "front";
  settings["serves"] = {"front"};
  settings["ip"] = place.ip;
  settings["zone"] = place.zone;
  settings["region"] = place.region;
  settings["zones"] = place.zones;
  settings["listen"] = {{"front", address_}, {"ready", ready_address_}};
  settings["port_range"] = {peer_port, peer_port + 3};
  settings["seeds"] = boost::json::array();
  settings["bootstrap"] = true;
  settings["counts_as_loss"] = false;
  settings["limits"] = {{"cpu_share", place.cores},
                        {"cores", 1},
                        {"ram_mb", 260},
                        {"max_fds", 4100},
                        {"link_mbps", 1000.0}};
  settings["discovery"] = "platform";
  settings["entry"] = "vip";
  settings["heartbeat_ms"] = 1200;
  settings["bounds"] = bounds;
  settings["platform"] = {{"addr", store},          {"form", "kv"},
                          {"writes_per_s", 400},    {"history_s", 20},
                          {"value_bytes", 1048576}, {"ttl_min_ms", 1000},
                          {"reads_per_s", 2000}};
  std::ofstream(settings_path_) << boost::json::serialize(settings);
}

Host::~Host() { Kill(); }

void Host::Start() {
  pid_ = fork();
  if (pid_ != 0) return;
  // The process must not outlive the test, however that ends.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int log = open(log_path_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  close_range(STDERR_FILENO + 1, ~0U, 0);
  setenv("BERYLREACH_BOOT", settings_path_.c_str(), 1);
  execl(kProgram, kProgram, "--platform", nullptr);
  _exit(127);
}

void Host::Signal(int signal) const {
  if (pid_ > 0) kill(pid_, signal);
}

void Host::Kill() {
  if (pid_ <= 0) return;
  kill(pid_, SIGCONT);
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = 0;
}

bool Host::WaitUntilReady(EventLoop& loop, milliseconds limit) const {
  bool ready = false;
  const Time end = Clock::now() + limit;
  while (!ready && Clock::now() < end) {
    bool answered = false;
    Fetch(loop, ready_address_, "GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n",
          milliseconds(1000), [&](std::optional<HttpMessage> response) {
            answered = true;
            ready = response && response->Status() == 200;
          });
    loop.RunUntil([&] { return answered; }, milliseconds(2000));
    if (!ready) loop.RunFor(milliseconds(50));
  }
  return ready;
}

}  // namespace review
