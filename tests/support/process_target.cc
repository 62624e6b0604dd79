#include "process_target.h"

#include <signal.h>

#include <random>
#include <sstream>

#include "corianderdock/codec.h"

namespace testing_support {

namespace {

constexpr char kGroup[] = "g";
constexpr int kSessions = 8;
constexpr Duration kSettleTime = std::chrono::seconds(3);
constexpr Duration kCallerTimeout = std::chrono::seconds(3);
// Added to the staleness bound: the data ages further while the answer is on
// its way to the caller.
constexpr Duration kMaxReplyTransit = Milliseconds(150);
constexpr Duration kStalenessBound = Milliseconds(500);

Outcome OutcomeOf(const std::string& name) {
  for (const Outcome it : {Outcome::kDone, Outcome::kNotRun, Outcome::kUnknown,
                           Outcome::kFailed}) {
    if (name == Name(it)) return it;
  }
  return Outcome::kUnknown;
}

Json::Value Params(const std::string& token) {
  Json::Value params;
  params["service"] = "s";
  params["token"] = token;
  params["timeout_ms"] =
      std::chrono::duration_cast<Milliseconds>(kCallerTimeout).count();
  return params;
}

std::string FieldOf(const Json::Value& response, const char* name) {
  if (!response.isObject()) return "";
  if (response.isMember("result")) return response["result"][name].asString();
  return response["error"]["data"][name].asString();
}

}  // namespace

bench::Deployment ScenarioDeployment() {
  bench::Deployment it;
  it.name = "scenario";
  it.zones = {"a", "b", "c"};
  it.groups = {kGroup};
  it.instance_count = 3;
  it.statement_time = std::chrono::microseconds(1000);
  it.zone_delay = std::chrono::microseconds(500);
  it.sheet = FakeSheet(1);
  return it;
}

ProcessTarget::ProcessTarget(std::uint64_t seed)
    : cluster_(std::make_unique<bench::Cluster>(ScenarioDeployment())),
      seed_(seed),
      initial_primary_(cluster_->PrimaryOf(kGroup)) {}

ProcessTarget::~ProcessTarget() {
  for (auto& it : delayed_actions_) {
    if (it.joinable()) it.join();
  }
}

bool ProcessTarget::Schedule(const Step& step) {
  if (step.words[0] == "load") {
    loads_.push_back(ParseLoad(step.words));
    return loads_.back().valid;
  }
  actions_.push_back(step);
  return true;
}

void ProcessTarget::Run(Duration end) {
  start_ = corianderdock::Clock::now();
  load_end_ = start_;
  std::vector<std::thread> callers;
  for (const auto& rates : loads_) {
    load_end_ = std::max(load_end_, start_ + rates.until);
    for (int n = 0; n < kSessions; ++n) {
      callers.emplace_back([this, n, rates] { RunCaller(n, rates); });
    }
  }
  for (const auto& it : actions_) {
    std::this_thread::sleep_until(start_ + it.at);
    RunAction(it.words);
  }
  std::this_thread::sleep_until(start_ + end);
  for (auto& it : callers) it.join();
  for (auto& it : delayed_actions_) it.join();
  delayed_actions_.clear();
  Heal();
  std::this_thread::sleep_for(kSettleTime);
  RecordSurvivingWrites();
}

void ProcessTarget::RunCaller(int session, LoadRates rates) {
  std::mt19937_64 random(seed_ * 1000 + static_cast<std::uint64_t>(session));
  const double total =
      rates.writes + rates.reads + rates.bounded_reads + rates.transactions;
  std::exponential_distribution<double> gap(total / kSessions);
  std::uniform_real_distribution<double> choice(0, total);
  std::string token;
  const TimePoint end = start_ + rates.until;
  TimePoint next = start_;
  for (std::uint64_t number = 0;; ++number) {
    next += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(gap(random)));
    if (next >= end) return;
    std::this_thread::sleep_until(next);
    const int n = static_cast<int>(random() % 3);
    const int other = static_cast<int>(random() % 3);
    const double pick = choice(random);
    if (pick < rates.writes) {
      Write(session, n, token, number);
    } else if (pick < rates.writes + rates.reads) {
      Read(session, n, token, true);
    } else if (pick < rates.writes + rates.reads + rates.bounded_reads) {
      Read(session, n, token, false);
    } else {
      RunTransaction(session, n, other, token, number);
    }
    // After a slow answer the caller keeps its rate and does not catch up.
    next = std::max(next, corianderdock::Clock::now());
  }
}

