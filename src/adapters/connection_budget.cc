#include "corianderdock/net/connection_budget.h"

#include <json/json.h>

#include <array>
#include <utility>

namespace corianderdock::net {

namespace {

constexpr Duration kLogInterval = std::chrono::seconds(10);
constexpr std::size_t kLargestShown = 10;

constexpr std::array<const char*, kLimits> kLimitNames = {
    "connections",  "not_started", "memory",          "start_timeout",
    "line_timeout", "line_length", "slow_reader",     "http_timeout",
    "http_size",    "answer_size", "descriptor_table"};
constexpr std::array<const char*, kPeerKinds> kKindNames = {
    "client", "instance", "http", "server"};

const char* NameOf(Limit limit) {
  return kLimitNames[static_cast<std::size_t>(limit)];
}

}  // namespace

BudgetAccount::~BudgetAccount() { budget_->Close(id_); }

void BudgetAccount::SetIdle(std::size_t bytes) {
  if (bytes == idle_) return;
  idle_ = bytes;
  paused_ = budget_->Set(id_, idle_, work_);
}

void BudgetAccount::SetWork(std::size_t bytes) {
  if (bytes == work_) return;
  work_ = bytes;
  paused_ = budget_->Set(id_, idle_, work_);
}

void BudgetAccount::SetStarted(bool started) {
  const std::lock_guard lock(budget_->mutex_);
  budget_->budget_.SetStarted(id_, started);
}

void BudgetAccount::Refresh() { paused_ = budget_->Set(id_, idle_, work_); }

bool BudgetAccount::paused() const { return paused_; }

void BudgetAccount::Note(Limit limit) { budget_->Note(limit); }

void ConnectionBudget::SetLimits(const BudgetLimits& limits) {
  const std::lock_guard lock(mutex_);
  budget_.SetLimits(limits);
}

BudgetLimits ConnectionBudget::limits() const {
  const std::lock_guard lock(mutex_);
  return budget_.limits();
}

std::shared_ptr<BudgetAccount> ConnectionBudget::Open(PeerKind kind,
                                                      std::size_t descriptors) {
  MemoryBudget::Admission admission;
  {
    const std::lock_guard lock(mutex_);
    admission = budget_.Open(kind, descriptors);
  }
  if (admission.close) CloseAll({*admission.close}, Limit::kNotStarted);
  if (!admission.id) {
    Note(Limit::kConnections);
    return nullptr;
  }
  return std::shared_ptr<BudgetAccount>(
      new BudgetAccount(shared_from_this(), *admission.id));
}

void ConnectionBudget::OnClose(const BudgetAccount& account,
                               CloseConnection close, ResumeReading resume) {
  const std::lock_guard lock(mutex_);
  close_[account.id()] = std::move(close);
  if (resume) resume_[account.id()] = std::move(resume);
}

bool ConnectionBudget::Set(std::uint64_t id, std::size_t idle,
                           std::size_t work) {
  MemoryBudget::Decision decision;
  {
    const std::lock_guard lock(mutex_);
    decision = budget_.Set(id, idle, work);
  }
  if (!decision.close.empty()) CloseAll(decision.close, Limit::kMemory);
  if (!decision.resume.empty()) ResumeAll(decision.resume);
  return decision.pause;
}

void ConnectionBudget::Close(std::uint64_t id) {
  std::vector<std::uint64_t> resume;
  {
    const std::lock_guard lock(mutex_);
    resume = budget_.Close(id);
    close_.erase(id);
    resume_.erase(id);
  }
  ResumeAll(resume);
}

void ConnectionBudget::ResumeAll(const std::vector<std::uint64_t>& ids) {
  for (const std::uint64_t id : ids) {
    ResumeReading resume;
    {
      const std::lock_guard lock(mutex_);
      const auto it = resume_.find(id);
      if (it != resume_.end()) resume = it->second;
    }
    if (resume) resume();
  }
}

void ConnectionBudget::CloseAll(const std::vector<std::uint64_t>& ids,
                                Limit limit) {
  for (const std::uint64_t id : ids) {
    CloseConnection close;
    {
      const std::lock_guard lock(mutex_);
      const auto it = close_.find(id);
      if (it != close_.end()) {
        close = std::move(it->second);
        close_.erase(it);
      }
    }
    Note(limit);
    if (close) close();
  }
}

void ConnectionBudget::Note(Limit limit) {
  std::uint64_t since_logged = 0;
  {
    const std::lock_guard lock(mutex_);
    Noted& it = noted_[static_cast<std::size_t>(limit)];
    ++it.count;
    const TimePoint now = Clock::now();
    if (it.logged_at && now - *it.logged_at < kLogInterval) return;
    it.logged_at = now;
    since_logged = it.count - std::exchange(it.logged_count, it.count);
  }
  if (!log_) return;
  log_(std::string("connection limited reason=") + NameOf(limit) +
       " count=" + std::to_string(since_logged));
}

std::map<std::string, std::uint64_t> ConnectionBudget::Counters() const {
  const std::lock_guard lock(mutex_);
  std::map<std::string, std::uint64_t> out;
  for (std::size_t n = 0; n < kLimits; ++n) {
    out[std::string("connections_limited_") + kLimitNames[n]] = noted_[n].count;
  }
  return out;
}

std::map<std::string, double> ConnectionBudget::Gauges() const {
  const std::lock_guard lock(mutex_);
  std::map<std::string, double> out;
  out["budget_limit_bytes"] = static_cast<double>(budget_.limits().total_bytes);
  for (std::size_t n = 0; n < kPeerKinds; ++n) {
    const auto kind = static_cast<PeerKind>(n);
    const std::string name = kKindNames[n];
    out["budget_" + name + "_bytes"] = static_cast<double>(budget_.bytes(kind));
    out["budget_" + name + "_connections"] =
        static_cast<double>(budget_.connections(kind));
  }
  return out;
}

std::string ConnectionBudget::DumpState() const {
  const std::lock_guard lock(mutex_);
  const auto number = [](std::size_t n) { return Json::UInt64{n}; };
  Json::Value root;
  root["limit_bytes"] = number(budget_.limits().total_bytes);
  root["reserved_bytes"] = number(budget_.limits().reserved_bytes);
  root["connection_bytes"] = number(budget_.limits().connection_bytes);
  root["max_descriptors"] = number(budget_.limits().max_descriptors);
  for (std::size_t n = 0; n < kPeerKinds; ++n) {
    const auto kind = static_cast<PeerKind>(n);
    root["kinds"][kKindNames[n]]["bytes"] = number(budget_.bytes(kind));
    root["kinds"][kKindNames[n]]["connections"] =
        number(budget_.connections(kind));
  }
  root["largest"] = Json::Value(Json::arrayValue);
  for (const auto& it : budget_.Largest(kLargestShown)) {
    Json::Value entry;
    entry["connection"] = Json::UInt64{it.id};
    entry["kind"] = kKindNames[static_cast<std::size_t>(it.kind)];
    entry["bytes"] = number(it.bytes);
    root["largest"].append(entry);
  }
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  return Json::writeString(writer, root);
}

}  // namespace corianderdock::net
