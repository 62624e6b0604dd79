#include "cluster.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <libpq-fe.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

#include "corianderdock/codec.h"
#include "corianderdock/net/http_client.h"
#include "corianderdock/net/json_rpc.h"
#include "corianderdock/net/platform_client.h"

namespace bench {

using corianderdock::Clock;

namespace {

constexpr Milliseconds kStartTimeout{10000};
constexpr Milliseconds kPollInterval{10};
constexpr Milliseconds kEndTimeout{2000};

std::string BinaryFolder() {
  std::array<char, 4096> path{};
  const ssize_t n = readlink("/proc/self/exe", path.data(), path.size() - 1);
  const std::string self(path.data(), n > 0 ? static_cast<std::size_t>(n) : 0);
  std::filesystem::path folder = std::filesystem::path(self).parent_path();
  if (!std::filesystem::exists(folder / "corianderdockd")) {
    folder = folder.parent_path();
  }
  return folder.string();
}

void WriteText(const std::string& path, const std::string& text) {
  std::ofstream(path) << text;
}

std::string Address(int port) { return "127.0.0.1:" + std::to_string(port); }

constexpr char kSchema[] =
    "CREATE TABLE IF NOT EXISTS corianderdock_request (id TEXT PRIMARY KEY, "
    "outcome TEXT NOT NULL);"
    "CREATE TABLE stock (id INTEGER PRIMARY KEY, left_over INTEGER NOT NULL);"
    "CREATE TABLE claim (id INTEGER PRIMARY KEY, request TEXT UNIQUE, "
    "stock INTEGER);"
    "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n WHERE i < "
    "100) INSERT INTO stock SELECT i, 1000000 FROM n;";

}  // namespace

int FindFreePort() {
  // The ports lie below the ephemeral range, so that no outgoing connection
  // takes one. Each process starts in a region chosen by its id, so that
  // clusters that run at the same time rarely compete for a port.
  constexpr int kFirst = 10000;
  constexpr int kRegions = 210;
  constexpr int kPerRegion = 100;
  static int next = kFirst + (getpid() * 131 % kRegions) * kPerRegion;
  for (int tries = 0; tries < kRegions * kPerRegion; ++tries) {
    const int port = next++;
    if (next >= kFirst + kRegions * kPerRegion) next = kFirst;
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in in{};
    in.sin_family = AF_INET;
    in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    in.sin_port = htons(static_cast<std::uint16_t>(port));
    const int rc = bind(fd, reinterpret_cast<sockaddr*>(&in), sizeof(in));
    close(fd);
    if (rc == 0) return port;
  }
  throw std::runtime_error("no free loopback port from 10000 to 30999");
}

std::optional<std::string> HttpPost(const std::string& address,
                                    const std::string& target,
                                    const std::string& body, Duration timeout) {
  boost::asio::io_context io(1);
  corianderdock::net::HttpClient http(io);
  std::optional<std::string> answer;
  http.Post(address, target, body, timeout,
            [&](corianderdock::net::HttpResult it) {
              if (it.ok) answer = std::move(it.body);
            });
  io.run();
  return answer;
}

// Start-up --------------------------------------------------------------------

Cluster::Cluster(Deployment deployment) : deployment_(std::move(deployment)) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "corianderdock-XXXXXX")
          .string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary folder");
  }
  folder_ = pattern;
  platform_address_ = Address(FindFreePort());
  platform_process_ = Spawn(
      {"standin_platform", "--address", platform_address_}, "platform.log");
  AwaitPort(platform_address_);
  StartServers();
  StartInstances();
  const std::string sheet = WriteFile("sheet.csv", deployment_.sheet);
  const CtlResult loaded =
      RunCtl({"load", sheet, "--platform", platform_address_});
  if (loaded.code != 0) {
    throw std::runtime_error("corianderctl load failed: " + loaded.output +
                             InstanceLogTails());
  }
  if (!AwaitReady(kStartTimeout))
    throw std::runtime_error("instances not ready within 10 s");
}

