// Hosts that keep limits together, with a store, a network and callers, in
// virtual time.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "berylreach/forward/quota_client.h"
#include "berylreach/forward/quota_owner.h"
#include "virtual_time.h"

namespace berylreach::forward {

inline constexpr seconds kSimulatedLeaseTtl{30};
inline constexpr milliseconds kSimulatedPause{1500};

/// What can go wrong with messages: probabilities.
struct MessageFaults {
  double lost = 0;
  double doubled = 0;
  double delayed = 0;
};

/// Results of requests of one limit.
struct QuotaOutcome {
  std::vector<base::TimePoint> admitted;
  std::uint64_t over_limit = 0;
  std::uint64_t no_owner = 0;
  std::uint64_t unanswered = 0;
  base::Duration longest_wait{};
};

inline Location SimulatedLocation(std::size_t zone, std::size_t regions) {
  Location location;
  for (std::size_t i = 0; i < 6; ++i)
    location.region_of_zone["z" + std::to_string(i)] =
        "r" + std::to_string(i % regions);
  location.zone = "z" + std::to_string(zone % 6);
  location.region = location.region_of_zone[location.zone];
  return location;
}

class QuotaSimulation {
 public:
  struct Options {
    std::size_t hosts = 6;
    std::size_t regions = 3;
    QuotaBounds bounds;
    std::uint64_t seed = 1;
  };

  /// One process of a host. A restart replaces it.
  struct Process {
    Process(const base::Clock& clock, const std::string& name,
            const Location& location, const QuotaBounds& bounds)
        : owners(clock, name, location),
          owner(clock, owners, bounds),
          client(clock, owners, bounds) {}
    LimitOwners owners;
    QuotaOwner owner;
    QuotaClient client;
    base::TimePoint wakeup_at = base::TimePoint::max();
    std::map<std::uint64_t, std::pair<std::string, base::TimePoint>> waiting;
    bool registered = false;
    std::uint64_t lease = 0;
    bool stale = false;
    /// A change of the list is on its way.
    bool list_due = false;
  };
  struct Host {
    HostEntry entry;
    Location location;
    std::shared_ptr<Process> process;
    bool frozen = false;
    base::TimePoint frozen_at{};
    std::vector<std::function<void()>> held_events;
    bool cut_from_store = false;
    /// The record is gone, though its lease is renewed.
    bool record_lost = false;
    /// Hosts with different sides cannot exchange messages.
    int side = 0;
  };

  explicit QuotaSimulation(const Options& options)
      : options_(options), random_(options.seed) {
    for (std::size_t i = 0; i < options.hosts; ++i) AddHost();
  }

  VirtualTime time;
  MessageFaults faults;
  std::map<std::string, QuotaOutcome> outcomes;
  std::uint64_t messages = 0;
  std::vector<std::unique_ptr<Host>> hosts;

  double Random() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  std::size_t RandomIndex(std::size_t size) {
    return std::uniform_int_distribution<std::size_t>(0, size - 1)(random_);
  }

  void SetLimits(std::vector<LimitSpec> limits,
                 milliseconds spread = milliseconds(200)) {
    limits_ = std::move(limits);
    for (const auto& host : hosts)
      After(*host, RandomTime(spread),
            [this, host = host.get()] { ApplyLimits(*host); });
  }

  Host& AddHost() {
    const std::size_t index = hosts.size();
    auto host = std::make_unique<Host>();
    host->location = SimulatedLocation(index, options_.regions);
    host->entry = {.name = "h" + std::to_string(index),
                   .zone = host->location.zone};
    hosts.push_back(std::move(host));
    StartHost(*hosts.back());
    return *hosts.back();
  }

  void Kill(Host& host) {
    if (host.process)
      for (const auto& [request, waiting] : host.process->waiting)
        ++outcomes[waiting.first].unanswered;
    host.process = nullptr;
    host.frozen = false;
    host.held_events.clear();
  }

  /// A planned stop revokes the lease.
  void Leave(Host& host) {
    if (!host.process) return;
    const std::uint64_t lease = host.process->lease;
    host.process->owner.Stop();
    QuotaClient::Actions actions;
    host.process->client.RefuseAll(actions);
    Execute(host, actions);
    Kill(host);
    const auto record = records_.find(host.entry.name);
    if (!store_away && !host.cut_from_store && record != records_.end() &&
        record->second.lease == lease) {
      records_.erase(record);
      Announce();
    }
  }

