#include "corianderdock/settings.h"

#include <algorithm>
#include <array>
#include <cctype>

#include "corianderdock/codec.h"
#include "corianderdock/net/http_server.h"

namespace corianderdock {

namespace {

constexpr std::uint64_t kMaxTimeMs = 86'400'000;
constexpr std::uint64_t kMaxCount = 1'000'000;
/// Used when the memory of the machine is unknown.
constexpr std::uint64_t kUnknownMemoryMegabytes = 512;
constexpr std::array<std::string_view, 6> kLogLevels = {
    "TRACE", "DEBUG", "INFO", "WARN", "ERROR", "FATAL"};

struct TimeField {
  const char* name;
  Duration Options::*member;
};

constexpr TimeField kTimeFields[] = {
    {"default_timeout_ms", &Options::default_timeout},
    {"largest_timeout_ms", &Options::largest_timeout},
    {"token_wait_ms", &Options::token_wait},
    {"transaction_idle_ms", &Options::transaction_idle},
    {"poll_interval_ms", &Options::poll_interval},
    {"poll_timeout_ms", &Options::poll_timeout},
    {"primary_silence_ms", &Options::primary_silence},
    {"replica_silence_ms", &Options::replica_silence},
    {"replication_silence_ms", &Options::replication_silence},
    {"claim_rank_delay_ms", &Options::claim_rank_delay},
    {"claim_timeout_ms", &Options::claim_timeout},
    {"ping_interval_ms", &Options::ping_interval},
    {"ping_timeout_ms", &Options::ping_timeout},
    {"connect_timeout_ms", &Options::connect_timeout},
    {"probe_interval_ms", &Options::probe_interval},
    {"probe_timeout_ms", &Options::probe_timeout},
    {"suspicion_timeout_ms", &Options::suspicion_timeout},
    {"full_exchange_interval_ms", &Options::full_exchange_interval},
    {"platform_poll_interval_ms", &Options::platform_poll_interval},
    {"startup_wait_ms", &Options::startup_wait},
    {"drain_limit_ms", &Options::drain_limit},
};

struct FlagField {
  const char* name;
  bool Options::*member;
};

constexpr FlagField kFeatureFlags[] = {
    {"late_binding", &Options::late_binding},
    {"long_work_cap", &Options::long_work_cap},
    {"replica_reads", &Options::replica_reads},
    {"early_refusal", &Options::early_refusal},
    {"shared_scheduler", &Options::shared_scheduler},
    {"gossip_membership", &Options::gossip_membership},
};

/// Reads one object of the settings and collects every error. The destructor
/// reports members that were not looked up as unknown settings.
class Section {
 public:
  Section(const Json::Value& object, std::string path,
          std::vector<Error>& errors)
      : object_(object), path_(std::move(path)), errors_(errors) {
    if (!object_.isObject()) Fail("", "expected an object");
  }

  ~Section() {
    if (!object_.isObject()) return;
    for (const auto& name : object_.getMemberNames()) {
      if (std::find(known_.begin(), known_.end(), name) == known_.end()) {
        Fail(name, "is not a known setting");
      }
    }
  }
  Section(const Section&) = delete;
  Section& operator=(const Section&) = delete;

  const Json::Value* Find(const char* name) {
    known_.emplace_back(name);
    if (!object_.isObject() || !object_.isMember(name)) return nullptr;
    return &object_[name];
  }

  void Text(const char* name, std::string& out, bool required = false) {
    const Json::Value* value = Find(name);
    if (value == nullptr) {
      if (required) Fail(name, "is missing");
    } else if (!value->isString() || (required && value->asString().empty())) {
      Fail(name, "expected a non-empty string");
    } else {
      out = value->asString();
    }
  }

  /// Reads a name that is safe in keys, log lines and connection parameters.
  void Name(const char* name, std::string& out) {
    const std::size_t before = errors_.size();
    Text(name, out, out.empty());
    if (errors_.size() != before) return;
    const bool valid = std::all_of(out.begin(), out.end(), [](char c) {
      return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' ||
             c == '_' || c == '.';
    });
    if (!valid) Fail(name, "expected letters, digits, -, _ and .");
  }

  void Address(const char* name, std::string& out) {
    const std::size_t before = errors_.size();
    Text(name, out, true);
    if (errors_.size() == before) CheckAddress(name, out);
  }

  void Addresses(const char* name, std::vector<std::string>& out) {
    const Json::Value* value = Find(name);
    if (value == nullptr) return;
    if (!value->isArray()) return Fail(name, "expected an array of IP:PORT");
    for (Json::ArrayIndex n = 0; n < value->size(); ++n) {
      const std::string place =
          std::string(name) + "[" + std::to_string(n) + "]";
      if (!(*value)[n].isString()) {
        Fail(place, "expected IP:PORT");
        continue;
      }
      out.push_back((*value)[n].asString());
      CheckAddress(place, out.back());
    }
  }

  template <typename T>
  void Number(const char* name, T& out, std::uint64_t lowest,
              std::uint64_t highest) {
    const Json::Value* value = Find(name);
    if (value == nullptr) return;
    if (!value->isUInt64() || value->asUInt64() < lowest ||
        value->asUInt64() > highest) {
      return Fail(name, "expected a whole number, " + std::to_string(lowest) +
                            " to " + std::to_string(highest));
    }
    out = static_cast<T>(value->asUInt64());
  }

  void Time(const char* name, Duration& out) {
    std::uint64_t ms = 0;
    Number(name, ms, 1, kMaxTimeMs);
    if (ms > 0) out = Milliseconds(ms);
  }

  void Flag(const char* name, bool& out) {
    const Json::Value* value = Find(name);
    if (value == nullptr) return;
    if (!value->isBool()) return Fail(name, "expected true or false");
    out = value->asBool();
  }

