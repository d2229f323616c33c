// A deployment of the system with its store and leaves, all on loopback.
#pragma once

#include <boost/json.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "case_support.h"
#include "event_loop.h"
#include "host.h"
#include "leaf.h"
#include "store.h"

namespace review {

/// A zone and how many hosts it has. The first `big_hosts` of them have more of
/// a core than the others.
struct Zone {
  std::string name;
  std::string region;
  int hosts = 0;
  int big_hosts = 0;
};

/// What a deployment consists of.
struct Plan {
  std::vector<Zone> zones;
  /// Services, each with the number of its leaves.
  std::map<std::string, int> services;
  /// Time of an answer of the store.
  milliseconds store_answer_time{4};
  boost::json::object bounds;
};

/// The bounds that the hosts read, with the figures that the cases check.
boost::json::object BoundsWith(milliseconds contact, milliseconds config_apply);

/// The configuration with one route, "/fetch/" of shop.example, to `service`.
std::string ConfigurationTo(const std::string& service, std::uint64_t version,
                            const Plan& plan);

class Deployment {
 public:
  Deployment(Plan plan, const std::string& record_path, Leaf::OnRun on_run);

  /// Registers the leaves, starts the hosts and waits until they are ready;
  /// returns false if one is not.
  bool Start();

  EventLoop& loop() { return loop_; }
  Record& record() { return record_; }
  Store& store() { return store_; }
  const Plan& plan() const { return plan_; }
  std::vector<std::unique_ptr<Leaf>>& leaves() { return leaves_; }
  const std::vector<std::unique_ptr<Host>>& hosts() const { return hosts_; }

 private:
  EventLoop loop_;
  Plan plan_;
  std::string ip_ = OwnLoopbackIp();
  TemporaryFolder folder_;
  Record record_;
  Store store_;
  std::vector<std::unique_ptr<Leaf>> leaves_;
  std::vector<std::unique_ptr<Host>> hosts_;
};

}  // namespace review
