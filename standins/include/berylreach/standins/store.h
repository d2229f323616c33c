// Stand-in for the platform's key-value store.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <string>

#include "berylreach/standins/standin.h"

namespace berylreach::standins {

/// Keeps keys in memory. Control fields: "down" (bool: every connection is
/// closed without an answer), "slow_ms", "lose_answers" (the next N writes take
/// effect and are not answered), "stale_reads" (bool: plain reads show each
/// key's value before its last write).
class Store final : public Standin {
 public:
  ~Store() override { Stop(); }

 private:
  struct Entry {
    std::string value;
    std::uint64_t revision = 0;
  };
  /// A key's value with the one before it; revision 0 is absence.
  struct Versions {
    Entry current;
    Entry previous;
  };
  struct Watch {
    transport::HttpToken token;
    std::string key;
    std::uint64_t index = 0;
  };

  void Serve(const transport::HttpRequest& request) override;
  void Control(const transport::HttpRequest& request,
               const boost::json::object& fields) override;
  boost::json::object Counters(const transport::HttpRequest& request) override;
  void OnClientGone(transport::HttpToken token) override;

  void Handle(const transport::HttpRequest& request);
  void Read(const transport::HttpRequest& request, const std::string& key);
  void StartWatch(const transport::HttpRequest& request, const std::string& key,
                  std::uint64_t index);
  void Write(const transport::HttpRequest& request, const std::string& key);
  void ReplyEntry(transport::HttpToken token, const std::string& key,
                  const Entry& entry);
  void EndWatch(transport::HttpToken token);

  std::map<std::string, Versions> entries_;
  std::list<Watch> watches_;
  std::uint64_t revision_ = 0;
  bool down_ = false;
  bool stale_reads_ = false;
  std::int64_t slow_ms_ = 0;
  std::int64_t lose_answers_ = 0;
  std::int64_t reads_ = 0;
  std::int64_t watch_calls_ = 0;
  std::int64_t writes_ = 0;
  std::int64_t conflicts_ = 0;
  std::int64_t refused_ = 0;
};

}  // namespace berylreach::standins
