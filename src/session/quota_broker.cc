#include "corianderdock/session/quota_broker.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace corianderdock::session {

namespace {

/// Tenants in one answer whose tokens are wanted, for each of two reasons.
constexpr std::size_t kMaxWanted = 64;
/// Numbers of a sender's requests that are kept to recognise repeated ones.
constexpr std::size_t kKnownRequests = 32;
/// Interval at which the wanted tenants and the agreement are found anew.
constexpr Duration kRefreshInterval = std::chrono::milliseconds(50);
/// Part of its cap that a stock must lack for its tenant to be wanted.
constexpr double kWantedPart = 0.1;
/// A later broker of a tenant wants its tokens while it is asked for them.
constexpr Duration kAskedTime = std::chrono::seconds(2);
/// Part of a stock that a report may get: the rest is for operations that wait.
constexpr double kReportPart = 0.5;

/// What a stock lacks.
struct Lack {
  double part = 0;  ///< of its cap
  double tokens = 0;
  const TenantId* tenant = nullptr;
};

/// Removes the elements with the highest `value` and returns their tenants.
std::vector<TenantId> TakeFirst(std::vector<Lack>& lacking,
                                double Lack::*value) {
  const auto n =
      static_cast<std::ptrdiff_t>(std::min(lacking.size(), kMaxWanted));
  std::partial_sort(
      lacking.begin(), lacking.begin() + n, lacking.end(),
      [&](const Lack& a, const Lack& b) { return a.*value > b.*value; });
  std::vector<TenantId> tenants;
  for (auto it = lacking.begin(); it != lacking.begin() + n; ++it) {
    tenants.push_back(*it->tenant);
  }
  lacking.erase(lacking.begin(), lacking.begin() + n);
  return tenants;
}

}  // namespace

void QuotaBroker::SetTenants(std::shared_ptr<const TenantDirectory> tenants) {
  tenants_ = std::move(tenants);
  std::erase_if(stocks_, [this](const auto& it) {
    return !tenants_ || !tenants_->tenants.contains(it.first);
  });
  wanted_at_.reset();
}

double QuotaBroker::StockOf(const TenantId& tenant) const {
  const auto it = stocks_.find(tenant);
  return it == stocks_.end() ? 0 : it->second.amount;
}

std::optional<QuotaAnswer> QuotaBroker::Handle(TimePoint now,
                                               const InstanceId& from,
                                               const QuotaRequest& request,
                                               const QuotaMembers& members) {
  Sender& sender = senders_[from];
  if (Repeated(sender, request)) return std::nullopt;
  const bool valid = Accepts(now, sender, request);
  QuotaAnswer answer;
  answer.boot = request.boot;
  answer.number = request.number;
  for (const QuotaRequestItem& it : request.items) {
    answer.items.push_back({it.tenant, 0, 0});
    if (!tenants_ || !members.MayHold(now)) continue;
    const auto tenant = tenants_->tenants.find(it.tenant);
    if (tenant == tenants_->tenants.end()) continue;
    if (tenant->second.rate_per_s <= 0) continue;
    answer.items.back() =
        Trade(now, tenant->second, it, valid, request.urgent, members);
  }
  if (request.urgent) return answer;
  sender.ticket = next_ticket_++;
  sender.ticket_issued = now;
  answer.ticket = sender.ticket;
  FindAgreement(now, members);
  answer.agreed_digest = agreed_digest_;
  answer.agreed_members = agreed_members_;
  FindWanted(now, members);
  answer.wanted = wanted_;
  return answer;
}

/// Whether a request was handled before, or is too late to know it.
bool QuotaBroker::Repeated(const Sender& sender, const QuotaRequest& request) {
  if (sender.boot != request.boot) return false;
  const auto& numbers = sender.numbers;
  if (std::find(numbers.begin(), numbers.end(), request.number) !=
      numbers.end()) {
    return true;
  }
  return numbers.size() == kKnownRequests && request.number < numbers.front();
}

/// Uses up the ticket of a request. Returns whether tokens in it count.
bool QuotaBroker::Accepts(TimePoint now, Sender& sender,
                          const QuotaRequest& request) {
  if (sender.boot != request.boot) sender = {};
  sender.boot = request.boot;
  sender.numbers.push_back(request.number);
  if (sender.numbers.size() > kKnownRequests) sender.numbers.pop_front();
  if (request.urgent) return false;
  const bool valid = request.ticket != 0 && request.ticket == sender.ticket &&
                     now - sender.ticket_issued < options_.ticket_validity;
  sender.ticket = 0;
  if (valid) {
    sender.digest = request.list_digest;
    sender.members = request.members;
    sender.reported_at = sender.ticket_issued;
  }
  return valid;
}

