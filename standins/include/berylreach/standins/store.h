// HTTP stand-in for the platform's key-value store.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <string>

#include "berylreach/standins/standin.h"

namespace berylreach::standins {

/// Implements the operations of the Consul KV API that the store client uses,
/// and keeps all keys in memory.
///
/// Control fields:
/// - "down" (bool): closes connections without a response, those of waiting
///   watches included.
/// - "slow_ms": delay before each request is handled.
/// - "lose_answers": number of the next writes that are carried out but get no
///   response.
/// - "stale_reads" (bool): reads other than watches return the value before the
///   last write of the key.
class Store final : public Standin {
 public:
  ~Store() override { Stop(); }

 private:
  struct Entry {
    std::string value;
    std::uint64_t revision = 0;
  };
  /// The value of a key and the one before its last write. Revision 0 means
  /// that the key did not exist.
  struct Versions {
    Entry current;
    Entry previous;
  };
  /// A read that waits until `key` has a revision other than `index`.
  struct Watch {
    transport::HttpToken token;
    std::string key;
    std::uint64_t index = 0;
  };

  void Serve(const transport::HttpRequest& request) override;
  void Control(const transport::HttpRequest& request,
               const boost::json::object& fields) override;
  boost::json::object Counters(const transport::HttpRequest& request) override;
  void OnClientDisconnected(transport::HttpToken token) override;

  void Handle(const transport::HttpRequest& request);
  void Read(const transport::HttpRequest& request, const std::string& key);
  void StartWatch(const transport::HttpRequest& request, const std::string& key,
                  std::uint64_t index);
  void Write(const transport::HttpRequest& request, const std::string& key);
  void ReplyEntry(transport::HttpToken token, const std::string& key,
                  const Entry& entry);
  /// Answers a watch with the current value, if it still waits.
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
