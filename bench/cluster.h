/// \file
/// Starts, disturbs and ends the processes of a test deployment.
#pragma once

#include <json/json.h>
#include <sys/types.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "corianderdock/result.h"
#include "corianderdock/types.h"

namespace bench {

using corianderdock::Duration;
using corianderdock::Milliseconds;

/// Sizes of one deployment.
struct Deployment {
  std::string name;
  std::vector<std::string> zones;
  std::vector<std::string> groups;
  int slots = 2;
  int connection_limit = 16;
  Milliseconds connect_delay{12};
  std::chrono::microseconds zone_delay{1000};  ///< one way
  std::chrono::microseconds statement_time{5000};
  Milliseconds lag{3};
  int instance_count = 5;
  std::string sheet;         ///< CSV text
  Json::Value alternatives;  ///< passed to each instance's settings
  Json::Value limits;        ///< passed to each instance's settings
  Json::Value times;         ///< passed to each instance's settings
};

/// Saddlery: three ledgers in Accra.
[[nodiscard]] Deployment Adinkra();
/// Cooperative: three ledger databases in Riga.
[[nodiscard]] Deployment Dzintarkrasts();

/// Processes of one deployment, on loopback, each ended by its id. Not
/// thread-safe.
class Cluster {
 public:
  /// Starts everything and loads the sheet; throws `std::runtime_error` with
  /// the reason when something does not come up.
  explicit Cluster(Deployment deployment);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  /// Callers' address of an instance, by number from 0.
  [[nodiscard]] std::string CallerAddress(int instance) const;
  [[nodiscard]] std::string PeerAddress(int instance) const;
  [[nodiscard]] std::vector<std::string> CallerAddresses() const;
  [[nodiscard]] int instance_count() const;
  [[nodiscard]] const std::string& platform_address() const {
    return platform_address_;
  }
  [[nodiscard]] std::vector<std::string> server_ids() const;
  [[nodiscard]] std::vector<std::string> ServersOf(
      const std::string& group) const;
  [[nodiscard]] std::string ServerAddress(const std::string& server) const;
  [[nodiscard]] pid_t InstancePid(int instance) const;

  /// Sends a signal to a server, an instance or the platform.
  void SignalServer(const std::string& server, int signal);
  void SignalInstance(int instance, int signal);

  /// Starts an instance again under the same name and addresses.
  void RestartInstance(int instance);

  /// Whether the instance has ended by itself.
  bool InstanceExited(int instance);

  /// Runs SQL on a server directly; the first value, empty on failure.
  std::string RunSql(const std::string& server, const std::string& sql);

  /// The server that now leads the group by its own word; empty when none.
  std::string PrimaryOf(const std::string& group);

  /// Sets the platform's fault switches.
  void SetPlatformFault(const std::string& mode, Milliseconds delay = {});

  /// Writes a key of the platform's lists.
  void Put(const std::string& key, const Json::Value& value);
  void RegisterServer(const std::string& server, bool leaving);

  /// Runs corianderctl and returns its exit code and output.
  struct CtlResult {
    int code = 0;
    std::string output;
  };
  CtlResult RunCtl(const std::vector<std::string>& arguments);

  /// Writes a temporary file below the cluster's folder.
  std::string WriteFile(const std::string& name, const std::string& text);

  /// GET of an instance's endpoint; null when it does not answer.
  std::optional<std::string> Get(int instance, const std::string& target);

  /// Calls a caller's method at an instance and returns the whole response;
  /// null when there is none.
  Json::Value Call(int instance, const std::string& method,
                   const Json::Value& params,
                   Duration timeout = std::chrono::seconds(10));

  /// Waits until all instances are ready; returns whether they were.
  bool AwaitReady(Duration timeout);

 private:
  struct Process {
    pid_t pid = 0;
    std::vector<std::string> arguments;
    std::string log;
  };

  void StartServers();
  void StartInstances();
  void StartInstance(int n);
  Process Spawn(std::vector<std::string> arguments, const std::string& log);
  void KillAndReap(Process& process);
  void AwaitPort(const std::string& address);
  [[nodiscard]] std::string InstanceLogTails() const;

  Deployment deployment_;
  std::string folder_;
  std::string platform_address_;
  Process platform_process_;
  std::map<std::string, Process> server_processes_;
  std::map<std::string, std::string> server_addresses_;
  std::map<std::string, std::string> server_groups_;
  std::map<std::string, std::string> server_zones_;
  std::vector<Process> instance_processes_;
  std::vector<std::string> caller_addresses_;
  std::vector<std::string> peer_addresses_;
};

/// Posts a body and returns the response body.
[[nodiscard]] std::optional<std::string> HttpPost(const std::string& address,
                                                  const std::string& target,
                                                  const std::string& body,
                                                  Duration timeout);

/// An unused loopback port.
[[nodiscard]] int FindFreePort();

}  // namespace bench