/// Returns the stock of a tenant, clipped to what this broker may hold now.
QuotaBroker::Stock& QuotaBroker::Refresh(TimePoint now, const Tenant& tenant,
                                         const QuotaMembers& members) {
  Stock& stock = stocks_[tenant.id];
  if (stock.generation != members.generation()) {
    stock.generation = members.generation();
    const auto order = members.BrokersOf(tenant.id);
    const auto it = std::find(order.begin(), order.end(), self_);
    // One that isn't a broker may be asked by instances with another list.
    stock.part = BrokerPart(static_cast<std::size_t>(it - order.begin()));
    stock.first = it == order.begin() && it != order.end();
  }
  while (!stock.grants.empty() && stock.grants.front().until <= now) {
    stock.granted -= stock.grants.front().amount;
    stock.grants.pop_front();
  }
  if (stock.grants.empty()) stock.granted = 0;
  stock.amount = std::min(stock.amount, CapOf(now, tenant, stock, members));
  return stock;
}

double QuotaBroker::CapOf(TimePoint now, const Tenant& tenant,
                          const Stock& stock,
                          const QuotaMembers& members) const {
  if (!members.MayHold(now)) return 0;
  const double cap =
      CapsOf(tenant, options_, members.LeastCount(now)).broker * stock.part;
  return std::max(cap - stock.granted, 0.0);
}

QuotaAnswerItem QuotaBroker::Trade(TimePoint now, const Tenant& tenant,
                                   const QuotaRequestItem& item, bool valid,
                                   bool urgent, const QuotaMembers& members) {
  QuotaAnswerItem answer{tenant.id, 0, 0};
  Stock& stock = Refresh(now, tenant, members);
  stock.asked_at = now;
  if (valid && item.give > 0) {
    const double room = CapOf(now, tenant, stock, members) - stock.amount;
    answer.taken = std::min(item.give, ToMicroTokens(room));
    stock.amount += FromMicroTokens(answer.taken);
  }
  const double need = FromMicroTokens(item.need);
  double granted = need;
  if (!urgent) {
    granted = std::min(need, stock.amount * kReportPart);
  } else if (stock.amount < need) {
    // Enough for fewer of the operations that wait, or for none.
    granted = need - std::ceil(need - stock.amount);
  }
  answer.granted = std::min(ToMicroTokens(granted), item.need);
  if (answer.granted == 0) return answer;
  const double amount = FromMicroTokens(answer.granted);
  stock.amount = std::max(stock.amount - amount, 0.0);
  stock.grants.push_back({amount, now + options_.grant_validity});
  stock.granted += amount;
  return answer;
}

void QuotaBroker::FindWanted(TimePoint now, const QuotaMembers& members) {
  if (wanted_at_ && now - *wanted_at_ < kRefreshInterval) return;
  wanted_at_ = now;
  wanted_.clear();
  if (!tenants_ || !members.MayHold(now)) return;
  std::vector<Lack> lacking;
  for (const auto& [id, tenant] : tenants_->tenants) {
    if (tenant.rate_per_s <= 0) continue;
    const Stock& stock = Refresh(now, tenant, members);
    const bool asked = stock.asked_at && now - *stock.asked_at < kAskedTime;
    if (!stock.first && !asked) continue;
    const double cap = CapOf(now, tenant, stock, members);
    const double room = cap - stock.amount;
    if (room > cap * kWantedPart) lacking.push_back({room / cap, room, &id});
  }
  // Of small tenants those with the least part, of large ones those that use
  // most.
  wanted_ = TakeFirst(lacking, &Lack::part);
  for (TenantId& it : TakeFirst(lacking, &Lack::tokens)) {
    wanted_.push_back(std::move(it));
  }
}

/// Finds out whether all members of this instance's list have reported that
/// they use the same one.
void QuotaBroker::FindAgreement(TimePoint now, const QuotaMembers& members) {
  const bool fresh = agreement_checked_at_ &&
                     now - *agreement_checked_at_ < kRefreshInterval &&
                     agreed_digest_ == members.digest();
  if (fresh) return;
  agreement_checked_at_ = now;
  agreed_digest_ = 0;
  agreed_members_ = 0;
  if (members.digest() == 0) return;
  std::size_t most = members.Count(now);
  for (const InstanceId& it : members.listed()) {
    const auto sender = senders_.find(it);
    if (sender == senders_.end()) return;
    const Sender& report = sender->second;
    if (report.digest != members.digest() || !report.reported_at) return;
    if (now - *report.reported_at > options_.agreement_age) return;
    most = std::max(most, report.members);
  }
  agreed_digest_ = members.digest();
  agreed_members_ = most;
}

}  // namespace corianderdock::session
