#include <algorithm>

#include "corianderdock/detail/log_text.h"
#include "corianderdock/session/proxy.h"

namespace corianderdock::session {

using detail::WholeMs;

namespace {

/// Time after which a refused client may try again: evidence is renewed each
/// second if the store can be reached.
constexpr Duration kEvidencePause = std::chrono::milliseconds(1000);

}  // namespace

void Proxy::On(const ConfigConfirmed& event) {
  if (!config_ || event.version > config_->version) return;
  config_freshness_.NoteVersion(config_->version);
  config_freshness_.Confirm(event.version, event.as_of);
}

/// Whether keys are checked, so that the configuration must be recent.
bool Proxy::EvidenceNeeded() const {
  return options_.revoke_bound > Duration(0) && config_ && config_->tenants;
}

/// Whether a key that is valid under the configuration in force was not
/// revoked longer ago than the bound allows.
bool Proxy::ConfigIsRecent() const {
  return config_freshness_.IsYounger(
      now_, options_.revoke_bound - options_.revoke_margin);
}

/// Whether a statement on `route` may run under the configuration in force.
bool Proxy::MayServe(const Route& route) const {
  return route.open_access || !EvidenceNeeded() || ConfigIsRecent();
}

/// Whether a client's statement may not even start. What only ends a
/// transaction always may.
bool Proxy::LacksEvidence(const Session& session, Verb verb) const {
  if (!EvidenceNeeded() || ConfigIsRecent()) return false;
  const bool only_ends =
      verb == Verb::kRollback || session.state == TransactionState::kFailed;
  const auto route = RouteOf(session);
  return !only_ends && route && !route->open_access;
}

/// Whether some route can be served, so that clients should come.
bool Proxy::ServesSomeRoute() const {
  if (!EvidenceNeeded() || ConfigIsRecent()) return true;
  return std::any_of(config_->routes.begin(), config_->routes.end(),
                     [](const auto& it) { return it.second->open_access; });
}

/// Refuses a statement, of which nothing was sent to a server.
void Proxy::RefuseWithoutEvidence(SessionId id, Session& session,
                                  const StatementId& statement) {
  const auto age = config_freshness_.AgeAt(now_);
  LogRequest("statement refused id=" + statement + " database=" +
             session.database + " reason=config may be outdated" +
             " config_version=" + std::to_string(config_->version) +
             " evidence_age_ms=" + (age ? WholeMs(*age) : "-"));
  Count("refused_config_age");
  RollBackAndUnbind(session);
  AnswerError(id, session, ErrorCode::kBusy,
              "the configuration may be out of date; come back in " +
                  WholeMs(kEvidencePause) + " ms");
}

/// Refuses the oldest command of another instance before it is sent.
void Proxy::RefusePeerWithoutEvidence(PeerId id, Peer& peer) {
  Count("peers_refused_config_age");
  peer.running = false;
  const bool bound = peer.bound_connection != 0;
  if (bound && !connections_.at(peer.bound_connection).in_transaction) {
    ReleasePeerConnection(peer);
  }
  AnswerPeerLocally(id, peer, ErrorCode::kBusy);
  RunNextCommand(id, peer);
}

}  // namespace corianderdock::session
