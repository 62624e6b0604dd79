#include "schedule.h"

#include <random>

namespace testing_support {

namespace {

constexpr Duration kLoadDuration = std::chrono::seconds(8);
constexpr Duration kWarmUp = std::chrono::seconds(3);
constexpr Duration kDrainTime = std::chrono::seconds(4);
constexpr int kSessions = 4;
constexpr double kClockDrift = 500e-6;

void Inject(FakeWorld& world, const Fault& fault) {
  const std::string server = "g-" + std::to_string(fault.target + 1);
  const std::vector<ZoneId> zones = {"a", "b", "c"};
  const ZoneId& zone = zones[static_cast<std::size_t>(fault.target)];
  const ZoneId& next = zones[static_cast<std::size_t>(fault.target + 1) % 3];
  const ZoneId& last = zones[static_cast<std::size_t>(fault.target + 2) % 3];
  const Duration length = Milliseconds(fault.length_ms);
  const int n = fault.target;
  switch (fault.kind) {
    case 0:
    case 1:
      world.KillServer("primary");
      break;
    case 2:
      world.FreezeServer(server, true);
      world.After(length,
                  [&world, server] { world.FreezeServer(server, false); });
      break;
    case 3: {
      const std::string primary = world.PrimaryName();
      world.FreezeServer(primary, true);
      world.After(length,
                  [&world, primary] { world.FreezeServer(primary, false); });
      break;
    }
    case 4:
      world.PartitionZones(zone, next);
      world.PartitionZones(zone, last);
      world.PartitionPlatform(zone);
      break;
    case 5:
      world.PartitionZones(zone, next);
      break;
    case 6:
      world.HealAll();
      break;
    case 7:
      world.KillInstance(n);
      world.After(length, [&world, n] { world.RestartInstance(n); });
      break;
    case 8:
      world.FreezeInstance(n, true);
      world.After(length, [&world, n] { world.FreezeInstance(n, false); });
      break;
    case 9:
      world.SilenceConnections(server);
      break;
    case 10:
      world.SetPlatform(
          fault.target == 0 ? "down" : (fault.target == 1 ? "slow" : "stale"));
      break;
    case 11:
      world.LoadSheet();
      break;
    case 12:
      world.SetLag(server, length / 4);
      break;
    case 13:
      world.RestartServer(server);
      break;
    case 14:
      world.DrainInstance(n);
      world.After(length + kDrainTime,
                  [&world, n] { world.RestartInstance(n); });
      break;
    case 15:
      world.MarkServerLeaving(fault.target == 0 ? "primary" : server);
      break;
    default:
      break;
  }
}

void ScheduleLoad(FakeWorld& world, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  for (Duration at = Milliseconds(10); at < kLoadDuration;
       at += Milliseconds(5 + random() % 40)) {
    const int session = static_cast<int>(random() % kSessions);
    const int instance = static_cast<int>(random() % 3);
    const int other = static_cast<int>(random() % 3);
    const auto choice = random() % 10;
    world.After(at, [&world, session, instance, other, choice] {
      if (choice < 4) {
        world.Write(session, instance);
      } else if (choice < 6) {
        world.Read(session, instance, "now");
      } else if (choice < 9) {
        world.Read(session, instance, "soon");
      } else {
        world.RunTransaction(session, instance, other);
      }
    });
  }
  // Callers resolve some of the writes whose outcome is unknown.
  for (int n = 1; n <= 4; ++n) {
    world.After(kLoadDuration + Milliseconds(500) * n, [&world] {
      auto& operations = world.history().operations;
      const std::size_t size = operations.size();
      for (std::size_t i = 0; i < size; ++i) {
        const bool in_doubt = operations[i].type != OperationType::kRead &&
                              operations[i].has_answer &&
                              operations[i].outcome == Outcome::kUnknown;
        if (in_doubt && i % 7 == 0) {
          world.Resolve(operations[i].session, 0, operations[i].id);
        }
      }
    });
  }
}

}  // namespace

std::ostream& operator<<(std::ostream& out, const Fault& it) {
  return out << "at " << it.at_ms << "ms kind " << it.kind << " target "
             << it.target << " for " << it.length_ms << "ms";
}

std::vector<Fault> RandomFaults(std::uint64_t seed, std::size_t max_faults) {
  std::mt19937_64 random(seed);
  std::vector<Fault> faults(1 + random() % max_faults);
  for (auto& it : faults) {
    it.at_ms = static_cast<int>(random() % kLatestFaultMs);
    it.kind = static_cast<int>(random() % kFaultKinds);
    it.target = static_cast<int>(random() % 3);
    it.length_ms =
        kShortestFaultMs +
        static_cast<int>(random() % (kLongestFaultMs - kShortestFaultMs));
  }
  return faults;
}

std::vector<std::string> RunSchedule(std::uint64_t seed,
                                     const std::vector<Fault>& faults,
                                     const Policy* policy) {
  return RunScheduleWith(seed, faults, policy, [](FakeWorld&) {});
}

std::vector<std::string> RunScheduleWith(
    std::uint64_t seed, const std::vector<Fault>& faults, const Policy* policy,
    const std::function<void(FakeWorld&)>& inspect) {
  WorldOptions options;
  options.delay_and_duplicate = true;
  options.drift = kClockDrift;
  options.policy = policy;
  FakeWorld world(options, seed);
  world.RunFor(kWarmUp);
  ScheduleLoad(world, seed);
  for (const auto& it : faults) {
    world.After(Milliseconds(it.at_ms), [&world, it] { Inject(world, it); });
  }
  world.RunFor(kLoadDuration + std::chrono::seconds(3));
  world.Settle();
  inspect(world);
  auto violations = world.history().Violations();
  violations.insert(violations.end(), world.violations().begin(),
                    world.violations().end());
  if (world.work_on_leaving_servers() > 0) {
    violations.emplace_back("new work on a leaving server");
  }
  return violations;
}

}  // namespace testing_support
