#include "corianderdock/client_calls.h"

#include <algorithm>

#include "corianderdock/statement_check.h"

namespace corianderdock {

namespace {

constexpr Duration kStaleAvoidance = Milliseconds(100);
constexpr Duration kHintLifetime = Milliseconds(500);
constexpr Duration kAnswerGrace = Milliseconds(150);
constexpr Duration kForwardGrace = Milliseconds(100);
constexpr Duration kOverloadRetryAfter = Milliseconds(250);

bool IsTransactional(const Request& request) {
  return !request.transaction.empty() && request.method != Method::kResolve &&
         request.method != Method::kBegin;
}

/// Whether the request id may have been executed before this request arrived.
/// Refusing this request then does not prove that it was not.
bool MayHaveRunBefore(const Request& request) {
  return request.repeat || request.method == Method::kResolve;
}

}  // namespace

ClientCalls::ClientCalls(detail::Context& context, const Directory& directory,
                         const Configuration& configuration,
                         GroupMonitor& monitor, WorkScheduler& scheduler)
    : context_(context),
      directory_(directory),
      configuration_(configuration),
      monitor_(monitor),
      scheduler_(scheduler),
      retry_tokens_(context.options.retry_burst) {}

// Admission ------------------------------------------------------------------

std::optional<Answer> ClientCalls::CheckAdmission(const Request& request) {
  Answer answer;
  answer.outcome =
      MayHaveRunBefore(request) ? Outcome::kUnknown : Outcome::kNotRun;
  answer.token = request.token;
  answer.request_id = request.request_id;
  if (!ready_) {
    answer.reason = Reason::kNotReady;
    answer.detail = "no sheet is in force here yet";
    answer.retry_after = std::chrono::seconds(1);
    return answer;
  }
  const Service* service = configuration_.Find(request.service);
  if (service == nullptr) {
    answer.reason = Reason::kUnknownService;
    answer.detail = "the sheet names no service " + request.service;
    return answer;
  }
  if (!service->zones.contains(context_.self.zone)) {
    answer.reason = Reason::kZoneNotServed;
    answer.detail =
        "the sheet does not serve this service in zone " + context_.self.zone;
    return answer;
  }
  if (request.method == Method::kExecute) {
    const auto kind = service->kinds.find(request.kind);
    if (kind == service->kinds.end()) {
      answer.reason = Reason::kUnknownKind;
      answer.detail = "the service has no kind " + request.kind;
      return answer;
    }
    const Mode mode =
        request.transaction.empty() ? kind->second.mode : Mode::kWrite;
    if (auto fault = FindStatementFault(request.sql, mode)) {
      answer.reason = Reason::kBadStatement;
      answer.detail = *fault;
      return answer;
    }
  }
  if (calls_.size() >= context_.options.largest_waiting) {
    answer.reason = Reason::kOverloaded;
    answer.retry_after = kOverloadRetryAfter;
    return answer;
  }
  return std::nullopt;
}

void ClientCalls::OnRequest(const ClientRequest& event) {
  context_.Count("requests");
  retry_tokens_ = std::min(retry_tokens_ + context_.options.retry_share,
                           context_.options.retry_burst);
  if (auto refusal = CheckAdmission(event.request)) {
    CountReply(*refusal);
    context_.Emit(ReplyToClient{event.call, std::move(*refusal)});
    return;
  }
  Call& call = calls_[event.call];
  call.request = event.request;
  const Service& service = *configuration_.Find(call.request.service);
  call.group = service.group;
  call.arrived = context_.now;
  call.in_doubt = MayHaveRunBefore(call.request);
  call.mode = Mode::kWrite;
  if (call.request.method == Method::kExecute &&
      call.request.transaction.empty()) {
    const Kind& kind = service.kinds.at(call.request.kind);
    call.mode = kind.mode;
    call.max_age = kind.max_age;
  }
  Duration timeout = call.request.timeout;
  if (timeout.count() <= 0) timeout = context_.options.default_timeout;
  timeout = std::min(timeout, context_.options.largest_timeout);
  call.deadline = context_.now + timeout;
  const bool records_request_id = call.mode == Mode::kWrite &&
                                  call.request.method != Method::kBegin &&
                                  call.request.method != Method::kRollback;
  if (records_request_id && call.request.request_id.empty()) {
    call.request.request_id = context_.self.instance + "-" +
                              std::to_string(context_.self.incarnation) + "-" +
                              std::to_string(context_.NewId());
  }
  context_.timers.Schedule(call.deadline,
                           {detail::TimerKind::kCallDeadline, {}, event.call});
  Route(event.call, call);
}

void ClientCalls::OnClientDisconnected(CallId id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  context_.Count("callers_gone");
  if (it->second.waiting_for_retry) {
    calls_.erase(it);
  } else {
    it->second.client_disconnected = true;
  }
}

// Routing --------------------------------------------------------------------

InstanceId ClientCalls::OwnerOfTransaction(const TransactionId& id) const {
  // INSTANCE.INCARNATION.NUMBER.NONCE; the instance name may contain dots.
  std::size_t end = id.size();
  for (int n = 0; n < 3 && end != std::string::npos && end > 0; ++n) {
    end = id.rfind('.', end - 1);
  }
  return end == std::string::npos ? id : id.substr(0, end);
}

void ClientCalls::Route(CallId id, Call& call) {
  call.waiting_for_retry = false;
  if (context_.now >= call.deadline) {
    ReplyRefused(id, call, Reason::kDeadline, "");
    return;
  }
  if (IsTransactional(call.request)) {
    const InstanceId owner = OwnerOfTransaction(call.request.transaction);
    if (owner != context_.self.instance &&
        directory_.AddressOf(owner).empty()) {
      OnAttemptLost(id, call, call.request.method == Method::kCommit);
      return;
    }
    Send(id, call, "", owner);
    return;
  }
  const ServerId server = ChooseTarget(call);
  if (server.empty()) {
    RetryLater(id, call, context_.options.retry_pause);
    return;
  }
  const InstanceId instance = context_.options.shared_scheduler
                                  ? directory_.SchedulerOf(server)
                                  : context_.self.instance;
  Send(id, call, server, instance);
}

ServerId ClientCalls::ChooseTarget(Call& call) {
  const auto& servers = directory_.Servers(call.group);
  if (servers.empty()) {
    call.last_reason = Reason::kNoPrimary;
    return {};
  }
  if (call.mode == Mode::kRead) return ChooseForRead(call);
  const Leadership& lead = monitor_.LeadershipOf(call.group);
  const bool known =
      std::find(servers.begin(), servers.end(), lead.primary) != servers.end();
  if (known) return lead.primary;
  // The scheduler of any server of the group reports the primary.
  call.last_reason = Reason::kNoPrimary;
  return servers[call.attempt % servers.size()];
}

ServerId ClientCalls::ChooseForRead(Call& call) {
  const Leadership& lead = monitor_.LeadershipOf(call.group);
  const Server* best = nullptr;
  Duration best_wait{0};
  const bool strict = call.max_age.count() == 0;
  for (const auto& id : directory_.Servers(call.group)) {
    const Server* server = directory_.Find(id);
    const bool is_primary = id == lead.primary;
    if (server->leaving && context_.policy->AvoidLeaving()) continue;
    if (call.excluded.contains(id) || is_primary) continue;
    if (strict || !context_.options.replica_reads) continue;
    const ServerHint& hint = hints_[id];
    if (context_.now < hint.stale_until) continue;
    const bool is_recent = context_.now - hint.reported_at < kHintLifetime;
    Duration wait = is_recent ? hint.wait : Duration(0);
    if (best != nullptr) {
      const bool local = server->zone == context_.self.zone;
      const bool best_local = best->zone == context_.self.zone;
      if (wait > best_wait) continue;
      if (wait == best_wait && (best_local || !local)) continue;
    }
    best = server;
    best_wait = wait;
  }
  if (best != nullptr) return best->id;
  if (!lead.primary.empty() && !call.excluded.contains(lead.primary)) {
    return lead.primary;
  }
  if (lead.primary.empty()) {
    // The scheduler of any server of the group reports the primary.
    for (const auto& id : directory_.Servers(call.group)) {
      if (!call.excluded.contains(id)) return id;
    }
  }
  call.excluded.clear();
  return {};
}

void ClientCalls::Send(CallId id, Call& call, const ServerId& server,
                       const InstanceId& instance) {
  ++call.attempt;
  call.target = server;
  call.sent = context_.now;
  RoutedRequest routed;
  routed.server = server;
  routed.mode = call.mode;
  routed.max_age = call.max_age;
  routed.remaining = call.deadline - context_.now;
  routed.request = call.request;
  const std::uint64_t attempt = call.attempt;
  if (instance == context_.self.instance) {
    scheduler_.Execute(std::move(routed),
                       [this, id, attempt](RoutedAnswer answer) {
                         OnAnswer(id, attempt, std::move(answer));
                       });
    return;
  }
  context_.Count("forwards");
  const Duration timeout = routed.remaining + kForwardGrace;
  context_.Emit(ForwardRequest{id, attempt, directory_.AddressOf(instance),
                               std::move(routed), timeout});
}

// Answers --------------------------------------------------------------------

void ClientCalls::OnForwardResult(const ForwardResult& event) {
  if (event.answer) {
    OnAnswer(event.call, event.attempt, *event.answer);
    return;
  }
  const auto it = calls_.find(event.call);
  if (it == calls_.end() || it->second.attempt != event.attempt) return;
  context_.Count("forwards_lost");
  OnAttemptLost(event.call, it->second, event.sent);
}

void ClientCalls::OnAttemptLost(CallId id, Call& call, bool may_have_run) {
  call.last_reason = Reason::kConnectionLost;
  const bool writes = call.mode == Mode::kWrite;
  if (may_have_run && writes && context_.policy->LostAnswerInDoubt()) {
    call.in_doubt = true;
  }
  if (IsTransactional(call.request)) {
    if (call.request.method != Method::kCommit) {
      Answer answer;
      answer.outcome = Outcome::kFailed;
      answer.reason = Reason::kTransactionLost;
      answer.detail = "the instance that held the transaction is lost";
      if (may_have_run) answer.outcome = Outcome::kUnknown;
      ReplyFinal(id, call, std::move(answer));
      return;
    }
    // The commit may have been executed: look up its recorded request id.
    call.request.method = Method::kResolve;
    call.request.transaction.clear();
  }
  RetryLater(id, call, context_.options.retry_pause);
}

void ClientCalls::OnAnswer(CallId id, std::uint64_t attempt,
                           RoutedAnswer answer) {
  const auto it = calls_.find(id);
  if (it == calls_.end() || it->second.attempt != attempt) return;
  Call& call = it->second;
  const bool learned = monitor_.AdoptLeadership(call.group, answer.leadership);
  if (!call.target.empty()) {
    hints_[call.target].wait = answer.expected_wait;
    hints_[call.target].reported_at = context_.now;
  }
  if (answer.answer.reason != Reason::kNone) {
    call.last_reason = answer.answer.reason;
    call.retry_after = answer.answer.retry_after;
  }
  if (AgedInTransit(call, answer)) {
    context_.Count("reads_aged_in_transit");
    answer.status = RoutedStatus::kStale;
  }
  switch (answer.status) {
    case RoutedStatus::kFinal:
      ReplyFinal(id, call, std::move(answer.answer));
      return;
    case RoutedStatus::kStale: {
      context_.Count("stale_reads");
      hints_[call.target].stale_until = context_.now + kStaleAvoidance;
      const bool first_time = call.excluded.insert(call.target).second;
      const bool was_primary =
          call.target == monitor_.LeadershipOf(call.group).primary;
      if (!was_primary && first_time) {
        Route(id, call);
        return;
      }
      if (context_.now - call.arrived >= context_.options.token_wait) {
        ReplyRefused(id, call, Reason::kTokenNotReached,
                     "no reachable server holds what this session has seen");
        return;
      }
      RetryLater(id, call, context_.options.retry_pause);
      return;
    }
    case RoutedStatus::kBusy: {
      const bool may_try_other =
          call.mode == Mode::kRead && call.max_age.count() > 0 &&
          call.excluded.insert(call.target).second && call.excluded.size() < 3;
      if (may_try_other) {
        hints_[call.target].stale_until = context_.now + kStaleAvoidance;
        Route(id, call);
        return;
      }
      ReplyRefused(id, call, call.last_reason, answer.answer.detail);
      return;
    }
    case RoutedStatus::kNotPrimary:
      RetryLater(id, call,
                 learned ? Duration(0) : context_.options.retry_pause);
      return;
    case RoutedStatus::kInDoubt:
      if (context_.policy->LostAnswerInDoubt()) call.in_doubt = true;
      if (call.request.method == Method::kCommit) {
        call.request.method = Method::kResolve;
        call.request.transaction.clear();
      }
      RetryLater(id, call, context_.options.retry_pause);
      return;
    case RoutedStatus::kRetry:
      if (call.mode == Mode::kRead) call.excluded.insert(call.target);
      RetryLater(id, call, context_.options.retry_pause);
      return;
  }
}

bool ClientCalls::AgedInTransit(const Call& call,
                                const RoutedAnswer& answer) const {
  // The scheduler verified the age when it answered; add the transit time, as
  // after a pause of this process.
  if (call.mode != Mode::kRead || call.max_age.count() == 0) return false;
  if (!context_.policy->VerifyAge()) return false;
  if (answer.status != RoutedStatus::kFinal) return false;
  const Duration transit = context_.now - call.sent - answer.handling;
  return answer.data_age + transit > SubtractClockDrift(call.max_age);
}

void ClientCalls::RetryLater(CallId id, Call& call, Duration pause) {
  const bool waits_for_primary = call.last_reason == Reason::kNoPrimary ||
                                 call.last_reason == Reason::kReplicationBehind;
  if (!waits_for_primary && !TakeRetryToken()) {
    ReplyRefused(id, call, Reason::kRetryBudget, "too many retries at once");
    return;
  }
  context_.Count("retries");
  call.waiting_for_retry = true;
  ++call.attempt;
  context_.After(pause, {detail::TimerKind::kCallRetry, {}, id});
}

bool ClientCalls::TakeRetryToken() {
  if (retry_tokens_ < 1) return false;
  retry_tokens_ -= 1;
  return true;
}

void ClientCalls::OnTimer(const detail::Timer& timer) {
  const auto it = calls_.find(timer.id);
  if (it == calls_.end()) return;
  Call& call = it->second;
  if (timer.kind == detail::TimerKind::kCallRetry) {
    if (call.waiting_for_retry) Route(timer.id, call);
    return;
  }
  if (context_.now < call.deadline) return;
  const bool in_flight = !call.waiting_for_retry;
  if (in_flight && context_.now < call.deadline + kAnswerGrace) {
    context_.After(kAnswerGrace,
                   {detail::TimerKind::kCallDeadline, {}, timer.id});
    return;
  }
  if (in_flight && call.mode == Mode::kWrite &&
      context_.policy->LostAnswerInDoubt()) {
    call.in_doubt = true;
  }
  const Reason reason =
      call.last_reason == Reason::kNone ? Reason::kDeadline : call.last_reason;
  if (in_flight && call.mode == Mode::kRead) {
    Answer answer;
    answer.outcome = Outcome::kFailed;
    answer.reason = reason;
    ReplyFinal(timer.id, call, std::move(answer));
    return;
  }
  ReplyRefused(timer.id, call, reason, "deadline reached");
}

// Replying -------------------------------------------------------------------

void ClientCalls::ReplyRefused(CallId id, const Call& call, Reason reason,
                               const std::string& detail) {
  Answer answer;
  answer.outcome = call.in_doubt ? Outcome::kUnknown : Outcome::kNotRun;
  answer.reason = reason;
  answer.detail = detail;
  answer.retry_after = call.retry_after;
  if (reason == Reason::kRetryBudget) answer.retry_after = kOverloadRetryAfter;
  answer.token = call.request.token;
  answer.request_id = call.request.request_id;
  Reply(id, std::move(answer));
}

void ClientCalls::ReplyFinal(CallId id, Call& call, Answer answer) {
  // An earlier attempt with this request id may still commit after this
  // failure.
  if (call.in_doubt && answer.outcome == Outcome::kFailed) {
    answer.outcome = Outcome::kUnknown;
  }
  answer.request_id = call.request.request_id;
  if (answer.outcome != Outcome::kDone) answer.token = call.request.token;
  Reply(id, std::move(answer));
}

void ClientCalls::CountReply(const Answer& answer) {
  context_.Count(std::string("replies_") + Name(answer.outcome));
  if (answer.outcome != Outcome::kDone) {
    context_.Count(std::string("refusals_") + Name(answer.reason));
  }
}

void ClientCalls::Reply(CallId id, Answer answer) {
  const auto it = calls_.find(id);
  CountReply(answer);
  if (answer.outcome == Outcome::kDone && it->second.mode == Mode::kRead) {
    context_.Count(answer.from_replica ? "reads_replica" : "reads_primary");
  }
  const bool gone = it->second.client_disconnected;
  calls_.erase(it);
  if (!gone) context_.Emit(ReplyToClient{id, std::move(answer)});
}

}  // namespace corianderdock
