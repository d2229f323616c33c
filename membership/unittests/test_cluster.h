// A simulated cluster: hosts, a lossy network and a store with faults.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "test_host.h"
#include "test_store.h"

namespace berylreach::membership {

/// Advances all hosts in steps of 10 ms. After each step it adds to `conflicts`
/// the number of leaves on which two hosts may work, or do work, at the same
/// time.
class TestCluster {
 public:
  explicit TestCluster(int size, std::uint64_t seed = 1)
      : random_(seed), store(random_) {
    for (int i = 0; i < 12; ++i) leaves.push_back({"leaf" + std::to_string(i)});
    for (int i = 0; i < size; ++i) AddHost(i);
  }

  void Run(std::chrono::milliseconds span) {
    for (auto left = span; left.count() > 0; left -= kStep) Step();
  }

  void Start(int number) {
    ApplyEvent(number, [](Membership& m, Actions& out) { m.Start(out); });
  }

  void StartAll() {
    for (std::size_t i = 0; i < hosts.size(); ++i) Start(static_cast<int>(i));
  }

  /// Ends the process of a host and starts another one with a new incarnation.
  void Restart(int number) {
    const double rate = hosts[number]->clock_rate;
    hosts[number] = std::make_unique<TestHost>(number, random_());
    hosts[number]->clock_rate = rate;
    store.DropCalls(number);
    std::erase_if(answers_,
                  [&](const auto& answer) { return answer.host == number; });
    Start(number);
  }

  void Leave(int number) {
    ApplyEvent(number, [](Membership& m, Actions& out) { m.Leave(out); });
  }

  template <typename Event>
  void ApplyEvent(int number, Event event) {
    Actions out;
    event(*hosts[number]->membership, out);
    Execute(number, out);
  }

  Membership& membership(int number) { return *hosts[number]->membership; }
  base::TimePoint now() const { return now_; }

  /// Number of hosts that hold a lease.
  int LeaseHolders() const {
    int count = 0;
    for (const auto& host : hosts)
      count += host->membership->HoldsLease() ? 1 : 0;
    return count;
  }

  /// Number of leaves on which exactly one host may work.
  int ServedLeaves() const {
    int served = 0;
    for (const auto& leaf : leaves) {
      int workers = 0;
      for (const auto& host : hosts) workers += host->MayWork(leaf) ? 1 : 0;
      served += workers == 1 ? 1 : 0;
    }
    return served;
  }

  int Random(int minimum, int maximum) {
    return std::uniform_int_distribution<>(minimum, maximum)(random_);
  }

 private:
  static constexpr std::chrono::milliseconds kStep{10};

  struct SentMessage {
    int from;
    std::uint64_t incarnation;
    int to;
    model::PeerMessage message;
    base::TimePoint at;
  };

  // Declared before `store`, which uses it.
  std::mt19937_64 random_;

 public:
  std::vector<std::unique_ptr<TestHost>> hosts;
  std::vector<model::LeafName> leaves;
  TestStore store;
  /// Probability with which a message between hosts is lost.
  double message_loss = 0;
  int max_delay_ms = 5;
  int conflicts = 0;
  /// Reads of the host list.
  int polls = 0;
  /// Number of recorded events by type.
  std::map<std::string, int> events;
  /// Whether hosts put an announced document in force at once.
  bool adopt_documents = true;

 private:
  void AddHost(int number) {
    hosts.push_back(std::make_unique<TestHost>(number, random_()));
  }

  void Step() {
    now_ += kStep;
    for (auto& host : hosts) {
      host->clock.Advance(
          std::chrono::duration_cast<base::Duration>(kStep * host->clock_rate));
    }
    Deliver();
    for (auto& answer : store.TakeDueAnswers(now_))
      answers_.push_back(std::move(answer));
    DeliverAnswers();
    for (std::size_t i = 0; i < hosts.size(); ++i)
      TickHost(static_cast<int>(i));
    CountConflicts();
  }

