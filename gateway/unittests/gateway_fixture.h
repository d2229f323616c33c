// Test fixture: gateways between callers and leaves, over loopback sockets.
#pragma once

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "berylreach/gateway/gateway.h"
#include "loopback.h"
#include "offset_clock.h"

namespace berylreach::gateway {

/// Records of two leaves; a merged answer has kHigh first.
inline const std::string kLow(16, 'a');
inline const std::string kHigh(16, 'b');

inline std::string Response(int status, const std::string& fields,
                            const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Gateways on loopback and one leaf for each service.
class GatewayFixture : public testing::Test {
 protected:
  struct Leaf {
    std::unique_ptr<TestServer> server;
    std::vector<HttpRequest> requests;
    /// The serialized response; if empty, the leaf does not respond.
    std::string response;
  };

  GatewayFixture() {
    forward::Route search;
    search.name = "search";
    search.host = "h";
    search.prefix = "/s/";
    search.idempotent = true;
    search.timeout = milliseconds(10000);
    search.objective = milliseconds(5000);
    search.attempts = 2;
    search.shards = {"s0", "s1"};
    search.top_records = 2;
    search.minimum_coverage = 1;
    forward::Route order;
    order.name = "order";
    order.host = "h";
    order.prefix = "/o/";
    order.timeout = milliseconds(10000);
    order.objective = milliseconds(5000);
    order.attempts = 2;
    order.services = {{"o", 1}};
    configuration_.version = 3;
    configuration_.routes = {search, order};
    for (const char* name : {"s0", "s1", "o"})
      configuration_.services.push_back({.name = name, .max_connections = 20});
    AddLeaf("s0", Response(200, "X-Sig: sig0\r\n", kLow));
    AddLeaf("s1", Response(200, "X-Sig: sig1\r\n", kHigh));
    AddLeaf("o", Response(200, "X-Sig: sigo\r\nX-Own: 1\r\n", "done"));
  }

  void AddLeaf(const std::string& service, std::string response) {
    Leaf& leaf = leaves_[service];
    leaf.response = std::move(response);
    leaf.server = std::make_unique<TestServer>(
        io_, clock_,
        [&leaf](ServerConnection& connection, HttpRequest request) {
          leaf.requests.push_back(std::move(request));
          if (!leaf.response.empty()) connection.Respond(leaf.response, true);
        });
  }

  std::unique_ptr<Gateway> MakeGateway(const std::string& name,
                                       const std::string& zone) {
    GatewaySettings settings;
    settings.host = name;
    settings.caller_address = FreeAddress();
    settings.health_address = FreeAddress();
    settings.peer_address = FreeAddress();
    settings.location = {.zone = zone,
                         .region = "r" + zone,
                         .region_of_zone = {{"a", "ra"}, {"b", "rb"}}};
    settings.cores = cores_;
    if (stop_grace_) settings.stop_grace = *stop_grace_;
    settings.record_bytes = 16;
    settings.names = {.request_id = "X-Id",
                      .api_key = "X-Key",
                      .tenant = "X-Tenant",
                      .caller_timeout = "X-Wait",
                      .expected_leaf = "X-Leaf",
                      .signature = "X-Sig",
                      .not_run = "X-Not",
                      .leaving = "X-Leaving",
                      .rate_limit = "X-Limit",
                      .part_signatures = "X-Sigs",
                      .missing_parts = "X-Missing"};
    hosts_.push_back({name, settings.peer_address, zone, 1});
    callers_[name] = settings.caller_address;
    health_[name] = settings.health_address;
    peers_[name] = settings.peer_address;
    return std::make_unique<Gateway>(io_, clock_, settings);
  }

  /// Gives the gateway the configuration, the leaves and the hosts made so far.
  void Load(Gateway& gateway) {
    gateway.SetConfiguration(configuration_);
    for (auto& [service, leaf] : leaves_) {
      gateway.directory().Put({.id = "leaf-" + service,
                               .service = service,
                               .address = leaf.server->address(),
                               .zone = "a",
                               .slots = 2});
    }
    gateway.SetHosts(hosts_);
    gateway.SetDirectoryLoaded();
  }

  static std::string Request(const std::string& path) {
    return "GET " + path +
           " HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Wait: 9000\r\n\r\n";
  }

  /// Makes two hosts, of which only `near` is in the region of the leaves.
  void MakeNearAndFar() {
    near_ = MakeGateway("near", "a");
    far_ = MakeGateway("far", "b");
  }

  /// Whether the host's metrics report this number of leaf calls.
  bool HasSentLeafCalls(const std::string& host, int calls) {
    RawClient metrics(io_, health_[host]);
    metrics.Send("GET /metrics HTTP/1.1\r\n\r\n");
    return metrics.Expect("berylreach_leaf_calls_total " +
                          std::to_string(calls) + "\n");
  }

  /// Cores of hosts that are made.
  double cores_ = 1;
  /// Replaces the default grace period of hosts that are made.
  std::optional<milliseconds> stop_grace_;
  OffsetClock clock_;
  asio::io_context io_;
  forward::Configuration configuration_;
  std::map<std::string, Leaf> leaves_;
  std::vector<forward::HostEntry> hosts_;
  std::map<std::string, std::string> callers_;
  std::map<std::string, std::string> health_;
  std::map<std::string, std::string> peers_;
  std::unique_ptr<Gateway> near_;
  std::unique_ptr<Gateway> far_;
};

}  // namespace berylreach::gateway
