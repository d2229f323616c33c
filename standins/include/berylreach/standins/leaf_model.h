// The state of one leaf stand-in: running calls, queued calls and faults.
#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "berylreach/model/holding.h"
#include "berylreach/model/upstream_call.h"
#include "berylreach/standins/leaf_behaviour.h"
#include "berylreach/standins/leaf_counters.h"
#include "berylreach/standins/leaf_options.h"
#include "berylreach/transport/http_server.h"

namespace berylreach::standins {

/// Runs up to LeafOptions::slots calls at a time, queues as many more, and
/// refuses all others with status 503. Must be used on the server's thread
/// only.
class LeafModel {
 public:
  /// `incarnation` must differ between processes and between leaves.
  LeafModel(transport::HttpServer& server, LeafOptions options,
            std::uint64_t incarnation);

  void Serve(const transport::HttpRequest& request);
  /// Applies a control request. Fields besides those of LeafBehaviour:
  /// - "holdings" (array of objects with "version", "shard" and "shard_count"):
  ///   the shards that the leaf holds.
  /// - "silent" (bool): if true, requests on connections opened before that of
  ///   this control request get no response; false ends this.
  /// - "reset" (true): sets all counters to zero.
  /// - "restart" (true): aborts running and queued calls and changes the
  ///   incarnation, as a restart of the process does.
  void Control(const transport::HttpRequest& request,
               const boost::json::object& fields);
  boost::json::object Counters() const;
  /// Drops the queued call of the request `token`; a running call continues.
  void OnClientDisconnected(transport::HttpToken token);

 private:
  struct Call {
    transport::HttpToken token;
    model::UpstreamCall request;
  };

  void ServeCall(const transport::HttpRequest& request);
  void ServeCancel(const transport::HttpRequest& request);
  void ServeStatus(const transport::HttpRequest& request);
  /// Runs or queues the call, or refuses it if the leaf is full or cold.
  void Admit(Call call);
  /// Refuses the call if it is past its deadline, if the leaf sheds load or
  /// drains, or if the leaf does not hold the requested version of the shard.
  /// True if the call was refused.
  bool RefuseIfNeeded(const Call& call);
  /// Moves calls from the backlog to free slots.
  void StartQueued();
  void Run(Call call);
  /// Ends a run with the result of the call, or with an error if the call did
  /// not complete before its deadline.
  void Finish(std::uint64_t run, bool in_time);
  /// Sends the result of a call that completed.
  void Answer(const Call& call);
  void ReplyError(const Call& call, int status, const std::string& error,
                  bool not_run);
  void ReplyVersionGone(const Call& call);
  void Reply(transport::HttpToken token, int status, std::string body);
  /// The holding of the shard and version that `call` asks for, or that of the
  /// shard's highest version if the call names no version. Null if the leaf has
  /// no such holding.
  const model::Holding* FindHolding(const Call& call) const;
  std::chrono::microseconds DrawServiceTime();

  transport::HttpServer& server_;
  const LeafOptions options_;
  std::uint64_t incarnation_;
  LeafBehaviour behaviour_;
  LeafCounters counters_;
  std::vector<model::Holding> holdings_;
  /// Running calls, each under the number that its run received at its start.
  std::map<std::uint64_t, Call> running_;
  std::deque<Call> backlog_;
  std::uint64_t next_run_ = 1;
  /// Requests on connections with lower numbers get no response.
  std::uint64_t silent_before_ = 0;
  std::mt19937_64 random_;
};

}  // namespace berylreach::standins