Cluster::~Cluster() {
  for (auto& it : instance_processes_) KillAndReap(it);
  for (auto& [id, it] : server_processes_) KillAndReap(it);
  KillAndReap(platform_process_);
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void Cluster::StartServers() {
  const std::string schema = WriteFile("schema.sql", kSchema);
  for (const auto& group : deployment_.groups) {
    std::string first;
    for (std::size_t n = 0; n < deployment_.zones.size(); ++n) {
      const std::string server = group + "-" + std::to_string(n + 1);
      const std::string address = Address(FindFreePort());
      std::vector<std::string> arguments = {
          "standin_backend",
          "--server",
          server,
          "--zone",
          deployment_.zones[n],
          "--address",
          address,
          "--slots",
          std::to_string(deployment_.slots),
          "--limit",
          std::to_string(deployment_.connection_limit),
          "--connect-ms",
          std::to_string(deployment_.connect_delay.count()),
          "--statement-us",
          std::to_string(deployment_.statement_time.count()),
          "--zone-delay-us",
          std::to_string(deployment_.zone_delay.count()),
          "--lag-ms",
          std::to_string(deployment_.lag.count()),
          "--init",
          schema};
      if (!first.empty()) {
        arguments.insert(arguments.end(), {"--follow", first});
      }
      if (first.empty()) first = address;
      server_addresses_[server] = address;
      server_groups_[server] = group;
      server_zones_[server] = deployment_.zones[n];
      server_processes_[server] = Spawn(arguments, server + ".log");
      AwaitPort(address);
      RegisterServer(server, false);
    }
  }
}

void Cluster::StartInstances() {
  for (int n = 0; n < deployment_.instance_count; ++n) {
    caller_addresses_.push_back(Address(FindFreePort()));
    peer_addresses_.push_back(Address(FindFreePort()));
  }
  for (int n = 0; n < deployment_.instance_count; ++n) {
    const std::string name = "entry-" + std::to_string(n);
    const std::string zone =
        deployment_
            .zones[static_cast<std::size_t>(n) % deployment_.zones.size()];
    Json::Value listed;
    listed["zone"] = zone;
    listed["address"] = PeerAddress(n);
    Put("/platform/instances/" + name, listed);
    Json::Value settings;
    settings["instance"] = name;
    settings["zone"] = zone;
    settings["listen"] = CallerAddress(n);
    settings["peer_listen"] = PeerAddress(n);
    settings["platform"].append(platform_address_);
    for (const auto& it : peer_addresses_) settings["seeds"].append(it);
    if (!deployment_.alternatives.isNull()) {
      settings["alternatives"] = deployment_.alternatives;
    }
    if (!deployment_.limits.isNull()) settings["limits"] = deployment_.limits;
    if (!deployment_.times.isNull()) settings["times"] = deployment_.times;
    WriteFile(name + ".json", corianderdock::ToText(settings));
    instance_processes_.emplace_back();
    StartInstance(n);
  }
}

void Cluster::StartInstance(int n) {
  const std::string name = "entry-" + std::to_string(n);
  instance_processes_[static_cast<std::size_t>(n)] =
      Spawn({"corianderdockd", "--settings", folder_ + "/" + name + ".json"},
            name + ".log");
  AwaitPort(CallerAddress(n));
}

Cluster::Process Cluster::Spawn(std::vector<std::string> arguments,
                                const std::string& log) {
  Process process;
  process.arguments = std::move(arguments);
  process.log_path = folder_ + "/" + log;
  const std::string program = BinaryFolder() + "/" + process.arguments[0];
  std::vector<char*> argv;
  for (auto& it : process.arguments) argv.push_back(it.data());
  argv.push_back(nullptr);
  process.pid = fork();
  if (process.pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd =
        open(process.log_path.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    execv(program.c_str(), argv.data());
    _exit(127);
  }
  if (process.pid < 0) throw std::runtime_error("cannot start " + program);
  return process;
}

void Cluster::AwaitPort(const std::string& address) {
  const auto deadline = Clock::now() + kStartTimeout;
  const int port = std::stoi(address.substr(address.rfind(':') + 1));
  while (Clock::now() < deadline) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in in{};
    in.sin_family = AF_INET;
    in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    in.sin_port = htons(static_cast<std::uint16_t>(port));
    const int rc = connect(fd, reinterpret_cast<sockaddr*>(&in), sizeof(in));
    close(fd);
    if (rc == 0) return;
    std::this_thread::sleep_for(kPollInterval);
  }
  throw std::runtime_error("no listener within 10 s at " + address);
}

void Cluster::KillAndReap(Process& process) {
  if (process.pid <= 0) return;
  kill(process.pid, SIGCONT);
  kill(process.pid, SIGKILL);
  waitpid(process.pid, nullptr, 0);
  process.pid = 0;
}

bool Cluster::AwaitReady(Duration timeout) {
  const auto deadline = Clock::now() + timeout;
  for (int n = 0; n < instance_count(); ++n) {
    for (;;) {
      const auto body = Get(n, "/health");
      if (body && body->find("\"ready\":true") != std::string::npos) break;
      if (Clock::now() >= deadline) return false;
      std::this_thread::sleep_for(kPollInterval);
    }
  }
  return true;
}

std::string Cluster::InstanceLogTails() const {
  constexpr std::size_t kTailBytes = 400;
  std::string tails;
  for (const auto& it : instance_processes_) {
    std::ifstream in(it.log_path);
    const std::string text{std::istreambuf_iterator<char>(in),
                           std::istreambuf_iterator<char>()};
    tails += "\n" + it.log_path + ": ...";
    tails += text.substr(text.size() - std::min(text.size(), kTailBytes));
  }
  return tails;
}

// Access ----------------------------------------------------------------------

std::string Cluster::CallerAddress(int instance) const {
  return caller_addresses_.at(static_cast<std::size_t>(instance));
}

std::string Cluster::PeerAddress(int instance) const {
  return peer_addresses_.at(static_cast<std::size_t>(instance));
}

std::vector<std::string> Cluster::CallerAddresses() const {
  return caller_addresses_;
}

int Cluster::instance_count() const {
  return static_cast<int>(instance_processes_.size());
}

std::vector<std::string> Cluster::server_ids() const {
  std::vector<std::string> ids;
  for (const auto& [id, address] : server_addresses_) ids.push_back(id);
  return ids;
}

std::vector<std::string> Cluster::ServersOf(const std::string& group) const {
  std::vector<std::string> ids;
  for (const auto& [id, it] : server_groups_) {
    if (it == group) ids.push_back(id);
  }
  return ids;
}

std::string Cluster::ServerAddress(const std::string& server) const {
  return server_addresses_.at(server);
}

pid_t Cluster::InstancePid(int instance) const {
  return instance_processes_.at(static_cast<std::size_t>(instance)).pid;
}

std::string Cluster::RunSql(const std::string& server, const std::string& sql) {
  const std::string address = ServerAddress(server);
  const std::string info =
      "hostaddr=127.0.0.1 port=" + address.substr(address.rfind(':') + 1) +
      " user=bench dbname=postgres application_name=bench "
      "connect_timeout=2 sslmode=disable gssencmode=disable";
  PGconn* pq = PQconnectdb(info.c_str());
  std::string value;
  if (PQstatus(pq) == CONNECTION_OK) {
    PGresult* result = PQexec(pq, sql.c_str());
    if (PQresultStatus(result) == PGRES_TUPLES_OK && PQntuples(result) > 0) {
      value = PQgetvalue(result, 0, 0);
    }
    PQclear(result);
  }
  PQfinish(pq);
  return value;
}

std::string Cluster::PrimaryOf(const std::string& group) {
  std::string best;
  std::uint64_t best_term = 0;
  for (const auto& server : ServersOf(group)) {
    if (server_processes_.at(server).pid == 0) continue;
    const auto status = corianderdock::ParseServerStatus(
        RunSql(server, "SELECT group_status()"));
    if (!status || status->role != corianderdock::ServerRole::kPrimary) {
      continue;
    }
    if (status->term > best_term) best = server;
    best_term = std::max(best_term, status->term);
  }
  return best;
}

std::optional<std::string> Cluster::Get(int instance,
                                        const std::string& target) {
  boost::asio::io_context io(1);
  corianderdock::net::HttpClient http(io);
  std::optional<std::string> answer;
  http.Get(PeerAddress(instance), target, std::chrono::seconds(2),
           [&](corianderdock::net::HttpResult it) {
             if (it.ok) answer = std::move(it.body);
           });
  io.run();
  return answer;
}

Json::Value Cluster::Call(int instance, const std::string& method,
                          const Json::Value& params, Duration timeout) {
  const auto body =
      HttpPost(CallerAddress(instance), "/",
               corianderdock::net::MakeRpcRequest(method, params), timeout);
  if (!body) return {};
  const auto value = corianderdock::ParseJson(*body);
  return value ? *value : Json::Value();
}

// Faults ----------------------------------------------------------------------

void Cluster::SignalServer(const std::string& server, int signal) {
  Process& process = server_processes_.at(server);
  if (process.pid == 0) return;
  if (signal == SIGKILL) return KillAndReap(process);
  kill(process.pid, signal);
}

void Cluster::SignalInstance(int instance, int signal) {
  Process& process = instance_processes_.at(static_cast<std::size_t>(instance));
  if (process.pid == 0) return;
  if (signal == SIGKILL) return KillAndReap(process);
  kill(process.pid, signal);
}

void Cluster::RestartInstance(int instance) {
  KillAndReap(instance_processes_.at(static_cast<std::size_t>(instance)));
  StartInstance(instance);
}

bool Cluster::InstanceExited(int instance) {
  Process& process = instance_processes_.at(static_cast<std::size_t>(instance));
  if (process.pid == 0) return true;
  if (waitpid(process.pid, nullptr, WNOHANG) != process.pid) return false;
  process.pid = 0;
  return true;
}

void Cluster::SetPlatformFault(const std::string& mode, Milliseconds delay) {
  Json::Value body;
  body["mode"] = mode;
  body["delay_ms"] = delay.count();
  (void)HttpPost(platform_address_, "/standin/fault",
                 corianderdock::ToText(body), std::chrono::seconds(2));
}

void Cluster::Put(const std::string& key, const Json::Value& value) {
  boost::asio::io_context io(1);
  corianderdock::net::PlatformClient client(io, {platform_address_});
  boost::asio::co_spawn(
      io,
      [&]() -> boost::asio::awaitable<void> {
        (void)co_await client.Put(key, corianderdock::ToText(value));
      },
      boost::asio::detached);
  io.run();
}

void Cluster::RegisterServer(const std::string& server, bool leaving) {
  Json::Value listed;
  listed["group"] = server_groups_.at(server);
  listed["zone"] = server_zones_.at(server);
  listed["address"] = ServerAddress(server);
  listed["slots"] = deployment_.slots;
  listed["connection_limit"] = deployment_.connection_limit;
  listed["leaving"] = leaving;
  Put("/platform/servers/" + server, listed);
}

std::string Cluster::WriteFile(const std::string& name,
                               const std::string& text) {
  std::string path = folder_ + "/" + name;
  WriteText(path, text);
  return path;
}

Cluster::CtlResult Cluster::RunCtl(const std::vector<std::string>& arguments) {
  std::vector<std::string> all = {"corianderctl"};
  all.insert(all.end(), arguments.begin(), arguments.end());
  const std::string log = "ctl-" + std::to_string(FindFreePort()) + ".log";
  Process process = Spawn(all, log);
  int status = 0;
  waitpid(process.pid, &status, 0);
  std::ifstream in(process.log_path);
  CtlResult result;
  result.code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  result.output.assign(std::istreambuf_iterator<char>(in),
                       std::istreambuf_iterator<char>());
  return result;
}

}  // namespace bench
