#include "corianderdock/net/backend_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <utility>

#include "corianderdock/codec.h"
#include "corianderdock/detail/pq_connection.h"
#include "corianderdock/detail/statement_runner.h"

namespace corianderdock::net {

namespace asio = boost::asio;
using detail::PqConnection;
using detail::PqConnectionError;
using detail::PqQuery;
using detail::PqReply;

namespace {

struct Connection {
  Connection(asio::io_context& io, ServerId server)
      : server(std::move(server)), pq(io) {}
  ServerId server;
  PqConnection pq;
  bool open = false;
};
using ConnectionPtr = std::shared_ptr<Connection>;

/// Control connection of one server and the queue of its operations.
struct ControlConnection {
  std::shared_ptr<PqConnection> pq;
  std::deque<RunGroupOperation> queue;
  bool busy = false;
};

/// Returns the SQL of a group operation.
struct OperationSql {
  PqQuery operator()(const StatusOperation&) const {
    return {"SELECT group_status()", {}};
  }
  PqQuery operator()(const FenceOperation& call) const {
    return {"SELECT group_fence($1, $2)",
            {std::to_string(call.term), call.claimant}};
  }
  PqQuery operator()(const PromoteOperation& call) const {
    return {"SELECT group_promote($1, $2)",
            {std::to_string(call.term), call.claimant}};
  }
  PqQuery operator()(const FollowOperation& call) const {
    return {"SELECT group_follow($1, $2)",
            {std::to_string(call.term), call.address}};
  }
};

}  // namespace

/// Shared with running coroutines, which may outlive the client.
struct BackendClient::Impl : std::enable_shared_from_this<Impl> {
  Impl(asio::io_context& io, BackendOptions options, Sink sink)
      : io(io), options(std::move(options)), sink(std::move(sink)) {}

  asio::io_context& io;
  BackendOptions options;
  Sink sink;
  std::map<ConnectionId, ConnectionPtr> connections;
  std::map<ServerId, ControlConnection> control_connections;

  [[nodiscard]] std::string ConnInfo(const std::string& address) const {
    const auto colon = address.rfind(':');
    return "hostaddr='" + address.substr(0, colon) + "' port='" +
           address.substr(colon + 1) + "' user='" + options.user +
           "' dbname='" + options.database + "' application_name='" +
           options.application_name +
           "' sslmode=disable gssencmode=disable tcp_user_timeout=3000";
  }

  asio::awaitable<void> OpenTask(OpenConnection effect, ConnectionPtr it) {
    bool opened = false;
    try {
      co_await it->pq.Connect(ConnInfo(effect.address));
      opened = !it->pq.closed();
    } catch (const PqConnectionError&) {  // NOLINT(bugprone-empty-catch)
    }
    it->open = opened;
    if (!opened) connections.erase(effect.connection);
    sink(ConnectResult{effect.server, effect.connection, opened});
  }

  asio::awaitable<void> RunTask(RunStatement effect, ConnectionPtr it) {
    detail::StatementRunner runner(it->pq, std::move(effect.statement));
    StatementResult result = co_await runner.Run();
    const auto* failure = std::get_if<StatementFailure>(&result);
    const bool broken =
        failure != nullptr && (failure->fault == StatementFault::kLost ||
                               failure->fault == StatementFault::kInDoubt);
    if (broken) connections.erase(effect.connection);
    sink(StatementDone{effect.work, effect.connection, std::move(result)});
  }

  void Erase(ConnectionId id) {
    const auto it = connections.find(id);
    if (it == connections.end()) return;
    it->second->pq.Close();
    connections.erase(it);
  }

  /// Runs the queued operations of a server one after another.
  asio::awaitable<void> RunGroupOperations(ServerId server) {
    ControlConnection& control = control_connections[server];
    control.busy = true;
    while (!control.queue.empty()) {
      const RunGroupOperation call = std::move(control.queue.front());
      control.queue.pop_front();
      GroupOperationResult result{server, call.call, std::nullopt};
      if (!control.pq) control.pq = std::make_shared<PqConnection>(io);
      const auto pq = control.pq;
      asio::steady_timer timer(io, call.timeout);
      timer.async_wait([pq](boost::system::error_code ec) {
        if (!ec) pq->Close();
      });
      try {
        if (!pq->connected()) co_await pq->Connect(ConnInfo(call.address));
        std::vector<PqQuery> batch = {
            std::visit(OperationSql(), call.operation)};
        const auto replies = co_await pq->Run(std::move(batch));
        result.status = ParseStatusReply(replies.at(0));
      } catch (const PqConnectionError&) {
        control.pq.reset();
      }
      timer.cancel();
      sink(std::move(result));
    }
    control.busy = false;
  }

  static std::optional<ServerStatus> ParseStatusReply(const PqReply& reply) {
    if (reply.status != PqReply::Status::kOk || reply.result.rows.empty()) {
      return std::nullopt;
    }
    auto status = ParseServerStatus(reply.result.rows[0].at(0).value_or(""));
    if (!status) return std::nullopt;
    return *status;
  }
};

BackendClient::BackendClient(asio::io_context& io, BackendOptions options,
                             Sink sink)
    : impl_(std::make_shared<Impl>(io, std::move(options), std::move(sink))) {}

BackendClient::~BackendClient() = default;

std::size_t BackendClient::size() const noexcept {
  return impl_->connections.size();
}

void BackendClient::Open(const OpenConnection& effect) {
  auto connection = std::make_shared<Connection>(impl_->io, effect.server);
  impl_->connections[effect.connection] = connection;
  asio::co_spawn(
      impl_->io,
      [impl = impl_, effect, connection]() -> asio::awaitable<void> {
        co_await impl->OpenTask(effect, connection);
      },
      asio::detached);
}

void BackendClient::Close(ConnectionId connection) { impl_->Erase(connection); }

void BackendClient::Run(const RunStatement& effect) {
  const auto it = impl_->connections.find(effect.connection);
  if (it == impl_->connections.end() || !it->second->open) {
    impl_->sink(StatementDone{
        effect.work, effect.connection,
        StatementFailure{StatementFault::kLost, "", "connection is closed"}});
    return;
  }
  asio::co_spawn(
      impl_->io,
      [impl = impl_, effect,
       connection = it->second]() -> asio::awaitable<void> {
        co_await impl->RunTask(effect, connection);
      },
      asio::detached);
}

void BackendClient::RunOperation(const RunGroupOperation& effect) {
  ControlConnection& control = impl_->control_connections[effect.server];
  control.queue.push_back(effect);
  if (control.busy) return;
  asio::co_spawn(
      impl_->io,
      [impl = impl_, server = effect.server]() -> asio::awaitable<void> {
        co_await impl->RunGroupOperations(server);
      },
      asio::detached);
}

}  // namespace corianderdock::net