void ProcessTarget::Record(Operation operation, const Json::Value& response,
                           std::string& token) {
  operation.reply_received = corianderdock::Clock::now();
  operation.reply_sent = operation.reply_received;
  operation.group = kGroup;
  if (response.isObject()) {
    operation.has_answer = true;
    operation.outcome = OutcomeOf(FieldOf(response, "outcome"));
    if (operation.outcome == Outcome::kDone) {
      const Json::Value& result = response["result"];
      token = result["token"].asString();
      operation.from_replica = result["from_replica"].asBool();
      for (const auto& row : result["result"]["rows"]) {
        operation.returned_ids.insert(row[0].asString());
      }
    }
  }
  const std::lock_guard lock(mutex_);
  history_.operations.push_back(std::move(operation));
}

void ProcessTarget::Write(int session, int n, std::string& token,
                          std::uint64_t number) {
  Operation operation;
  operation.type = OperationType::kWrite;
  operation.id = "w" + std::to_string(session) + "-" + std::to_string(number);
  operation.session = session;
  operation.invoked = corianderdock::Clock::now();
  Json::Value params = Params(token);
  params["kind"] = "add";
  params["statement"] = "INSERT INTO claim (request, stock) VALUES ($1, 1)";
  params["parameters"].append(operation.id);
  params["request_id"] = operation.id;
  const Json::Value response = cluster_->Call(n, "execute", params);
  Record(std::move(operation), response, token);
}

void ProcessTarget::Read(int session, int n, std::string& token,
                         bool requires_latest) {
  Operation operation;
  operation.type = OperationType::kRead;
  operation.session = session;
  operation.requires_latest = requires_latest;
  operation.max_age =
      requires_latest ? Duration(0) : kStalenessBound + kMaxReplyTransit;
  operation.invoked = corianderdock::Clock::now();
  Json::Value params = Params(token);
  params["kind"] = requires_latest ? "now" : "soon";
  params["statement"] = "SELECT request FROM claim";
  const Json::Value response = cluster_->Call(n, "execute", params);
  Record(std::move(operation), response, token);
}

void ProcessTarget::RunTransaction(int session, int n, int other,
                                   std::string& token, std::uint64_t number) {
  Operation operation;
  operation.type = OperationType::kTransaction;
  operation.id = "t" + std::to_string(session) + "-" + std::to_string(number);
  operation.session = session;
  const Json::Value begun = cluster_->Call(n, "begin", Params(token));
  const std::string transaction = FieldOf(begun, "transaction");
  if (FieldOf(begun, "outcome") != "done") return;
  Json::Value insert = Params(token);
  insert["kind"] = "add";
  insert["statement"] = "INSERT INTO claim (request, stock) VALUES ($1, 1)";
  insert["parameters"].append(operation.id);
  insert["transaction"] = transaction;
  const Json::Value inserted = cluster_->Call(other, "execute", insert);
  if (FieldOf(inserted, "outcome") != "done") return;
  Json::Value commit = Params(token);
  commit["transaction"] = transaction;
  commit["request_id"] = operation.id;
  operation.invoked = corianderdock::Clock::now();
  const Json::Value committed = cluster_->Call(n, "commit", commit);
  Record(std::move(operation), committed, token);
}

void ProcessTarget::RunAfter(Duration delay, std::function<void()> action) {
  delayed_actions_.emplace_back([delay, action = std::move(action)] {
    std::this_thread::sleep_for(delay);
    action();
  });
}

void ProcessTarget::RunServerAction(const std::string& verb,
                                    const std::string& name,
                                    const std::string& last) {
  if (name.empty()) return;
  if (verb == "kill") cluster_->SignalServer(name, SIGKILL);
  if (verb == "silence") {
    cluster_->RunSql(name, "SELECT standin_fault('silence', '1')");
  }
  if (verb == "lag") {
    const auto ms =
        std::chrono::duration_cast<Milliseconds>(TimeOf(last)).count();
    cluster_->RunSql(name,
                     "SELECT standin_fault('lag', " + std::to_string(ms) + ")");
  }
  if (verb == "leave") cluster_->RegisterServer(name, true);
  if (verb == "freeze") {
    cluster_->SignalServer(name, SIGSTOP);
    RunAfter(TimeOf(last),
             [this, name] { cluster_->SignalServer(name, SIGCONT); });
  }
}

