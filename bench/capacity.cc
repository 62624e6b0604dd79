#include "capacity.h"

#include <arpa/inet.h>
#include <libpq-fe.h>
#include <malloc.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <mutex>
#include <queue>
#include <sstream>
#include <thread>

#include "corianderdock/codec.h"
#include "corianderdock/corianderdock.h"
#include "corianderdock/net/http_client.h"
#include "corianderdock/net/json_rpc.h"
#include "report.h"

namespace bench {

using namespace corianderdock;  // NOLINT: measures the library

namespace {

constexpr int kZoneCount = 6;
constexpr Duration kMeasuredTime = std::chrono::seconds(20);
constexpr std::uint64_t kHttpOverheadBytes = 160;
constexpr std::uint64_t kQueryOverheadBytes = 90;

double Ms(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

std::string ZoneName(int n) { return "zone-" + std::to_string(n % kZoneCount); }

std::string GroupName(int n) { return "group-" + std::to_string(n); }

Topology FleetTopology(int groups, int instances) {
  Topology topology;
  topology.revision = 2;
  for (int group = 0; group < groups; ++group) {
    for (int n = 0; n < 3; ++n) {
      Server server;
      server.id = GroupName(group) + "-" + std::to_string(n);
      server.group = GroupName(group);
      server.zone = ZoneName(group + n);
      server.address = "10.0." + std::to_string(group % 250) + "." +
                       std::to_string(n) + ":5432";
      server.connection_limit = 45;
      server.slots = 3;
      topology.servers[server.id] = server;
    }
  }
  for (int n = 0; n < instances; ++n) {
    const std::string id = "entry-" + std::to_string(n);
    topology.instances[id] = {id, ZoneName(n),
                              "10.9.0." + std::to_string(n) + ":7000", false};
  }
  return topology;
}

std::string FleetSheet(int services) {
  std::string text = "service,group,zones,kind,mode,max_age,demand\n";
  const std::string zones = ",zone-0;zone-1;zone-2;zone-3;zone-4;zone-5,";
  for (int n = 0; n < services; ++n) {
    std::string head = "service-";
    head += std::to_string(n);
    head += ",";
    head += GroupName(n);
    head += zones;
    for (const char* kind : {"claim,write,,40\n", "browse,read,2s,160\n"}) {
      text += head;
      text += kind;
    }
  }
  return text;
}

std::size_t AllocatedBytes() { return mallinfo2().uordblks; }

/// Drives one reducer in virtual time. The simulated rest of the fleet answers
/// every call, statement and probe 1 ms later.
class IdleFleet {
 public:
  IdleFleet(int groups, int instances)
      : reducer_({"entry-0", ZoneName(0), "10.9.0.0:7000", 1}, Options(), 7) {
    HandleEffects(reducer_.Start(now_));
    Feed(TopologyRead{FleetTopology(groups, instances)});
    Feed(SheetRead{{1, "load", "operator", FleetSheet(groups)}});
  }

  /// Advances virtual time by `length` and returns the processor time that the
  /// reducer used.
  Duration Run(Duration length) {
    const TimePoint end = now_ + length;
    processor_time_ = Duration(0);
    while (now_ < end) {
      const auto timer = reducer_.NextTimer();
      TimePoint next = end;
      if (timer) next = std::min(next, *timer);
      if (!due_answers_.empty())
        next = std::min(next, due_answers_.top().first);
      now_ = std::max(now_, next);
      if (!due_answers_.empty() && due_answers_.top().first <= now_) {
        const Event event = answer_events_.at(due_answers_.top().second);
        answer_events_.erase(due_answers_.top().second);
        due_answers_.pop();
        Feed(event);
      } else {
        Feed(TimePassed{});
      }
    }
    return processor_time_;
  }

  std::uint64_t bytes = 0;     ///< control traffic, both directions
  std::uint64_t messages = 0;  ///< control messages, both directions
  std::uint64_t platform_calls = 0;

  Reducer& reducer() { return reducer_; }
  [[nodiscard]] TimePoint now() const { return now_; }

  void Feed(const Event& event) {
    const auto start = Clock::now();
    const Effects effects = reducer_.Reduce(now_, event);
    processor_time_ += Clock::now() - start;
    HandleEffects(effects);
  }

 private:
  void ScheduleAnswer(Event event) {
    answer_events_.emplace(next_answer_id_, std::move(event));
    due_answers_.push({now_ + Milliseconds(1), next_answer_id_++});
  }

  void HandleEffects(const Effects& effects) {
    for (const auto& it : effects) {
      if (const auto* call = std::get_if<RunGroupOperation>(&it)) {
        ServerStatus status;
        status.term = 1;
        const bool first = call->server.ends_with("-0");
        status.role = first ? ServerRole::kPrimary : ServerRole::kReplica;
        status.last = {1, 100};
        status.starts = {{1, 1}};
        status.primary_address =
            reducer_.directory().Find(call->server)->address;
        status.primary_address.replace(status.primary_address.rfind('.') + 1, 1,
                                       "0");
        bytes += 2 * kQueryOverheadBytes + 260;
        ++messages;
        ScheduleAnswer(GroupOperationResult{call->server, call->call, status});
      } else if (const auto* open = std::get_if<OpenConnection>(&it)) {
        ScheduleAnswer(ConnectResult{open->server, open->connection, true});
      } else if (const auto* run = std::get_if<RunStatement>(&it)) {
        bytes += 2 * kQueryOverheadBytes;
        ++messages;
        ScheduleAnswer(
            StatementDone{run->work, run->connection, StatementSuccess{}});
      } else if (const auto* gossip = std::get_if<SendGossip>(&it)) {
        AnswerProbe(*gossip);
      } else if (std::holds_alternative<PollPlatform>(it)) {
        ++platform_calls;
        bytes += 4 * kHttpOverheadBytes;
        ScheduleAnswer(PlatformPolled{true});
      }
    }
  }

  void AnswerProbe(const SendGossip& probe) {
    Gossip reply;
    reply.sender = {"entry-1", ZoneName(1), probe.address, 1,
                    MemberState::kAlive};
    for (const auto& [id, member] : reducer_.membership().members()) {
      if (member.update.address == probe.address) reply.sender = member.update;
    }
    reply.sheet_version = 1;
    reply.topology_revision = 2;
    if (probe.gossip.full) {
      for (const auto& [id, member] : reducer_.membership().members()) {
        reply.members.push_back(member.update);
      }
    }
    bytes += ToText(ToJson(probe.gossip)).size() + kHttpOverheadBytes;
    bytes += ToText(ToJson(reply)).size() + kHttpOverheadBytes;
    messages += 2;
    ScheduleAnswer(GossipResult{probe.probe, reply});
  }

  using DueAnswer = std::pair<TimePoint, std::uint64_t>;
  TimePoint now_ = TimePoint(std::chrono::hours(1));
  Reducer reducer_;
  std::priority_queue<DueAnswer, std::vector<DueAnswer>, std::greater<>>
      due_answers_;
  std::map<std::uint64_t, Event> answer_events_;
  std::uint64_t next_answer_id_ = 0;
  Duration processor_time_{0};
};

/// Least-squares slope and intercept of column `y` as a function of column `x`.
std::pair<double, double> FitLine(const Table& table, std::size_t x,
                                  std::size_t y) {
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;
  const auto n = static_cast<double>(table.rows.size());
  for (const auto& row : table.rows) {
    sx += row.values[x];
    sy += row.values[y];
    sxx += row.values[x] * row.values[x];
    sxy += row.values[x] * row.values[y];
  }
  const double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
  return {slope, (sy - slope * sx) / n};
}

void AppendRegression(Table& table, std::size_t x) {
  std::ostringstream out;
  out << table.note << "\n\nRegression over " << table.columns[x] << ":";
  for (std::size_t y = 0; y < table.columns.size(); ++y) {
    if (y == x) continue;
    const auto [slope, base] = FitLine(table, x, y);
    out << " " << table.columns[y] << " = " << base << " + " << slope
        << " each;";
  }
  table.note = out.str();
}

/// Size in KiB of the topology change that a peer sends after ten instances
/// have changed.
double TopologyChangeKilobytes(int groups, int instances) {
  constexpr int kChanged = 10;
  const Topology before = FleetTopology(groups, instances);
  Topology after = before;
  ++after.revision;
  int left = kChanged;
  for (auto& [id, it] : after.instances) {
    if (left-- > 0) it.leaving = true;
  }
  TopologyLog log;
  log.Record(Topology(), before);
  log.Record(before, after);
  const auto change = log.Since(before.revision, after);
  return static_cast<double>(ToText(ToJson(*change)).size()) / 1024;
}

Table GroupScaling() {
  Table table;
  table.title = "control state of one instance over database groups";
  table.note = "one reducer among 410 idle instances, virtual time, 20 s";
  table.columns = {"groups",     "state KB", "core %",       "KB/s",
                   "messages/s", "lists KB", "10 changes KB"};
  for (const int groups : {1, 50, 200, 410, 820, 1000}) {
    const std::size_t before = AllocatedBytes();
    IdleFleet fleet(groups, 410);
    fleet.Run(std::chrono::seconds(5));
    fleet.bytes = fleet.messages = 0;
    const Duration processor_time = fleet.Run(kMeasuredTime);
    const double seconds = std::chrono::duration<double>(kMeasuredTime).count();
    const auto state = static_cast<double>(AllocatedBytes() - before);
    table.rows.push_back(
        {std::to_string(groups),
         {static_cast<double>(groups), state / 1024,
          100 * Ms(processor_time) / Ms(kMeasuredTime),
          static_cast<double>(fleet.bytes) / 1024 / seconds,
          static_cast<double>(fleet.messages) / seconds,
          static_cast<double>(
              ToText(ToJson(FleetTopology(groups, 410))).size()) /
              1024,
          TopologyChangeKilobytes(groups, 410)}});
  }
  AppendRegression(table, 0);
  return table;
}

Table InstanceScaling() {
  Table table;
  table.title = "control state of one instance over the fleet";
  table.note =
      "one reducer with 820 groups, virtual time, 20 s; the number of groups "
      "that one instance watches falls as the fleet grows";
  table.columns = {"instances", "state KB", "core %", "KB/s", "messages/s"};
  for (const int instances : {50, 100, 200, 410, 800}) {
    const std::size_t before = AllocatedBytes();
    IdleFleet fleet(820, instances);
    fleet.Run(std::chrono::seconds(5));
    fleet.bytes = fleet.messages = 0;
    const Duration processor_time = fleet.Run(kMeasuredTime);
    const double seconds = std::chrono::duration<double>(kMeasuredTime).count();
    table.rows.push_back(
        {std::to_string(instances),
         {static_cast<double>(instances),
          static_cast<double>(AllocatedBytes() - before) / 1024,
          100 * Ms(processor_time) / Ms(kMeasuredTime),
          static_cast<double>(fleet.bytes) / 1024 / seconds,
          static_cast<double>(fleet.messages) / seconds}});
  }
  return table;
}

/// Processor time of the reducer per request, without network or database.
Table RequestCost() {
  Table table;
  table.title = "decisions per request in the reducer";
  table.note =
      "one reducer, 820 groups, 410 instances; reads forwarded to "
      "their scheduler, virtual time";
  table.columns = {"requests/s", "us each", "core %"};
  for (const int rate : {200, 400, 800, 4000}) {
    IdleFleet fleet(820, 410);
    fleet.Run(std::chrono::seconds(5));
    std::mt19937_64 random(3);
    const auto requests = static_cast<CallId>(rate) * 5;
    const auto start = Clock::now();
    for (CallId n = 1; n <= requests; ++n) {
      Request request;
      request.service = "service-" + std::to_string(random() % 820);
      request.kind = "browse";
      request.sql = "SELECT 1";
      fleet.Feed(ClientRequest{n, request});
      RoutedAnswer answer;
      answer.status = RoutedStatus::kFinal;
      answer.answer.outcome = Outcome::kDone;
      fleet.Feed(ForwardResult{n, 1, true, answer});
    }
    const double us =
        1000 * Ms(Clock::now() - start) / static_cast<double>(requests);
    table.rows.push_back({std::to_string(rate),
                          {static_cast<double>(rate), us, us * rate / 1e4}});
  }
  return table;
}

Table SheetScaling() {
  Table table;
  table.title = "size of the configuration";
  table.note = "Configuration::Install of a sheet with two kinds a service";
  table.columns = {"services", "KB", "install ms"};
  for (const int services : {10, 100, 820, 2000, 5000}) {
    const std::string text = FleetSheet(services);
    IdleFleet fleet(1, 2);
    const auto start = Clock::now();
    fleet.Feed(SheetRead{{2, "load", "operator", text}});
    table.rows.push_back(
        {std::to_string(services),
         {static_cast<double>(services),
          static_cast<double>(text.size()) / 1024, Ms(Clock::now() - start)}});
  }
  AppendRegression(table, 0);
  return table;
}

double ReadGauge(const std::string& metrics, const std::string& name) {
  const std::string line = "\ncorianderdock_" + name + " ";
  const auto at = metrics.find(line);
  return at == std::string::npos
             ? 0
             : std::atof(metrics.c_str() + at + line.size());
}

double ResidentMb(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/statm");
  double total = 0;
  double resident = 0;
  in >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1048576;
}

/// User and system time that a process has used, in seconds.
double ProcessorSeconds(pid_t pid) {
  constexpr int kUserTimeField = 14;
  std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
  std::string field;
  double ticks = 0;
  for (int n = 1; n <= kUserTimeField + 1 && in >> field; ++n) {
    if (n >= kUserTimeField) ticks += std::atof(field.c_str());
  }
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

Table ProcessScaling() {
  Table table;
  table.title = "idle control cost of real instances over their number";
  table.note =
      "three groups, 10 s idle, mean over the instances, from "
      "/metrics and /proc";
  table.columns = {"instances", "control thread core %", "whole process core %",
                   "KB/s", "resident MB"};
  for (const int instances : {3, 5, 10, 20, 40, 80, 120}) {
    Deployment deployment = Adinkra();
    deployment.instance_count = instances;
    deployment.connection_limit = 45;
    Cluster cluster(deployment);
    std::this_thread::sleep_for(std::chrono::seconds(5));
    double seconds = 0;
    double process_seconds = 0;
    double bytes = 0;
    double resident = 0;
    for (int round = 0; round < 2; ++round) {
      const double sign = round == 0 ? -1 : 1;
      for (int n = 0; n < instances; ++n) {
        const std::string metrics = cluster.Get(n, "/metrics").value_or("");
        seconds += sign * ReadGauge(metrics, "control_thread_seconds");
        bytes += sign * ReadGauge(metrics, "control_bytes");
        process_seconds += sign * ProcessorSeconds(cluster.InstancePid(n));
        if (round == 1) resident += ResidentMb(cluster.InstancePid(n));
      }
      if (round == 0) std::this_thread::sleep_for(std::chrono::seconds(10));
    }
    table.rows.push_back(
        {std::to_string(instances),
         {static_cast<double>(instances), 100 * seconds / 10 / instances,
          100 * process_seconds / 10 / instances, bytes / 1024 / 10 / instances,
          resident / instances}});
  }
  return table;
}

Table ConnectionScaling() {
  Table table;
  table.title = "client connections of one instance";
  table.note = "idle keep-alive connections after one request each";
  table.columns = {"connections", "resident MB"};
  Deployment deployment = Adinkra();
  deployment.instance_count = 3;
  Cluster cluster(deployment);
  const std::string address = cluster.CallerAddress(0);
  const auto port = static_cast<std::uint16_t>(
      std::stoi(address.substr(address.rfind(':') + 1)));
  std::vector<int> sockets;
  const std::string request = "GET /health HTTP/1.1\r\nHost: x\r\n\r\n";
  for (const std::size_t wanted : {0U, 500U, 1000U, 2000U, 4000U}) {
    while (sockets.size() < wanted) {
      const int fd = socket(AF_INET, SOCK_STREAM, 0);
      sockaddr_in in{};
      in.sin_family = AF_INET;
      in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      in.sin_port = htons(port);
      if (fd < 0 ||
          connect(fd, reinterpret_cast<sockaddr*>(&in), sizeof(in)) != 0) {
        break;
      }
      (void)send(fd, request.data(), request.size(), MSG_NOSIGNAL);
      char buf[1024];
      (void)recv(fd, buf, sizeof(buf), 0);
      sockets.push_back(fd);
    }
    table.rows.push_back({std::to_string(sockets.size()),
                          {static_cast<double>(sockets.size()),
                           ResidentMb(cluster.InstancePid(0))}});
  }
  for (const int fd : sockets) close(fd);
  AppendRegression(table, 0);
  return table;
}

}  // namespace

ClosedLoopResult RunClosedLoop(Cluster& cluster, bool proxied, int callers,
                               Duration length) {
  ClosedLoopResult result;
  std::mutex mutex;
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(callers));
  const auto end = Clock::now() + length;
  const std::string sql = "SELECT left_over FROM stock WHERE id = 7";
  for (int n = 0; n < callers; ++n) {
    threads.emplace_back([&] {
      LatencyHistogram latency;
      boost::asio::io_context io(1);
      net::HttpClient http(io);
      const std::string address = cluster.ServerAddress("saddle-1-2");
      const std::string info =
          "hostaddr=127.0.0.1 port=" + address.substr(address.rfind(':') + 1) +
          " user=x dbname=x sslmode=disable gssencmode=disable";
      PGconn* pq = proxied ? nullptr : PQconnectdb(info.c_str());
      Json::Value params;
      params["service"] = "claims";
      params["kind"] = "stock";
      params["statement"] = sql;
      const std::string body = net::MakeRpcRequest("execute", params);
      while (Clock::now() < end) {
        const auto start = Clock::now();
        if (proxied) {
          http.Post(cluster.CallerAddress(0), "/", body,
                    std::chrono::seconds(2), [](const net::HttpResult&) {});
          io.restart();
          io.run();
        } else {
          PQclear(PQexecParams(pq, sql.c_str(), 0, nullptr, nullptr, nullptr,
                               nullptr, 0));
        }
        latency.Record(Clock::now() - start);
      }
      if (pq != nullptr) PQfinish(pq);
      const std::lock_guard lock(mutex);
      result.latency.Add(latency);
    });
  }
  for (auto& it : threads) it.join();
  result.rate = static_cast<double>(result.latency.count()) /
                std::chrono::duration<double>(length).count();
  return result;
}

void MeasureCapacity(const ExperimentRun& run) {
  const std::vector<Table> tables = {GroupScaling(),   InstanceScaling(),
                                     RequestCost(),    SheetScaling(),
                                     ProcessScaling(), ConnectionScaling()};
  WriteReport(run.folder, run.name, tables, {});
}

}  // namespace bench
