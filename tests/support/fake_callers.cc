#include <algorithm>

#include "fake_world.h"

namespace testing_support {

namespace {

constexpr char kGroup[] = "g";
constexpr Duration kCallerTimeout = std::chrono::seconds(3);

}  // namespace

// Callers --------------------------------------------------------------------

Request FakeWorld::MakeRequest(Method method, int session) const {
  Request request;
  request.method = method;
  request.service = "s";
  request.timeout = kCallerTimeout;
  const auto token = tokens_.find(session);
  if (token != tokens_.end()) request.token = token->second;
  return request;
}

void FakeWorld::Submit(Operation operation, int n, const Request& request,
                       const std::function<void(const Answer&)>& on_done) {
  Instance& it = instances_[static_cast<std::size_t>(n)];
  if (!it.alive) return;
  operation.invoked = now_;
  operation.group = kGroup;
  const std::size_t index = history_.operations.size();
  history_.operations.push_back(std::move(operation));
  const CallId call = next_call_++;
  const int session = history_.operations[index].session;
  callers_[call] = [this, index, session, on_done](const Answer& answer,
                                                   TimePoint reply_sent) {
    Operation& record = history_.operations[index];
    record.reply_sent = reply_sent;
    record.reply_received = now_;
    record.has_answer = true;
    record.outcome = answer.outcome;
    record.reason = answer.reason;
    record.from_replica = answer.from_replica;
    if (answer.outcome == Outcome::kDone) {
      tokens_[session].Merge(kGroup, answer.token.At(kGroup));
      for (const auto& row : answer.result.rows) {
        for (const auto& value : row) {
          record.returned_ids.insert(value.value_or(""));
        }
      }
    }
    if (on_done) on_done(answer);
  };
  After(Latency(), [this, n, call, generation = it.generation, request] {
    Instance& target = instances_[static_cast<std::size_t>(n)];
    if (!target.alive || target.generation != generation) return;
    target.calls.insert(call);
    Deliver(n, ClientRequest{call, request}, generation);
  });
}

void FakeWorld::Write(int session, int instance, const std::string& id) {
  Operation operation;
  operation.type = OperationType::kWrite;
  operation.id = id.empty() ? "w" + std::to_string(next_id_++) : id;
  operation.session = session;
  Request request = MakeRequest(Method::kExecute, session);
  request.kind = "add";
  request.sql = "INSERT INTO t VALUES ($1)";
  request.params = {operation.id};
  request.request_id = operation.id;
  Submit(std::move(operation), instance, request);
}

void FakeWorld::Read(int session, int instance, const std::string& kind) {
  Operation operation;
  operation.type = OperationType::kRead;
  operation.session = session;
  operation.requires_latest = kind == "now";
  operation.max_age =
      operation.requires_latest ? Duration(0) : Milliseconds(500);
  Request request = MakeRequest(Method::kExecute, session);
  request.kind = kind;
  request.sql = "SELECT * FROM t";
  Submit(std::move(operation), instance, request);
}

void FakeWorld::RunTransaction(int session, int instance, int other) {
  const std::string id = "t" + std::to_string(next_id_++);
  Instance& it = instances_[static_cast<std::size_t>(instance)];
  if (!it.alive) return;
  const CallId call = next_call_++;
  it.calls.insert(call);
  callers_[call] = [this, session, other, id](const Answer& begun, TimePoint) {
    if (begun.outcome != Outcome::kDone) return;
    Request insert = MakeRequest(Method::kExecute, session);
    insert.kind = "add";
    insert.sql = "INSERT INTO t VALUES ($1)";
    insert.params = {id};
    insert.transaction = begun.transaction;
    Instance& next = instances_[static_cast<std::size_t>(other)];
    if (!next.alive) return;
    const CallId second = next_call_++;
    next.calls.insert(second);
    callers_[second] = [this, session, other, id, begun](const Answer& done,
                                                         TimePoint) {
      if (done.outcome != Outcome::kDone) return;
      Operation operation;
      operation.type = OperationType::kTransaction;
      operation.id = id;
      operation.session = session;
      Request commit = MakeRequest(Method::kCommit, session);
      commit.transaction = begun.transaction;
      commit.request_id = id;
      Submit(std::move(operation), other, commit);
    };
    Deliver(other, ClientRequest{second, insert}, next.generation);
  };
  Deliver(instance, ClientRequest{call, MakeRequest(Method::kBegin, session)},
          it.generation);
}

void FakeWorld::Resolve(int session, int instance, const std::string& id) {
  Operation operation;
  operation.type = OperationType::kWrite;
  operation.id = id;
  operation.session = session;
  Request request = MakeRequest(Method::kResolve, session);
  request.request_id = id;
  Submit(std::move(operation), instance, request);
}

}  // namespace testing_support