  void StartHost(Host& host) {
    Kill(host);
    host.process = std::make_shared<Process>(time.clock(), host.entry.name,
                                             host.location, options_.bounds);
    auto process = host.process;
    // A host serves only once it has a listing and a configuration.
    After(host, milliseconds(10), [this, &host, process] {
      if (host.process != process) return;
      ApplyLimits(host);
      Register(host);
      if (!host.cut_from_store && !store_away) ReadHosts(host);
    });
    TickOften(host, process);
  }

  void Freeze(Host& host, base::Duration length) {
    if (!host.process || host.frozen) return;
    host.frozen = true;
    host.frozen_at = time.Now();
    auto process = host.process;
    time.After(length, [this, &host, process] {
      if (host.process == process && host.frozen) Thaw(host);
    });
  }

  bool store_away = false;

  /// Removes the record of a host, whose lease goes on.
  void LoseRecord(Host& host) {
    if (records_.erase(host.entry.name) == 0) return;
    host.record_lost = true;
    Announce();
  }

  /// After an outage or a partition of the store, hosts read what they missed.
  void RefreshLists() { Announce(); }

  /// Starts a request at the host; one of a host that does not run is lost.
  void Request(Host& host, const std::string& limit) {
    if (!host.process || host.frozen || host.process->stale ||
        host.process->owners.host_count() == 0)
      return;
    const std::uint64_t id = next_request_++;
    host.process->waiting[id] = {limit, time.Now()};
    QuotaClient::Actions actions;
    host.process->client.OnRequest(id, limit, actions);
    Execute(host, actions);
  }

  /// Sends requests at exponentially distributed intervals until `end`, to the
  /// hosts that `choose` names.
  void Load(const std::string& limit, double rate, base::TimePoint end,
            std::function<Host&()> choose) {
    const base::Duration gap = std::chrono::duration_cast<base::Duration>(
        std::chrono::duration<double>(
            std::exponential_distribution<double>(rate)(random_)));
    if (time.Now() + gap >= end) return;
    time.After(gap, [this, limit, rate, end, choose = std::move(choose)] {
      Request(choose(), limit);
      Load(limit, rate, end, choose);
    });
  }

  /// Largest number of admitted requests in a window.
  std::size_t LargestWindow(const std::string& limit, base::TimePoint from = {},
                            base::TimePoint to = base::TimePoint::max()) {
    const std::vector<base::TimePoint>& times = outcomes[limit].admitted;
    std::size_t largest = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
      while (times[last] - times[first] > options_.bounds.window) ++first;
      while (first < last && times[first] < from) ++first;
      if (times[last] < from || times[last] > to) continue;
      largest = std::max(largest, last - first + 1);
    }
    return largest;
  }

 private:
  struct Record {
    HostEntry entry;
    std::uint64_t lease = 0;
    base::TimePoint expires{};
  };

  milliseconds RandomTime(milliseconds most) {
    return milliseconds(
        RandomIndex(static_cast<std::size_t>(most.count()) + 1));
  }

  /// Runs `run` in the process of the host, after its freeze if it is frozen.
  void After(Host& host, base::Duration delay, std::function<void()> run) {
    auto process = host.process;
    time.After(delay, [&host, process, run = std::move(run)] {
      if (host.process != process || !process) return;
      if (host.frozen) {
        host.held_events.push_back(run);
      } else {
        run();
      }
    });
  }

  void Thaw(Host& host) {
    host.frozen = false;
    if (time.Now() - host.frozen_at >= kSimulatedPause) {
      host.process->owner.OnProcessPaused();
      host.process->stale = true;
      After(host, RandomTime(milliseconds(1000)), [this, &host] {
        if (!host.cut_from_store && !store_away) ReadHosts(host);
        host.process->owner.OnViewCurrent();
        host.process->stale = false;
      });
    }
    for (const auto& run : std::exchange(host.held_events, {})) run();
  }

