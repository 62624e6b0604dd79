/// \file
/// Drives one session proxy step by step and records its effects.
#pragma once

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "corianderdock/session/proxy.h"

namespace corianderdock::test {

using session::AnswerSession;
using session::ErrorCode;
using session::Freshness;
using session::Reply;
using session::SendCommand;
using session::Statement;
using session::TransactionState;
using session::Verb;

constexpr Milliseconds kMaxAge{1000};
/// An index that logs don't reach unless a test says so.
constexpr std::uint64_t kCompleteLog = 1'000'000;

/// A proxy and one service with the primary "a" and the replicas "b" and "c".
class ProxyDriver {
 public:
  explicit ProxyDriver(session::ProxyOptions options = {},
                       const InstanceId& self = "self",
                       bool members_read = true,
                       const std::vector<std::string>& listed = {"a", "b", "c"})
      : proxy({self, "zone"}, options) {
    auto config = std::make_shared<session::RoutingConfig>();
    config->version = 1;
    config->transaction_idle_timeout = std::chrono::seconds(3);
    config->services["books"] = {16, 1};
    AddRoute(*config, "claims", Freshness::kPrimary);
    AddRoute(*config, "lookups", Freshness::kBoundedStaleness);
    AddRoute(*config, "updates", Freshness::kReadYourWrites);
    Feed(session::ConfigRead{config});
    Feed(session::InstancesRead{{{self, {"zone", ""}}}});
    if (members_read) Feed(session::MembersRead{{}, true});
    ListServers(listed);
    if (members_read) RecordMembers({"a", "b", "c"});
    AdvanceTime(Milliseconds(30));
    CompleteConnects();
  }

  /// Feeds a member record of the servers, as another instance wrote it.
  void RecordMembers(const std::vector<std::string>& ids) {
    session::MemberRecord record;
    record.revision = ++member_revision;
    for (const auto& id : ids) record.servers[id] = EntryOf(id);
    stored_members["books"] = record;
    Feed(session::MembersRead{{{"books", record}}, false});
  }

  [[nodiscard]] session::ServerEntry EntryOf(const ServerId& id) const {
    session::ServerEntry entry;
    entry.id = id;
    entry.service = "books";
    entry.address = addresses.contains(id) ? addresses.at(id) : id;
    entry.zone = "zone";
    entry.slots = 2;
    return entry;
  }

  static void AddRoute(session::RoutingConfig& config, const char* name,
                       Freshness freshness) {
    auto route = std::make_shared<session::Route>();
    route->database = name;
    route->service = "books";
    route->freshness = freshness;
    route->timeout = Milliseconds(800);
    route->latency_objective = Milliseconds(400);
    route->max_age = kMaxAge;
    config.routes[name] = route;
  }

  void ListServers(const std::vector<std::string>& ids,
                   const ZoneId& zone = "zone", const ServerId& draining = {}) {
    session::ServersRead read;
    read.complete = true;
    for (const auto& id : ids) {
      session::ServerEntry entry = EntryOf(id);
      entry.zone = zone;
      entry.claims_primary = id == "a";
      entry.draining = id == draining;
      read.servers[id] = entry;
      if (!not_renewed.contains(id)) read.renewed.insert(id);
    }
    Feed(read);
  }

  void Feed(const session::Event& event) {
    for (auto& effect : proxy.Reduce(now, event)) Apply(std::move(effect));
    while (AnswerStatusQuery() || AnswerContact()) {
    }
  }

  /// Answers a transaction without statements at a server in
  /// `answers_contacts`. Returns false if there is none.
  bool AnswerContact() {
    const auto next =
        std::find_if(contacts.begin(), contacts.end(), [this](auto id) {
          return answers_contacts.contains(ServerOf(id)) && IsNext(id, true);
        });
    if (next == contacts.end()) return false;
    const ConnectionId id = *next;
    contacts.erase(next);
    ++unanswered[id];  // until its end is answered
    for (const Verb verb : {Verb::kBeginRead, Verb::kRollback}) {
      SendCommand command{id, {}};
      command.command.statement.verb = verb;
      if (verb == Verb::kRollback) --unanswered[id];
      Feed(session::ServerReplied{id, Run(command, {1, contact_index})});
    }
    return true;
  }

