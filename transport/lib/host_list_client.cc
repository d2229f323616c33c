// Reads the platform's host list and parses it.
#include "berylreach/transport/host_list_client.h"

#include <boost/json.hpp>
#include <charconv>
#include <utility>

#include "client_pool.h"
#include "io_thread_impl.h"

namespace berylreach::transport {
namespace {

namespace json = boost::json;

constexpr unsigned kOk = 200;

/// Whether the Meta of an entry marks it as leaving; nullopt if the entry is
/// invalid.
std::optional<bool> IsLeaving(const json::object& entry) {
  const json::value* meta = entry.if_contains("Meta");
  if (meta == nullptr || !meta->is_object()) return std::nullopt;
  const json::value* state = meta->get_object().if_contains("state");
  if (state == nullptr || !state->is_string()) return std::nullopt;
  return state->get_string() == "leaving";
}

std::optional<model::HostList> ParseHostList(const std::string& body,
                                             std::uint64_t index) {
  boost::system::error_code error;
  const json::value document = json::parse(body, error);
  if (error || !document.is_array()) return std::nullopt;
  model::HostList list;
  list.index = index;
  for (const json::value& item : document.get_array()) {
    const json::object* entry = item.if_object();
    if (entry == nullptr) return std::nullopt;
    const json::value* node = entry->if_contains("Node");
    const auto leaving = IsLeaving(*entry);
    if (node == nullptr || !node->is_string() || !leaving) return std::nullopt;
    if (*leaving)
      list.entries.push_back({std::string(node->get_string()), true});
  }
  return list;
}

}  // namespace

struct HostListClient::Impl : std::enable_shared_from_this<Impl> {
  Impl(IoThread& io_thread, HostListOptions list_options, Callback callback)
      : thread(io_thread),
        options(std::move(list_options)),
        on_result(std::move(callback)),
        pool(std::make_shared<ClientPool>(thread.impl().context,
                                          thread.impl().receive_quota,
                                          options.address)) {}

  void Read() {
    if (closed) return;
    pool->Send(FormatRequest("GET", "/v1/catalog/nodes", options.address, {}),
               options.timeout, false,
               [self = shared_from_this()](const Exchange& exchange) {
                 self->Finish(exchange);
               });
  }

  void Finish(const Exchange& exchange) {
    const auto& response = exchange.response;
    if (exchange.outcome != ExchangeOutcome::kAnswered ||
        response.result_int() != kOk) {
      on_result(std::nullopt);
      return;
    }
    const std::string text(response["X-Consul-Index"]);
    std::uint64_t index = 0;
    std::from_chars(text.data(), text.data() + text.size(), index);
    on_result(ParseHostList(response.body(), index));
  }

  IoThread& thread;
  const HostListOptions options;
  const Callback on_result;
  std::shared_ptr<ClientPool> pool;
  bool closed = false;
};

HostListClient::HostListClient(IoThread& thread, HostListOptions options,
                               Callback on_result)
    : impl_(std::make_shared<Impl>(thread, std::move(options),
                                   std::move(on_result))) {}

HostListClient::~HostListClient() {
  RunAndWait(impl_->thread, [this] {
    impl_->closed = true;
    impl_->pool->Close();
  });
}

void HostListClient::Read() {
  impl_->thread.Post([impl = impl_] { impl->Read(); });
}

}  // namespace berylreach::transport