  void Deliver() {
    std::vector<SentMessage> due;
    std::erase_if(network_, [&](SentMessage& sent) {
      const TestHost& to = *hosts[sent.to];
      if (sent.at > now_ || (to.suspended && to.alive)) return false;
      due.push_back(std::move(sent));
      return true;
    });
    for (const SentMessage& sent : due) {
      const bool partitioned =
          hosts[sent.from]->partition != hosts[sent.to]->partition;
      if (partitioned || !hosts[sent.to]->alive) continue;
      ApplyEvent(sent.to, [&](Membership& m, Actions& out) {
        m.OnMessage(hosts[sent.from]->name, sent.incarnation, sent.message,
                    out);
      });
    }
  }

  void DeliverAnswers() {
    std::vector<TestStore::Answer> due;
    std::erase_if(answers_, [&](TestStore::Answer& answer) {
      const TestHost& host = *hosts[answer.host];
      if (host.suspended && host.alive) return false;
      due.push_back(std::move(answer));
      return true;
    });
    for (const auto& answer : due) {
      if (!hosts[answer.host]->alive) continue;
      ApplyEvent(answer.host, [&](Membership& m, Actions& out) {
        if (answer.is_write) {
          m.OnHeadCas(answer.id, answer.outcome, answer.revision, out);
        } else {
          m.OnHeadRead(answer.id, answer.outcome, answer.record,
                       answer.revision, out);
        }
      });
    }
  }

  void TickHost(int number) {
    TestHost& host = *hosts[number];
    if (!host.alive || host.suspended) return;
    ApplyEvent(number, [&](Membership& m, Actions& out) {
      if (host.clock.Now() >= m.NextWakeup()) m.Tick(out);
      host.StartWork(leaves[Random(0, 11)],
                     std::chrono::milliseconds(Random(0, 1200)));
      host.ReportHeld(out);
    });
  }

  void CountConflicts() {
    for (const auto& leaf : leaves) {
      int allowed = 0;
      int working = 0;
      for (const auto& host : hosts) {
        allowed += host->MayWork(leaf) ? 1 : 0;
        working += host->IsWorking(leaf) ? 1 : 0;
      }
      if (allowed > 1 || working > 1) ++conflicts;
    }
  }

  // Executing an action may append further actions to `out`.
  void Execute(int number, Actions& out) {
    for (std::size_t i = 0; i < out.size(); ++i) {
      const Action action = out[i];
      ExecuteOne(number, action, out);
    }
  }

  void ExecuteOne(int number, const Action& action, Actions& out) {
    TestHost& host = *hosts[number];
    if (const auto* send = std::get_if<SendTo>(&action)) {
      Send(number, *send);
    } else if (const auto* read = std::get_if<ReadHead>(&action)) {
      store.Read(number, *read, now_);
    } else if (const auto* watch = std::get_if<WatchHead>(&action)) {
      store.Watch(number, *watch, now_);
    } else if (const auto* write = std::get_if<CasHead>(&action)) {
      store.Write(number, *write, now_);
    } else if (std::holds_alternative<PollHostList>(action)) {
      ++polls;
    } else if (std::holds_alternative<HeadChanged>(action)) {
      host.OnHeadChanged(leaves, out);
    } else if (const auto* event = std::get_if<RecordEvent>(&action)) {
      ++events[event->type];
    } else if (const auto* doc = std::get_if<DocumentAnnounced>(&action)) {
      if (adopt_documents) {
        host.membership->SetVersions(Versions{doc->document}, out);
      }
    }
  }

  void Send(int from, const SendTo& send) {
    if (Random(1, 1000) <= message_loss * 1000) return;
    const int to = std::stoi(send.host.value.substr(4));
    const auto delay = std::chrono::milliseconds(Random(0, max_delay_ms));
    network_.push_back(SentMessage{from, hosts[from]->incarnation, to,
                                   send.message, now_ + delay});
  }

  base::TimePoint now_{};
  std::vector<SentMessage> network_;
  std::vector<TestStore::Answer> answers_;
};

}  // namespace berylreach::membership
