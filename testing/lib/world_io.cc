// Interfaces of the hosts of a World: network, leaves, store and host list.
#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "berylreach/testing/world.h"
#include "berylreach/testing/world_host.h"

namespace berylreach::testing {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// One-way latencies between hosts.
constexpr microseconds kSameZoneLatency{250};
constexpr milliseconds kOtherRegionLatency{20};
// Time to hand a call from the core thread to an I/O thread; the process may be
// frozen in between.
constexpr microseconds kIoThreadDelay{50};
// Minimum time between two attempts to connect to a host.
constexpr milliseconds kReconnectInterval{50};
// Interval of status reads if all leaves are reachable, and if one is not.
constexpr milliseconds kStatusInterval{1000};
constexpr milliseconds kDownStatusInterval{100};
// Durations of a status read and of a host list read.
constexpr milliseconds kStatusReadTime{1};
constexpr milliseconds kHostListReadTime{2};

}  // namespace

void World::Execute(Host& host, core::Actions actions) {
  for (core::Action& action : actions) ExecuteAction(host, action);
  ScheduleTick(host);
}

void World::ExecuteAction(Host& host, core::Action& action) {
  if (const auto* send = std::get_if<core::SendToPeer>(&action)) {
    SendPeer(host, *send);
  } else if (const auto* call = std::get_if<core::CallUpstream>(&action)) {
    CallUpstream(host, call->call);
  } else if (const auto* cancel = std::get_if<core::CancelUpstream>(&action)) {
    for (auto& [name, leaf] : leaves_) leaf->Cancel(cancel->id);
  } else if (const auto* store = std::get_if<core::CallStore>(&action)) {
    CallStore(host, store->request);
  } else if (std::holds_alternative<core::PollHostList>(action)) {
    PollHostList(host);
  } else if (const auto* reply = std::get_if<core::ReplyToCaller>(&action)) {
    OnReply(*reply);
  } else if (const auto* event = std::get_if<core::RecordEvent>(&action)) {
    Record(host, event->type, event->subject, event->detail);
  } else if (auto* statuses = std::get_if<core::ReadLeafStatuses>(&action)) {
    host.status_leaves = std::move(statuses->leaves);
    ReadStatuses(host.name, host.incarnation, ++host.status_generation);
  } else if (const auto* peers = std::get_if<core::SetPeers>(&action)) {
    host.peers.clear();
    for (const model::Member& member : peers->members)
      host.peers.insert(member.host.value);
  }
}

void World::SendPeer(Host& from, const core::SendToPeer& send) {
  const std::string to = send.to.value;
  if (!from.peers.contains(to) || !LinkUp(from.name, to)) return;
  if (random_.Chance(message_loss_)) return;
  if (observer_ != nullptr)
    observer_->OnPeerMessage(from.name, to, send.message);
  const model::Envelope envelope{{from.name}, from.incarnation, send.message};
  const int copies = random_.Chance(message_duplication_) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    const auto delay = Latency(from, to) + copy * kOtherRegionLatency;
    queue_.After(delay, [this, to, sender = from.name, envelope] {
      const Host* receiver = Find(to);
      if (!LinkUp(sender, to)) return;
      if (receiver == nullptr) {
        if (Host* found = Find(sender)) RefuseConnection(*found, to);
        return;
      }
      Dispatch(to, receiver->incarnation, [envelope](core::HostCore& core) {
        return core.OnEnvelope(envelope);
      });
    });
  }
}

void World::ResetConnections(const std::string& killed) {
  const Host* found = Find(killed);
  if (found == nullptr) return;
  for (const auto& [name, host] : hosts_) {
    if (name != killed && host->peers.contains(killed) && LinkUp(name, killed))
      ReportPeerDisconnected(*host, killed, Latency(*found, name));
  }
}

void World::RefuseConnection(Host& from, const std::string& to) {
  base::TimePoint& last_report = from.refused_at[to];
  if (clock_.Now() < last_report + kReconnectInterval) return;
  last_report = clock_.Now();
  ReportPeerDisconnected(from, to, kOtherRegionLatency);
}

void World::ReportPeerDisconnected(const Host& host, const std::string& peer,
                                   base::Duration delay) {
  queue_.After(delay,
               [this, name = host.name, peer, incarnation = host.incarnation] {
                 // If a new process has been started meanwhile, it accepts
                 // the connection.
                 if (Find(peer) != nullptr || !LinkUp(name, peer)) return;
                 Dispatch(name, incarnation, [peer](core::HostCore& core) {
                   return core.OnPeerDisconnected({peer});
                 });
               });
}

void World::CallUpstream(Host& host, const model::UpstreamCall& call) {
  const std::string name = host.name;
  const std::uint64_t incarnation = host.incarnation;
  const auto reply = [this, name,
                      incarnation](const model::UpstreamResult& result) {
    Dispatch(name, incarnation, [result](core::HostCore& core) {
      return core.OnUpstreamResult(result);
    });
  };
  const auto write = [this, name, call, reply]() -> core::Actions {
    // The I/O thread checks the deadline immediately before it writes.
    if (clock_.Now() > call.not_after) {
      model::UpstreamResult unsent;
      unsent.id = call.id;
      unsent.leaf = call.leaf;
      reply(unsent);
    } else {
      WriteCall(name, call, reply);
    }
    return {};
  };
  queue_.After(kIoThreadDelay, [this, name, incarnation, write] {
    Dispatch(name, incarnation, [write](core::HostCore&) { return write(); });
  });
}

