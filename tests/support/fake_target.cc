#include "fake_target.h"

namespace testing_support {

namespace {

constexpr Duration kWarmUp = std::chrono::seconds(3);
constexpr int kSessions = 4;

int Number(const std::string& text) { return std::atoi(text.c_str()); }

}  // namespace

LoadRates ParseLoad(const std::vector<std::string>& words) {
  LoadRates rates;
  for (std::size_t n = 1; n + 1 < words.size(); n += 2) {
    const std::string& name = words[n];
    const std::string& value = words[n + 1];
    if (name == "writes") {
      rates.writes = ParseRate(value);
    } else if (name == "reads") {
      rates.reads = ParseRate(value);
    } else if (name == "aged") {
      rates.bounded_reads = ParseRate(value);
    } else if (name == "transactions") {
      rates.transactions = ParseRate(value);
    } else if (name == "until") {
      rates.until = TimeOf(value);
    } else {
      return {};
    }
  }
  rates.valid = rates.until.count() > 0;
  return rates;
}

std::string CheckHistory(const std::vector<std::string>& words,
                         const History& history, TimePoint start, TimePoint end,
                         bool& handled) {
  handled = true;
  const std::string kind = words.empty() ? "" : words[0];
  if (kind == "promises") {
    const auto violations = history.Violations();
    return violations.empty()
               ? ""
               : violations.front() + " and " +
                     std::to_string(violations.size() - 1) + " more";
  }
  if (kind == "gap" && words.size() == 3) {
    const Duration gap = history.LongestWriteGap(start, end);
    if (gap < TimeOf(words[2])) return "";
    const auto ms = std::chrono::duration_cast<Milliseconds>(gap).count();
    return "longest gap without a completed write: " + std::to_string(ms) +
           " ms";
  }
  if (kind == "done" && words.size() == 3) {
    const auto type = words[1] == "writes"
                          ? OperationType::kWrite
                          : (words[1] == "reads" ? OperationType::kRead
                                                 : OperationType::kTransaction);
    const auto n = history.Count(type, Outcome::kDone);
    if (n >= static_cast<std::size_t>(Number(words[2]))) return "";
    return "only " + std::to_string(n) + " operations completed";
  }
  handled = false;
  return "";
}

FakeTarget::FakeTarget(std::uint64_t seed, const Policy* policy)
    : world_(
          [policy] {
            WorldOptions options;
            options.policy = policy;
            return options;
          }(),
          seed),
      random_(seed) {
  world_.RunFor(kWarmUp);
  start_ = world_.now();
  load_end_ = start_;
  initial_primary_ = world_.PrimaryName();
}

bool FakeTarget::ScheduleLoad(const Step& step) {
  const LoadRates rates = ParseLoad(step.words);
  if (!rates.valid) return false;
  load_end_ = std::max(load_end_, start_ + rates.until);
  using Kind = std::function<void(int, int, int)>;
  const std::vector<std::pair<double, Kind>> kinds = {
      {rates.writes, [this](int s, int n, int) { world_.Write(s, n); }},
      {rates.reads, [this](int s, int n, int) { world_.Read(s, n, "now"); }},
      {rates.bounded_reads,
       [this](int s, int n, int) { world_.Read(s, n, "soon"); }},
      {rates.transactions, [this](int s, int n, int other) {
         world_.RunTransaction(s, n, other);
       }}};
  for (const auto& [rate, kind] : kinds) {
    if (rate <= 0) continue;
    std::exponential_distribution<double> gap(rate);
    Duration at{0};
    for (;;) {
      at += std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(gap(random_)));
      if (at >= rates.until) break;
      const int session = static_cast<int>(random_() % kSessions);
      const int n = static_cast<int>(random_() % 3);
      const int other = static_cast<int>(random_() % 3);
      world_.After(
          at, [kind = kind, session, n, other] { kind(session, n, other); });
    }
  }
  return true;
}

