/// \file
/// corianderctl: command-line tool for operators.
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <random>

#include "command_line.h"
#include "corianderdock/codec.h"
#include "corianderdock/detail/hash.h"
#include "corianderdock/net/http_client.h"
#include "corianderdock/net/json_rpc.h"
#include "corianderdock/net/platform_client.h"

namespace {

namespace asio = boost::asio;
namespace po = boost::program_options;
using corianderdock::Clock;
using corianderdock::Error;
using corianderdock::Milliseconds;
using corianderdock::Result;
using corianderdock::Topology;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitBadInput = 2;
constexpr int kExitUnreachable = 3;
constexpr Milliseconds kInstanceTimeout{1000};
constexpr Milliseconds kVersionPollInterval{100};

constexpr char kUsage[] =
    "corianderctl COMMAND [ARGUMENT] [options]\n\n"
    "  check SHEET.csv     validate a sheet; with --platform also against the\n"
    "                      listed servers and instances\n"
    "  load SHEET.csv      validate a sheet, load it and wait until it is in\n"
    "                      force at every listed instance\n"
    "  show                accepted sheet, instances with their versions,\n"
    "                      and servers\n"
    "  dump INSTANCE       complete state of an instance as JSON\n"
    "  resolve REQUEST_ID  outcome of a request (--service, --address)\n"
    "  drain INSTANCE      stop an instance after its running work is done\n\n"
    "Exit codes: 0 done, 1 refused or failed, 2 bad input, 3 unreachable\n\n";

/// Parsed command line.
struct Arguments {
  std::string command;
  std::string argument;
  std::vector<std::string> platform;
  std::string address;
  std::string service;
  std::string author;
  int wait_ms = 13000;
  bool json = false;
};

std::string ReadFile(const std::string& path, bool& ok) {
  std::ifstream in(path);
  ok = static_cast<bool>(in);
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

/// One command, run against the platform and the instances.
class Command {
 public:
  explicit Command(Arguments arguments)
      : arguments_(std::move(arguments)),
        platform_(io_, arguments_.platform),
        http_(io_) {}

  int Run() {
    using Handler = int (Command::*)();
    static const std::map<std::string, Handler> kHandlers = {
        {"check", &Command::Check},     {"load", &Command::Load},
        {"show", &Command::Show},       {"dump", &Command::Dump},
        {"resolve", &Command::Resolve}, {"drain", &Command::Drain}};
    const auto handler = kHandlers.find(arguments_.command);
    if (handler == kHandlers.end()) {
      return Fail(kExitBadInput, "unknown command " + arguments_.command);
    }
    const bool needs_argument = arguments_.command != "show";
    if (needs_argument && arguments_.argument.empty()) {
      return Fail(kExitBadInput, arguments_.command + " needs an argument");
    }
    return (this->*handler->second)();
  }

 private:
  int Fail(int code, const std::string& text) {
    if (arguments_.json) {
      Json::Value out;
      out["ok"] = false;
      out["error"] = text;
      std::cout << corianderdock::ToText(out) << "\n";
    } else {
      std::cerr << "corianderctl: " << text << "\n";
    }
    return code;
  }

  void Print(Json::Value value, const std::string& text) {
    value["ok"] = true;
    std::cout << (arguments_.json ? corianderdock::ToText(value) : text)
              << "\n";
  }

  /// Runs a coroutine to completion.
  template <typename T>
  T Await(asio::awaitable<T> task) {
    std::optional<T> result;
    asio::co_spawn(
        io_,
        [&]() -> asio::awaitable<void> {
          result.emplace(co_await std::move(task));
        },
        asio::detached);
    io_.restart();
    io_.run();
    return std::move(*result);
  }

  Result<std::string> Get(const std::string& address,
                          const std::string& target) {
    Result<std::string> result = Error{address, "does not answer"};
    http_.Get(address, target, kInstanceTimeout,
              [&](corianderdock::net::HttpResult it) {
                if (it.ok) result = std::move(it.body);
              });
    io_.restart();
    io_.run();
    return result;
  }

  Result<std::string> Post(const std::string& address,
                           const std::string& target, std::string body) {
    Result<std::string> result = Error{address, "does not answer"};
    http_.Post(address, target, std::move(body), std::chrono::seconds(10),
               [&](corianderdock::net::HttpResult it) {
                 if (it.ok) result = std::move(it.body);
               });
    io_.restart();
    io_.run();
    return result;
  }

  int ParseSheetFile(std::string& text, corianderdock::Sheet& sheet) {
    bool ok = false;
    text = ReadFile(arguments_.argument, ok);
    if (!ok) return Fail(kExitBadInput, "cannot read " + arguments_.argument);
    auto parsed = corianderdock::ParseSheet(text);
    if (!parsed) {
      std::string all;
      for (const auto& it : parsed.error()) {
        if (!all.empty()) all += "\n";
        all += arguments_.argument;
        all += ": ";
        all += corianderdock::ToText(it);
      }
      return Fail(kExitBadInput, all);
    }
    sheet = std::move(*parsed);
    return kExitOk;
  }

  int FailNotListed(const std::string& service, const std::string& what) {
    std::string text = "service ";
    text += service;
    text += ": the platform lists no ";
    text += what;
    return Fail(kExitBadInput, text);
  }

  int CheckTopology(const corianderdock::Sheet& sheet,
                    const Topology& topology) {
    std::set<std::string> groups;
    std::set<std::string> zones;
    for (const auto& [id, it] : topology.servers) groups.insert(it.group);
    for (const auto& [id, it] : topology.instances) zones.insert(it.zone);
    for (const auto& [id, service] : sheet.services) {
      if (!groups.contains(service.group)) {
        return FailNotListed(id, "group " + service.group);
      }
      for (const auto& zone : service.zones) {
        if (zones.contains(zone)) continue;
        return FailNotListed(id, "instance in zone " + zone);
      }
    }
    return kExitOk;
  }

  int Check() {
    std::string text;
    corianderdock::Sheet sheet;
    if (const int code = ParseSheetFile(text, sheet); code != kExitOk)
      return code;
    if (!arguments_.platform.empty()) {
      const auto topology = Await(platform_.ReadTopology());
      if (!topology) return FailUnreachable(topology.error());
      const int code = CheckTopology(sheet, *topology);
      if (code != kExitOk) return code;
    }
    Json::Value out;
    out["services"] = sheet.services.size();
    Print(out, arguments_.argument + ": ok, " +
                   std::to_string(sheet.services.size()) + " services");
    return kExitOk;
  }

  int FailUnreachable(const Error& error) {
    return Fail(kExitUnreachable, error.place + ": " + error.reason);
  }

  int Load() {
    std::string text;
    corianderdock::Sheet sheet;
    if (const int code = ParseSheetFile(text, sheet); code != kExitOk)
      return code;
    const auto topology = Await(platform_.ReadTopology());
    if (!topology) return FailUnreachable(topology.error());
    if (const int code = CheckTopology(sheet, *topology); code != kExitOk) {
      return code;
    }
    std::random_device random;
    const std::string load_id = corianderdock::detail::ContentAddress(
        text + std::to_string(random()) + std::to_string(random()));
    const auto loaded = Await(platform_.Load(text, arguments_.author, load_id));
    if (!loaded) return FailUnreachable(loaded.error());
    if (!loaded->accepted) {
      return Fail(kExitFailed,
                  "sheet not accepted; accepted instead: version " +
                      std::to_string(loaded->version) + " by " +
                      loaded->winning_author);
    }
    return WaitUntilInForce(loaded->version, *topology);
  }

  /// Waits until every listed instance that is not leaving has `version` in
  /// force, or until `--wait-ms` has passed.
  int WaitUntilInForce(corianderdock::SheetVersion version,
                       const Topology& topology) {
    const auto start = Clock::now();
    const auto deadline = start + Milliseconds(arguments_.wait_ms);
    std::map<std::string, std::string> behind;
    for (const auto& [id, it] : topology.instances) {
      if (!it.leaving) behind[id] = it.address;
    }
    const std::size_t all = behind.size();
    while (!behind.empty() && Clock::now() < deadline) {
      std::erase_if(behind, [&](const auto& it) {
        return SheetVersionAt(it.second) >= version;
      });
      if (!behind.empty())
        usleep(static_cast<useconds_t>(
            std::chrono::microseconds(kVersionPollInterval).count()));
    }
    const auto elapsed =
        std::chrono::duration_cast<Milliseconds>(Clock::now() - start);
    Json::Value out;
    out["version"] = version;
    out["in_force_at"] = all - behind.size();
    out["instances"] = all;
    out["took_ms"] = elapsed.count();
    for (const auto& [id, address] : behind) out["behind"].append(id);
    std::string text =
        "version " + std::to_string(version) + " accepted, in force at " +
        std::to_string(all - behind.size()) + " of " + std::to_string(all) +
        " instances after " + std::to_string(elapsed.count()) + " ms";
    for (const auto& [id, address] : behind) text += "\nnot in force at: " + id;
    Print(out, text);
    return behind.empty() ? kExitOk : kExitFailed;
  }

  corianderdock::SheetVersion SheetVersionAt(const std::string& address) {
    const auto body = Get(address, "/health");
    if (!body) return 0;
    const auto value = corianderdock::ParseJson(*body);
    if (!value || !value->isObject()) return 0;
    const Json::Value& version = (*value)["sheet_version"];
    return version.isUInt64() ? version.asUInt64() : 0;
  }

  int Show() {
    const auto topology = Await(platform_.ReadTopology());
    if (!topology) return FailUnreachable(topology.error());
    const auto sheet = Await(platform_.ReadSheet(0));
    if (!sheet) return FailUnreachable(sheet.error());
    Json::Value out;
    std::string text;
    if (*sheet) {
      out["sheet"] = corianderdock::ToJson(**sheet);
      text = "sheet version " + std::to_string((*sheet)->version) + " by " +
             (*sheet)->author + "\n" + (*sheet)->text;
    } else {
      text = "no sheet has been accepted\n";
    }
    for (const auto& [id, it] : topology->instances) {
      const auto version = SheetVersionAt(it.address);
      Json::Value instance;
      instance["id"] = id;
      instance["zone"] = it.zone;
      instance["sheet_version"] = version;
      out["instances"].append(instance);
      text += "instance " + id + " (" + it.zone + ") runs version " +
              std::to_string(version) + "\n";
    }
    for (const auto& [id, it] : topology->servers) {
      Json::Value server;
      server["id"] = id;
      server["group"] = it.group;
      server["zone"] = it.zone;
      server["leaving"] = it.leaving;
      out["servers"].append(server);
      text += "server " + id + " (" + it.zone + ") of " + it.group +
              (it.leaving ? ", leaving\n" : "\n");
    }
    if (!text.empty()) text.pop_back();
    Print(out, text);
    return kExitOk;
  }

  /// Address given by `--address`, otherwise that of the instance named by the
  /// argument.
  Result<std::string> InstanceAddress() {
    if (!arguments_.address.empty()) return arguments_.address;
    const auto topology = Await(platform_.ReadTopology());
    if (!topology) return topology.error();
    const auto it = topology->instances.find(arguments_.argument);
    if (it == topology->instances.end()) {
      return Error{"platform", "lists no instance " + arguments_.argument};
    }
    return it->second.address;
  }

  int Dump() {
    const auto address = InstanceAddress();
    if (!address) return FailUnreachable(address.error());
    const auto body = Get(*address, "/state");
    if (!body) return FailUnreachable(body.error());
    std::cout << *body << "\n";
    return kExitOk;
  }

  int Drain() {
    const auto address = InstanceAddress();
    if (!address) return FailUnreachable(address.error());
    const auto body = Post(*address, "/peer",
                           corianderdock::net::MakeRpcRequest(
                               "admin.drain", Json::Value(Json::objectValue)));
    if (!body) return FailUnreachable(body.error());
    Print({}, arguments_.argument + " is draining");
    return kExitOk;
  }

  int Resolve() {
    if (arguments_.service.empty() || arguments_.address.empty()) {
      return Fail(kExitBadInput, "resolve needs --service and --address");
    }
    Json::Value params;
    params["service"] = arguments_.service;
    params["request_id"] = arguments_.argument;
    const auto body =
        Post(arguments_.address, "/",
             corianderdock::net::MakeRpcRequest("resolve", params));
    if (!body) return FailUnreachable(body.error());
    const auto value = corianderdock::ParseJson(*body);
    if (!value || !value->isObject()) {
      return Fail(kExitFailed, "expected a JSON object in the response");
    }
    if (value->isMember("result")) {
      Print((*value)["result"], "done");
      return kExitOk;
    }
    const Json::Value& error = (*value)["error"];
    const std::string outcome = error["message"].asString();
    if (outcome == corianderdock::Name(corianderdock::Outcome::kNotRun) &&
        error["data"]["reason"].asString() ==
            corianderdock::Name(corianderdock::Reason::kTombstoned)) {
      Print(error["data"], "not_run");
      return kExitOk;
    }
    return Fail(kExitFailed,
                outcome + " " + error["data"]["reason"].asString());
  }

  Arguments arguments_;
  asio::io_context io_{1};
  corianderdock::net::PlatformClient platform_;
  corianderdock::net::HttpClient http_;
};

}  // namespace

int main(int argc, char** argv) {
  Arguments arguments;
  po::options_description flags("options");
  flags.add_options()("help", "show this help")(
      "command", po::value(&arguments.command), "command")(
      "argument", po::value(&arguments.argument), "argument of the command")(
      "platform", po::value(&arguments.platform)->composing(),
      "IP:PORT of the platform's key-value service, may be repeated")(
      "address", po::value(&arguments.address), "IP:PORT of an instance")(
      "service", po::value(&arguments.service),
      "service of the request to resolve")(
      "author", po::value(&arguments.author)->default_value("operator"),
      "author recorded with a loaded sheet")(
      "wait-ms", po::value(&arguments.wait_ms)->default_value(13000),
      "how long load waits for the instances, in ms")("json", "print JSON");
  try {
    const po::variables_map values =
        apps::ParseCommandLine(argc, argv, flags, {"command", "argument"});
    if (values.count("help") != 0 || arguments.command.empty()) {
      std::cout << kUsage << flags;
      return values.count("help") != 0 ? kExitOk : kExitBadInput;
    }
    arguments.json = values.count("json") != 0;
    return Command(arguments).Run();
  } catch (const std::exception& error) {
    std::cerr << "corianderctl: " << error.what() << "\n";
    return kExitBadInput;
  }
}
