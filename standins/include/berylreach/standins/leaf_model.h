// The state of one leaf stand-in.
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

/// Runs calls in slots with a backlog of the same size. Used on the server's
/// thread only.
class LeafModel {
 public:
  /// `incarnation` must differ between processes.
  LeafModel(transport::HttpServer& server, LeafOptions options,
            std::uint64_t incarnation);

  void Serve(const transport::HttpRequest& request);
  /// Control fields besides those of LeafBehaviour: "holdings" (list of
  /// version, shard, shard_count), "silent" (true: connections that are older
  /// than the one of this request are never answered again; false: they are),
  /// "restart" (true: running calls are cut off, the incarnation changes),
  /// "reset" (true: counters start again).
  void Control(const transport::HttpRequest& request,
               const boost::json::object& fields);
  boost::json::object Counters() const;
  void OnClientGone(transport::HttpToken token);

 private:
  struct Call {
    transport::HttpToken token;
    model::UpstreamCall request;
  };

  void ServeCall(const transport::HttpRequest& request);
  void ServeCancel(const transport::HttpRequest& request);
  void ServeStatus(const transport::HttpRequest& request);
  void Admit(Call call);
  /// True if the call was refused.
  bool Refuse(const Call& call);
  void StartWaiting();
  void Run(Call call);
  void Finish(std::uint64_t run, bool in_time);
  void Answer(const Call& call);
  void ReplyError(const Call& call, int status, const std::string& error,
                  bool not_run);
  void ReplyVersionGone(const Call& call);
  void Reply(transport::HttpToken token, int status, std::string body);
  const model::Holding* FindHolding(const Call& call) const;
  std::chrono::microseconds DrawServiceTime();

  transport::HttpServer& server_;
  const LeafOptions options_;
  std::uint64_t incarnation_;
  LeafBehaviour behaviour_;
  LeafCounters counters_;
  std::vector<model::Holding> holdings_;
  std::map<std::uint64_t, Call> running_;
  std::deque<Call> backlog_;
  std::uint64_t next_run_ = 1;
  /// Connections with lower numbers are silent.
  std::uint64_t silent_before_ = 0;
  std::mt19937_64 random_;
};

}  // namespace berylreach::standins