  void TickOften(Host& host, const std::shared_ptr<Process>& process) {
    time.After(milliseconds(1000), [this, &host, process] {
      if (host.process != process) return;
      if (!host.frozen) {
        QuotaOwner::Actions claims;
        process->owner.Tick(claims);
        for (const SendClaim& claim : claims) Send(host, claim);
        Wake(host);
      }
      TickOften(host, process);
    });
  }

  void ApplyLimits(Host& host) {
    host.process->owner.SetLimits(limits_);
    QuotaClient::Actions actions;
    host.process->client.SetLimits(limits_, actions);
    Execute(host, actions);
  }

  void Register(Host& host) {
    const base::TimePoint sent = time.Now();
    if (store_away || host.cut_from_store) {
      After(host, milliseconds(1000), [this, &host] { Register(host); });
      return;
    }
    host.record_lost = false;
    Record& record = records_[host.entry.name];
    record = {host.entry, next_lease_++, sent + kSimulatedLeaseTtl};
    host.process->lease = record.lease;
    Announce();
    After(host, milliseconds(5), [this, &host, sent] {
      host.process->owner.OnLeaseRenewed(
          {.sent = sent,
           .is_new = std::exchange(host.process->registered, true)});
      RenewLater(host);
    });
    ExpireAt(host.entry.name);
  }

  void RenewLater(Host& host, milliseconds delay = milliseconds(3000)) {
    // A new registration begins renewals of its own.
    After(host, delay, [this, &host, lease = host.process->lease] {
      if (host.process->lease == lease) Renew(host);
    });
  }

  void Renew(Host& host) {
    const base::TimePoint sent = time.Now();
    if (store_away || host.cut_from_store) {
      RenewLater(host, milliseconds(1000));
      return;
    }
    const auto record = records_.find(host.entry.name);
    if (record != records_.end()) {
      if (record->second.lease != host.process->lease) {
        Register(host);
        return;
      }
      record->second.expires = sent + kSimulatedLeaseTtl;
      ExpireAt(host.entry.name);
    } else if (!host.record_lost) {
      // Its lease has ended.
      Register(host);
      return;
    }
    After(host, milliseconds(5), [&host, sent] {
      host.process->owner.OnLeaseRenewed({.sent = sent});
    });
    RenewLater(host);
  }

  void ExpireAt(const std::string& name) {
    const base::TimePoint expires = records_[name].expires;
    time.After(expires - time.Now(), [this, name, expires] {
      const auto record = records_.find(name);
      if (record == records_.end() || record->second.expires != expires) return;
      if (store_away) {
        // Leases expire shortly after the store's return.
        record->second.expires += seconds(1);
        ExpireAt(name);
        return;
      }
      records_.erase(record);
      Announce();
    });
  }

  /// Tells all hosts of the change: usually within 0.6 s, some later.
  void Announce() {
    for (const auto& host : hosts) {
      if (!host->process || std::exchange(host->process->list_due, true))
        continue;
      const milliseconds delay =
          RandomTime(milliseconds(Random() < 0.1 ? 3500 : 600));
      After(*host, delay, [this, host = host.get()] {
        host->process->list_due = false;
        if (!host->cut_from_store && !store_away) ReadHosts(*host);
      });
    }
  }

  void ReadHosts(Host& host) {
    std::vector<HostEntry> list;
    for (const auto& [name, record] : records_) list.push_back(record.entry);
    // A host always counts itself.
    if (!records_.contains(host.entry.name)) list.push_back(host.entry);
    if (host.record_lost) {
      host.process->owner.OnRegistrationLost();
      After(host, milliseconds(1000), [this, &host] {
        if (host.record_lost) Register(host);
      });
    }
    host.process->owners.SetHosts(list);
    host.process->client.OnHostsChanged();
  }

  base::Duration Delay(const Host& from, const Host& to) {
    using std::chrono::microseconds;
    if (&from == &to) return {};
    double one_way = 0.3 + 0.3 * Random();
    if (from.location.region != to.location.region) {
      one_way = 20 + 2 * Random();
    } else if (from.location.zone != to.location.zone) {
      one_way = 1.4 + 2 * Random();
    }
    if (Random() < faults.delayed) one_way += 200 * Random();
    return microseconds(static_cast<std::int64_t>(1000 * one_way));
  }

  Host* FindHost(const std::string& name) {
    const std::size_t index = std::stoul(name.substr(1));
    return index < hosts.size() ? hosts[index].get() : nullptr;
  }

