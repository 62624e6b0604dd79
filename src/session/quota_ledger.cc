#include "corianderdock/session/quota_ledger.h"

#include <algorithm>
#include <cmath>

namespace corianderdock::session {

namespace {

double Seconds(Duration it) {
  return std::chrono::duration<double>(it).count();
}

/// Time over which the demand of a tenant is averaged, in seconds.
constexpr double kDemandTime = 1;
/// Time for whose expected operations an instance keeps tokens, in seconds:
/// two reports.
constexpr double kKeepTime = 0.5;
/// Largest part of the cap to keep, and the least cap with which anything is
/// kept: fractions of a token serve nobody until they are brought together.
constexpr double kKeptPart = 0.5;
constexpr double kLeastKeptCap = 2;
/// Operations per second from which an instance asks for expected operations
/// in its reports; rarer ones draw a token each.
constexpr double kExpectFrom = 2;
/// Least part of the cap, and least number of tokens, to hand over.
constexpr double kLeastGivePart = 0.1;
constexpr double kLeastGive = 1;
/// Added to what waiting operations need, so that rounding leaves enough.
constexpr MicroTokens kRounding = 10;
/// Least number of expected operations to ask for.
constexpr double kLeastNeed = 0.5;
/// Part of a ticket's validity in which it is used.
constexpr double kTicketUse = 0.8;
/// Added to the time for which tokens handed over may still arrive, as clocks
/// drift apart.
constexpr Duration kDrift = std::chrono::milliseconds(10);
/// Ticks further apart than this show that the process was suspended or
/// overloaded, so that answers may have arrived unread.
constexpr Duration kLateTick = std::chrono::milliseconds(100);
/// Unanswered requests after which a broker is passed over: one may have been
/// lost with a connection.
constexpr int kMaxUnanswered = 2;
/// Time after which an unanswered request without tokens is forgotten.
constexpr Duration kForgetAfter = std::chrono::seconds(1);
/// Shortest and longest time after which a refused client comes back.
constexpr double kMinRetry = 0.1;
constexpr double kMaxRetry = 2;

}  // namespace

void QuotaLedger::SetTenants(TimePoint now,
                             std::shared_ptr<const TenantDirectory> tenants,
                             const QuotaMembers& members) {
  MintAll(now, members);
  // The accounts refer to the previous tenants until they are replaced.
  const auto previous = std::exchange(tenants_, std::move(tenants));
  std::unordered_map<TenantId, Account> accounts;
  if (tenants_) {
    for (const auto& [id, tenant] : tenants_->tenants) {
      if (tenant.rate_per_s <= 0) continue;
      const auto it = accounts_.find(id);
      Account& account = accounts[id];
      if (it != accounts_.end()) account = std::move(it->second);
      if (it != accounts_.end()) accounts_.erase(it);
      account.tenant = &tenant;
      if (account.minted_at == TimePoint{}) account.minted_at = now;
      Clip(now, account, members);
    }
  }
  // Those that are left have no limit any more.
  for (auto& [id, account] : accounts_) {
    for (const Waiting& it : account.waiting) {
      verdicts_.push_back({it.waiter, id, true});
    }
    waiting_.erase(id);
  }
  accounts_ = std::move(accounts);
}

void QuotaLedger::MintAll(TimePoint now, const QuotaMembers& members) {
  for (auto& [id, account] : accounts_) Mint(now, account, members);
}

QuotaLedger::Account* QuotaLedger::Find(const TenantId& tenant) {
  const auto it = accounts_.find(tenant);
  return it == accounts_.end() ? nullptr : &it->second;
}

double QuotaLedger::StockOf(const TenantId& tenant) const {
  const auto it = accounts_.find(tenant);
  return it == accounts_.end() ? 0 : it->second.stock;
}

void QuotaLedger::Mint(TimePoint now, Account& account,
                       const QuotaMembers& members) const {
  const TimePoint until = std::min(now, members.MintsUntil());
  if (until > account.minted_at) {
    const double share =
        account.tenant->rate_per_s / static_cast<double>(members.Count(now));
    account.stock +=
        share * Seconds(SubtractClockDrift(until - account.minted_at));
  }
  account.minted_at = now;
  Clip(now, account, members);
}

/// Limits a stock to what this instance may hold: nothing that outlasts the
/// event while it isn't counted by the others.
void QuotaLedger::Clip(TimePoint now, Account& account,
                       const QuotaMembers& members) const {
  double cap = 0;
  if (now < members.MintsUntil()) {
    cap = CapsOf(*account.tenant, options_, members.Count(now)).own;
  }
  account.stock =
      std::min(account.stock, std::max(cap - account.in_flight, 0.0));
}

double QuotaLedger::DemandAt(TimePoint now, const Account& account) const {
  return account.demand_per_s *
         std::exp(-Seconds(now - account.demand_at) / kDemandTime);
}

void QuotaLedger::NoteDemand(TimePoint now, Account& account) const {
  account.demand_per_s = DemandAt(now, account) + 1 / kDemandTime;
  account.demand_at = now;
}

QuotaDecision QuotaLedger::Take(TimePoint now, const TenantId& tenant,
                                QuotaWaiter waiter,
                                const QuotaMembers& members) {
  Account* account = Find(tenant);
  if (account == nullptr) return QuotaDecision::kTaken;
  Mint(now, *account, members);
  NoteDemand(now, *account);
  if (account->waiting.empty() && account->stock >= 1) {
    account->stock -= 1;
    return QuotaDecision::kTaken;
  }
  if (now < account->draw_after) return QuotaDecision::kRefused;
  const InstanceId broker = UsableBroker(now, BrokersOf(*account, members), {});
  if (broker.empty()) return QuotaDecision::kRefused;
  account->waiting.push_back({waiter, now});
  waiting_.insert(tenant);
  const bool asked = account->draw != 0 || account->second_draw != 0;
  if (asked && now - account->drawn_at < options_.draw_timeout) {
    return QuotaDecision::kWaits;
  }
  account->second_draw = 0;
  account->draw = Draw(now, *account, broker, members);
  account->drawn_at = now;
  account->second_tried = false;
  return QuotaDecision::kWaits;
}

void QuotaLedger::Refund(TimePoint now, const TenantId& tenant,
                         const QuotaMembers& members) {
  Account* account = Find(tenant);
  if (account == nullptr) return;
  Mint(now, *account, members);
  account->stock += 1;
  Clip(now, *account, members);
}

const std::vector<InstanceId>& QuotaLedger::BrokersOf(
    Account& account, const QuotaMembers& members) const {
  if (account.generation != members.generation()) {
    account.generation = members.generation();
    account.brokers = members.BrokersOf(account.tenant->id);
  }
  return account.brokers;
}

InstanceId QuotaLedger::UsableBroker(TimePoint now,
                                     const std::vector<InstanceId>& brokers,
                                     const InstanceId& except) const {
  for (const InstanceId& id : brokers) {
    if (id == except) continue;
    const auto it = brokers_.find(id);
    const bool paused = it != brokers_.end() && it->second.passed_over_until &&
                        now < *it->second.passed_over_until;
    if (!paused) return id;
  }
  return {};
}

InstanceId QuotaLedger::BrokerOf(TimePoint now, const TenantId& tenant,
                                 const QuotaMembers& members) const {
  return UsableBroker(now, members.BrokersOf(tenant), {});
}

QuotaRequest& QuotaLedger::Send(TimePoint now, const InstanceId& broker,
                                const QuotaMembers& members) {
  QuotaRequest request;
  request.boot = boot_;
  request.number = next_number_++;
  request.list_digest = members.digest();
  request.members = members.Count(now);
  pending_[request.number] = {broker, now, {}, now, false};
  requests_.push_back({broker, std::move(request)});
  return requests_.back().request;
}

/// Asks for tokens for the operations that wait. Returns the number of the
/// request.
std::uint64_t QuotaLedger::Draw(TimePoint now, Account& account,
                                const InstanceId& broker,
                                const QuotaMembers& members) {
  const double need =
      static_cast<double>(account.waiting.size()) - account.stock;
  QuotaRequest& request = Send(now, broker, members);
  request.urgent = true;
  request.items.push_back(
      {account.tenant->id, 0, ToMicroTokens(need) + kRounding});
  return request.number;
}

void QuotaLedger::ServeWaiting(Account& account) {
  while (!account.waiting.empty() && account.stock >= 1) {
    account.stock -= 1;
    verdicts_.push_back(
        {account.waiting.front().waiter, account.tenant->id, true});
    account.waiting.pop_front();
  }
  if (account.waiting.empty()) waiting_.erase(account.tenant->id);
}

void QuotaLedger::RefuseWaiting(Account& account) {
  for (const Waiting& it : account.waiting) {
    verdicts_.push_back({it.waiter, account.tenant->id, false});
  }
  account.waiting.clear();
  waiting_.erase(account.tenant->id);
}

void QuotaLedger::OnAnswer(TimePoint now, const InstanceId& broker,
                           const QuotaAnswer& answer, QuotaMembers& members) {
  if (answer.boot != boot_) return;
  const auto it = pending_.find(answer.number);
  if (it == pending_.end() || it->second.broker != broker) return;
  const Request request = std::move(it->second);
  pending_.erase(it);
  Broker& link = brokers_[broker];
  link.unanswered = 0;
  link.passed_over_until.reset();
  if (answer.ticket != 0) {
    link.ticket = answer.ticket;
    link.ticket_received = now;
    link.wanted = {answer.wanted.begin(), answer.wanted.end()};
    members.OnAgreement(request.sent - options_.agreement_age,
                        answer.agreed_digest, answer.agreed_members);
  }
  Restore(now, request, answer);
  const bool in_time = now - request.sent < options_.grant_validity;
  for (const QuotaAnswerItem& item : answer.items) {
    Account* account = Find(item.tenant);
    if (account == nullptr) continue;
    Mint(now, *account, members);
    if (in_time) account->stock += FromMicroTokens(item.granted);
    const bool first = account->draw == answer.number;
    const bool second = account->second_draw == answer.number;
    ServeWaiting(*account);
    Clip(now, *account, members);
    if (first) account->draw = 0;
    if (second) account->second_draw = 0;
    if (first || second) EndDraw(now, *account, members);
  }
}

/// Puts back what a broker did not take, unless it is void already.
void QuotaLedger::Restore(TimePoint now, const Request& request,
                          const QuotaAnswer& answer) {
  for (const auto& [tenant, amount] : request.gives) {
    Account* account = Find(tenant);
    if (account == nullptr) continue;
    account->in_flight = std::max(account->in_flight - amount, 0.0);
    if (now >= request.gives_until) continue;
    for (const QuotaAnswerItem& item : answer.items) {
      if (item.tenant != tenant) continue;
      account->stock += std::max(amount - FromMicroTokens(item.taken), 0.0);
      break;
    }
  }
}

/// After a draw: what waits still came too late for it, or the broker had too
/// few tokens.
void QuotaLedger::EndDraw(TimePoint now, Account& account,
                          const QuotaMembers& members) {
  if (account.waiting.empty()) return;
  if (account.draw != 0 || account.second_draw != 0) return;
  const bool all_late = account.waiting.front().since > account.drawn_at;
  const InstanceId broker = UsableBroker(now, BrokersOf(account, members), {});
  if (!all_late || broker.empty()) {
    account.draw_after = now + options_.shortage_pause;
    return RefuseWaiting(account);
  }
  account.draw = Draw(now, account, broker, members);
  account.drawn_at = now;
  account.second_tried = false;
}

void QuotaLedger::Tick(TimePoint now, const QuotaMembers& members) {
  const bool late = ticked_at_ && now - *ticked_at_ > kLateTick;
  ticked_at_ = now;
  CheckRequests(now, late);
  const std::set<TenantId> waiting = waiting_;
  for (const TenantId& it : waiting) {
    if (Account* account = Find(it)) CheckWaiting(now, *account, members);
  }
  Report(now, members);
}

void QuotaLedger::CheckRequests(TimePoint now, bool late) {
  for (auto it = pending_.begin(); it != pending_.end();) {
    Request& request = it->second;
    const Duration age = now - request.sent;
    if (age >= options_.draw_timeout && !request.judged && !late) {
      request.judged = true;
      Broker& broker = brokers_[request.broker];
      if (++broker.unanswered >= kMaxUnanswered) {
        broker.passed_over_until = now + options_.broker_pause;
      }
    }
    const bool open = age < kForgetAfter || now < request.gives_until;
    if (open) {
      ++it;
      continue;
    }
    for (const auto& [tenant, amount] : request.gives) {
      Account* account = Find(tenant);
      if (account == nullptr) continue;
      account->in_flight = std::max(account->in_flight - amount, 0.0);
    }
    it = pending_.erase(it);
  }
}

void QuotaLedger::CheckWaiting(TimePoint now, Account& account,
                               const QuotaMembers& members) {
  Mint(now, account, members);
  ServeWaiting(account);
  while (!account.waiting.empty() &&
         now - account.waiting.front().since >= options_.draw_timeout) {
    verdicts_.push_back(
        {account.waiting.front().waiter, account.tenant->id, false});
    account.waiting.pop_front();
  }
  const Duration age = now - account.drawn_at;
  if (age >= options_.draw_timeout) account.draw = account.second_draw = 0;
  if (account.waiting.empty()) {
    waiting_.erase(account.tenant->id);
    return;
  }
  if (account.draw == 0 && account.second_draw == 0) {
    return EndDraw(now, account, members);
  }
  if (age < options_.second_draw_after || account.second_tried) return;
  account.second_tried = true;
  const auto asked = pending_.find(account.draw);
  if (asked == pending_.end()) return;
  const InstanceId other =
      UsableBroker(now, BrokersOf(account, members), asked->second.broker);
  if (other.empty()) return;
  account.second_draw = Draw(now, account, other, members);
}

/// Sends the reports that are due: surplus, expected need, and the list in use.
void QuotaLedger::Report(TimePoint now, const QuotaMembers& members) {
  if (accounts_.empty() || members.digest() == 0) return;
  const Duration interval = now < members.MintsUntil()
                                ? options_.report_interval
                                : options_.joining_report_interval;
  struct Draft {
    QuotaRequest request;
    Request pending;
    bool due = false;
  };
  std::map<InstanceId, Draft> drafts;
  bool any_due = false;
  for (const InstanceId& it : members.brokers()) {
    Broker& broker = brokers_[it];
    Draft& draft = drafts[it];
    draft.due = !broker.reported_at || now - *broker.reported_at >= interval;
    any_due = any_due || draft.due;
  }
  if (!any_due) return;
  for (auto& [id, account] : accounts_) {
    Mint(now, account, members);
    const InstanceId broker =
        UsableBroker(now, BrokersOf(account, members), {});
    const auto it = drafts.find(broker);
    if (it == drafts.end() || !it->second.due) continue;
    AddItem(now, account, brokers_[broker], members, it->second.request,
            it->second.pending);
  }
  for (auto& [id, draft] : drafts) {
    Broker& broker = brokers_[id];
    if (!draft.due) continue;
    const bool idle = draft.request.items.empty() && broker.wanted.empty() &&
                      broker.reported_at && now < members.MintsUntil() &&
                      now - *broker.reported_at < options_.idle_report_interval;
    if (idle) continue;
    broker.reported_at = now;
    QuotaRequest& request = Send(now, id, members);
    request.ticket = std::exchange(broker.ticket, 0);
    request.items = std::move(draft.request.items);
    Request& pending = pending_[request.number];
    pending.gives = std::move(draft.pending.gives);
    pending.gives_until =
        broker.ticket_received + options_.ticket_validity + kDrift;
  }
}

void QuotaLedger::AddItem(TimePoint now, Account& account, Broker& broker,
                          const QuotaMembers& members, QuotaRequest& request,
                          Request& pending) const {
  const double cap = CapsOf(*account.tenant, options_, members.Count(now)).own;
  const double demand = DemandAt(now, account);
  const double keep =
      cap < kLeastKeptCap ? 0 : std::min(demand * kKeepTime, cap * kKeptPart);
  const double spare = account.stock - keep;
  const auto use_within = std::chrono::duration_cast<Duration>(
      options_.ticket_validity * kTicketUse);
  const bool may_give = broker.ticket != 0 &&
                        now - broker.ticket_received < use_within &&
                        broker.wanted.contains(account.tenant->id);
  QuotaRequestItem item{account.tenant->id, 0, 0};
  if (may_give && spare >= std::min(cap * kLeastGivePart, kLeastGive)) {
    item.give = ToMicroTokens(spare);
    const double amount = FromMicroTokens(item.give);
    account.stock -= amount;
    account.in_flight += amount;
    pending.gives.emplace_back(account.tenant->id, amount);
  } else if (demand >= kExpectFrom && -spare >= kLeastNeed &&
             now < members.MintsUntil()) {
    item.need = ToMicroTokens(-spare);
  }
  if (item.give > 0 || item.need > 0) request.items.push_back(std::move(item));
}

Duration QuotaLedger::RetryAfter(const TenantId& tenant) const {
  const auto it = accounts_.find(tenant);
  if (it == accounts_.end()) return Duration(0);
  const Account& account = it->second;
  const double wait = (1 + account.demand_per_s) / account.tenant->rate_per_s;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::clamp(wait, kMinRetry, kMaxRetry)));
}

}  // namespace corianderdock::session
