/// \file
/// The stand-ins and proxies of a run, and what is recorded about them.
#pragma once

#include <deque>
#include <filesystem>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "review/lab/lab.h"

namespace soak {

namespace asio = lab::asio;
using lab::Clock;
using lab::Ms;
using lab::Task;

/// Values drawn from a seed. Each user has a stream of its own, so that its
/// values don't depend on the timing of others.
class Random {
 public:
  Random(std::uint64_t seed, std::uint64_t stream);
  [[nodiscard]] Ms Between(Ms least, Ms most);
  [[nodiscard]] bool Chance(double share);
  /// Returns an index below `size`, which must not be 0.
  [[nodiscard]] std::size_t Index(std::size_t size);

 private:
  std::mt19937_64 engine_;
};

/// One proxy, and when a fault last affected its process.
struct Instance {
  std::unique_ptr<lab::Proxy> proxy;
  bool faulty = false;  ///< a fault of the process is in progress
  Clock::time_point faulty_until;

  /// Whether no fault has affected the process since `time`.
  [[nodiscard]] bool UndisturbedSince(Clock::time_point time) const {
    return !faulty && faulty_until < time;
  }
};

/// Everything runs on the thread of `io`.
struct Cluster {
  Cluster(asio::io_context& the_io, lab::Record& the_record)
      : io(the_io), record(the_record), store(the_io, the_record) {}
  /// Adds a service with three servers. The first one, in `zones[0]`, leads.
  lab::Group& AddGroup(const std::string& service,
                       const std::vector<std::string>& zones);
  /// Adds a proxy, which is not started.
  Instance& AddInstance(const std::string& name, const std::string& zone,
                        int orders_port);
  /// Starts all proxies and waits until they are ready.
  Task StartInstances();
  /// Notes delays of this process, in which servers and store don't answer.
  Task WatchDelays();
  [[nodiscard]] Instance* FindInstance(const std::string& name);
  [[nodiscard]] lab::Group* FindGroup(const std::string& service);

  asio::io_context& io;
  lab::Record& record;
  lab::Store store;
  lab::Store* registry = &store;  ///< in which servers register
  std::deque<lab::Group> groups;
  std::deque<Instance> instances;
  Clock::time_point stalled_until;  ///< when this process last was delayed
  bool stopping = false;            ///< ends the clients
};

/// Returns the server that leads the newest term, running or not; null if none.
[[nodiscard]] const lab::Server* NewestPrimary(const lab::Group& group);
/// Whether a server's log has a write, by its id. Recent ones are found first.
[[nodiscard]] bool HoldsRecent(const lab::Server& server,
                               const std::string& write);

/// Makes `folder`, which is emptied, the working folder, in which the lab finds
/// the program of the proxies and leaves their logs.
void EnterFolder(const std::filesystem::path& folder,
                 const std::filesystem::path& program);

}  // namespace soak