  /// Answers a query of a server in `answers_status` as an unfenced member of
  /// term 1 with a log up to `status_index`, led by "a". Returns false if there
  /// is none.
  bool AnswerStatusQuery() {
    std::erase_if(status_queries, [this](const SendCommand& it) {
      return !server_of.contains(it.connection);
    });
    const auto next = std::find_if(
        status_queries.begin(), status_queries.end(), [this](const auto& it) {
          return answers_status.contains(ServerOf(it.connection)) &&
                 IsNext(it.connection, false);
        });
    if (next == status_queries.end()) return false;
    const SendCommand query = *next;
    status_queries.erase(next);
    const bool leads = ServerOf(query.connection) == "a";
    Reply reply = Run(query, {1, leads ? 10 : contact_index});
    // The row has the lag, by which it differs from the one before.
    reply.rows = {"replica 1 1.10 0 " + std::to_string(++statuses) + " 0 3"};
    const std::uint64_t index = status_index.value_or(complete_log);
    reply.status = session::ServerStatus{leads, 1, {1, index}, 0};
    Feed(session::ServerReplied{query.connection, reply});
    return true;
  }

  [[nodiscard]] ServerId ServerOf(ConnectionId id) const {
    const auto server = server_of.find(id);
    return server == server_of.end() ? ServerId() : server->second;
  }

  /// Whether a contact, or a status query, is the oldest unanswered command of
  /// its connection, which answers in order.
  bool IsNext(ConnectionId id, bool contact) {
    if (unanswered[id] > 0) return false;
    std::vector<bool>& order = apart_order[id];
    // Tests take some themselves, the oldest ones first.
    const auto queries = std::count_if(
        status_queries.begin(), status_queries.end(),
        [id](const SendCommand& it) { return it.connection == id; });
    const auto left = std::count(contacts.begin(), contacts.end(), id);
    for (const bool kind : {false, true}) {
      auto taken = std::count(order.begin(), order.end(), kind) -
                   (kind ? left : queries);
      while (taken-- > 0) {
        order.erase(std::find(order.begin(), order.end(), kind));
      }
    }
    return !order.empty() && order.front() == contact;
  }

  /// Advances the time and fires the timers that become due.
  void AdvanceTime(Duration duration) {
    const TimePoint until = now + duration;
    while (proxy.NextTimer() && *proxy.NextTimer() <= until) {
      now = std::max(now, *proxy.NextTimer());
      Feed(session::TimerFired{});
    }
    now = until;
  }

  /// Completes all pending connection attempts with success.
  void CompleteConnects() {
    while (!opening.empty()) {
      const auto [id, server] = opening.back();
      opening.pop_back();
      server_of[id] = server;
      Feed(session::ServerConnected{id, ErrorCode::kNone, Position{1, 0}});
    }
  }

  /// Completes all pending connection attempts: those to `reachable` servers
  /// succeed, the others fail.
  void CompleteConnectsTo(const std::set<ServerId>& reachable) {
    for (const auto& [id, server] : std::exchange(opening, {})) {
      const bool opens = reachable.contains(server);
      if (opens) server_of[id] = server;
      Feed(session::ServerConnected{
          id, opens ? ErrorCode::kNone : ErrorCode::kOther, {}});
    }
  }

  /// Advances the time while only the servers in `reachable` answer, none of
  /// them as the primary.
  void AdvanceTimeWithReachable(const std::set<ServerId>& reachable,
                                Duration duration) {
    answers_status = reachable;
    const TimePoint until = now + duration;
    while (now < until) {
      AdvanceTime(Milliseconds(25));
      CompleteConnectsTo(reachable);
      while (!sent.empty()) AnswerFirst(ErrorCode::kReadOnly);
    }
  }

  /// Answers all commands as up-to-date replicas; "a" does not answer.
  void AnswerReplicas() {
    answers_status = {"b", "c"};
    for (const SendCommand& it : std::exchange(sent, {})) {
      if (!server_of.contains(it.connection) ||
          server_of[it.connection] == "a") {
        continue;
      }
      Answer(it.connection, RunAt(it, false, {1, 10}));
    }
  }

