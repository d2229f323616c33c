// Passes calls from other threads to the leaf pools on the upstream thread.
#include "berylreach/transport/upstream_client.h"

#include <unordered_map>
#include <utility>
#include <variant>

#include "berylreach/base/channel.h"
#include "io_thread_impl.h"
#include "leaf_pool.h"

namespace berylreach::transport {

struct UpstreamClient::Impl : std::enable_shared_from_this<Impl> {
  /// A call to send, or the id of a call to cancel.
  using Command = std::variant<model::UpstreamCall, model::CallId>;
  using PoolPtr = std::shared_ptr<LeafPool>;

  Impl(IoThread& io_thread, const base::Clock& host_clock,
       UpstreamOptions upstream_options, UpstreamHandler& result_handler)
      : thread(io_thread),
        clock(host_clock),
        options(upstream_options),
        handler(result_handler),
        commands(options.channel_capacity, [this] {
          thread.Post([self = shared_from_this()] { self->ExecuteCommands(); });
        }) {}

  void ExecuteCommands() {
    if (closed) return;
    for (Command& command : commands.Drain()) {
      if (auto* call = std::get_if<model::UpstreamCall>(&command)) {
        Submit(std::move(*call));
      } else {
        Cancel(std::get<model::CallId>(command));
      }
    }
  }

  void Submit(model::UpstreamCall call) {
    const PoolPtr pool = PoolOf(call.leaf);
    calls[call.id] = pool;
    pool->Submit(std::move(call));
  }

  void Cancel(const model::CallId& id) {
    const auto found = calls.find(id);
    if (found == calls.end()) return;
    const PoolPtr pool = found->second;
    pool->Cancel(id);
  }

  PoolPtr PoolOf(const model::LeafName& leaf) {
    PoolPtr& pool = pools[leaf];
    if (!pool) pool = std::make_shared<LeafPool>(PoolContext(), leaf);
    return pool;
  }

  LeafPool::Context PoolContext() {
    // Close closes the pools, which then make no further callbacks, so the
    // callbacks need not keep this object alive.
    return {thread.impl().context,
            thread.impl().receive_quota,
            clock,
            options,
            [this](const model::ServiceName& service) {
              const auto found = silence_thresholds.find(service);
              return found == silence_thresholds.end()
                         ? options.silence_threshold
                         : found->second;
            },
            [this](model::UpstreamResult result) {
              calls.erase(result.id);
              handler.OnResult(std::move(result));
            },
            [this](model::LeafStatus status) {
              handler.OnStatus(std::move(status));
            }};
  }

  void SetOwnedLeaves(const std::vector<OwnedLeaf>& leaves) {
    if (closed) return;
    std::unordered_map<model::LeafName, PoolPtr> kept;
    for (const OwnedLeaf& leaf : leaves) {
      const PoolPtr pool = PoolOf(leaf.leaf);
      pool->SetAddress(leaf.address, leaf.max_connections);
      pool->Own();
      kept[leaf.leaf] = pool;
    }
    for (const auto& [leaf, pool] : pools) {
      if (kept.count(leaf) != 0) continue;
      pool->Release();
      if (pool->IsIdle()) {
        pool->Close();
      } else {
        kept[leaf] = pool;
      }
    }
    pools.swap(kept);
  }

  void Close() {
    closed = true;
    for (const auto& [leaf, pool] : pools) pool->Close();
    pools.clear();
    calls.clear();
  }

  IoThread& thread;
  const base::Clock& clock;
  const UpstreamOptions options;
  UpstreamHandler& handler;
  base::Channel<Command> commands;
  std::unordered_map<model::LeafName, PoolPtr> pools;
  /// Pools of the calls that have no result yet.
  std::unordered_map<model::CallId, PoolPtr> calls;
  std::unordered_map<model::ServiceName, std::chrono::milliseconds>
      silence_thresholds;
  bool closed = false;
};

UpstreamClient::UpstreamClient(IoThread& thread, const base::Clock& clock,
                               UpstreamOptions options,
                               UpstreamHandler& handler)
    : impl_(std::make_shared<Impl>(thread, clock, options, handler)) {}

UpstreamClient::~UpstreamClient() {
  RunAndWait(impl_->thread, [this] { impl_->Close(); });
}

bool UpstreamClient::Send(model::UpstreamCall call, base::Wakeup wakeup) {
  return impl_->commands.TryPush(std::move(call), wakeup);
}

void UpstreamClient::Flush() { impl_->commands.Flush(); }

void UpstreamClient::Cancel(model::CallId id) { impl_->commands.TryPush(id); }

void UpstreamClient::SetOwnedLeaves(std::vector<OwnedLeaf> leaves) {
  impl_->thread.Post([impl = impl_, leaves = std::move(leaves)] {
    impl->SetOwnedLeaves(leaves);
  });
}

void UpstreamClient::SetSilenceThreshold(model::ServiceName service,
                                         std::chrono::milliseconds threshold) {
  impl_->thread.Post([impl = impl_, service = std::move(service), threshold] {
    impl->silence_thresholds[service] = threshold;
  });
}

}  // namespace berylreach::transport
