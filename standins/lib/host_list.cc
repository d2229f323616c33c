// HTTP stand-in for the platform's host list.
#include "berylreach/standins/host_list.h"

#include <boost/json.hpp>
#include <chrono>

namespace berylreach::standins {

namespace json = boost::json;

void HostList::Serve(const transport::HttpRequest& request) {
  if (down_) {
    ++refused_;
    server().Abort(request.token);
    return;
  }
  if (request.target != "/v1/catalog/nodes") {
    Reply(request.token, 404, nullptr);
    return;
  }
  ++reads_;
  Reply(request.token, 200, published_,
        {{"X-Consul-Index", std::to_string(index_)}});
}

void HostList::Control(const transport::HttpRequest& /*request*/,
                       const json::object& fields) {
  Assign(fields, "down", down_);
  Assign(fields, "lag_ms", lag_ms_);
  const json::value* entries = fields.if_contains("entries");
  const json::value* states = fields.if_contains("states");
  if (entries != nullptr && entries->is_array())
    entries_ = entries->get_array();
  if (states != nullptr && states->is_object()) {
    for (const auto& [node, state] : states->get_object())
      if (state.is_string())
        SetState(std::string(node), std::string(state.get_string()));
  }
  if (entries == nullptr && states == nullptr) return;
  if (lag_ms_ == 0) {
    Publish(entries_);
    return;
  }
  server().RunAfter(std::chrono::milliseconds(lag_ms_),
                    [this, changed = entries_] { Publish(changed); });
}

void HostList::SetState(const std::string& node, const std::string& state) {
  for (json::value& entry : entries_) {
    if (entry.at("Node") == json::value(node)) {
      entry.at("Meta").as_object()["state"] = state;
      return;
    }
  }
  entries_.push_back({{"Node", node},
                      {"Address", ""},
                      {"Datacenter", ""},
                      {"Meta", {{"kind", "upstream"}, {"state", state}}}});
}

void HostList::Publish(const json::array& entries) {
  published_ = entries;
  ++index_;
}

json::object HostList::Counters(const transport::HttpRequest& /*request*/) {
  return {
      {"reads", reads_}, {"refused_while_down", refused_}, {"index", index_}};
}

}  // namespace berylreach::standins
