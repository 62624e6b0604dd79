#include "soak/clients.h"

#include <iterator>

namespace soak {

namespace {

constexpr std::uint64_t kStream = 1'000;
constexpr Ms kReconnectDelay{100};
/// Until a delay of this process is noted.
constexpr Ms kDelayNoted{100};
constexpr std::size_t kItems = 20;
constexpr double kRollbacks = 0.1;
constexpr std::size_t kMaxWrites = 3;
/// Longer than the time-out of every route and than the platform's time to
/// notice that an instance is back.
constexpr std::chrono::seconds kAnswerLimit(6);

/// Few names, so that those of different clients collide.
constexpr std::size_t kNames = 3;
constexpr const char* kValues[] = {
    "1",    "2", "a b", "READ k1", "1 WRITE k1 x", "1\nQUERY zz WRITE k1 x",
    "1\rx",
};
constexpr const char* kShapes[] = {
    "READ q1",      "WRITE q1",           "READ q1 READ k2",
    "READ q1a",     "WRITE q1 READ q1",   "WRITE q1 WRITE k2",
    "WRITE q1a",    "WRITE q1a WRITE cn", "READ q2 READ oggophn",
    "WRITE q1  q2", "READ q1 ",           "WRITE - q1",
};

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
    Caller caller(cluster_, audit_, session.name, session.database.service);
    (void)co_await caller.Start(session.instance->proxy->client_port(),
                                session.database.name);
    while (!cluster_.stopping && caller.connected()) {
      if (audit_ != nullptr && session.random.Chance(mix_.setups)) {
        co_await UseSetup(session, caller);
      } else if (session.random.Chance(mix_.reads)) {
        const std::size_t item = session.random.Index(kItems);
        (void)co_await Ask(session, caller, "READ k" + std::to_string(item));
      } else if (session.random.Chance(mix_.transactions)) {
        co_await WriteTransaction(session, caller);
      } else {
        co_await WriteOnce(session, caller);
      }
      co_await lab::Sleep(
          session.random.Between(mix_.min_pause, mix_.max_pause));
    }
    co_await lab::Sleep(kReconnectDelay);
  }
}

Clients::Access Clients::NextWrite(Session& session) {
  return {"WRITE k" + std::to_string(session.random.Index(kItems)) + " v" +
              std::to_string(++values_),
          true};
}

Clients::Access Clients::NextExecution(Session& session, const Caller& caller) {
  const Texts& prepared = caller.prepared();
  const auto chosen = std::next(
      prepared.begin(),
      static_cast<std::ptrdiff_t>(session.random.Index(prepared.size())));
  Access access{"EXEC " + chosen->first + " k" +
                    std::to_string(session.random.Index(kItems)),
                chosen->second.rfind("WRITE", 0) == 0};
  if (access.writes) access.text += " v" + std::to_string(++values_);
  return access;
}

Clients::Access Clients::NextAccess(Session& session, const Caller& caller) {
  constexpr double kPrepared = 0.4;
  if (!caller.prepared().empty() && session.random.Chance(kPrepared)) {
    return NextExecution(session, caller);
  }
  if (session.random.Chance(mix_.reads)) {
    return {"READ k" + std::to_string(session.random.Index(kItems)), false};
  }
  return NextWrite(session);
}

Task Clients::UseSetup(Session& session, Caller& caller) {
  enum Kind { kSet, kPrepare, kForget, kExecute, kKinds = 8 };
  const std::size_t kind = session.random.Index(kKinds);
  const std::string name = std::to_string(session.random.Index(kNames));
  if (kind >= kExecute) {
    co_await Execute(session, caller);
    co_return;
  }
  std::string text;
  if (kind == kSet) {
    text = "SET v" + name + " " +
           kValues[session.random.Index(std::size(kValues))];
  } else if (kind == kPrepare || !caller.prepared().contains("s" + name)) {
    text = "PREPARE s" + name + " " +
           kShapes[session.random.Index(std::size(kShapes))];
  } else {
    text = "FORGET s" + name;
  }
  const auto reply = co_await Ask(session, caller, text);
  if (!reply.ok()) caller.Close();
}

Task Clients::Execute(Session& session, Caller& caller) {
  if (caller.prepared().empty()) co_return;
  const Access access = NextExecution(session, caller);
  const auto reply = co_await Ask(session, caller, access.text);
  if (!reply.ok() || !access.writes) co_return;
  const std::vector<std::string> writes(1, caller.last_id());
  ledger_.Acknowledge(session.database.service, writes, reply.receipt);
}

Task Clients::WriteOnce(Session& session, Caller& caller) {
  const auto reply = co_await Ask(session, caller, NextWrite(session).text);
  if (!reply.ok()) co_return;
  const std::vector<std::string> writes(1, caller.last_id());
  ledger_.Acknowledge(session.database.service, writes, reply.receipt);
}

Task Clients::WriteTransaction(Session& session, Caller& caller) {
  auto reply = co_await Ask(session, caller, "BEGIN");
  const std::size_t size = 1 + session.random.Index(kMaxWrites);
  std::vector<std::string> writes;
  for (std::size_t n = 0; reply.ok() && n < size; ++n) {
    const Access access =
        audit_ == nullptr ? NextWrite(session) : NextAccess(session, caller);
    reply = co_await Ask(session, caller, access.text);
    if (reply.ok() && access.writes) writes.push_back(caller.last_id());
  }
  const bool commits = reply.ok() && !session.random.Chance(kRollbacks);
  if (caller.connected() && !commits && reply.state != "I") {
    (void)co_await Ask(session, caller, "ROLLBACK");
  }
  if (!commits) co_return;
  reply = co_await Ask(session, caller, "COMMIT");
  if (!reply.ok()) co_return;
  ledger_.Acknowledge(session.database.service, writes, reply.receipt);
}

asio::awaitable<lab::Reply> Clients::Ask(Session& session, Caller& caller,
                                         std::string text) {
  ++statements_;
  session.statement = text;
  session.sent_at = Clock::now();
  session.reported = false;
  lab::Reply reply = co_await caller.Ask(std::move(text));
  ++(reply.ok() ? served_ : failed_);
  if (reply.closed) {
    co_await lab::Sleep(kDelayNoted);
    if (Undisturbed(session, session.sent_at - kAnswerLimit)) {
      ledger_.Violate("ANSWER", caller.last_id() + " " + session.statement +
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
