/// \file
/// Starts the processes of a test deployment, injects faults and stops them.
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

/// Layout and simulated delays of one deployment.
struct Deployment {
  std::string name;
  std::vector<std::string> zones;
  std::vector<std::string> groups;
  int slots = 2;                   ///< concurrent statements per server
  int connection_limit = 16;       ///< per server
  Milliseconds connect_delay{12};  ///< to open a server connection
  std::chrono::microseconds zone_delay{1000};      ///< one way, between zones
  std::chrono::microseconds statement_time{5000};  ///< service time
  Milliseconds lag{3};                             ///< replication lag
  int instance_count = 5;
  std::string sheet;         ///< CSV text
  Json::Value alternatives;  ///< passed to each instance's settings
  Json::Value limits;        ///< passed to each instance's settings
  Json::Value times;         ///< passed to each instance's settings
};

/// A saddlery in Accra with three database groups.
[[nodiscard]] Deployment Adinkra();
/// A cooperative in Riga with three database groups.
[[nodiscard]] Deployment Dzintarkrasts();

/// Processes of one deployment, on loopback. Each is killed by its process id.
/// Not thread-safe.
class Cluster {
 public:
  /// Starts all processes, loads the sheet and waits until every instance is
  /// ready. Throws `std::runtime_error` with the reason on failure.
  explicit Cluster(Deployment deployment);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  /// Address at which an instance, numbered from 0, serves clients.
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

  /// Sends a signal to a server or an instance; SIGKILL also reaps the process.
  void SignalServer(const std::string& server, int signal);
  void SignalInstance(int instance, int signal);

  /// Kills an instance, starts it under the same name and addresses, and waits
  /// until it accepts connections.
  void RestartInstance(int instance);

  /// Whether the process of the instance has exited.
  bool InstanceExited(int instance);

  /// Runs SQL on a server, bypassing the proxy. Returns the first value of the
  /// first row; empty on failure or without rows.
  std::string RunSql(const std::string& server, const std::string& sql);

  /// The server that reports itself as primary in the highest term; empty when
  /// none does.
  std::string PrimaryOf(const std::string& group);

  /// Sets the fault mode of the stand-in platform; `delay` is for mode `slow`.
  void SetPlatformFault(const std::string& mode, Milliseconds delay = {});

  /// Writes a key of the platform's key-value service.
  void Put(const std::string& key, const Json::Value& value);

  /// Writes the platform's entry of a server, marked as leaving or not.
  void RegisterServer(const std::string& server, bool leaving);

  /// Result of a run of corianderctl.
  struct CtlResult {
    int code = 0;        ///< exit code; -1 after a signal
    std::string output;  ///< standard output and standard error
  };
  /// Runs corianderctl to its end.
  CtlResult RunCtl(const std::vector<std::string>& arguments);

  /// Writes a file into the cluster's temporary folder and returns its path.
  std::string WriteFile(const std::string& name, const std::string& text);

  /// GET on the peer address of an instance; null when it does not answer.
  std::optional<std::string> Get(int instance, const std::string& target);

  /// Calls a JSON-RPC method at the client address of an instance. Returns the
  /// whole response; a JSON null without one.
  Json::Value Call(int instance, const std::string& method,
                   const Json::Value& params,
                   Duration timeout = std::chrono::seconds(10));

  /// Waits until all instances are ready; returns whether they were.
  bool AwaitReady(Duration timeout);

 private:
  struct Process {
    pid_t pid = 0;
    std::vector<std::string> arguments;
    std::string log_path;
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

/// Posts a body and returns the response body; null when the request failed.
[[nodiscard]] std::optional<std::string> HttpPost(const std::string& address,
                                                  const std::string& target,
                                                  const std::string& body,
                                                  Duration timeout);

/// Returns an unused loopback port; throws `std::runtime_error` if there is
/// none.
[[nodiscard]] int FindFreePort();

}  // namespace bench
