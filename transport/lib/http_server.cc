// Listeners and connections of an HttpServer.
#include "berylreach/transport/http_server.h"

#include <utility>

#include "endpoint.h"
#include "http_server_impl.h"
#include "io_thread_impl.h"

namespace berylreach::transport {
namespace {

/// Maximum interval between two searches for connections to close as idle.
constexpr std::chrono::milliseconds kMaxSweepInterval{500};

/// Delay after a failed accept, because a shortage of file descriptors may last
/// for a while.
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};

}  // namespace

HttpServer::Impl::Impl(IoThread& io_thread, HttpServerOptions server_options,
                       HttpHandler& request_handler)
    : thread(io_thread),
      context(io_thread.impl().context),
      options(std::move(server_options)),
      handler(&request_handler),
      // Capacity for one command per request that can be open.
      commands(options.max_connections * options.max_pipelined + 1,
               [this] {
                 asio::post(context, [self = shared_from_this()] {
                   self->ExecuteCommands();
                 });
               }),
      sweep_timer_(context) {}

std::optional<BindError> HttpServer::Impl::Bind() {
  for (const std::string& address : options.addresses)
    if (auto error = Listen(address)) return error;
  return std::nullopt;
}

std::optional<BindError> HttpServer::Impl::Listen(const std::string& address) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) return BindError{address, "not an IP address and port"};
  tcp::acceptor acceptor(context);
  ErrorCode error;
  acceptor.open(endpoint->protocol(), error);
  if (!error) acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.bind(*endpoint, error);
  if (!error) acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) return BindError{address, error.message()};
  addresses.push_back(ToString(acceptor.local_endpoint()));
  acceptors.push_back(std::move(acceptor));
  return std::nullopt;
}

void HttpServer::Impl::Start() {
  for (std::size_t i = 0; i < acceptors.size(); ++i) Accept(i);
  Sweep();
}

void HttpServer::Impl::Accept(std::size_t listener) {
  acceptors[listener].async_accept(
      [self = shared_from_this(), listener](const ErrorCode& error,
                                            tcp::socket socket) {
        if (self->stopping) return;
        if (error) {
          self->RetryAcceptLater(listener);
          return;
        }
        self->OnAccept(listener, std::move(socket));
        self->Accept(listener);
      });
}

void HttpServer::Impl::RetryAcceptLater(std::size_t listener) {
  const auto timer =
      std::make_shared<asio::steady_timer>(context, kAcceptRetryDelay);
  timer->async_wait(
      [self = shared_from_this(), listener, timer](const ErrorCode&) {
        if (!self->stopping) self->Accept(listener);
      });
}

void HttpServer::Impl::OnAccept(std::size_t listener, tcp::socket socket) {
  const std::uint64_t id = next_connection++;
  auto connection =
      std::make_shared<HttpConnection>(*this, std::move(socket), id, listener);
  connections.emplace(id, connection);
  ++open_connections;
  if (connections.size() > options.max_connections) {
    connection->Refuse();
  } else {
    connection->Start();
  }
}

void HttpServer::Impl::Sweep() {
  sweep_timer_.expires_after(
      std::min(options.idle_timeout / 4, kMaxSweepInterval));
  sweep_timer_.async_wait([self = shared_from_this()](const ErrorCode& error) {
    if (error) return;
    const auto now = std::chrono::steady_clock::now();
    const auto open = self->connections;
    for (const auto& [id, connection] : open) connection->CloseIfStale(now);
    self->Sweep();
  });
}

void HttpServer::Impl::ExecuteCommands() {
  for (Command& command : commands.Drain()) {
    const auto found = connections.find(command.token.connection);
    if (found == connections.end()) continue;
    const auto connection = found->second;
    if (command.response) {
      connection->Respond(command.token.request, std::move(*command.response));
    } else {
      connection->Close();
    }
  }
}

void HttpServer::Impl::StopAccepting() {
  stopping = true;
  ErrorCode ignored;
  for (tcp::acceptor& acceptor : acceptors) acceptor.close(ignored);
}

void HttpServer::Impl::CloseIdle() {
  const auto open = connections;
  for (const auto& [id, connection] : open)
    if (connection->IsIdle()) connection->Close();
}

void HttpServer::Impl::Close() {
  handler = nullptr;
  StopAccepting();
  sweep_timer_.cancel();
  const auto open = connections;
  for (const auto& [id, connection] : open) connection->Close();
}

void HttpServer::Impl::RemoveConnection(std::uint64_t connection) {
  connections.erase(connection);
  --open_connections;
}

BindResult<std::unique_ptr<HttpServer>> HttpServer::Open(
    IoThread& thread, HttpServerOptions options, HttpHandler& handler) {
  auto impl = std::make_shared<Impl>(thread, std::move(options), handler);
  if (auto error = impl->Bind()) return *error;
  RunAndWait(thread, [&] { impl->Start(); });
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

HttpServer::HttpServer(std::shared_ptr<Impl> impl) : impl_(std::move(impl)) {}

HttpServer::~HttpServer() {
  RunAndWait(impl_->thread, [this] { impl_->Close(); });
}

const std::vector<std::string>& HttpServer::addresses() const {
  return impl_->addresses;
}

void HttpServer::Respond(HttpToken token, HttpResponse response) {
  impl_->commands.TryPush({token, std::move(response)});
}

void HttpServer::Abort(HttpToken token) {
  impl_->commands.TryPush({token, std::nullopt});
}

void HttpServer::StopAccepting() {
  impl_->thread.Post([impl = impl_] { impl->StopAccepting(); });
}

void HttpServer::CloseIdle() {
  impl_->thread.Post([impl = impl_] { impl->CloseIdle(); });
}

std::size_t HttpServer::open_requests() const { return impl_->open_requests; }

std::size_t HttpServer::open_connections() const {
  return impl_->open_connections;
}

void HttpServer::RunAfter(std::chrono::microseconds delay,
                          std::function<void()> task) {
  impl_->thread.Post([impl = impl_, delay, task = std::move(task)] {
    auto timer = std::make_shared<asio::steady_timer>(impl->context, delay);
    timer->async_wait([impl, timer, task](const ErrorCode& error) {
      if (!error && impl->handler != nullptr) task();
    });
  });
}

}  // namespace berylreach::transport
