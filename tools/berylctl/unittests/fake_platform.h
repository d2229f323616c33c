// A fake HTTP client that answers in place of the store and the hosts, with
// injected faults.
#pragma once

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "berylreach/berylctl/http_client.h"

namespace berylreach::berylctl {

/// Answers store requests from values in memory, and requests to hosts with
/// fixed responses.
class FakePlatform final : public HttpClient {
 public:
  static constexpr const char* kStoreAddress = "127.0.0.1:8500";

  /// Value and revision of a key.
  struct StoredValue {
    std::string value;
    std::uint64_t revision = 0;
  };

  std::vector<HttpResult> SendAll(
      const std::vector<HttpRequest>& requests) override {
    std::vector<HttpResult> results;
    for (const HttpRequest& request : requests)
      results.push_back(Respond(request));
    return results;
  }

  void Put(const std::string& key, std::string value) {
    stored_values[key] = {std::move(value), ++last_revision};
  }

  std::map<std::string, StoredValue> stored_values;
  std::uint64_t last_revision = 0;
  /// Whether the store is down and gives no responses.
  bool store_down = false;
  /// Runs once, before the next write of a key that ends in "/head".
  std::function<void()> before_head_write;
  /// Runs once, after the next write of such a key.
  std::function<void()> after_head_write;
  /// Number of head writes that are applied, but whose responses are lost.
  int lost_responses = 0;
  /// Number of head writes that are lost before they are applied.
  int lost_writes = 0;
  /// Number of head writes so far, lost ones included.
  int head_writes = 0;
  /// Response bodies by address and target; a host without one gives no
  /// response.
  std::map<std::pair<std::string, std::string>, std::string> host_responses;
  /// Runs before each call to a host.
  std::function<void()> before_host_call;

 private:
  HttpResult Respond(const HttpRequest& request) {
    if (request.address != kStoreAddress) return CallHost(request);
    if (store_down) return std::nullopt;
    const std::string path = request.target.substr(7);
    if (request.method == "GET") return Read(path);
    return Swap(path.substr(0, path.find('?')), request.body,
                std::stoull(path.substr(path.find('=') + 1)));
  }

  std::optional<HttpResponse> CallHost(const HttpRequest& request) {
    if (before_host_call) before_host_call();
    const auto found = host_responses.find({request.address, request.target});
    if (found == host_responses.end()) return std::nullopt;
    return HttpResponse{200, found->second};
  }

  HttpResponse Read(const std::string& key) const {
    const auto found = stored_values.find(key);
    if (found == stored_values.end()) return {404, ""};
    return {200, "[{\"Key\":\"" + key + "\",\"Value\":\"" +
                     Encode(found->second.value) + "\",\"ModifyIndex\":" +
                     std::to_string(found->second.revision) + "}]"};
  }

  std::optional<HttpResponse> Swap(const std::string& key,
                                   const std::string& value,
                                   std::uint64_t revision) {
    const bool is_head = key.substr(key.find('/')) == "/head";
    if (is_head) {
      ++head_writes;
      if (before_head_write) std::exchange(before_head_write, nullptr)();
      if (lost_writes > 0 && lost_writes-- > 0) return std::nullopt;
    }
    const auto found = stored_values.find(key);
    const bool matches =
        (found == stored_values.end() ? 0 : found->second.revision) == revision;
    if (matches) Put(key, value);
    if (!is_head) return HttpResponse{200, matches ? "true" : "false"};
    if (after_head_write) std::exchange(after_head_write, nullptr)();
    if (lost_responses > 0 && lost_responses-- > 0) return std::nullopt;
    return HttpResponse{200, matches ? "true" : "false"};
  }

  static std::string Encode(const std::string& bytes) {
    using boost::archive::iterators::base64_from_binary;
    using boost::archive::iterators::transform_width;
    using Encoder =
        base64_from_binary<transform_width<std::string::const_iterator, 6, 8>>;
    std::string text(Encoder(bytes.begin()), Encoder(bytes.end()));
    text.append((3 - bytes.size() % 3) % 3, '=');
    return text;
  }
};

}  // namespace berylreach::berylctl