std::function<void()> FakeTarget::ActionOf(
    const std::vector<std::string>& words) {
  const std::string& verb = words[0];
  const std::string object = words.size() > 1 ? words[1] : "";
  const std::string name = words.size() > 2 ? words[2] : "";
  const std::string& last = words.back();
  const bool on_server = object == "server";
  const bool on_instance = object == "instance";
  const int n = Number(name);
  if (verb == "kill" && on_server)
    return [=, this] { world_.KillServer(name); };
  if (verb == "restart" && on_server) {
    return [=, this] { world_.RestartServer(name); };
  }
  if (verb == "silence" && on_server) {
    return [=, this] { world_.SilenceConnections(name); };
  }
  if (verb == "leave" && on_server) {
    return [=, this] { world_.MarkServerLeaving(name); };
  }
  if (verb == "lag" && on_server) {
    return [=, this] { world_.SetLag(name, TimeOf(last)); };
  }
  if (verb == "freeze" && on_server) {
    return [=, this] {
      const std::string id = name == "primary" ? world_.PrimaryName() : name;
      world_.FreezeServer(id, true);
      world_.After(TimeOf(last), [=, this] { world_.FreezeServer(id, false); });
    };
  }
  if (verb == "kill" && on_instance)
    return [=, this] { world_.KillInstance(n); };
  if (verb == "restart" && on_instance) {
    return [=, this] { world_.RestartInstance(n); };
  }
  if (verb == "drain" && on_instance) {
    return [=, this] { world_.DrainInstance(n); };
  }
  if (verb == "freeze" && on_instance) {
    return [=, this] {
      world_.FreezeInstance(n, true);
      world_.After(TimeOf(last),
                   [=, this] { world_.FreezeInstance(n, false); });
    };
  }
  if (verb == "cut" && words.size() == 4) {
    return [=, this] { world_.PartitionZones(words[1], words[3]); };
  }
  if (verb == "isolate") {
    return [=, this] {
      for (const auto* zone : {"a", "b", "c"}) {
        if (object != zone) world_.PartitionZones(object, zone);
      }
      world_.PartitionPlatform(object);
    };
  }
  if (verb == "heal") return [this] { world_.HealAll(); };
  if (verb == "platform") return [=, this] { world_.SetPlatform(object); };
  if (verb == "sheet") return [this] { world_.LoadSheet(); };
  return nullptr;
}

bool FakeTarget::Schedule(const Step& step) {
  if (step.words[0] == "load") return ScheduleLoad(step);
  const auto action = ActionOf(step.words);
  if (!action) return false;
  world_.After(step.at, action);
  return true;
}

void FakeTarget::Run(Duration end) {
  world_.RunUntil(start_ + end);
  world_.Settle();
}

std::string FakeTarget::Check(const Step& step) {
  bool handled = false;
  std::string reason =
      CheckHistory(step.words, world_.history(), start_, load_end_, handled);
  if (step.words[0] == "promises" && reason.empty() &&
      !world_.violations().empty()) {
    return world_.violations().front();
  }
  if (handled) return reason;
  const std::string kind = step.words[0];
  if (kind == "primary") {
    const bool changed = world_.PrimaryName() != initial_primary_;
    const bool expected = step.words.back() == "changed";
    return changed == expected ? "" : "primary is " + world_.PrimaryName();
  }
  if (kind == "ended") {
    return world_.Exited(Number(step.words.back())) ? ""
                                                    : "instance has not exited";
  }
  if (kind == "version") {
    for (int n = 0; n < world_.instances(); ++n) {
      const auto version =
          world_.reducer(n)->configuration().accepted().version;
      if (version != static_cast<SheetVersion>(Number(step.words.back()))) {
        return "instance " + std::to_string(n) + " runs version " +
               std::to_string(version);
      }
    }
    return "";
  }
  return "unknown expectation";
}

}  // namespace testing_support