  void Send(Host& from, const SendClaim& action) {
    Host* to = FindHost(action.host);
    auto sender = from.process;
    const base::TimePoint sent = time.Now();
    auto answered = std::make_shared<bool>(false);
    const bool local = to == &from;
    if (!local) ++messages;
    // A message without an answer is lost for the sender after 100 ms.
    if (!local)
      After(from, milliseconds(100), [this, &from, action, sent, answered] {
        if (std::exchange(*answered, true) ||
            action.claim.kind != ClaimKind::kForRequests)
          return;
        QuotaClient::Actions actions;
        from.process->client.OnClaimLost(action.host, action.claim, sent,
                                         actions);
        Execute(from, actions);
      });
    const int copies = !local && Random() < faults.doubled ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (!local && (Random() < faults.lost || from.side != to->side)) continue;
      if (!to->process) continue;
      After(*to, Delay(from, *to),
            [this, &from, to, action, sent, sender, answered, local] {
              QuotaOwner::Actions claims;
              const Grant grant = to->process->owner.OnClaim(
                  from.entry.name, action.claim, claims);
              for (const SendClaim& claim : claims) Send(*to, claim);
              if (!local && (Random() < faults.lost || from.side != to->side))
                return;
              if (from.process != sender || !sender) return;
              After(from, Delay(*to, from),
                    [this, &from, action, sent, grant, answered] {
                      // Answers after the time limit are lost.
                      if (std::exchange(*answered, true)) return;
                      Receive(from, action, sent, grant);
                    });
            });
    }
  }

  void Receive(Host& host, const SendClaim& action, base::TimePoint sent,
               const Grant& grant) {
    if (action.claim.kind != ClaimKind::kForRequests) {
      QuotaOwner::Actions claims;
      host.process->owner.OnGrant(action.host, action.claim, sent, grant,
                                  claims);
      for (const SendClaim& claim : claims) Send(host, claim);
      return;
    }
    QuotaClient::Actions actions;
    host.process->client.OnGrant(action.host, action.claim, sent, grant,
                                 actions);
    Execute(host, actions);
  }

  void Execute(Host& host, const QuotaClient::Actions& actions) {
    for (const QuotaAction& action : actions) {
      if (const auto* send = std::get_if<SendClaim>(&action)) {
        Send(host, *send);
      } else if (const auto* admit = std::get_if<AdmitRequest>(&action)) {
        QuotaOutcome& outcome = End(host, admit->request);
        outcome.admitted.push_back(time.Now());
      } else {
        const auto& refuse = std::get<RefuseRequest>(action);
        QuotaOutcome& outcome = End(host, refuse.request);
        ++(refuse.over_limit ? outcome.over_limit : outcome.no_owner);
      }
    }
    ScheduleWakeup(host);
  }

  QuotaOutcome& End(Host& host, std::uint64_t request) {
    const auto ended = host.process->waiting.extract(request);
    QuotaOutcome& outcome = outcomes[ended.mapped().first];
    outcome.longest_wait =
        std::max(outcome.longest_wait, time.Now() - ended.mapped().second);
    return outcome;
  }

  void ScheduleWakeup(Host& host) {
    const auto next = host.process->client.NextWakeup();
    if (!next || *next >= host.process->wakeup_at) return;
    host.process->wakeup_at = *next;
    After(host, *next - time.Now(), [this, &host] { Wake(host); });
  }

  void Wake(Host& host) {
    host.process->wakeup_at = base::TimePoint::max();
    QuotaClient::Actions actions;
    host.process->client.Tick(actions);
    Execute(host, actions);
  }

  const Options options_;
  std::mt19937_64 random_;
  std::vector<LimitSpec> limits_;
  std::map<std::string, Record> records_;
  std::uint64_t next_lease_ = 1;
  std::uint64_t next_request_ = 1;
};

/// Most tokens that the bound permits in a window.
inline double BoundOf(const LimitSpec& limit, const QuotaBounds& bounds = {}) {
  const double window = std::chrono::duration<double>(bounds.window).count();
  return (limit.rate * window + limit.burst) * (1 + bounds.overage) +
         bounds.slack;
}

}  // namespace berylreach::forward
