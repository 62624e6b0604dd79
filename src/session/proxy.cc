#include "corianderdock/session/proxy.h"

#include <json/json.h>

#include <utility>

namespace corianderdock::session {

Proxy::Proxy(ProxyIdentity self, ProxyOptions options)
    : self_(std::move(self)), options_(options) {
  options_.failover.safety = options_.safety;
}

Effects Proxy::Reduce(TimePoint now, const Event& event) {
  now_ = now;
  if (!check_scheduled_) {
    check_scheduled_ = true;
    started_at_ = now;
    ScheduleAfter(options_.check_interval, {TimerKind::kCheck, 0, 0});
  }
  std::visit([this](const auto& it) { On(it); }, event);
  FireTimers();
  while (!services_to_dispatch_.empty()) {
    const ServiceId service = *services_to_dispatch_.begin();
    services_to_dispatch_.erase(services_to_dispatch_.begin());
    DispatchService(service);
  }
  return std::exchange(effects_, {});
}

void Proxy::On(const TimerFired& /*event*/) {}

void Proxy::FireTimers() {
  while (auto timer = timers_.TakeDue(now_)) {
    switch (timer->kind) {
      case TimerKind::kStatementDeadline:
        OnDeadline(timer->id, timer->statement_serial);
        break;
      case TimerKind::kAttemptTimeout:
        OnAttemptTimeout(timer->id, timer->statement_serial);
        break;
      case TimerKind::kRetryStatement: {
        const auto it = sessions_.find(timer->id);
        if (it == sessions_.end() || !it->second.pending) break;
        if (it->second.pending->statement_serial != timer->statement_serial) {
          break;
        }
        if (!it->second.pending->sent && !it->second.pending->queued) {
          Enqueue(timer->id, it->second);
        }
        break;
      }
      case TimerKind::kQueueTimeout:
        OnQueueTimeout(timer->id, timer->statement_serial);
        break;
      case TimerKind::kTransactionIdle:
        OnTransactionIdle(timer->id);
        break;
      case TimerKind::kConnectTimeout: {
        const auto it = connections_.find(timer->id);
        if (it == connections_.end() || it->second.open) break;
        Emit(CloseServerConnection{timer->id});
        On(ServerConnected{timer->id, ErrorCode::kOther, {}});
        break;
      }
      case TimerKind::kRefusalDoubt:
        OnRefusalDoubt(timer->id);
        break;
      case TimerKind::kHeldCommit:
        OnHeldCommit(timer->id, timer->statement_serial);
        break;
      case TimerKind::kQuota:
        if (quota_) quota_->Tick(now_);
        FinishQuota();
        break;
      case TimerKind::kCheck:
        if (quota_) quota_->Tick(now_);
        FinishQuota();
        CheckServers();
        CheckMembers();
        CheckServices();
        CheckShutdown();
        ScheduleAfter(options_.check_interval, {TimerKind::kCheck, 0, 0});
        break;
      default:
        break;
    }
  }
}

bool Proxy::Ready() const {
  const bool isolated =
      isolated_since_ && now_ - *isolated_since_ >= options_.isolated_after;
  return config_ && servers_known_ && !stop_requested_at_ && !isolated &&
         ServesSomeRoute();
}

void Proxy::Count(std::string_view name) {
  const auto it = counters_.find(name);
  if (it == counters_.end()) {
    counters_.emplace(name, 1);
  } else {
    ++it->second;
  }
}

void Proxy::LogRequest(const std::string& text) {
  if (now_ - log_window_start_ >= std::chrono::seconds(1)) {
    if (log_dropped_ > 0) {
      Log("request log lines dropped count=" + std::to_string(log_dropped_));
    }
    log_window_start_ = now_;
    log_lines_ = 0;
    log_dropped_ = 0;
  }
  if (log_lines_ < options_.request_lines_per_second) {
    ++log_lines_;
    return Log(text);
  }
  ++log_dropped_;
  Count("request_lines_dropped");
}

void Proxy::Warn(std::string text) {
  if (now_ - warning_window_start_ >= std::chrono::seconds(1)) {
    warning_window_start_ = now_;
    warnings_ = 0;
  }
  if (warnings_ >= options_.warnings_per_second) {
    Count("warnings_demoted");
    return Log(std::move(text));
  }
  ++warnings_;
  Emit(LogDecision{std::move(text), Severity::kWarning});
}

void Proxy::On(const ConfigRead& event) {
  if (config_ && event.config->version <= config_->version) {
    // A restored store may show a version that was replaced; what was confirmed
    // later stays in force.
    if (event.config->version < config_->version) {
      Log("config not installed version=" +
          std::to_string(event.config->version) +
          " used=" + std::to_string(config_->version) + " reason=older");
      Count("configs_not_installed");
    }
    return;
  }
  Log("config installed version=" + std::to_string(event.config->version) +
      " previous=" + std::to_string(config_ ? config_->version : 0) +
      " routes=" + std::to_string(event.config->routes.size()));
  for (const DatabaseName& it : event.config->rejected_routes) {
    LogRequest("config route rejected version=" +
               std::to_string(event.config->version) +
               " database=" + (it.empty() ? "-" : it));
  }
  if (event.config->tenants) {
    for (const std::string& it : event.config->tenants->rejected) {
      LogRequest("config tenant rejected version=" +
                 std::to_string(event.config->version) + " " + it);
    }
  }
  gauges_["config_version"] = static_cast<double>(event.config->version);
  gauges_["config_rejected_version"] = 0;
  config_ = event.config;
  tenants_seen_ = tenants_seen_ || config_->tenants != nullptr;
  config_freshness_.NoteVersion(config_->version);
  ConfigureQuota();
  for (auto& [id, service] : services_) service.needs_samples = false;
  for (const auto& [name, limits] : config_->services) {
    ServiceOf(name).limits = limits;
  }
  for (const auto& [database, route] : config_->routes) {
    if (route->freshness == Freshness::kPrimary) continue;
    ServiceOf(route->service).needs_samples = true;
  }
  PlanPaths();
}

void Proxy::On(const ConfigRejected& event) {
  const ConfigRejection& rejection = event.rejection;
  Warn("config rejected version=" + std::to_string(rejection.version) +
       " used=" + std::to_string(config_ ? config_->version : 0) +
       " reason=" + rejection.reason);
  Count("configs_rejected");
  gauges_["config_rejected_version"] = static_cast<double>(rejection.version);
}

void Proxy::On(const InstancesRead& event) {
  self_listed_ = event.self_listed;
  if (quota_) quota_->OnInstances(now_, event.instances, self_listed_);
  if (event.instances == instances_) return;
  Log("instance list changed instances=" +
      std::to_string(event.instances.size()) +
      " previous=" + std::to_string(instances_.size()));
  const bool first = instances_.empty();
  instances_ = event.instances;
  PlanPaths();
  if (!first) return;
  // Statements may have waited for the list.
  for (const auto& [id, service] : services_) services_to_dispatch_.insert(id);
}

std::string Proxy::DumpState() const {
  Json::Value root;
  root["instance"] = self_.id;
  root["ready"] = Ready();
  root["config_version"] =
      static_cast<Json::UInt64>(config_ ? config_->version : 0);
  root["sessions"] = static_cast<Json::UInt64>(sessions_.size());
  root["connections"] = static_cast<Json::UInt64>(connections_.size());
  for (const auto& [id, service] : services_) {
    Json::Value& out = root["services"][id];
    out["primary"] = service.primary;
    out["term"] = static_cast<Json::UInt64>(service.newest_term);
    out["queued_primary"] =
        static_cast<Json::UInt64>(service.primary_queue.size());
    out["queued_reads"] = static_cast<Json::UInt64>(service.read_queue.size());
    out["failover_phase"] = static_cast<int>(service.failover.phase());
  }
  for (const auto& [id, pool] : pools_) {
    Json::Value& out = root["servers"][id];
    out["service"] = pool.entry.service;
    out["running"] = pool.running;
    out["connections"] = static_cast<Json::UInt64>(pool.connections.size());
    out["idle"] = static_cast<Json::UInt64>(pool.idle.size());
    out["failing"] = pool.failing;
    out["repeats_replies"] = pool.repeats_replies;
    out["draining"] = pool.entry.draining;
    out["path"] = pool.relay;
    out["path_shared"] = pool.shared;
    out["peers"] = static_cast<Json::UInt64>(pool.peers.size());
  }
  if (quota_) root["quota"] = quota_->Dump(now_);
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  return Json::writeString(writer, root);
}

}  // namespace corianderdock::session
