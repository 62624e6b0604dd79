#include "support/exchange_world.h"

#include <algorithm>
#include <utility>

#include "corianderdock/session/options.h"

namespace corianderdock::test {

using session::ConfigConfirmed;
using session::ConfigRead;
using session::InstanceExchange;
using session::StoreCall;
using session::StoreDuties;
using session::StoreFollower;
using session::StoreRequest;
using session::StoreResult;

namespace {

constexpr Duration kContact = std::chrono::seconds(5);

/// Prices of calls, as docs/PLATFORM.md states them.
double PriceOf(StoreRequest request) {
  switch (request) {
    case StoreRequest::kListServers:
    case StoreRequest::kListInstances:
    case StoreRequest::kKeepLease:
    case StoreRequest::kReadMembersStale:
      return 0.1;
    default:
      return 1;
  }
}

}  // namespace

session::StoreFollowerOptions ExchangeWorld::Node::FollowerOptions() {
  session::StoreFollowerOptions options;
  options.watch_wait = Milliseconds(4200);
  return options;
}

ExchangeWorld::ExchangeWorld(std::uint64_t seed, const ExchangeSetup& setup)
    : random_(seed), setup_(setup) {
  published_[1] = TimePoint{};
  session::InstanceExchangeOptions options;
  if (setup.keys) options.revoke_bound = kBound;
  for (std::size_t z = 0; z < setup.zones.size(); ++z) {
    for (std::size_t n = 0; n < setup.zones[z].size(); ++n) {
      const InstanceId id = "i" + std::to_string(z) + "-" + std::to_string(n);
      options.processor_share = setup.zones[z][n];
      nodes_[id] = std::make_unique<Node>(
          session::ProxyIdentity{id, "z" + std::to_string(z)},
          setup.zones[z][n], options, [this](const std::string& text) {
            return Config(std::stoull(text));
          });
      nodes_[id]->drift =
          std::uniform_real_distribution<double>(-2e-4, 2e-4)(random_);
    }
  }
  for (const auto& [id, node] : nodes_) {
    Deliver(id, now + Between(0, 1000), [this, id = id] {
      Node& started = *nodes_.at(id);
      Perform(id, started.follower.Start(ClockOf(started)));
    });
  }
}

std::shared_ptr<const session::RoutingConfig> ExchangeWorld::Config(
    std::uint64_t version) const {
  auto config = std::make_shared<session::RoutingConfig>();
  config->version = version;
  config->document =
      std::make_shared<const std::string>(std::to_string(version));
  if (setup_.keys) {
    config->tenants = std::make_shared<session::TenantDirectory>();
  }
  return config;
}

Duration ExchangeWorld::Between(int least_ms, int most_ms) {
  return std::chrono::microseconds(std::uniform_int_distribution<int>(
      least_ms * 1000, most_ms * 1000)(random_));
}

bool ExchangeWorld::Chance(double share) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

void ExchangeWorld::At(TimePoint time, Action action) {
  actions_.emplace(std::max(time, now), std::move(action));
}

/// Runs an action of an instance, once it isn't paused.
void ExchangeWorld::Deliver(const InstanceId& id, TimePoint time,
                            Action action) {
  At(time, [this, id, action = std::move(action)] {
    const Node& node = *nodes_.at(id);
    if (now < node.paused_until) return Deliver(id, node.paused_until, action);
    action();
    Schedule(id);
  });
}

TimePoint ExchangeWorld::ClockOf(const Node& node) const {
  const auto drift =
      std::chrono::duration_cast<Duration>(now.time_since_epoch() * node.drift);
  return now + drift - node.lost;
}

void ExchangeWorld::RunUntil(TimePoint end) {
  while (!actions_.empty() && actions_.begin()->first <= end) {
    auto next = actions_.extract(actions_.begin());
    now = next.key();
    next.mapped()();
  }
  now = end;
}

void ExchangeWorld::Schedule(const InstanceId& id) {
  Node& node = *nodes_.at(id);
  const auto due =
      std::min(node.follower.NextTimer().value_or(TimePoint::max()),
               node.exchange.NextTimer().value_or(TimePoint::max()));
  if (due == TimePoint::max()) return;
  const TimePoint at =
      now + std::max<Duration>(due - ClockOf(node), Milliseconds(0));
  if (at >= node.wake_at && node.wake_at > now) return;
  node.wake_at = at + Milliseconds(1);
  At(node.wake_at, [this, id, at = node.wake_at] {
    if (nodes_.at(id)->wake_at == at) Wake(id);
  });
}

void ExchangeWorld::Wake(const InstanceId& id) {
  Deliver(id, now, [this, id] {
    Node& node = *nodes_.at(id);
    node.wake_at = TimePoint::max();
    Perform(id, node.follower.OnTimer(ClockOf(node)));
    Perform(id, node.exchange.OnTimer(ClockOf(node)));
  });
}

void ExchangeWorld::Perform(const InstanceId& id,
                            StoreFollower::Outputs outputs) {
  for (auto& it : outputs) {
    if (auto* call = std::get_if<StoreCall>(&it)) CallStore(id, *call);
    if (auto* event = std::get_if<session::Event>(&it))
      Report(id, *event, true);
  }
}

void ExchangeWorld::Perform(const InstanceId& id,
                            InstanceExchange::Outputs outputs) {
  Node& node = *nodes_.at(id);
  for (auto& it : outputs) {
    if (auto* message = std::get_if<session::SendMessage>(&it)) {
      Send(id, *message);
    } else if (auto* event = std::get_if<session::Event>(&it)) {
      Report(id, *event, false);
    } else if (auto* duties = std::get_if<StoreDuties>(&it)) {
      node.duties = *duties;
      Perform(id, node.follower.SetDuties(ClockOf(node), *duties));
    } else if (std::holds_alternative<InstanceExchange::ReadConfig>(it)) {
      Perform(id, node.follower.ReadConfigNow(ClockOf(node)));
    }
  }
}

/// What `Proxy` does with the event, and `Daemon`.
void ExchangeWorld::Report(const InstanceId& id, session::Event event,
                           bool from_store) {
  Node& node = *nodes_.at(id);
  if (auto* read = std::get_if<ConfigRead>(&event)) {
    node.version = std::max(node.version, read->config->version);
    node.gate.NoteVersion(node.version);
  }
  if (auto* it = std::get_if<ConfigConfirmed>(&event)) {
    if (!setup_.rules.date_by_sending) it->as_of = ClockOf(node);
    if (it->version <= node.version) node.gate.Confirm(it->version, it->as_of);
  }
  if (from_store) Perform(id, node.exchange.OnStoreEvent(ClockOf(node), event));
}

/// The store handles a call at one moment between its sending and its answer.
void ExchangeWorld::CallStore(const InstanceId& id, const StoreCall& call) {
  price += PriceOf(call.request);
  const bool slow = now < slow_until_;
  const TimePoint handled = now + Between(1, slow ? 700 : 5);
  const bool watch = call.request == StoreRequest::kWatchConfig;
  TimePoint ends = handled;
  if (watch) ends = handled + call.wait;
  const TimePoint expires = now + call.timeout;
  auto answered = std::make_shared<bool>(false);
  const auto finish = [this, id, answered](const StoreResult& result) {
    if (std::exchange(*answered, true)) return;
    Node& node = *nodes_.at(id);
    Perform(id, node.follower.OnResult(ClockOf(node), result));
  };
  const auto handle = [this, id, call, answered, finish, slow] {
    if (*answered || now < nodes_.at(id)->cut_until) return;
    const StoreResult result = Answer(call);
    Deliver(id, now + Between(1, slow ? 700 : 5), [this, id, finish, result] {
      if (now >= nodes_.at(id)->cut_until) finish(result);
    });
  };
  At(ends, handle);
  Deliver(id, expires, [finish, call] {
    StoreResult none;
    none.number = call.number;
    finish(none);
  });
  if (!watch || silent_watches) return;
  for (const auto& [version, time] : published_) {
    if (time > handled && time < ends) At(time, handle);
  }
}

StoreResult ExchangeWorld::Answer(const StoreCall& call) {
  StoreResult result;
  result.number = call.number;
  result.status = session::StoreStatus::kOk;
  result.lease = 1;
  std::uint64_t version = 0;
  for (const auto& [it, time] : published_) {
    if (time <= now) version = it;
  }
  result.revision = version;
  const bool changed =
      call.request == StoreRequest::kWatchConfig && version > call.revision;
  if (call.request == StoreRequest::kReadConfig || changed) {
    result.config = Config(version);
  }
  if (call.request == StoreRequest::kListServers) {
    result.servers["server"].id = "server";
    result.heartbeats["server"] = ++beats_;
  }
  if (call.request == StoreRequest::kListInstances) {
    for (const auto& [id, node] : nodes_) {
      result.instances[id] = {node->zone, "", "address", node->share};
    }
  }
  return result;
}

void ExchangeWorld::Send(const InstanceId& from,
                         const session::SendMessage& message) {
  ++messages;
  const auto cut = cuts_.find({from, message.to});
  if (cut != cuts_.end() && now < cut->second) return;
  if (lossy && Chance(0.01)) return;
  Duration delay = Between(1, 4);
  if (lossy && Chance(0.02)) delay = Between(100, 4000);
  std::string body = message.body;
  if (!setup_.rules.distrust_stopped_clocks) {
    const auto decoded = session::DecodeFreshnessMessage(body);
    if (const auto* it = std::get_if<session::FreshnessAnswer>(&decoded)) {
      auto answer = *it;
      answer.clock += nodes_.at(from)->lost;
      body = Encode(answer);
    }
  }
  Deliver(message.to, now + delay, [this, from, message, body] {
    Node& node = *nodes_.at(message.to);
    Perform(message.to, node.exchange.OnMessage(ClockOf(node),
                                                {from, message.topic, body}));
  });
}

void ExchangeWorld::Arrive(const InstanceId& id, TimePoint end) {
  if (now >= end) return;
  Deliver(id, now + Between(20, 300), [this, id, end] {
    Arrive(id, end);
    Node& node = *nodes_.at(id);
    const Duration limit =
        kBound - (setup_.rules.margin ? session::ProxyOptions().revoke_margin
                                      : Duration(0));
    if (!node.gate.IsYounger(ClockOf(node), limit)) return;
    Deliver(id, now + Between(0, 800), [this, id, limit] {
      Node& sender = *nodes_.at(id);
      const bool fresh = sender.gate.IsYounger(ClockOf(sender), limit);
      if (!fresh && setup_.rules.check_before_sending) return;
      // The way to the server.
      const TimePoint runs_at = now + Between(0, 100);
      const std::uint64_t version = sender.version;
      const bool judged = sender.judged;
      At(runs_at, [this, version, judged] {
        ++statements;
        const auto next = published_.upper_bound(version);
        const bool late =
            next != published_.end() && now > next->second + kBound;
        late_statements += late && judged ? 1 : 0;
      });
    });
  });
}

void ExchangeWorld::ServeUntil(TimePoint end) {
  for (const auto& [id, node] : nodes_) Arrive(id, end);
}

void ExchangeWorld::PublishUntil(TimePoint end, Duration interval) {
  const int most =
      2 * static_cast<int>(
              std::chrono::duration_cast<Milliseconds>(interval).count());
  for (TimePoint at = now + Between(0, most); at < end;
       at += Between(100, most)) {
    published_[published_.rbegin()->first + 1] = at;
  }
}

void ExchangeWorld::CutFromStore(const InstanceId& id, Duration duration) {
  Node& node = *nodes_.at(id);
  node.cut_until = std::max(node.cut_until, now + duration);
  node.disturbed_at = std::max(node.disturbed_at, node.cut_until);
}

/// Cuts an instance off from the store and from all others.
void ExchangeWorld::Isolate(const InstanceId& id, Duration duration) {
  CutFromStore(id, duration);
  for (const auto& [other, node] : nodes_) cuts_[{id, other}] = now + duration;
}

/// The machine stops, and its clock if `stops_clock`.
void ExchangeWorld::Pause(const InstanceId& id, Duration duration,
                          bool stops_clock) {
  Node& node = *nodes_.at(id);
  if (now < node.paused_until) return;
  node.paused_until = now + duration;
  node.disturbed_at = std::max(node.disturbed_at, node.paused_until);
  if (!stops_clock) return;
  // It can't know how old its own evidence is.
  node.judged = false;
  node.lost += duration;
}

void ExchangeWorld::AddFaults(int count, TimePoint end) {
  std::vector<InstanceId> ids;
  for (const auto& [id, node] : nodes_) ids.push_back(id);
  const auto pick = [this, ids] {
    return ids[std::uniform_int_distribution<std::size_t>(
        0, ids.size() - 1)(random_)];
  };
  const int span = static_cast<int>(
      std::chrono::duration_cast<Milliseconds>(end - now).count());
  for (int n = 0; n < count; ++n) {
    At(now + Between(7000, span), [this, pick] {
      const Duration duration = Between(200, 8000);
      switch (std::uniform_int_distribution<int>(0, 6)(random_)) {
        case 0:
          return CutFromStore(pick(), duration);
        case 1: {
          const ZoneId zone = nodes_.at(pick())->zone;
          for (const auto& [id, node] : nodes_) {
            if (node->zone == zone) CutFromStore(id, duration);
          }
          return;
        }
        case 2:
          return Isolate(pick(), duration + std::chrono::seconds(2));
        case 3:
          cuts_[{pick(), pick()}] = now + duration;
          return;
        case 4:
          return Pause(pick(), duration, false);
        case 5:
          return Pause(pick(), duration, true);
        default:
          slow_until_ = now + duration;
      }
    });
  }
}

void ExchangeWorld::CheckVersionsUntil(TimePoint end) {
  if (now >= end) return;
  At(now + Milliseconds(50), [this, end] {
    std::uint64_t owed = 0;
    for (const auto& [version, time] : published_) {
      if (time + kContact <= now) owed = version;
    }
    for (const auto& [id, node] : nodes_) {
      const bool in_contact = node->disturbed_at + kContact <= now;
      if (in_contact && node->version < owed) ++late_versions;
    }
    CheckVersionsUntil(end);
  });
}

int ExchangeWorld::Readers() const {
  return static_cast<int>(
      std::count_if(nodes_.begin(), nodes_.end(), [](const auto& it) {
        return it.second->duties.config == StoreDuties::Config::kRead;
      }));
}

int ExchangeWorld::Followers() const {
  return static_cast<int>(
      std::count_if(nodes_.begin(), nodes_.end(),
                    [](const auto& it) { return !it.second->duties.lists; }));
}

bool ExchangeWorld::AllFresh() const {
  return std::all_of(nodes_.begin(), nodes_.end(), [this](const auto& it) {
    return it.second->gate.IsYounger(ClockOf(*it.second), kBound / 2);
  });
}

}  // namespace corianderdock::test
