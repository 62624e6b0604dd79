#include "soak/clients.h"

namespace soak {

namespace {

constexpr std::uint64_t kStream = 1'000;
constexpr Ms kMinPause{10};
constexpr Ms kMaxPause{90};
constexpr Ms kReconnectDelay{100};
/// Until a delay of this process is noted.
constexpr Ms kDelayNoted{100};
constexpr std::size_t kItems = 20;
constexpr double kTransactions = 0.25;
constexpr double kReads = 0.15;
constexpr double kRollbacks = 0.1;
constexpr std::size_t kMaxWrites = 3;
/// Longer than the time-out of every route and than the platform's time to
/// notice that an instance is back.
constexpr std::chrono::seconds kAnswerLimit(6);

}  // namespace

void Clients::Start(Instance& instance, const Database& database) {
  const std::size_t n = sessions_.size();
  Session& session = sessions_.emplace_back(
      Session{&instance, database, "c" + std::to_string(n),
              Random(seed_, kStream + n), "", Clock::now(), false});
  asio::co_spawn(cluster_.io, Run(session), asio::detached);
}

Task Clients::Run(Session& session) {
  while (!cluster_.stopping) {
    lab::Client client(cluster_.io, cluster_.record, session.name);
    (void)co_await client.Start(session.instance->proxy->client_port(),
                                session.database.name);
    while (!cluster_.stopping && client.connected()) {
      if (session.random.Chance(kReads)) {
        const std::size_t item = session.random.Index(kItems);
        (void)co_await Ask(session, client, "READ k" + std::to_string(item));
      } else if (session.random.Chance(kTransactions)) {
        co_await WriteTransaction(session, client);
      } else {
        co_await WriteOnce(session, client);
      }
      co_await lab::Sleep(session.random.Between(kMinPause, kMaxPause));
    }
    co_await lab::Sleep(kReconnectDelay);
  }
}

Task Clients::WriteOnce(Session& session, lab::Client& client) {
  const std::string text = "WRITE k" +
                           std::to_string(session.random.Index(kItems)) + " v" +
                           std::to_string(++values_);
  const auto reply = co_await Ask(session, client, text);
  if (!reply.ok()) co_return;
  const std::vector<std::string> writes(1, client.last_id());
  ledger_.Acknowledge(session.database.service, writes, reply.receipt);
}

Task Clients::WriteTransaction(Session& session, lab::Client& client) {
  auto reply = co_await Ask(session, client, "BEGIN");
  const std::size_t size = 1 + session.random.Index(kMaxWrites);
  std::vector<std::string> writes;
  while (reply.ok() && writes.size() < size) {
    reply =
        co_await Ask(session, client,
                     "WRITE k" + std::to_string(session.random.Index(kItems)) +
                         " v" + std::to_string(++values_));
    if (reply.ok()) writes.push_back(client.last_id());
  }
  const bool commits = reply.ok() && !session.random.Chance(kRollbacks);
  if (client.connected() && !commits && reply.state != "I") {
    (void)co_await Ask(session, client, "ROLLBACK");
  }
  if (!commits) co_return;
  reply = co_await Ask(session, client, "COMMIT");
  if (!reply.ok()) co_return;
  ledger_.Acknowledge(session.database.service, writes, reply.receipt);
}

asio::awaitable<lab::Reply> Clients::Ask(Session& session, lab::Client& client,
                                         std::string text) {
  ++statements_;
  session.statement = text;
  session.sent_at = Clock::now();
  session.reported = false;
  lab::Reply reply = co_await client.Query(std::move(text));
  if (reply.closed) {
    co_await lab::Sleep(kDelayNoted);
    if (Undisturbed(session, session.sent_at - kAnswerLimit)) {
      ledger_.Violate("ANSWER", client.last_id() + " " + session.statement +
                                    " at " + session.instance->proxy->name() +
                                    ": connection closed without an answer");
    }
  }
  session.statement.clear();
  co_return reply;
}

Task Clients::Watch() {
  constexpr Ms kInterval{200};
  while (!cluster_.stopping) {
    const auto before = Clock::now() - kAnswerLimit;
    for (Session& it : sessions_) {
      if (it.statement.empty() || it.reported || it.sent_at > before) continue;
      if (!Undisturbed(it, before)) continue;
      it.reported = true;
      ledger_.Violate("ANSWER", it.name + " " + it.statement + " at " +
                                    it.instance->proxy->name() + ": no answer");
    }
    co_await lab::Sleep(kInterval);
  }
}

}  // namespace soak