void World::WriteCall(const std::string& host, const model::UpstreamCall& call,
                      FakeLeaf::Reply reply) {
  FakeLeaf& leaf = *leaves_.at(call.leaf.value);
  const auto [connected, first] =
      connected_to_.try_emplace({host, call.leaf.value}, leaf.incarnation());
  const bool stale = connected->second != leaf.incarnation();
  if (!stale || !leaf.alive()) return leaf.Call(call, std::move(reply));
  // The connections of the host lead to a leaf process that has ended, which
  // the connection pool notices before it writes. Calls that the owner started
  // before it is notified are not sent either, since they were started under
  // the limit of the former, warm process.
  model::UpstreamResult lost;
  lost.id = call.id;
  lost.leaf = call.leaf;
  lost.outcome = model::LeafOutcome::kNotSent;
  lost.connect_failed = true;
  queue_.After(kSameZoneLatency,
               [this, reply, lost, host, incarnation = leaf.incarnation()] {
                 connected_to_[{host, lost.leaf.value}] = incarnation;
                 reply(lost);
               });
}

void World::CallStore(Host& host, const model::StoreRequest& request) {
  const std::string name = host.name;
  const std::uint64_t incarnation = host.incarnation;
  if (observer_ != nullptr) observer_->OnStoreCall(name);
  const auto reply = [this, name,
                      incarnation](const model::StoreResult& result) {
    Dispatch(name, incarnation, [result](core::HostCore& core) {
      return core.OnStoreResult(result);
    });
  };
  if (!cut_from_store_.contains(name)) return store_.Call(request, reply);
  model::StoreResult unknown;
  unknown.id = request.id;
  queue_.After(std::chrono::seconds(1), [reply, unknown] { reply(unknown); });
}

void World::PollHostList(Host& host) {
  ++host_list_calls_;
  const bool reachable = !cut_from_store_.contains(host.name);
  const std::string name = host.name;
  const std::uint64_t incarnation = host.incarnation;
  queue_.After(kHostListReadTime, [this, name, incarnation, reachable] {
    std::optional<model::HostList> list;
    if (reachable) list = host_list_;
    Dispatch(name, incarnation,
             [list](core::HostCore& core) { return core.OnHostList(list); });
  });
}

void World::ReadStatuses(const std::string& host, std::uint64_t incarnation,
                         std::uint64_t generation) {
  const Host* found = Find(host);
  if (found == nullptr || found->incarnation != incarnation) return;
  if (found->status_generation != generation) return;
  queue_.After(kStatusReadTime, [this, host, incarnation, generation] {
    const Host* reader = Find(host);
    if (reader == nullptr || reader->status_generation != generation) return;
    bool all_reachable = true;
    for (const model::Leaf& leaf :
         std::vector<model::Leaf>(reader->status_leaves)) {
      const auto status = leaves_.at(leaf.name.value)->Status();
      all_reachable = all_reachable && status.reachable;
      // The read opens a new connection if the pooled ones were lost.
      if (status.reachable) {
        connected_to_[{host, leaf.name.value}] = status.incarnation;
      }
      Dispatch(host, incarnation, [status](core::HostCore& core) {
        return core.OnLeafStatus(status);
      });
    }
    // The real upstream client rereads only the leaves that are down at this
    // interval; reading the others too is simpler and harmless.
    queue_.After(all_reachable ? kStatusInterval : kDownStatusInterval,
                 [this, host, incarnation, generation] {
                   ReadStatuses(host, incarnation, generation);
                 });
  });
}

void World::ScheduleTick(Host& host) {
  const base::TimePoint next = host.core->NextWakeup();
  if (next >= host.tick_at || next == base::TimePoint::max()) return;
  host.tick_at = next;
  const std::string name = host.name;
  const std::uint64_t incarnation = host.incarnation;
  queue_.At(next, [this, name, incarnation, next] {
    Host* found = Find(name);
    if (found == nullptr || found->incarnation != incarnation) return;
    if (found->tick_at == next) found->tick_at = base::TimePoint::max();
    Dispatch(name, incarnation,
             [](core::HostCore& core) { return core.Tick(); });
  });
}

void World::Record(const Host& host, const std::string& type,
                   const std::string& subject, const std::string& detail) {
  events_.push_back({clock_.Now(), host.name, type, subject, detail});
}

void World::SetLink(const std::string& a, const std::string& b, bool up) {
  if (up) {
    cut_links_.erase(std::minmax(a, b));
  } else {
    cut_links_.insert(std::minmax(a, b));
  }
}

void World::SetIsolated(const std::string& host, bool isolated) {
  // Also restores the links to hosts that do not run now but may be started
  // again.
  std::erase_if(cut_links_, [&](const auto& link) {
    return link.first == host || link.second == host;
  });
  if (!isolated) return;
  for (const auto& [other, state] : hosts_) {
    if (other != host) SetLink(host, other, false);
  }
}

void World::SetStoreReachable(const std::string& host, bool reachable) {
  if (reachable) {
    cut_from_store_.erase(host);
  } else {
    cut_from_store_.insert(host);
  }
}

void World::SetMessageFaults(double loss, double duplication) {
  message_loss_ = loss;
  message_duplication_ = duplication;
}

bool World::LinkUp(const std::string& a, const std::string& b) const {
  return !cut_links_.contains(std::minmax(a, b));
}

base::Duration World::Latency(const Host& a, const std::string& to) const {
  const Host* other = Find(to);
  if (other == nullptr) return kOtherRegionLatency;
  return a.core->self().zone == other->core->self().zone
             ? base::Duration(kSameZoneLatency)
             : base::Duration(kOtherRegionLatency);
}

}  // namespace berylreach::testing