  /// Answers all commands to the servers in `running`, of which `primary`
  /// leads, and all claims. The logs end at the indices in `log_ends`.
  void AnswerAs(const ServerId& primary, const std::set<ServerId>& running) {
    answers_status.clear();
    answers_contacts = running;
    for (const SendCommand& it : std::exchange(sent, {})) {
      const auto server = server_of.find(it.connection);
      if (server == server_of.end() || !running.contains(server->second)) {
        continue;
      }
      const Position end{1, log_ends[server->second]};
      Answer(it.connection, RunAt(it, server->second == primary, end));
    }
    for (const auto& it : std::exchange(claims, {})) {
      Feed(session::ClaimAnswered{it.service, ++claims_answered, false});
    }
  }

  /// Answers all commands except those to `silent` servers; "a" is the primary.
  void AnswerAll(const std::set<ServerId>& silent) {
    answers_status.clear();
    for (const char* id : {"a", "b", "c"}) {
      if (!silent.contains(id)) answers_status.insert(id);
    }
    for (const SendCommand& it : std::exchange(sent, {})) {
      const auto server = server_of.find(it.connection);
      if (server == server_of.end() || silent.contains(server->second)) {
        continue;
      }
      Answer(it.connection, RunAt(it, server->second == "a", {1, 10}));
    }
  }

  /// Runs a command at its server, which refuses it with `error` if there is
  /// one, and returns the reply: a success of a statement with result has a
  /// receipt that no other reply has.
  Reply Run(const SendCommand& it, Position position,
            ErrorCode error = ErrorCode::kNone) {
    const Verb verb = it.command.statement.verb;
    const bool succeeds = error == ErrorCode::kNone;
    TransactionState& state = transactions[it.connection];
    if (!succeeds && state == TransactionState::kOpen) {
      state = TransactionState::kFailed;
    }
    if (succeeds && (verb == Verb::kBegin || verb == Verb::kBeginRead)) {
      state = TransactionState::kOpen;
    }
    if (succeeds && (verb == Verb::kCommit || verb == Verb::kRollback)) {
      state = TransactionState::kIdle;
    }
    if (position.term == 1) {
      complete_log = std::max(complete_log, position.index);
    }
    Reply reply;
    reply.error = error;
    reply.position = position;
    reply.state = state;
    if (succeeds && verb == Verb::kRead) {
      reply.rows = {"row of " + it.command.statement.text};
    }
    const bool has_result = verb == Verb::kRead || verb == Verb::kWrite ||
                            verb == Verb::kExecute || verb == Verb::kCommit;
    if (succeeds && has_result)
      reply.receipt = "r" + std::to_string(++receipts);
    const bool has_status = verb == Verb::kStatus || verb == Verb::kHold ||
                            verb == Verb::kDemote || verb == Verb::kResume;
    if (succeeds && has_status) {
      const Term fence_term = verb == Verb::kHold ? it.command.term : 0;
      reply.status = session::ServerStatus{false, 1, position, fence_term};
    }
    return reply;
  }

  /// The same at the primary if it `leads`, and otherwise at a replica.
  Reply RunAt(const SendCommand& it, bool leads, Position position) {
    const Verb verb = it.command.statement.verb;
    const bool refused =
        !leads && (verb == Verb::kBegin || verb == Verb::kWrite);
    return Run(it, position, refused ? ErrorCode::kReadOnly : ErrorCode::kNone);
  }

  /// Answers the oldest command of a connection that is not a status query.
  void Answer(ConnectionId connection, const Reply& reply) {
    --unanswered[connection];
    Feed(session::ServerReplied{connection, reply});
  }

  /// Takes an unanswered status query to a replica, which the proxy is made to
  /// send by passing time. Returns its connection; 0 if the proxy sends none.
  [[nodiscard]] ConnectionId TakeReplicaQuery() {
    for (int n = 0; n < 16; ++n) {
      for (const SendCommand& it : status_queries) {
        const ConnectionId id = it.connection;
        const auto to = server_of.find(id);
        const bool found = to != server_of.end() && to->second != "a";
        if (!found || unanswered[id] > 0) continue;
        status_queries.erase(status_queries.begin() +
                             (&it - status_queries.data()));
        return id;
      }
      AdvanceTime(Milliseconds(25));
      for (const SendCommand& it : std::exchange(sent, {})) {
        Answer(it.connection,
               RunAt(it, server_of[it.connection] == "a", {1, 10}));
      }
    }
    return 0;
  }