void ProcessTarget::RunInstanceAction(const std::string& verb, int n,
                                      const std::string& last) {
  if (verb == "kill") cluster_->SignalInstance(n, SIGKILL);
  if (verb == "restart") cluster_->RestartInstance(n);
  if (verb == "drain") cluster_->SignalInstance(n, SIGTERM);
  if (verb == "freeze") {
    cluster_->SignalInstance(n, SIGSTOP);
    RunAfter(TimeOf(last), [this, n] { cluster_->SignalInstance(n, SIGCONT); });
  }
}

void ProcessTarget::PartitionZones(const std::string& zone,
                                   const std::string& other) {
  const std::vector<std::pair<std::string, std::string>> sides = {
      {zone, other}, {other, zone}};
  for (const auto& [server_zone, caller_zone] : sides) {
    const std::string server = "g-" + std::to_string(server_zone[0] - 'a' + 1);
    cluster_->RunSql(server,
                     "SELECT standin_fault('cut', '" + caller_zone + "')");
  }
}

void ProcessTarget::RunAction(const std::vector<std::string>& words) {
  const std::string& verb = words[0];
  const std::string object = words.size() > 1 ? words[1] : "";
  std::string name = words.size() > 2 ? words[2] : "";
  if (name == "primary") name = cluster_->PrimaryOf(kGroup);
  if (object == "server") {
    RunServerAction(verb, name, words.back());
  } else if (object == "instance") {
    RunInstanceAction(verb, std::atoi(name.c_str()), words.back());
  } else if (verb == "cut") {
    PartitionZones(words[1], words[3]);
  } else if (verb == "heal") {
    Heal();
  } else if (verb == "platform") {
    cluster_->SetPlatformFault(object == "up" ? "none" : object);
  } else if (verb == "sheet") {
    const std::string path = cluster_->WriteFile("second.csv", FakeSheet(2));
    cluster_->RunCtl(
        {"load", path, "--platform", cluster_->platform_address()});
  }
}

void ProcessTarget::Heal() {
  cluster_->SetPlatformFault("none");
  for (const auto& server : cluster_->server_ids()) {
    for (const auto* zone : {"a", "b", "c"}) {
      cluster_->RunSql(
          server, std::string("SELECT standin_fault('heal', '") + zone + "')");
    }
    cluster_->RunSql(server, "SELECT standin_fault('lag', 3)");
  }
}

void ProcessTarget::RecordSurvivingWrites() {
  const std::string primary = cluster_->PrimaryOf(kGroup);
  std::istringstream ids(cluster_->RunSql(
      primary, "SELECT group_concat(request, ' ') FROM claim"));
  std::vector<History::Entry> survived;
  for (std::string id; ids >> id;) survived.push_back({id, {}});
  history_.survived[kGroup] = std::move(survived);
}

std::string ProcessTarget::Check(const Step& step) {
  bool handled = false;
  std::string reason =
      CheckHistory(step.words, history_, start_, load_end_, handled);
  if (handled) return reason;
  const std::string kind = step.words[0];
  const std::string last = step.words.back();
  if (kind == "primary") {
    const std::string primary = cluster_->PrimaryOf(kGroup);
    const bool changed = primary != initial_primary_;
    return changed == (last == "changed") ? "" : "primary is " + primary;
  }
  if (kind == "ended") {
    return cluster_->InstanceExited(std::atoi(last.c_str()))
               ? ""
               : "instance has not exited";
  }
  if (kind == "version") {
    for (int n = 0; n < cluster_->instance_count(); ++n) {
      const auto health = cluster_->Get(n, "/health");
      const std::string wanted = "\"sheet_version\":" + last;
      if (!health || health->find(wanted) == std::string::npos) {
        return "instance " + std::to_string(n) + ": " + health.value_or("");
      }
    }
    return "";
  }
  return "unknown expectation";
}

}  // namespace testing_support
