#include <utility>

#include "corianderdock/session/proxy.h"

namespace corianderdock::session {

/// Applies the limits of the configuration in force.
void Proxy::ConfigureQuota() {
  const bool applies =
      QuotaGate::Applies(options_.quota, config_->tenants.get());
  if (!quota_ && !applies) return;
  if (!quota_) {
    quota_.emplace(self_.id, now_, options_.quota);
    if (!instances_.empty()) {
      quota_->OnInstances(now_, instances_, self_listed_);
    }
  }
  quota_->OnTenants(now_, config_->tenants);
  FinishQuota();
}

void Proxy::On(const MessageReceived& event) {
  if (event.topic != MessageTopic::kQuota || !quota_) return;
  if (!quota_->OnMessage(now_, event)) Count("quota_messages_invalid");
  FinishQuota();
}

/// Takes a token of the session's tenant for an operation that starts with the
/// outstanding statement. Otherwise the statement is refused, or waits for a
/// broker; then returns false.
bool Proxy::TakeToken(SessionId id, Session& session) {
  if (!quota_ || session.tenant.empty()) return true;
  PendingStatement& pending = *session.pending;
  const QuotaDecision decision =
      quota_->Take(now_, session.tenant, id, pending.statement_serial);
  if (decision == QuotaDecision::kTaken) {
    pending.has_token = true;
    FinishQuota();
    return true;
  }
  if (decision == QuotaDecision::kRefused) {
    RefuseOverQuota(id, session);
    return false;
  }
  ScheduleAfter(options_.quota.draw_timeout, {TimerKind::kQuota, id, 0});
  FinishQuota();
  return false;
}

/// Returns the token of a statement that no server was sent.
void Proxy::ReturnToken(Session& session) {
  if (!quota_ || !session.pending || !session.pending->has_token) return;
  if (session.pending->attempts > 0) return;
  session.pending->has_token = false;
  quota_->Return(now_, session.tenant);
}

void Proxy::RefuseOverQuota(SessionId id, Session& session) {
  const std::string ms =
      std::to_string(quota_->Refuse(session.tenant, id).count());
  Count("refused_quota");
  LogRequest("statement refused id=" + session.pending->id + " tenant=" +
             session.tenant + " reason=quota retry_after_ms=" + ms);
  AnswerError(id, session, ErrorCode::kBusy,
              "over quota; come back in " + ms + " ms");
}

/// Sends messages to brokers, and starts or refuses statements that waited.
void Proxy::FinishQuota() {
  if (!quota_) return;
  for (SendMessage& it : quota_->TakeMessages()) Emit(std::move(it));
  for (const QuotaResult& it : quota_->TakeResults()) {
    const auto session = sessions_.find(it.session);
    const bool waits =
        session != sessions_.end() && session->second.pending &&
        session->second.pending->statement_serial == it.statement_serial;
    if (!waits) {
      if (it.granted) quota_->Return(now_, it.tenant);
    } else if (it.granted) {
      session->second.pending->has_token = true;
      Enqueue(it.session, session->second);
    } else {
      RefuseOverQuota(it.session, session->second);
    }
  }
}

}  // namespace corianderdock::session
