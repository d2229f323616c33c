// Sends requests to the key-value store over pooled connections.
#include "berylreach/transport/store_client.h"

#include <utility>

#include "berylreach/base/channel.h"
#include "client_pool.h"
#include "io_thread_impl.h"
#include "store_codec.h"

namespace berylreach::transport {

struct StoreClient::Impl : std::enable_shared_from_this<Impl> {
  Impl(IoThread& io_thread, StoreOptions store_options, Callback callback)
      : thread(io_thread),
        options(std::move(store_options)),
        on_result(std::move(callback)),
        pool(std::make_shared<ClientPool>(thread.impl().context,
                                          thread.impl().receive_quota,
                                          options.address)),
        requests(options.channel_capacity, [this] {
          thread.Post([self = shared_from_this()] { self->TakeRequests(); });
        }) {}

  void TakeRequests() {
    if (closed) return;
    for (model::StoreRequest& request : requests.Drain())
      Start(std::move(request));
  }

  void Start(model::StoreRequest request) {
    const bool watch = request.operation == model::StoreOperation::kWatch;
    const auto timeout =
        watch ? request.max_wait + options.watch_margin : options.call_timeout;
    std::string bytes = FormatStoreRequest(request, options.address);
    pool->Send(std::move(bytes), timeout, watch,
               [self = shared_from_this(), request = std::move(request)](
                   Exchange exchange) { self->Finish(request, exchange); });
  }

  void Finish(const model::StoreRequest& request, const Exchange& exchange) {
    model::StoreResult result;
    result.id = request.id;
    if (exchange.outcome == ExchangeOutcome::kAnswered) {
      const auto& response = exchange.response;
      result = ParseStoreAnswer(
          request, static_cast<int>(response.result_int()),
          std::string(response["X-Consul-Index"]), response.body());
    }
    on_result(std::move(result));
  }

  void Close() {
    closed = true;
    pool->Close();
  }

  IoThread& thread;
  const StoreOptions options;
  const Callback on_result;
  std::shared_ptr<ClientPool> pool;
  base::Channel<model::StoreRequest> requests;
  bool closed = false;
};

StoreClient::StoreClient(IoThread& thread, StoreOptions options,
                         Callback on_result)
    : impl_(std::make_shared<Impl>(thread, std::move(options),
                                   std::move(on_result))) {}

StoreClient::~StoreClient() {
  RunAndWait(impl_->thread, [this] { impl_->Close(); });
}

bool StoreClient::Send(model::StoreRequest request) {
  return impl_->requests.TryPush(std::move(request));
}

}  // namespace berylreach::transport
