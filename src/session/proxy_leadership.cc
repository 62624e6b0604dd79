#include <algorithm>
#include <array>
#include <utility>

#include "corianderdock/session/proxy.h"

namespace corianderdock::session {

namespace {

/// Time after the last statement for which a service's samples are kept fresh.
constexpr Duration kSampleUse = std::chrono::seconds(3);
/// Age at which samples are forgotten.
constexpr Duration kSampleAge = std::chrono::seconds(30);
/// Unanswered or lost commits in a row that show a primary without replicas.
constexpr int kStalledCommits = 3;
/// Time in which an instance holds the replicas, which others then see.
constexpr Duration kTurn = std::chrono::milliseconds(600);
/// Answers of a primary for this long after a replica fell silent show that no
/// partition holds both.
constexpr Duration kApart = std::chrono::milliseconds(1000);
/// Time after which an unanswered commit counts as stalled.
constexpr Duration kCommitStall = std::chrono::milliseconds(400);

const char* NameOfResult(PromotionResult result) {
  constexpr std::array<const char*, 3> kNames = {"accepted", "refused",
                                                 "unknown"};
  return kNames[static_cast<std::size_t>(result)];
}

ServerCommand ControlCommand(Verb verb, Term term) {
  ServerCommand command;
  command.statement.verb = verb;
  command.term = term;
  return command;
}

std::string Show(Position position) {
  return std::to_string(position.term) + "." + std::to_string(position.index);
}

}  // namespace

void Proxy::NoteLeader(Lane& lane, std::optional<Position> position,
                       TimePoint sent) {
  Service& service = ServiceOf(lane.entry.service);
  if (position) {
    if (position->term < service.newest_term) return;
    service.newest_term = position->term;
    service.last_leader = lane.entry.id;
    service.last_leader_term = position->term;
    service.samples.Add(*position, sent);
    service.samples.DiscardBefore(now_ - kSampleAge);
  }
  service.failover.OnPrimaryConfirmed(lane.entry.id);
  if (service.leader == lane.entry.id) return;
  Log("primary found service=" + lane.entry.service + " id=" + lane.entry.id +
      " previous=" + service.leader +
      " position=" + (position ? Show(*position) : "-"));
  if (!service.leader.empty() || standing_token_ != 0) Emit(RenewToken{});
  service.leader = lane.entry.id;
  service.leader_since = now_;
  service.handing_over = false;
  lane.commits_lost = 0;
  to_pump_.insert(lane.entry.service);
}

void Proxy::NoteNotLeader(Lane& lane) {
  Service& service = ServiceOf(lane.entry.service);
  if (service.leader != lane.entry.id) return;
  Log("primary lost service=" + lane.entry.service + " id=" + lane.entry.id +
      " reason=it does not lead");
  service.leader.clear();
  service.leaderless_since = now_;
  service.searched = {};
}

/// Asks a server whether it leads.
void Proxy::ProbeLead(Lane& lane) {
  ServerCommand begin;
  begin.statement.verb = Verb::kBegin;
  ServerCommand end;
  end.statement.verb = Verb::kRollback;
  SendControl(lane.entry.id, std::move(begin), Step::kProbe);
  SendControl(lane.entry.id, std::move(end), Step::kEnd);
}

/// Sends a command over an idle connection, or one opened for it.
void Proxy::SendControl(const ServerId& server, ServerCommand command,
                        Step step) {
  Lane& lane = lanes_.at(server);
  if (lane.control != 0 && connections_.contains(lane.control)) {
    Connection& at = connections_.at(lane.control);
    if (!at.open) {
      at.on_open.emplace_back(step, std::move(command));
      return;
    }
    if (at.bound == 0) {
      std::erase(lane.idle, lane.control);
      return SendOne(lane.control, std::move(command), step,
                     step == Step::kProbe);
    }
  }
  if (!lane.idle.empty()) {
    lane.control = lane.idle.back();
    lane.idle.pop_back();
    return SendOne(lane.control, std::move(command), step,
                   step == Step::kProbe);
  }
  lane.control = Open(lane);
  connections_.at(lane.control).on_open.emplace_back(step, std::move(command));
}

bool Proxy::CommitsStall(const Lane& lane) const {
  int stalled = lane.commits_lost;
  for (const ConnectionId id : lane.connections) {
    const auto& expected = connections_.at(id).expected;
    if (expected.empty() || !expected.front().commits) continue;
    if (now_ - expected.front().sent >= kCommitStall) ++stalled;
  }
  return stalled >= kStalledCommits;
}

bool Proxy::PrimaryLost(const Service& service) const {
  const Duration primary_silence_limit =
      options_.failover.primary_silence_limit;
  if (service.leader.empty()) {
    return now_ - service.leaderless_since >= 2 * primary_silence_limit;
  }
  const Lane& lane = lanes_.at(service.leader);
  if (lane.entry.draining) return true;
  const Duration limit =
      lane.refusals >= options_.refusals_of_dead
          ? std::min(primary_silence_limit, options_.refused_after)
          : primary_silence_limit;
  if (lane.failing && now_ - lane.failing_since >= limit) return true;
  return service.handing_over || CommitsStall(lane);
}

/// Replicas may apply what they received so late that they serve no read for
/// minutes, and the primary is left alone with all reads.
bool Proxy::HandOverHelps(const Service& service) const {
  const bool crowded = service.crowded >= options_.crowd &&
                       now_ - service.crowded_since < options_.crowd_time;
  const bool settled = now_ - service.leader_since >= options_.lead_at_least;
  if (!settled || !crowded) return false;
  int behind = 0;
  for (const ServerId& id : service.servers) {
    const Lane& lane = lanes_.at(id);
    if (id == service.leader || !lane.listed) continue;
    if (!lane.behind_since || lane.failing) return false;
    if (now_ - *lane.behind_since < options_.behind_for) return false;
    ++behind;
  }
  return behind > 0;
}

/// A hand-over that holds replicas goes on until it is done.
void Proxy::ConsiderHandOver(const ServiceId& id, Service& service) {
  if (service.failover.phase() != Failover::Phase::kIdle) return;
  const bool helps = HandOverHelps(service);
  if (helps && !service.handing_over) {
    Log("hand-over wanted service=" + id + " primary=" + service.leader +
        " reason=all replicas stay behind refused=" +
        std::to_string(service.crowded));
  }
  service.handing_over = helps;
}

void Proxy::NoteCrowded(Service& service) {
  if (now_ - service.crowded_since >= options_.crowd_time) {
    service.crowded_since = now_;
    service.crowded = 0;
  }
  ++service.crowded;
}

ServerId Proxy::ServiceLeader(const Lane& lane) const {
  const auto it = services_.find(lane.entry.service);
  return it == services_.end() ? ServerId() : it->second.leader;
}

/// Without the store, instances take turns in an order that all know: two
/// promotions at once could undo each other's evidence. Those in the zone of
/// the lost primary come last, as a partition may hide the replicas from them.
Duration Proxy::StandingTurn(const Service& service) const {
  const std::string salt =
      service.servers.empty() ? std::string() : *service.servers.begin();
  const auto leader = lanes_.find(service.leader);
  const ZoneId lost =
      leader == lanes_.end() ? ZoneId() : leader->second.entry.zone;
  const auto rank = [&](const InstanceId& id, const ZoneId& zone) {
    return std::pair(zone == lost, std::hash<std::string>{}(id + "/" + salt));
  };
  const auto own = rank(self_.id, self_.zone);
  const auto before = std::count_if(
      instances_.begin(), instances_.end(),
      [&](const auto& it) { return rank(it.first, it.second.zone) < own; });
  return kTurn * before;
}

/// Whether a commit may have been acknowledged because this server has it.
bool Proxy::MayHoldCommits(const Lane& lane) const {
  if (lane.listed) return true;
  // A leaving server is expected to vanish. Only behind a partition that hides
  // the primary as well may the two go on together.
  const auto leader = lanes_.find(ServiceLeader(lane));
  const bool known = leader != lanes_.end();
  const bool hidden = !known || leader->second.failing;
  if (lane.entry.draining && !hidden) return false;
  // Silent to us, to relays and to the store while the primary still answered:
  // the two are not behind one partition.
  const bool apart = known && lane.failing &&
                     leader->second.last_heard >= lane.failing_since + kApart;
  if (apart) return false;
  return now_ - lane.vanished < options_.vanished_evidence;
}

Failover::Situation Proxy::SituationOf(const Service& service) const {
  Failover::Situation situation;
  situation.now = now_;
  situation.primary = service.leader;
  situation.last_primary = service.last_leader;
  situation.last_primary_term = service.last_leader_term;
  situation.newest_term = service.newest_term;
  const bool view_is_fresh =
      !isolated_since_ &&
      (!isolated_until_ || now_ - *isolated_until_ >= options_.after_isolation);
  situation.primary_lost = view_is_fresh && PrimaryLost(service);
  situation.server_list_complete = servers_settled_;
  situation.fallback_token = standing_token_;
  situation.fallback_token_delay = StandingTurn(service);
  situation.reachable = true;
  const auto leader = lanes_.find(service.leader);
  situation.primary_leaving =
      leader != lanes_.end() && !leader->second.failing &&
      (leader->second.entry.draining || service.handing_over);
  for (const ServerId& id : service.servers) {
    const Lane& lane = lanes_.at(id);
    if (id == service.leader || !MayHoldCommits(lane)) continue;
    situation.replicas[id] = lane.entry.draining;
    if (lane.failing) situation.reachable = false;
  }
  return situation;
}

/// Keeps samples fresh, searches lost primaries and drives failovers.
void Proxy::CheckServices() {
  for (auto& [id, service] : services_) {
    if (service.servers.empty()) continue;
    const bool in_use = now_ - service.used < kSampleUse;
    const auto lane = lanes_.find(service.leader);
    const bool led = lane != lanes_.end();
    const bool in_doubt = !led || lane->second.failing ||
                          service.failover.phase() != Failover::Phase::kIdle;
    if (in_doubt && now_ - service.searched >= options_.search_interval) {
      service.searched = now_;
      SearchLeader(service);
    }
    const auto newest = service.samples.NewestSendTime();
    const bool stale = !newest || now_ - *newest >= options_.sample_interval;
    const bool may_probe =
        led && !lane->second.failing &&
        now_ - lane->second.probed >= options_.sample_interval;
    if (service.wants_samples && in_use && stale && may_probe) {
      lane->second.probed = now_;
      ProbeLead(lane->second);
    }
    RefuseWaiting(service);
    ConsiderHandOver(id, service);
    if (!in_use && service.failover.phase() == Failover::Phase::kIdle) continue;
    Perform(id, service.failover.Step(SituationOf(service)));
  }
}

/// Asks every reachable server of a service whether it leads.
void Proxy::SearchLeader(Service& service) {
  for (const ServerId& id : service.servers) {
    Lane& lane = lanes_.at(id);
    if (!lane.listed || lane.failing || lane.opening > 0) continue;
    if (now_ - lane.probed < options_.search_interval) continue;
    lane.probed = now_;
    ProbeLead(lane);
  }
}

void Proxy::Perform(const ServiceId& id, const Failover::Actions& actions) {
  for (const auto& action : actions) {
    std::visit([&](const auto& it) { Do(id, it); }, action);
  }
}

void Proxy::Do(const ServiceId& id, const Failover::Claim& /*claim*/) {
  Log("promotion claimed service=" + id + " primary=" + ServiceOf(id).leader);
  Count("promotion_claims");
  Emit(ClaimPromotion{id});
}

void Proxy::Do(const ServiceId& /*id*/, const Failover::Inspect& inspect) {
  SendControl(inspect.server, ControlCommand(Verb::kStatus, 0), Step::kInspect);
}

void Proxy::Do(const ServiceId& /*id*/, const Failover::Fence& hold) {
  SendControl(hold.server, ControlCommand(Verb::kHold, hold.term), Step::kHold);
}

void Proxy::Do(const ServiceId& /*id*/, const Failover::Demote& demote) {
  SendControl(demote.server, ControlCommand(Verb::kDemote, demote.term),
              Step::kResume);
}

void Proxy::Do(const ServiceId& /*id*/, const Failover::Resume& resume) {
  SendControl(resume.server, ControlCommand(Verb::kResume, 0), Step::kResume);
}

void Proxy::Do(const ServiceId& id, const Failover::Order& order) {
  Log("promotion ordered service=" + id + " id=" + order.server +
      " token=" + std::to_string(order.token));
  Count("promotion_orders");
  Emit(PromoteServer{id, order.server, order.token});
}

void Proxy::On(const ClaimAnswered& event) {
  const auto it = services_.find(event.service);
  if (it == services_.end()) return;
  Log("promotion claim answered service=" + event.service +
      " token=" + std::to_string(event.token) +
      " store_away=" + std::to_string(static_cast<int>(event.store_away)));
  Perform(it->first,
          it->second.failover.OnClaim(SituationOf(it->second), event));
}

void Proxy::On(const TokenObtained& event) {
  Log("standing token obtained token=" + std::to_string(event.token));
  standing_token_ = event.token;
}

void Proxy::On(const PromotionAnswered& event) {
  const auto it = services_.find(event.service);
  if (it == services_.end()) return;
  Log("promotion answered service=" + event.service + " id=" + event.server +
      " result=" + NameOfResult(event.result));
  Perform(it->first,
          it->second.failover.OnOrdered(SituationOf(it->second), event.result));
}

void Proxy::OnStatusAnswer(Lane& lane, Step step, const Reply& reply) {
  Service& service = ServiceOf(lane.entry.service);
  const auto& status = reply.status;
  if (reply.error != ErrorCode::kNone || !status) {
    Log("status refused id=" + lane.entry.id + " detail=" + reply.detail);
    return;
  }
  if (step == Step::kInspect) {
    Log("replica inspected id=" + lane.entry.id +
        " held=" + std::to_string(status->fence_term));
    return Perform(lane.entry.service,
                   service.failover.OnInspected(SituationOf(service),
                                                lane.entry.id, *status));
  }
  Log("replica held id=" + lane.entry.id + " received=" +
      Show(status->received) + " held=" + std::to_string(status->fence_term));
  Perform(
      lane.entry.service,
      service.failover.OnFenced(SituationOf(service), lane.entry.id, *status));
}

}  // namespace corianderdock::session