  /// Answers all claims as when the store is unreachable.
  void FailClaims() {
    for (const auto& it : std::exchange(claims, {})) {
      Feed(session::ClaimAnswered{it.service, 0, true});
    }
  }

  /// Closes every server connection.
  void LoseAllConnections() {
    for (const auto& [id, server] : std::exchange(server_of, {})) {
      Feed(session::ServerConnectionLost{id});
    }
    sent.clear();
  }

  void OpenSession(session::SessionId id, const std::string& database) {
    Feed(session::SessionOpened{id, database});
  }

  /// Sends a statement. If the proxy answers it itself, the answer is in
  /// `answers` on return.
  void Query(session::SessionId id, Verb verb, const std::string& name = {},
             const std::string& text = {}) {
    Feed(session::StatementReceived{id, std::to_string(++statements),
                                    Statement{verb, name, text}});
    CompleteConnects();
  }

  /// Answers the oldest unanswered command. With `state`, the reply has that
  /// state instead of the one that the transaction of its connection has.
  /// Returns the reply.
  Reply AnswerFirst(ErrorCode error = ErrorCode::kNone,
                    Position position = {1, 10},
                    std::optional<TransactionState> state = {}) {
    REQUIRE(!sent.empty());
    const SendCommand command = sent.front();
    Reply reply = Run(command, position, error);
    if (state) reply.state = *state;
    sent.erase(sent.begin());
    Answer(command.connection, reply);
    CompleteConnects();
    return reply;
  }

  /// Sends a reply on a connection for the second time, or one that answers no
  /// command.
  void Repeat(ConnectionId connection, const Reply& reply) {
    Feed(session::ServerReplied{connection, reply});
    CompleteConnects();
  }

  /// Answers commands that the proxy sent on its own account, up to the first
  /// client statement.
  void AnswerSetup() {
    while (!sent.empty() && sent.front().command.id.empty()) AnswerFirst();
  }

  [[nodiscard]] std::vector<Verb> SentVerbs() const {
    std::vector<Verb> verbs;
    for (const auto& it : sent) verbs.push_back(it.command.statement.verb);
    return verbs;
  }

  /// Verbs of the commands in `all_sent` on one connection.
  [[nodiscard]] std::vector<Verb> VerbsOn(ConnectionId connection) const {
    std::vector<Verb> verbs;
    for (const auto& it : all_sent) {
      if (it.connection != connection) continue;
      verbs.push_back(it.command.statement.verb);
    }
    return verbs;
  }

  session::Proxy proxy;
  TimePoint now{std::chrono::seconds(100)};
  std::vector<SendCommand> sent;  ///< unanswered commands
  /// Those sent since a test last cleared it, answered or not.
  std::vector<SendCommand> all_sent;
  /// Status queries and contacts stay in `sent`, in the order in which they
  /// were sent, instead of being answered apart.
  bool keeps_order = false;
  std::vector<SendCommand> status_queries;  ///< unanswered
  /// Connections to replicas with unanswered transactions without statements.
  std::vector<ConnectionId> contacts;
  /// The order of both on a connection; true for contacts.
  std::map<ConnectionId, std::vector<bool>> apart_order;
  std::map<ConnectionId, int> unanswered;                 ///< other commands
  std::map<ConnectionId, TransactionState> transactions;  ///< at the servers
  int statuses = 0;                                       ///< given so far
  std::uint64_t receipts = 0;                             ///< given so far
  std::uint64_t complete_log = 10;  ///< newest index that a reply showed
  std::set<ServerId> answers_status{"a", "b", "c"};
  std::set<ServerId> answers_contacts{"a", "b", "c"};
  std::uint64_t contact_index = 10;  ///< of the logs of the contacted replicas
  /// Of the logs in statuses; null: `complete_log`.
  std::optional<std::uint64_t> status_index;
  std::vector<AnswerSession> answers;
  std::vector<session::CloseSession> closed;
  std::vector<session::AnswerPeer> peer_answers;
  std::vector<session::ClosePeer> peers_closed;
  std::set<ConnectionId> connections_closed;  ///< to servers, by the proxy
  std::vector<session::PromoteServer> promotions;
  std::vector<session::ClaimPromotion> claims;
  /// Pending connection attempts.
  std::vector<std::pair<ConnectionId, ServerId>> opening;
  std::map<ConnectionId, ServerId> server_of;
  /// Only of connections through a relay.
  std::map<ConnectionId, std::string> relay_addresses;
  std::map<ConnectionId, std::string> share_addresses;  ///< only if shared
  std::map<ConnectionId, TenantId> tenants;             ///< of connections
  std::map<ServerId, std::string> addresses;   ///< of servers, if not the id
  std::map<ServerId, std::uint64_t> log_ends;  ///< for `AnswerAs`
  std::uint64_t claims_answered = 0;
  std::uint64_t member_revision = 0;
  std::set<ServerId> not_renewed;  ///< entries without later heartbeats
  std::vector<session::WriteMembers> member_writes;
  int member_reads = 0;
  session::MemberRecords stored_members;  ///< as the store has them
  bool answers_member_reads = true;       ///< linearizable ones
  int statements = 0;
  std::vector<session::SendMessage> messages;
  bool stop_finished = false;
  std::vector<session::LogDecision> log;

