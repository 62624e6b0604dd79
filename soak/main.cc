/// \file
/// soak: real proxies and clients under overlapping faults. See docs/SOAK.md.
#include <signal.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <iomanip>
#include <iostream>
#include <optional>
#include <sstream>

#include "soak/audit.h"
#include "soak/clients.h"
#include "soak/cluster.h"
#include "soak/faults.h"
#include "soak/ledger.h"
#include "soak/orders.h"
#include "soak/relays.h"

namespace {

namespace fs = std::filesystem;
using soak::Ms;
using soak::Task;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

struct Options {
  std::uint64_t seed = 1;
  std::chrono::seconds duration{20};
  double rate = 1;
  int connections = 60;           ///< that a server accepts
  std::optional<double> answers;  ///< replies are disturbed, at this rate
  double disturbed = 0.02;        ///< share of refused, cut and lost replies
  std::string proxy = "build/corianderdock-proxy";
  std::string logs;
};

/// The proxies' logs show local time.
std::string LocalTime() {
  const auto now = std::chrono::system_clock::now();
  const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
  const auto millis = std::chrono::duration_cast<Ms>(now.time_since_epoch());
  std::tm parts{};
  localtime_r(&seconds, &parts);
  std::ostringstream text;
  text << std::put_time(&parts, "%FT%T") << "." << std::setw(3)
       << std::setfill('0') << millis.count() % 1'000;
  return text.str();
}

void Populate(soak::Cluster& cluster, soak::Orders& orders,
              std::uint64_t seed) {
  constexpr std::uint64_t kStream = 2;
  const std::vector<std::string> zones = {"a", "b", "c"};
  soak::Random random(seed, kStream);
  const std::size_t services = 2 + random.Index(3);
  const std::size_t instances = 4 + random.Index(2);
  for (std::size_t n = 0; n < services; ++n) {
    std::vector<std::string> of_servers(zones);
    std::rotate(of_servers.begin(),
                of_servers.begin() + static_cast<std::ptrdiff_t>(n % 3),
                of_servers.end());
    cluster.AddGroup("s" + std::to_string(n), of_servers);
  }
  for (std::size_t n = 0; n < instances; ++n) {
    const std::string name = "proxy-" + std::to_string(n);
    cluster.AddInstance(name, zones[n % 3], orders.Listen(name));
  }
}

/// Waits until faults have ended and no order may take effect any more.
Task Settle(const soak::Faults& faults, const soak::Orders& orders) {
  constexpr std::chrono::seconds kLimit(20);
  constexpr Ms kQuiet{1'500};
  const auto until = soak::Clock::now() + kLimit;
  while (soak::Clock::now() < until &&
         (faults.active() > 0 || orders.pending() > 0)) {
    co_await lab::Sleep(Ms(50));
  }
  co_await lab::Sleep(kQuiet);
}

soak::asio::awaitable<bool> Run(soak::Cluster& cluster,
                                const Options& options) {
  constexpr Ms kWarmUp{5'000};
  // Asio runs their coroutines until the process ends.
  auto& ledger = *new soak::Ledger(cluster);
  auto& orders = *new soak::Orders(cluster, ledger, options.seed);
  auto& faults = *new soak::Faults(cluster, orders, options.seed, options.rate);
  soak::Relays* relays = nullptr;
  soak::Audit* audit = nullptr;
  soak::Mix mix;
  if (options.answers) {
    relays = new soak::Relays(cluster, options.seed);
    audit = new soak::Audit(cluster, ledger, *relays);
    mix.setups = 0.4;
  }
  auto& clients = *new soak::Clients(cluster, ledger, options.seed, audit, mix);
  cluster.record.Line("local time " + LocalTime());
  Populate(cluster, orders, options.seed);
  faults.SetConnections(options.connections);
  faults.PutConfiguration();
  co_await cluster.StartInstances();
  for (soak::Instance& instance : cluster.instances) {
    for (const lab::Group& it : cluster.groups) {
      clients.Start(instance, {"db-" + it.service(), it.service()});
    }
  }
  soak::asio::co_spawn(cluster.io, clients.Watch(), soak::asio::detached);
  co_await lab::Sleep(kWarmUp);
  faults.Start();
  if (relays != nullptr) {
    soak::asio::co_spawn(cluster.io,
                         relays->Disturb(*options.answers, options.disturbed),
                         soak::asio::detached);
  }
  co_await lab::Sleep(options.duration);
  faults.Stop();
  if (relays != nullptr) relays->Stop();
  co_await Settle(faults, orders);
  cluster.stopping = true;
  ledger.CheckPrimaries();
  if (audit != nullptr) {
    audit->CheckLogs();
    std::cout << relays->repeats() << " replies repeated, " << clients.served()
              << " statements served, " << clients.failed()
              << " not; violations:";
    for (const char* rule : {"ANSWER", "LOST", "MIXED", "ONE", "PINNED",
                             "REFUSED", "STALE", "TWICE", "UNASKED"}) {
      std::cout << " " << rule << " " << ledger.violations(rule);
    }
    std::cout << std::endl;
  }
  std::cout << "seed " << options.seed << ": " << cluster.instances.size()
            << " proxies, " << cluster.groups.size() << " services, "
            << clients.statements() << " statements, " << ledger.acknowledged()
            << " writes acknowledged, " << ledger.promotions()
            << " promotions, " << ledger.late_promotions() << " of them late, "
            << ledger.violations() << " violations" << std::endl;
  co_return ledger.violations() == 0;
}

Options Parse(int argc, char** argv) {
  namespace po = boost::program_options;
  Options options;
  int seconds = 20;
  double answers = 0;
  po::options_description all("soak");
  all.add_options()("seed", po::value(&options.seed), "seed of the faults")(
      "seconds", po::value(&seconds), "duration of the faults")(
      "rate", po::value(&options.rate), "faults, as a factor")(
      "connections", po::value(&options.connections),
      "connections that a server accepts")(
      "answers", po::value(&answers),
      "also repeats, refuses, cuts and loses replies, at this rate")(
      "disturbed", po::value(&options.disturbed),
      "share of replies refused, cut or lost with --answers")(
      "proxy", po::value(&options.proxy), "program of the proxies")(
      "logs", po::value(&options.logs), "folder that keeps the logs of runs");
  po::variables_map values;
  po::store(po::parse_command_line(argc, argv, all), values);
  po::notify(values);
  options.duration = std::chrono::seconds(seconds);
  if (answers > 0) options.answers = answers;
  return options;
}

int Main(int argc, char** argv) {
  const Options options = Parse(argc, argv);
  ::signal(SIGPIPE, SIG_IGN);
  const fs::path logs = options.logs.empty()
                            ? fs::temp_directory_path() / "soak"
                            : fs::path(options.logs);
  const fs::path folder =
      fs::absolute(logs) / ("seed-" + std::to_string(options.seed));
  soak::EnterFolder(folder, options.proxy);
  lab::Record record((folder / "record.txt").string());
  soak::asio::io_context io(1);
  soak::Cluster cluster(io, record);
  int code = kCannotRun;
  soak::asio::co_spawn(io, Run(cluster, options),
                       [&](const std::exception_ptr& error, bool held) {
                         try {
                           if (error) std::rethrow_exception(error);
                           code = held ? kHeld : kBroken;
                         } catch (const std::exception& it) {
                           std::cerr << "cannot run: " << it.what()
                                     << std::endl;
                         }
                         io.stop();
                       });
  io.run();
  for (soak::Instance& it : cluster.instances) it.proxy.reset();
  fs::remove_all(folder / "target");
  if (code == kHeld && options.logs.empty()) {
    fs::remove_all(folder);
  } else {
    std::cout << "logs: " << folder.string() << std::endl;
  }
  std::cout << (code == kHeld     ? "held"
                : code == kBroken ? "broken"
                                  : "could not run")
            << std::endl;
  // Coroutines still refer to the objects of the run.
  std::_Exit(code);
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Main(argc, argv);
  } catch (const std::exception& it) {
    std::cerr << "cannot run: " << it.what() << std::endl;
    return kCannotRun;
  }
}