  void Fail(const std::string& name, std::string reason) {
    std::string place = path_;
    if (!place.empty() && !name.empty()) place += ".";
    errors_.push_back({place + name, std::move(reason)});
  }

  std::string PathOf(const char* name) const {
    return path_.empty() ? name : path_ + "." + name;
  }

 private:
  void CheckAddress(const std::string& name, const std::string& text) {
    try {
      (void)net::ParseEndpoint(text);
    } catch (const std::invalid_argument& error) {
      Fail(name, error.what());
    }
  }

  const Json::Value& object_;
  std::string path_;
  std::vector<Error>& errors_;
  std::vector<std::string> known_;
};

void ReadTimes(Section& top, Settings& settings, std::vector<Error>& errors) {
  const Json::Value* object = top.Find("times");
  if (object == nullptr) return;
  Section section(*object, "times", errors);
  section.Time("idle_timeout_ms", settings.idle_timeout);
  section.Time("body_timeout_ms", settings.body_timeout);
  for (const auto& it : kTimeFields)
    section.Time(it.name, settings.options.*it.member);
}

void ReadLimits(Section& top, Settings& settings, std::vector<Error>& errors) {
  const Json::Value* object = top.Find("limits");
  if (object == nullptr) return;
  Section section(*object, "limits", errors);
  section.Number("largest_body", settings.max_body_bytes, 1024, 64 << 20);
  section.Number("memory_megabytes", settings.memory_megabytes, 32, kMaxCount);
  section.Number("descriptors", settings.max_descriptors, 64, kMaxCount);
  section.Number("budget_megabytes", settings.budget_megabytes, 8, kMaxCount);
  section.Number("reserved_megabytes", settings.reserved_megabytes, 1,
                 kMaxCount);
  section.Number("connection_megabytes", settings.connection_megabytes, 4,
                 kMaxCount);
  section.Number("reserved_descriptors", settings.reserved_descriptors, 1,
                 kMaxCount);
  section.Number("connections", settings.max_connections, 1, kMaxCount);
  section.Number("largest_header", settings.max_header_bytes, 1024, 64 << 10);
  section.Number("largest_waiting", settings.options.largest_waiting, 1,
                 kMaxCount);
  section.Number("control_connections", settings.options.control_connections, 1,
                 1000);
  section.Number("platform_pollers_per_zone",
                 settings.options.platform_pollers_per_zone, 1, 100);
  section.Number("updates_per_message", settings.options.updates_per_message, 1,
                 1000);
  section.Number("prefetch", settings.options.prefetch, 0, 1000);
  section.Number("retry_burst", settings.options.retry_burst, 0, kMaxCount);
}

void ReadFeatureFlags(Section& top, Options& options,
                      std::vector<Error>& errors) {
  const Json::Value* object = top.Find("alternatives");
  if (object == nullptr) return;
  Section section(*object, "alternatives", errors);
  for (const auto& it : kFeatureFlags)
    section.Flag(it.name, options.*it.member);
}

void ReadLog(Section& top, Settings& settings, std::vector<Error>& errors) {
  const Json::Value* object = top.Find("log");
  if (object == nullptr) return;
  Section section(*object, "log", errors);
  section.Text("level", settings.log_level);
  section.Text("file", settings.log_file);
  if (std::find(kLogLevels.begin(), kLogLevels.end(), settings.log_level) ==
      kLogLevels.end()) {
    section.Fail("level", "expected TRACE, DEBUG, INFO, WARN, ERROR or FATAL");
  }
}

}  // namespace

BudgetLimits BudgetOf(const Settings& settings) {
  BudgetLimits out = DeriveLimits(
      (settings.memory_megabytes != 0 ? settings.memory_megabytes
                                      : kUnknownMemoryMegabytes)
          << 20,
      settings.max_descriptors != 0
          ? std::min(settings.max_descriptors, AllowedDescriptors())
          : AllowedDescriptors());
  if (settings.budget_megabytes != 0) {
    out.total_bytes = settings.budget_megabytes << 20;
  }
  if (settings.reserved_megabytes != 0) {
    out.reserved_bytes = settings.reserved_megabytes << 20;
  }
  out.reserved_bytes = std::min(out.reserved_bytes, out.total_bytes / 2);
  if (settings.connection_megabytes != 0) {
    out.connection_bytes = settings.connection_megabytes << 20;
  }
  if (settings.reserved_descriptors != 0) {
    out.reserved_descriptors = settings.reserved_descriptors;
  }
  if (settings.max_connections != 0) {
    out.max_connections = settings.max_connections;
  }
  return out;
}

Result<Settings, std::vector<Error>> ParseSettings(std::string_view text) {
  std::vector<Error> errors;
  const auto json = ParseJson(text);
  if (!json) return std::vector<Error>{json.error()};
  Settings settings;
  {
    Section top(*json, "", errors);
    top.Name("instance", settings.identity.instance);
    top.Name("zone", settings.identity.zone);
    top.Address("listen", settings.listen);
    top.Address("peer_listen", settings.peer_listen);
    top.Addresses("platform", settings.platform);
    top.Addresses("seeds", settings.options.seeds);
    top.Number("traffic_threads", settings.traffic_threads, 1, 64);
    top.Name("database_user", settings.database_user);
    top.Name("database_name", settings.database_name);
    ReadLog(top, settings, errors);
    ReadTimes(top, settings, errors);
    ReadLimits(top, settings, errors);
    ReadFeatureFlags(top, settings.options, errors);
  }
  if (!errors.empty()) return errors;
  settings.identity.address = settings.peer_listen;
  return settings;
}

}  // namespace corianderdock