 private:
  void Apply(session::Effect effect) {
    std::visit([this](auto& it) { Record(it); }, effect);
  }
  void Record(const AnswerSession& it) { answers.push_back(it); }
  void Record(const session::CloseSession& it) { closed.push_back(it); }
  void Record(const session::OpenServerConnection& it) {
    opening.emplace_back(it.connection, it.server);
    tenants[it.connection] = it.tenant;
    if (!it.relay_address.empty()) {
      relay_addresses[it.connection] = it.relay_address;
    }
    if (!it.share_address.empty()) {
      share_addresses[it.connection] = it.share_address;
    }
  }
  void Record(const session::AnswerPeer& it) { peer_answers.push_back(it); }
  void Record(const session::ClosePeer& it) { peers_closed.push_back(it); }
  void Record(const session::CloseServerConnection& it) {
    connections_closed.insert(it.connection);
    const auto of_connection = [&](const SendCommand& command) {
      return command.connection == it.connection;
    };
    std::erase_if(sent, of_connection);
    std::erase_if(status_queries, of_connection);
    std::erase(contacts, it.connection);
  }
  void Record(const SendCommand& it) {
    const bool query = it.command.statement.verb == Verb::kStatus;
    all_sent.push_back(it);
    if (query && !keeps_order) {
      apart_order[it.connection].push_back(false);
      return status_queries.push_back(it);
    }
    sent.push_back(it);
    ++unanswered[it.connection];
    if (!keeps_order) RecordContact();
  }
  /// Moves a transaction without statements, BEGIN READ and ROLLBACK, from
  /// `sent` to `contacts`.
  void RecordContact() {
    if (sent.size() < 2) return;
    const SendCommand& begin = sent[sent.size() - 2];
    const SendCommand& end = sent.back();
    const bool contact = begin.connection == end.connection &&
                         begin.command.statement.verb == Verb::kBeginRead &&
                         end.command.statement.verb == Verb::kRollback;
    if (!contact) return;
    contacts.push_back(begin.connection);
    apart_order[begin.connection].push_back(true);
    unanswered[begin.connection] -= 2;
    sent.pop_back();
    sent.pop_back();
  }
  void Record(const session::ClaimPromotion& it) { claims.push_back(it); }
  void Record(const session::RenewToken& /*it*/) {}
  void Record(const session::KeepClaim& /*it*/) {}
  void Record(const session::RecordOrder& it) {
    session::MemberRecord record = it.record;
    record.revision = ++member_revision;
    stored_members[it.service] = record;
    Feed(session::MembersRead{{{it.service, record}}, false});
    Feed(session::OrderRecorded{it.service, true});
  }
  void Record(const session::ReadMembers& it) {
    ++member_reads;
    if (it.linearizable && answers_member_reads) {
      Feed(session::MembersRead{stored_members, true, now});
    }
  }
  void Record(const session::WriteMembers& it) { member_writes.push_back(it); }
  void Record(const session::PromoteServer& it) { promotions.push_back(it); }
  void Record(const session::LogDecision& it) {
    if (std::getenv("TRACE") != nullptr) std::cout << it.text << "\n";
    log.push_back(it);
  }
  void Record(const session::SendMessage& it) { messages.push_back(it); }
  void Record(const session::StopFinished& /*it*/) { stop_finished = true; }
};

}  // namespace corianderdock::test
