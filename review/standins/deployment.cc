#include "deployment.h"

#include <iostream>
#include <utility>

namespace review {
namespace {

namespace json = boost::json;

constexpr milliseconds kStartTime{15000};
constexpr double kHostCores = 0.25;
constexpr double kBigHostCores = 0.5;

}  // namespace

json::object BoundsWith(milliseconds contact, milliseconds config_apply) {
  return {{"contact_ms", contact.count()},
          {"config_apply_ms", config_apply.count()},
          {"drain_ms", config_apply.count()},
          {"grace_s", 6},
          {"budget_ratio", 0.2},
          {"budget_window_s", 10},
          {"budget_slack", 52},
          {"cold_overage", 1.5},
          {"cold_slack", 5}};
}

std::string ConfigurationTo(const std::string& service, std::uint64_t version,
                            const Plan& plan) {
  json::array services;
  for (const auto& [name, leaves] : plan.services)
    services.push_back({{"name", name},
                        {"health_path", "/healthz"},
                        {"max_conns", 96},
                        {"cold_start_s", 3.0},
                        {"cold_per_s", 0.0}});
  const json::object route = {{"name", "single-order-fetch"},
                              {"host", "shop.example"},
                              {"prefix", "/fetch/"},
                              {"kind", "idempotent"},
                              {"timeout_ms", 3000},
                              {"goal_ms", 300},
                              {"priority", 2},
                              {"service", service},
                              {"attempts", 2},
                              {"allowed_regions", json::array()}};
  const json::object limits = {{"max_header_bytes", 16384},
                               {"max_body_bytes", 262144},
                               {"header_timeout_ms", 3000},
                               {"idle_timeout_ms", 15000}};
  return json::serialize(json::object{{"version", version},
                                      {"routes", json::array{route}},
                                      {"services", services},
                                      {"limits", limits}});
}

Deployment::Deployment(Plan plan, const std::string& record_path,
                       Leaf::OnRun on_run)
    : plan_(std::move(plan)),
      record_(record_path),
      store_(loop_, ip_, plan_.store_answer_time) {
  json::object regions;
  for (const Zone& zone : plan_.zones) regions[zone.name] = zone.region;
  for (const auto& [service, count] : plan_.services) {
    for (int i = 0; i < count; ++i) {
      const std::string id = "i-" + std::to_string(10000 + leaves_.size());
      const Zone& zone =
          plan_.zones[static_cast<std::size_t>(i) % plan_.zones.size()];
      leaves_.push_back(
          std::make_unique<Leaf>(loop_, ip_, id, service, zone.name, on_run));
    }
  }
  int index = 0;
  for (const Zone& zone : plan_.zones) {
    for (int i = 0; i < zone.hosts; ++i) {
      const Host::Place place = {
          .name = "front-" + zone.name + "-" + std::to_string(i + 1),
          .zone = zone.name,
          .region = zone.region,
          .ip = ip_,
          .cores = i < zone.big_hosts ? kBigHostCores : kHostCores,
          .zones = regions};
      hosts_.push_back(std::make_unique<Host>(folder_.path(), place, index++,
                                              plan_.bounds, store_.address()));
    }
  }
}

bool Deployment::Start() {
  for (const auto& leaf : leaves_) leaf->Register(store_);
  for (const auto& host : hosts_) host->Start();
  for (const auto& host : hosts_) {
    if (host->WaitUntilReady(loop_, kStartTime)) continue;
    std::cout << host->name() << " is not ready\n";
    return false;
  }
  record_.Add(std::to_string(store_.item_count()) + " items in the store");
  return true;
}

}  // namespace review
