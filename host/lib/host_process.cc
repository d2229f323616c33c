// Assembles the components of a host and connects them to the core thread.
#include "berylreach/host/host_process.h"

#include <chrono>
#include <map>
#include <thread>
#include <utility>
#include <vector>

#include "berylreach/base/system_clock.h"
#include "berylreach/host/core_thread.h"
#include "berylreach/host/http_frontend.h"
#include "berylreach/host/log.h"
#include "berylreach/host/metrics.h"
#include "berylreach/host/random_incarnation.h"
#include "berylreach/host/timeline.h"
#include "berylreach/transport/host_list_client.h"
#include "berylreach/transport/http_server.h"
#include "berylreach/transport/io_thread.h"
#include "berylreach/transport/rpc_node.h"
#include "berylreach/transport/store_client.h"
#include "berylreach/transport/upstream_client.h"

namespace berylreach::host {
namespace {

/// Longest time for which the destructor waits for responses to be written,
/// and the interval at which it checks.
constexpr std::chrono::milliseconds kFlushTimeout{1000};
constexpr std::chrono::milliseconds kFlushPollInterval{5};

core::CoreOptions CoreOptionsOf(const config::HostSettings& settings) {
  core::CoreOptions options;
  options.self.host = settings.host;
  options.self.zone = settings.zone;
  options.environment = settings.environment;
  options.admission.max_requests = settings.limits.running_requests;
  return options;
}

}  // namespace

struct HostProcess::Impl final : ActionSink, transport::UpstreamHandler {
  Impl(const config::HostSettings& settings, std::function<void()> stopped)
      : timeline(settings.limits.timeline_events, clock),
        on_stopped(std::move(stopped)),
        core(clock, *this),
        frontend(clock, core, timeline, metrics),
        upstream(upstream_thread, clock, transport::UpstreamOptions{}, *this),
        store(store_thread,
              transport::StoreOptions{.address = settings.store_address},
              [this](model::StoreResult result) {
                core.Post(std::move(result));
              }),
        host_list(
            store_thread,
            transport::HostListOptions{.address = settings.host_list_address},
            [this](std::optional<model::HostList> list) {
              core.Post(HostListRead{std::move(list)});
            }) {}

  void OnAction(core::Action action) override {
    std::visit([this](auto& item) { Execute(item); }, action);
  }
  void OnActionsEnd() override {
    rpc->Flush();
    upstream.Flush();
  }
  void OnStopped() override { on_stopped(); }
  void OnResult(model::UpstreamResult result) override {
    core.Post(std::move(result));
  }
  void OnStatus(model::LeafStatus status) override {
    core.Post(std::move(status));
  }

  void Execute(core::SendToPeer& action) {
    rpc->Send(action.to, std::move(action.message), base::Wakeup::kAtFlush);
  }
  void Execute(core::CallUpstream& action) {
    // Reported if the client's channel is full; its default outcome is
    // kNotSent.
    model::UpstreamResult not_sent;
    not_sent.id = action.call.id;
    not_sent.leaf = action.call.leaf;
    if (!upstream.Send(std::move(action.call), base::Wakeup::kAtFlush))
      core.Post(std::move(not_sent));
  }
  void Execute(core::CancelUpstream& action) { upstream.Cancel(action.id); }
  void Execute(core::ReadLeafStatuses& action) {
    std::vector<transport::OwnedLeaf> owned;
    for (model::Leaf& leaf : action.leaves) {
      owned.push_back({std::move(leaf.name), std::move(leaf.address),
                       leaf.max_connections});
    }
    upstream.SetOwnedLeaves(std::move(owned));
  }
  void Execute(core::SetSilenceThreshold& action) {
    upstream.SetSilenceThreshold(std::move(action.service), action.threshold);
  }
  void Execute(core::CallStore& action) {
    // Reported if the client's channel is full; its default outcome is
    // kUnknown.
    model::StoreResult unknown;
    unknown.id = action.request.id;
    if (!store.Send(std::move(action.request))) core.Post(std::move(unknown));
  }
  void Execute(core::PollHostList& /*action*/) { host_list.Read(); }
  void Execute(core::SetPeers& action) {
    std::map<model::HostName, std::string> peers;
    for (model::Member& member : action.members) {
      peers.emplace(std::move(member.host), std::move(member.rpc_address));
    }
    rpc->SetPeers(std::move(peers));
  }
  void Execute(core::ReplyToCaller& action) {
    frontend.Reply(action.id, action.reply);
  }
  void Execute(core::RecordEvent& action) {
    LogStateChange(action.type, action.subject, action.detail);
    timeline.Record(std::move(action.type), std::move(action.subject),
                    std::move(action.detail));
  }

  base::SystemClock clock;
  Timeline timeline;
  Metrics metrics;
  std::function<void()> on_stopped;
  // Members are destroyed in reverse order. The core must outlive the
  // components below, whose callbacks use it, and the threads must outlive the
  // components that run on their event loops.
  CoreThread core;
  HttpFrontend frontend;
  transport::IoThread http_thread;
  transport::IoThread upstream_thread;
  transport::IoThread store_thread;
  transport::UpstreamClient upstream;
  transport::StoreClient store;
  transport::HostListClient host_list;
  std::unique_ptr<transport::RpcNode> rpc;
  std::unique_ptr<transport::HttpServer> server;
};

transport::BindResult<std::unique_ptr<HostProcess>> HostProcess::Start(
    const config::HostSettings& settings, std::function<void()> on_stopped) {
  auto impl = std::make_unique<Impl>(settings, std::move(on_stopped));
  core::CoreOptions options = CoreOptionsOf(settings);
  options.self.incarnation = RandomIncarnation();
  auto rpc = transport::RpcNode::Open(
      {.self = settings.host,
       .incarnation = options.self.incarnation,
       .address = settings.rpc_listen},
      [core = &impl->core](std::vector<model::Envelope> envelopes) {
        for (model::Envelope& envelope : envelopes)
          core->Post(std::move(envelope), base::Wakeup::kAtFlush);
        core->Flush();
      },
      [core = &impl->core](model::HostName host) {
        core->Post(PeerDisconnected{std::move(host)});
      });
  if (!rpc) return std::move(rpc).error();
  impl->rpc = std::move(rpc).value();
  transport::HttpServerOptions http;
  http.addresses = {settings.http_listen};
  http.max_body_bytes = settings.limits.request_bytes;
  http.max_connections = settings.limits.caller_connections;
  auto server = transport::HttpServer::Open(impl->http_thread, std::move(http),
                                            impl->frontend);
  if (!server) return std::move(server).error();
  impl->server = std::move(server).value();
  impl->frontend.Attach(*impl->server);
  options.self.rpc_address = impl->rpc->address();
  options.self.http_address = impl->server->addresses().front();
  impl->core.Run(std::move(options));
  return std::unique_ptr<HostProcess>(new HostProcess(std::move(impl)));
}

HostProcess::HostProcess(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

HostProcess::~HostProcess() {
  impl_->server->StopAccepting();
  impl_->server->CloseIdle();
  // Waits, for a bounded time, until responses that were handed to the server
  // are written.
  const auto until = impl_->clock.Now() + kFlushTimeout;
  while (impl_->server->open_requests() > 0 && impl_->clock.Now() < until) {
    std::this_thread::sleep_for(kFlushPollInterval);
  }
  impl_->core.Quit();
}

void HostProcess::Stop() { impl_->core.Post(StopRequested{}); }

const std::string& HostProcess::http_address() const {
  return impl_->server->addresses().front();
}

const std::string& HostProcess::rpc_address() const {
  return impl_->rpc->address();
}

}  // namespace berylreach::host
