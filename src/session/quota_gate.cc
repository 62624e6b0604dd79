#include "corianderdock/session/quota_gate.h"

#include <algorithm>
#include <utility>

namespace corianderdock::session {

namespace {

/// Tenants that are shown one by one.
constexpr std::size_t kShownTenants = 20;

/// A number between 0 and 1 that sets sessions apart.
double SpreadOf(SessionId session) {
  constexpr std::uint64_t kGolden = 0x9E3779B97F4A7C15;
  constexpr unsigned kUnusedBits = 11;  // a double has 53
  constexpr double kRange = 1ULL << 53U;
  return static_cast<double>((session * kGolden) >> kUnusedBits) / kRange;
}

}  // namespace

bool QuotaGate::Applies(const QuotaOptions& options,
                        const TenantDirectory* tenants) {
  if (options.bound.window <= Duration(0) || tenants == nullptr) return false;
  return std::any_of(tenants->tenants.begin(), tenants->tenants.end(),
                     [](const auto& it) { return it.second.rate_per_s > 0; });
}

void QuotaGate::OnTenants(TimePoint now,
                          std::shared_ptr<const TenantDirectory> tenants) {
  std::vector<std::pair<double, TenantId>> rates;
  if (tenants) {
    for (const auto& [id, tenant] : tenants->tenants) {
      if (tenant.rate_per_s > 0) rates.emplace_back(-tenant.rate_per_s, id);
    }
  }
  std::sort(rates.begin(), rates.end());
  rates.resize(std::min(rates.size(), kShownTenants));
  shown_.clear();
  auto counts = std::exchange(counts_, {});
  for (auto& [rate, id] : rates) {
    counts_[id] = counts[id];
    shown_.push_back(std::move(id));
  }
  quota_.OnTenants(now, std::move(tenants));
}

bool QuotaGate::OnMessage(TimePoint now, const MessageReceived& event) {
  const auto message = DecodeQuotaMessage(event.body);
  if (!message) return false;
  quota_.OnMessage(now, event.from, *message);
  return true;
}

QuotaGate::Counts& QuotaGate::CountsOf(const TenantId& tenant) {
  const auto it = counts_.find(tenant);
  return it == counts_.end() ? others_ : it->second;
}

QuotaDecision QuotaGate::Take(TimePoint now, const TenantId& tenant,
                              SessionId session,
                              std::uint64_t statement_serial) {
  const QuotaWaiter waiter = next_waiter_++;
  const QuotaDecision decision = quota_.Take(now, tenant, waiter);
  if (decision == QuotaDecision::kWaits) {
    waiting_[waiter] = {session, statement_serial};
  }
  if (decision == QuotaDecision::kTaken) ++CountsOf(tenant).started;
  return decision;
}

void QuotaGate::Return(TimePoint now, const TenantId& tenant) {
  quota_.Refund(now, tenant);
  Counts& counts = CountsOf(tenant);
  if (counts.started > 0) --counts.started;
}

Milliseconds QuotaGate::Refuse(const TenantId& tenant, SessionId session) {
  ++CountsOf(tenant).refused;
  return std::chrono::duration_cast<Milliseconds>(
      quota_.RetryAfter(tenant, SpreadOf(session)));
}

std::vector<QuotaResult> QuotaGate::TakeResults() {
  std::vector<QuotaResult> results;
  for (QuotaVerdict& it : quota_.TakeVerdicts()) {
    const auto waiter = waiting_.find(it.waiter);
    if (waiter == waiting_.end()) continue;
    if (it.granted) ++CountsOf(it.tenant).started;
    results.push_back({waiter->second.session, waiter->second.statement_serial,
                       std::move(it.tenant), it.granted});
    waiting_.erase(waiter);
  }
  return results;
}

std::vector<SendMessage> QuotaGate::TakeMessages() {
  std::vector<SendMessage> messages;
  for (const QuotaSend& it : quota_.TakeMessages()) {
    messages.push_back(
        {it.to, MessageTopic::kQuota, EncodeQuotaMessage(it.message)});
  }
  return messages;
}

Json::Value QuotaGate::Dump(TimePoint now) const {
  Json::Value root;
  root["members"] = static_cast<Json::UInt64>(quota_.Members(now));
  root["mints"] = quota_.Mints(now);
  root["tenants"] = Json::Value(Json::arrayValue);
  for (const TenantId& it : shown_) {
    const Quota::TenantState state = quota_.StateOf(now, it);
    const Counts& counts = counts_.at(it);
    Json::Value& out = root["tenants"].append(Json::objectValue);
    out["tenant"] = it;
    out["stock"] = state.stock;
    out["broker_stock"] = state.broker_stock;
    out["broker"] = state.broker;
    out["started"] = static_cast<Json::UInt64>(counts.started);
    out["refused"] = static_cast<Json::UInt64>(counts.refused);
  }
  root["others"]["started"] = static_cast<Json::UInt64>(others_.started);
  root["others"]["refused"] = static_cast<Json::UInt64>(others_.refused);
  return root;
}

}  // namespace corianderdock::session
