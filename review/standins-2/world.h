/// \file
/// Stand-ins for the cases of the second review: the platform's store, the
/// promotion interface, database servers and consumers, as PROTOCOL.md
/// describes them. Each process of the project runs on a loopback address of
/// its own.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <json/json.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

extern char** environ;

namespace review {

using Ms = std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;

inline std::int64_t NowMs() {
  static const auto kStart = SteadyClock::now();
  return std::chrono::duration_cast<Ms>(SteadyClock::now() - kStart).count();
}

inline void SleepMs(std::int64_t ms) {
  if (ms > 0) std::this_thread::sleep_for(Ms(ms));
}

/// Writes the record of a run: one line an event, with the time since its
/// start.
class Record {
 public:
  explicit Record(const std::string& path)
      : file_(std::fopen(path.c_str(), "w")) {
    if (file_ == nullptr) std::exit(2);
  }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%8.3f  ", static_cast<double>(NowMs()) / 1000);
    va_list args;
    va_start(args, format);
    std::vfprintf(file_, format, args);
    va_end(args);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::FILE* file_;
  std::mutex mutex_;
};

/// A blocking TCP connection.
class Stream {
 public:
  explicit Stream(int fd) : fd_(fd) {
    const int on = 1;
    (void)::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;
  ~Stream() { ::close(fd_); }

  /// Connects; null if that fails. `receive_bytes` sets the receive buffer, 0
  /// leaves it as it is.
  static std::shared_ptr<Stream> Connect(const std::string& ip, int port,
                                         int receive_bytes = 0) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_bytes > 0) {
      (void)::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                         sizeof receive_bytes);
    }
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(port));
    (void)::inet_pton(AF_INET, ip.c_str(), &to.sin_addr);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) {
      ::close(fd);
      return nullptr;
    }
    return std::make_shared<Stream>(fd);
  }

  bool Send(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t n =
          ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) return false;
      sent += static_cast<std::size_t>(n);
    }
    return true;
  }

  /// Reads what has arrived, at most `max` bytes. False once closed.
  bool Fill(std::size_t max = 65536) {
    std::vector<char> bytes(max);
    const ssize_t n = ::recv(fd_, bytes.data(), bytes.size(), 0);
    if (n <= 0) return false;
    buffer_.append(bytes.data(), static_cast<std::size_t>(n));
    return true;
  }

  /// Returns the next line without its CR LF; null once closed or, with
  /// `SetTimeout`, after that time without a byte.
  std::optional<std::string> Line() {
    std::size_t searched = 0;
    for (;;) {
      const std::size_t end = buffer_.find("\r\n", searched);
      if (end != std::string::npos) {
        std::string line = buffer_.substr(0, end);
        buffer_.erase(0, end + 2);
        return line;
      }
      searched = buffer_.empty() ? 0 : buffer_.size() - 1;
      if (!Fill()) return std::nullopt;
    }
  }

  std::optional<std::string> Bytes(std::size_t n) {
    while (buffer_.size() < n) {
      if (!Fill()) return std::nullopt;
    }
    std::string bytes = buffer_.substr(0, n);
    buffer_.erase(0, n);
    return bytes;
  }

  void SetTimeout(int ms) {
    timeval limit{ms / 1000, ms % 1000 * 1000};
    (void)::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  }

  void Shutdown() { (void)::shutdown(fd_, SHUT_RDWR); }
  std::string& buffer() { return buffer_; }

 private:
  int fd_;
  std::string buffer_;
};

/// Accepts connections and runs a thread for each. Everything ends with the
/// process.
class Listener {
 public:
  using Handler = std::function<void(std::shared_ptr<Stream>)>;

  Listener(const std::string& ip, int port, Handler handler)
      : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int on = 1;
    (void)::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    (void)::inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
    if (::bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
        ::listen(fd_, 256) != 0) {
      std::fprintf(stderr, "cannot listen on %s:%d\n", ip.c_str(), port);
      std::exit(2);
    }
    std::thread([fd = fd_, handler = std::move(handler)] {
      for (;;) {
        const int client = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0) return;
        auto stream = std::make_shared<Stream>(client);
        std::thread([handler, stream] { handler(stream); }).detach();
      }
    }).detach();
  }

 private:
  int fd_;
};

/// Whether a port is free on a loopback address.
inline bool IsFree(const std::string& ip, int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  (void)::inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
  const bool free =
      ::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0;
  ::close(fd);
  return free;
}

/// Returns a port that is free on all addresses of a case.
inline int FreePort() {
  static const std::vector<std::string> kAddresses = {
      "127.0.1.1", "127.0.1.2", "127.0.2.1", "127.0.2.2",
      "127.0.2.5", "127.0.3.1", "127.0.3.2", "127.0.3.3"};
  static int next = 21000 + ::getpid() % 500 * 16;
  for (;; ++next) {
    const bool free =
        std::all_of(kAddresses.begin(), kAddresses.end(),
                    [](const std::string& ip) { return IsFree(ip, next); });
    if (free) return next++;
  }
}

inline std::string EncodeBase64(const std::string& in) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t n = 0; n < in.size(); n += 3) {
    const auto at = [&](std::size_t k) {
      return k < in.size() ? static_cast<unsigned char>(in[k]) : 0U;
    };
    const unsigned bits = at(n) << 16 | at(n + 1) << 8 | at(n + 2);
    out += kDigits[bits >> 18 & 63];
    out += kDigits[bits >> 12 & 63];
    out += n + 1 < in.size() ? kDigits[bits >> 6 & 63] : '=';
    out += n + 2 < in.size() ? kDigits[bits & 63] : '=';
  }
  return out;
}

inline std::string ToText(const Json::Value& value) {
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  return Json::writeString(writer, value);
}

struct HttpRequest {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  ///< names in lower case
  Json::Value body;
};

struct HttpAnswer {
  int status = 200;
  std::string body;
};

/// Serves HTTP/1.1 with kept-alive connections. The handler may return null to
/// leave a request unanswered for good.
inline void ServeHttp(
    Stream& stream,
    const std::function<std::optional<HttpAnswer>(const HttpRequest&)>&
        handler) {
  for (;;) {
    const auto first = stream.Line();
    if (!first) return;
    HttpRequest request;
    std::istringstream words(*first);
    std::string target;
    words >> request.method >> target;
    const std::size_t mark = target.find('?');
    request.path = target.substr(0, mark);
    if (mark != std::string::npos) {
      std::istringstream fields(target.substr(mark + 1));
      std::string field;
      while (std::getline(fields, field, '&')) {
        const std::size_t equals = field.find('=');
        if (equals == std::string::npos) continue;
        request.query[field.substr(0, equals)] = field.substr(equals + 1);
      }
    }
    std::size_t length = 0;
    for (;;) {
      const auto line = stream.Line();
      if (!line) return;
      if (line->empty()) break;
      const std::size_t colon = line->find(':');
      if (colon == std::string::npos) continue;
      std::string name = line->substr(0, colon);
      for (char& c : name) c = static_cast<char>(std::tolower(c));
      const std::size_t value = line->find_first_not_of(' ', colon + 1);
      request.headers[name] =
          value == std::string::npos ? "" : line->substr(value);
    }
    if (request.headers.contains("content-length")) {
      length = std::stoul(request.headers["content-length"]);
    }
    const auto body = stream.Bytes(length);
    if (!body) return;
    if (!body->empty()) std::istringstream(*body) >> request.body;
    const auto answer = handler(request);
    if (!answer) {
      while (stream.Fill()) {
      }
      return;
    }
    const std::string text =
        "HTTP/1.1 " + std::to_string(answer->status) +
        " -\r\nContent-Type: application/json\r\nContent-Length: " +
        std::to_string(answer->body.size()) + "\r\n\r\n" + answer->body;
    if (!stream.Send(text)) return;
  }
}

/// The platform's metadata store.
class Store {
 public:
  Store(const std::string& ip, int port)
      : listener_(ip, port, [this](const std::shared_ptr<Stream>& stream) {
          ServeHttp(*stream, [this](const HttpRequest& it) {
            return std::optional(Handle(it));
          });
        }) {}

  /// Opens another address of the store, which answers 503 while `refuses`
  /// holds: the store turns away the machine that has this address.
  void AddDoor(const std::string& ip, int port,
               const std::atomic<bool>& refuses) {
    doors_.push_back(std::make_unique<Listener>(
        ip, port, [this, &refuses](const std::shared_ptr<Stream>& stream) {
          ServeHttp(*stream, [&](const HttpRequest& it) {
            if (refuses) return std::optional(HttpAnswer{503, "{}"});
            return std::optional(Handle(it));
          });
        }));
  }

  /// Age of reads with `allow_stale`.
  std::atomic<std::int64_t> stale_ms{200};

  std::uint64_t Put(const std::string& key, const std::string& value,
                    std::uint64_t lease = 0) {
    const std::lock_guard lock(mutex_);
    return Write(key, value, lease);
  }

  void Delete(const std::string& key) {
    const std::lock_guard lock(mutex_);
    Write(key, std::nullopt, 0);
  }

 private:
  struct Version {
    std::int64_t at = 0;
    std::optional<std::string> value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    std::int64_t ttl = 0;
    std::int64_t ends = 0;
  };

  std::uint64_t Write(const std::string& key, std::optional<std::string> value,
                      std::uint64_t lease) {
    auto& history = keys_[key];
    const bool exists = !history.empty() && history.back().value;
    ++revision_;
    history.push_back({NowMs(), std::move(value), revision_,
                       exists ? history.back().created : revision_, lease});
    changed_.notify_all();
    return revision_;
  }

  void ExpireLeases() {
    for (auto it = leases_.begin(); it != leases_.end();) {
      if (it->second.ends > NowMs()) {
        ++it;
        continue;
      }
      EndLease(it->first);
      it = leases_.erase(it);
    }
  }

  void EndLease(std::uint64_t id) {
    for (auto& [key, history] : keys_) {
      const bool held = history.back().value && history.back().lease == id;
      if (held) Write(key, std::nullopt, 0);
    }
  }

  const Version* Visible(const std::string& key, bool stale) const {
    const auto it = keys_.find(key);
    if (it == keys_.end()) return nullptr;
    const std::int64_t until = NowMs() - (stale ? stale_ms.load() : 0);
    const Version* visible = nullptr;
    for (const Version& version : it->second) {
      if (version.at <= until) visible = &version;
    }
    return visible != nullptr && visible->value ? visible : nullptr;
  }

  static Json::Value ToItem(const std::string& key, const Version& version) {
    Json::Value item;
    item["key"] = key;
    item["value"] = EncodeBase64(*version.value);
    item["rev"] = Json::UInt64{version.revision};
    item["create_rev"] = Json::UInt64{version.created};
    item["lease"] = Json::UInt64{version.lease};
    return item;
  }

  HttpAnswer Handle(const HttpRequest& request) {
    std::unique_lock lock(mutex_);
    ExpireLeases();
    const auto query = [&](const char* name) {
      const auto it = request.query.find(name);
      return it == request.query.end() ? std::string() : it->second;
    };
    const bool stale = query("allow_stale") == "1";
    Json::Value out;
    if (request.path == "/kv-key") {
      const Version* version = Visible(query("key"), stale);
      if (version == nullptr) return {404, "{}"};
      out = ToItem(query("key"), *version);
      out["current_rev"] = Json::UInt64{revision_};
      return {200, ToText(out)};
    }
    if (request.path == "/kv-range") {
      out["items"] = Json::arrayValue;
      for (const auto& [key, history] : keys_) {
        if (!key.starts_with(query("prefix")) || key <= query("after")) {
          continue;
        }
        const Version* version = Visible(key, stale);
        if (version != nullptr) out["items"].append(ToItem(key, *version));
      }
      out["has_more"] = false;
      out["current_rev"] = Json::UInt64{revision_};
      return {200, ToText(out)};
    }
    if (request.path == "/kv-watch") return Watch(lock, request);
    if (request.path == "/kv-txn") return Transact(request.body);
    if (request.path == "/kv-lease") {
      const std::uint64_t id = ++next_lease_;
      const std::int64_t ttl = request.body["ttl_ms"].asInt64();
      leases_[id] = {ttl, NowMs() + ttl};
      out["lease"] = Json::UInt64{id};
      out["ttl_ms"] = Json::Int64{ttl};
      return {200, ToText(out)};
    }
    if (request.path.starts_with("/kv-keep/")) {
      const auto it = leases_.find(std::stoull(request.path.substr(9)));
      if (it == leases_.end()) return {404, "{}"};
      it->second.ends = NowMs() + it->second.ttl;
      return {200, "{}"};
    }
    if (request.path.starts_with("/kv-lease-end/")) {
      const auto it = leases_.find(std::stoull(request.path.substr(14)));
      if (it == leases_.end()) return {404, "{}"};
      EndLease(it->first);
      leases_.erase(it);
      return {200, "{}"};
    }
    return {404, "{}"};
  }

  HttpAnswer Watch(std::unique_lock<std::mutex>& lock,
                   const HttpRequest& request) {
    const std::string prefix = request.query.at("prefix");
    const std::uint64_t after = std::stoull(request.query.at("after"));
    const auto until =
        SteadyClock::now() + Ms(std::stoll(request.query.at("wait_ms")));
    for (;;) {
      Json::Value events = Json::arrayValue;
      for (const auto& [key, history] : keys_) {
        if (!key.starts_with(prefix)) continue;
        for (const Version& version : history) {
          if (version.revision <= after) continue;
          Json::Value event;
          if (version.value) {
            event = ToItem(key, version);
          } else {
            event["key"] = key;
            event["rev"] = Json::UInt64{version.revision};
            event["deleted"] = true;
          }
          events.append(event);
        }
      }
      const bool over = SteadyClock::now() >= until;
      if (!events.empty() || over) {
        Json::Value out;
        out["events"] = events;
        out["current_rev"] = Json::UInt64{revision_};
        return {200, ToText(out)};
      }
      changed_.wait_until(lock, until);
    }
  }

  HttpAnswer Transact(const Json::Value& body) {
    bool holds = true;
    Json::Value items = Json::arrayValue;
    for (const Json::Value& it : body["expect"]) {
      const std::string key = it["key"].asString();
      const Version* version = Visible(key, false);
      const std::uint64_t revision = version == nullptr ? 0 : version->revision;
      holds = holds && revision == it["rev"].asUInt64();
      if (version != nullptr) items.append(ToItem(key, *version));
    }
    Json::Value out;
    if (!holds) {
      out["items"] = items;
      return {412, ToText(out)};
    }
    for (const Json::Value& it : body["puts"]) {
      const std::uint64_t lease = it["lease"].asUInt64();
      if (lease != 0 && !leases_.contains(lease)) return {404, "{}"};
    }
    for (const Json::Value& it : body["puts"]) {
      Write(it["key"].asString(), Decode(it["value"].asString()),
            it["lease"].asUInt64());
    }
    for (const Json::Value& it : body["deletes"]) {
      Write(it.asString(), std::nullopt, 0);
    }
    out["rev"] = Json::UInt64{revision_};
    return {200, ToText(out)};
  }

  static std::string Decode(const std::string& text) {
    static const std::string kDigits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    unsigned bits = 0;
    int n = 0;
    for (const char c : text) {
      const std::size_t digit = kDigits.find(c);
      if (digit == std::string::npos) break;
      bits = bits << 6 | static_cast<unsigned>(digit);
      n += 6;
      if (n < 8) continue;
      n -= 8;
      out += static_cast<char>(bits >> n & 255);
    }
    return out;
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::vector<Version>> keys_;
  std::map<std::uint64_t, Lease> leases_;
  std::uint64_t revision_ = 10;
  std::uint64_t next_lease_ = 100;
  std::vector<std::unique_ptr<Listener>> doors_;
  Listener listener_;
};

struct ServerState {
  std::string id;
  std::string ip;
  int port = 0;
  std::string zone;
  bool primary = false;
  bool dark = false;  ///< sends and reads nothing
  bool draining = false;
  bool deaf = false;  ///< receives nothing
  std::uint64_t fence = 0;
  std::uint64_t seq = 0;
  std::uint64_t log_term = 3;
  std::uint64_t log_end = 100;     ///< number of the last entry of its log
  std::int64_t copying_until = 0;  ///< it has no log before
  std::int64_t born = 1'700'000'000'000;
  std::vector<std::weak_ptr<Stream>> streams;
};

/// The servers of one service. A commit is acknowledged once a replica has
/// received it.
class Group {
 public:
  /// What the work of a statement takes and what a read returns.
  struct Work {
    std::int64_t ms = 2;
    int rows = 1;
    std::size_t row_bytes = 100;
  };
  /// Called with the server, the id and the text of each statement of a
  /// consumer when it runs. The text is as the server got it.
  using OnRun = std::function<void(const ServerState&, const std::string&,
                                   const std::string&)>;

  Group(std::string service, Store& store, Record& record)
      : service_(std::move(service)), store_(store), record_(record) {}

  OnRun on_run;
  /// Called when a server begins to lead.
  std::function<void(const ServerState&)> on_promoted;
  /// Called when a commit is acknowledged to its connection.
  std::function<void(const std::string& id, std::uint64_t number)> on_commit;
  std::function<Work(const std::string& text)> work;

  void Add(const std::string& id, const std::string& ip, int port,
           const std::string& zone, bool primary) {
    {
      const std::lock_guard lock(mutex_);
      ServerState& it = servers_[id];
      it.id = id;
      it.ip = ip;
      it.port = port;
      it.zone = zone;
      it.primary = primary;
    }
    Beat(id);
    listeners_.push_back(std::make_unique<Listener>(
        ip, port,
        [this, id](const std::shared_ptr<Stream>& it) { Serve(id, it); }));
  }

  /// Registers the servers again each `beat_ms`, as long as they run.
  void StartBeats(std::int64_t beat_ms) {
    std::thread([this, beat_ms] {
      for (;;) {
        SleepMs(beat_ms);
        std::vector<std::string> ids;
        {
          const std::lock_guard lock(mutex_);
          for (const auto& [id, it] : servers_) {
            if (!it.dark) ids.push_back(id);
          }
        }
        for (const std::string& id : ids) Beat(id);
      }
    }).detach();
  }

  void Beat(const std::string& id) {
    Json::Value out;
    {
      const std::lock_guard lock(mutex_);
      ServerState& it = servers_.at(id);
      out["backend"] = service_;
      out["addr"] = it.ip + ":" + std::to_string(it.port);
      out["zone"] = it.zone;
      out["version"] = "v1";
      out["slots"] = slots;
      out["state"] = it.draining ? "draining" : "ready";
      out["cold_left_ms"] = 0;
      out["db_role"] = it.primary ? "primary" : "replica";
      out["seq"] = Json::UInt64{++it.seq};
      out["born"] = Json::Int64{it.born};
    }
    store_.Put("servers/" + id, ToText(out));
  }

  void SetDark(const std::string& id, bool dark) {
    {
      const std::lock_guard lock(mutex_);
      servers_.at(id).dark = dark;
    }
    if (dark) {
      // Its entry goes after three intervals without a beat.
      std::thread([this, id] {
        SleepMs(3 * 1200);
        const std::lock_guard lock(mutex_);
        if (servers_.at(id).dark) store_.Delete("servers/" + id);
      }).detach();
    }
    lit_.notify_all();
  }

  /// A replica receives nothing while it is deaf.
  void SetDeaf(const std::string& id, bool deaf) {
    const std::lock_guard lock(mutex_);
    servers_.at(id).deaf = deaf;
    Replicate();
  }

  /// A replica starts again under its id. It then holds and knows nothing of
  /// before, and copies the log from the primary for some time.
  void Restart(const std::string& id, std::int64_t copies_ms) {
    std::vector<std::weak_ptr<Stream>> streams;
    {
      const std::lock_guard lock(mutex_);
      ServerState& it = servers_.at(id);
      it.log_end = 0;
      it.log_term = 0;
      it.fence = 0;
      it.seq = 0;
      it.born += NowMs();
      it.copying_until = NowMs() + copies_ms;
      streams.swap(it.streams);
    }
    for (const auto& it : streams) {
      if (const auto stream = it.lock()) stream->Shutdown();
    }
    Beat(id);
  }

  /// A server crashes, and comes back with its log.
  void Crash(const std::string& id, std::int64_t for_ms) {
    SetDark(id, true);
    std::vector<std::weak_ptr<Stream>> streams;
    {
      const std::lock_guard lock(mutex_);
      streams.swap(servers_.at(id).streams);
    }
    for (const auto& it : streams) {
      if (const auto stream = it.lock()) stream->Shutdown();
    }
    SleepMs(for_ms);
    {
      const std::lock_guard lock(mutex_);
      ServerState& it = servers_.at(id);
      it.fence = 0;
      it.seq = 0;
      it.born += NowMs();
    }
    SetDark(id, false);
    Beat(id);
  }

  /// Number of the last entry of a server's log.
  [[nodiscard]] std::uint64_t LogEnd(const std::string& id) {
    const std::lock_guard lock(mutex_);
    return servers_.at(id).log_end;
  }

  void Drain(const std::string& id) {
    {
      const std::lock_guard lock(mutex_);
      servers_.at(id).draining = true;
    }
    Beat(id);
  }

  /// `POST /promote`: leads the next term some hundred milliseconds later.
  HttpAnswer Promote(const std::string& id, std::uint64_t fence) {
    const std::lock_guard lock(mutex_);
    const auto it = servers_.find(id);
    if (fence < newest_fence_ || it == servers_.end() || it->second.dark) {
      return {409, "{}"};
    }
    newest_fence_ = fence;
    if (it->second.primary) return {200, "{}"};
    std::thread([this, id] {
      SleepMs(600);
      {
        const std::lock_guard lock(mutex_);
        for (auto& [other, each] : servers_) {
          each.primary = other == id;
          each.fence = 0;
        }
        ServerState& state = servers_.at(id);
        ++term_;
        state.log_term = term_;
        record_.Line("server %s leads term %llu, its log ends at %llu",
                     id.c_str(), static_cast<unsigned long long>(term_),
                     static_cast<unsigned long long>(state.log_end));
        if (on_promoted) on_promoted(state);
        Replicate();
      }
      Beat(id);
    }).detach();
    return {200, "{}"};
  }

  [[nodiscard]] std::string primary() {
    const std::lock_guard lock(mutex_);
    for (const auto& [id, it] : servers_) {
      if (it.primary) return id;
    }
    return {};
  }

  int slots = 4;

 private:
  struct Conn {
    bool open = false;       ///< in a transaction
    bool plain = false;      ///< which may write
    std::uint64_t term = 0;  ///< in which it began
    std::map<std::string, std::pair<bool, std::string>> prepared;
  };

  static std::string PositionText(const ServerState& self) {
    return std::to_string(self.log_term) + "." + std::to_string(self.log_end);
  }

  /// Brings the replicas that receive to the end of the primary's log. Returns
  /// whether there is one.
  bool Replicate() {
    const ServerState* primary = nullptr;
    for (const auto& [id, it] : servers_) {
      if (it.primary && !it.dark) primary = &it;
    }
    bool received = false;
    for (auto& [id, it] : servers_) {
      const bool receives = primary != nullptr && !it.primary && !it.dark &&
                            !it.deaf && it.fence == 0 &&
                            NowMs() >= it.copying_until;
      if (!receives) continue;
      it.log_end = primary->log_end;
      it.log_term = primary->log_term;
      received = true;
    }
    return received;
  }

  void AwaitLight(const std::string& id) {
    std::unique_lock lock(mutex_);
    lit_.wait(lock, [&] { return !servers_.at(id).dark; });
  }

  void Serve(const std::string& id, const std::shared_ptr<Stream>& stream) {
    Conn conn;
    for (;;) {
      const auto line = stream->Line();
      AwaitLight(id);
      if (!line) return;
      std::istringstream in(*line);
      std::string word;
      in >> word;
      if (word == "START") {
        std::string service;
        std::string who;
        std::string expected;
        in >> service >> who >> expected;
        const bool wrong =
            service != service_ || (!expected.empty() && expected != id);
        if (wrong) {
          (void)stream->Send("ERR MISROUTED " + id + "\r\n");
          return;
        }
        std::string text;
        {
          const std::lock_guard lock(mutex_);
          ServerState& self = servers_.at(id);
          text = "READY I " + PositionText(self) + "\r\n";
          self.streams.push_back(stream);
        }
        if (!stream->Send(text)) return;
        continue;
      }
      if (word != "QUERY") return;
      std::string query;
      in >> query;
      const std::size_t at = line->find(' ', 6);
      const std::string text = line->substr(at + 1);
      const std::string reply = Run(id, conn, query, text);
      AwaitLight(id);
      if (!stream->Send(reply)) return;
    }
  }

  static std::string Ready(const Conn& conn, const ServerState& self) {
    return std::string("READY ") + (conn.open ? "T " : "I ") +
           PositionText(self) + "\r\n";
  }

  std::string Run(const std::string& id, Conn& conn, const std::string& query,
                  std::string text) {
    if (text.starts_with("AFTER ")) {
      text = text.substr(text.find(' ', 6) + 1);
    }
    std::istringstream in(text);
    std::string verb;
    in >> verb;
    bool writes = verb == "WRITE";
    bool reads = verb == "READ";
    if (verb == "EXEC") {
      std::string name;
      in >> name;
      if (!conn.prepared.contains(name)) {
        const std::lock_guard lock(mutex_);
        return "ERR NOSTMT " + name + "\r\n" + Ready(conn, servers_.at(id));
      }
      writes = conn.prepared[name].first;
      reads = !writes;
    }
    Work todo;
    if ((reads || writes || verb == "COMMIT") && work) todo = work(text);
    if (reads || writes || verb == "COMMIT") SleepMs(todo.ms);
    std::unique_lock lock(mutex_);
    ServerState& self = servers_.at(id);
    const std::string done = "DONE -\r\n";
    if (verb == "STATUS" || verb == "HOLD" || verb == "DEMOTE") {
      std::uint64_t term = 0;
      in >> term;
      if (verb == "HOLD" && !self.primary && term > term_) self.fence = term;
      if (verb == "DEMOTE" && self.primary && term > term_) {
        self.primary = false;
      }
      return std::string("ROW ") + (self.primary ? "primary " : "replica ") +
             std::to_string(term_) + " " + PositionText(self) + " " +
             std::to_string(self.fence) + " 0 0 1\r\n" + done +
             Ready(conn, self);
    }
    if (verb == "RESUME") {
      self.fence = 0;
      return done + Ready(conn, self);
    }
    if (verb == "SET" || verb == "FORGET") return done + Ready(conn, self);
    if (verb == "RESET") {
      conn.prepared.clear();
      return done + Ready(conn, self);
    }
    if (verb == "PREPARE") {
      std::string name;
      std::string mode;
      in >> name >> mode;
      std::string shape;
      std::getline(in, shape);
      conn.prepared[name] = {mode == "WRITE", shape};
      return done + Ready(conn, self);
    }
    if (verb == "BEGIN") {
      const bool plain = text == "BEGIN";
      if (plain && !self.primary) {
        return "ERR READONLY " + id + "\r\n" + Ready(conn, self);
      }
      conn.open = true;
      conn.plain = plain;
      conn.term = term_;
      return done + Ready(conn, self);
    }
    if (verb == "ROLLBACK") {
      conn.open = false;
      return done + Ready(conn, self);
    }
    if (on_run) on_run(self, query, text);
    const bool stale = conn.open && conn.plain && conn.term != term_;
    if ((writes && !self.primary) || stale) {
      conn.open = false;
      return "ERR READONLY " + id + "\r\n" + Ready(conn, self);
    }
    const bool commits = verb == "COMMIT" || (writes && !conn.open);
    if (verb == "COMMIT") conn.open = false;
    if (commits) {
      const std::uint64_t number = ++self.log_end;
      while (!Replicate()) {
        lock.unlock();
        SleepMs(2);
        AwaitLight(id);
        lock.lock();
        // A promotion of another server rolls the commit back.
        if (!self.primary) return "ERR FAILED -\r\n" + Ready(conn, self);
      }
      if (on_commit) on_commit(query, number);
    }
    std::string reply;
    if (reads) {
      const std::string row(todo.row_bytes, 'r');
      for (int n = 0; n < todo.rows; ++n) reply += "ROW " + row + "\r\n";
    }
    reply += "DONE " + id + "." + std::to_string(++receipts_) + "\r\n";
    return reply + Ready(conn, self);
  }

  std::string service_;
  Store& store_;
  Record& record_;
  std::mutex mutex_;
  std::condition_variable lit_;
  std::map<std::string, ServerState> servers_;
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::uint64_t term_ = 3;
  std::uint64_t receipts_ = 0;
  std::uint64_t newest_fence_ = 0;
};

/// The figures of a deployment that a process is told of.
struct Deployment {
  std::map<std::string, std::string> fields;

  Deployment() {
    fields = {{"bounds.grace_s", "6"},     {"bounds.contact_ms", "4000"},
              {"bounds.drain_ms", "7000"}, {"bounds.fencing", "true"},
              {"limits.cpu_share", "0.5"}, {"limits.ram_mb", "390"},
              {"limits.max_fds", "6300"}};
  }

  /// Fills in the project's template of settings.
  [[nodiscard]] std::string Render(const std::string& text) const {
    std::string out;
    std::size_t at = 0;
    while (at < text.size()) {
      const std::size_t open = text.find("{{", at);
      out += text.substr(at, open - at);
      if (open == std::string::npos) break;
      const std::size_t close = text.find("}}", open);
      std::string name = text.substr(open + 2, close - open - 2);
      at = close + 2;
      if (name[0] == '#' || name[0] == '^') {
        const std::string key = name.substr(1);
        const std::string end = "{{/" + key + "}}";
        const std::size_t last = text.find(end, at);
        const auto it = fields.find(key);
        const bool present = it != fields.end() && it->second != "false";
        if (present == (name[0] == '#')) {
          out += Render(text.substr(at, last - at));
        }
        at = last + end.size();
        continue;
      }
      const bool json = name.ends_with("|json");
      if (json) name.resize(name.size() - 5);
      const auto it = fields.find(name);
      const std::string value = it == fields.end() ? "" : it->second;
      const bool plain =
          value == "true" || value == "false" ||
          value.find_first_not_of("0123456789.") == std::string::npos;
      const bool number = plain && !value.empty() &&
                          std::count(value.begin(), value.end(), '.') < 2;
      out += json && !number ? "\"" + value + "\"" : value;
    }
    return out;
  }
};

/// One process of the project.
class Process {
 public:
  Process(std::string name, std::string ip, std::string zone)
      : name(std::move(name)), ip(std::move(ip)), zone(std::move(zone)) {}
  ~Process() { End(); }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Starts the command of the deploy file, in the root of the repository.
  void Start(Deployment deployment, const std::string& folder) {
    auto& fields = deployment.fields;
    fields["node"] = name;
    fields["ip"] = ip;
    fields["zone"] = zone;
    fields["listen.front"] = ip + ":" + std::to_string(front_port);
    fields["listen.ready"] = ip + ":" + std::to_string(ready_port);
    std::ifstream in("deploy/settings.json.tmpl");
    const std::string text{std::istreambuf_iterator<char>(in), {}};
    const std::string path = folder + "/" + name + ".json";
    std::ofstream(path) << deployment.Render(text);
    const std::string log = folder + "/" + name + ".log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::string program = "target/corianderdock-proxy";
    char* arguments[] = {program.data(), nullptr};
    std::string variable = "CORIANDERDOCK_CONFIG=" + path;
    std::vector<char*> environment{variable.data()};
    for (char** it = environ; *it != nullptr; ++it) {
      const bool kept = std::strncmp(*it, "PATH=", 5) == 0 ||
                        std::strncmp(*it, "HOME=", 5) == 0 ||
                        std::strncmp(*it, "LANG=", 5) == 0;
      if (kept) environment.push_back(*it);
    }
    environment.push_back(nullptr);
    if (::posix_spawn(&pid_, program.c_str(), &actions, nullptr, arguments,
                      environment.data()) != 0) {
      std::fprintf(stderr, "cannot start %s\n", program.c_str());
      std::exit(2);
    }
    posix_spawn_file_actions_destroy(&actions);
  }

  void Signal(int signal) const {
    if (pid_ > 0) (void)::kill(pid_, signal);
  }

  /// Returns whether the process has ended, and how.
  std::optional<int> Ended() {
    if (pid_ <= 0) return status_;
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) != pid_) return std::nullopt;
    pid_ = 0;
    status_ = status;
    return status;
  }

  void End() {
    if (pid_ <= 0) return;
    (void)::kill(pid_, SIGKILL);
    (void)::waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }

  /// Asks `GET /ready` as the platform does.
  [[nodiscard]] bool Ready() const {
    const auto stream = Stream::Connect(ip, ready_port);
    if (!stream) return false;
    stream->SetTimeout(1000);
    (void)stream->Send("GET /ready HTTP/1.1\r\nHost: " + ip + "\r\n\r\n");
    const auto line = stream->Line();
    return line && line->find(" 200 ") != std::string::npos;
  }

  [[nodiscard]] pid_t pid() const { return pid_; }

  std::string name;
  std::string ip;
  std::string zone;
  int front_port = 0;
  int ready_port = 0;

 private:
  pid_t pid_ = 0;
  std::optional<int> status_;
};

struct Answer {
  bool complete = false;  ///< `READY` has arrived
  std::vector<std::string> lines;
  [[nodiscard]] bool Done() const {
    for (const auto& it : lines) {
      if (it.starts_with("DONE ")) return complete;
    }
    return false;
  }
  [[nodiscard]] std::string Error() const {
    for (const auto& it : lines) {
      if (it.starts_with("ERR ")) return it.substr(4);
    }
    return {};
  }
};

/// One session of a consumer.
class Session {
 public:
  /// Connects and sends `START`; `ok` tells whether `READY` came.
  Session(const Process& process, const std::string& database,
          int receive_bytes = 0)
      : stream_(
            Stream::Connect(process.ip, process.front_port, receive_bytes)) {
    if (!stream_) return;
    stream_->SetTimeout(4000);
    if (!stream_->Send("START " + database + " consumer\r\n")) return;
    const auto line = stream_->Line();
    ok = line && line->starts_with("READY");
  }

  bool ok = false;

  bool Send(const std::string& id, const std::string& text) {
    return stream_->Send("QUERY " + id + " " + text + "\r\n");
  }

  Answer Read() {
    Answer answer;
    while (auto line = stream_->Line()) {
      answer.lines.push_back(*line);
      if (line->starts_with("READY")) {
        answer.complete = true;
        break;
      }
    }
    return answer;
  }

  Answer Ask(const std::string& id, const std::string& text) {
    if (!Send(id, text)) return {};
    return Read();
  }

  void Bye() { (void)stream_->Send("BYE\r\n"); }
  Stream& stream() { return *stream_; }

 private:
  std::shared_ptr<Stream> stream_;
};

/// A small deployment: the store, the promotion interface, one service of
/// three servers, and processes of the project.
class World {
 public:
  explicit World(const std::string& record_path)
      : record(record_path),
        store_port(FreePort()),
        cloud_port(FreePort()),
        front_port(FreePort()),
        ready_port(FreePort()),
        peer_port(FreePort()),
        peer_port_2(FreePort()),
        server_port(FreePort()),
        store("127.0.2.1", store_port),
        group("books", store, record),
        cloud_("127.0.2.2", cloud_port,
               [this](const std::shared_ptr<Stream>& stream) {
                 ServeHttp(*stream,
                           [this](const HttpRequest& it) { return Cloud(it); });
               }) {
    ::signal(SIGPIPE, SIG_IGN);
    char pattern[] = "/tmp/review-XXXXXX";
    if (::mkdtemp(pattern) == nullptr) std::exit(2);
    folder = pattern;
    deployment.fields["platform.addr"] =
        "127.0.2.1:" + std::to_string(store_port);
    deployment.fields["cloud.addr"] = "127.0.2.2:" + std::to_string(cloud_port);
    deployment.fields["port_range.0"] = std::to_string(peer_port);
    deployment.fields["port_range.1"] = std::to_string(peer_port_2);
  }

  /// Ends all processes that were started, and this one. The threads of the
  /// stand-ins run until then.
  [[noreturn]] void Finish(int code) {
    for (auto& it : processes) it->End();
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr) {
      std::filesystem::remove_all(folder, ignored);
    } else {
      std::fprintf(stderr, "kept %s\n", folder.c_str());
    }
    std::fflush(nullptr);
    std::_Exit(code);
  }

  /// Puts the manifest: one route, named `db`.
  void PutManifest(int version, const std::string& type, int timeout_ms,
                   int goal_ms, int max_conns = 46) {
    Json::Value root;
    root["version"] = version;
    Json::Value route;
    route["name"] = "r-1";
    route["host"] = "db";
    route["prefix"] = "/";
    route["type"] = type;
    route["timeout_ms"] = timeout_ms;
    route["goal_ms"] = goal_ms;
    route["priority"] = 1;
    route["backend"] = "books";
    route["attempts"] = 2;
    if (type != "primary") route["max_stale_ms"] = 1500;
    root["routes"].append(route);
    Json::Value service;
    service["name"] = "books";
    service["max_conns"] = max_conns;
    service["sync_replicas"] = 1;
    root["backends"].append(service);
    root["limits"]["tx_idle_ms"] = 3000;
    store.Put("op/config", ToText(root));
  }

  void AddServers() {
    group.Add("i-1", "127.0.3.1", server_port, "east", true);
    group.Add("i-2", "127.0.3.2", server_port, "east", false);
    group.Add("i-3", "127.0.3.3", server_port, "west", false);
    group.StartBeats(1200);
  }

  Process& AddProcess(const std::string& zone) {
    const std::string n = std::to_string(processes.size() + 1);
    processes.push_back(
        std::make_unique<Process>("front-" + n, "127.0.1." + n, zone));
    Process& it = *processes.back();
    it.front_port = front_port;
    it.ready_port = ready_port;
    it.Start(deployment, folder);
    return it;
  }

  /// Waits until all processes are ready and serve a read.
  bool AwaitServing(std::int64_t limit_ms = 15000) {
    const std::int64_t until = NowMs() + limit_ms;
    for (auto& it : processes) {
      for (;;) {
        if (NowMs() > until) return false;
        if (it->Ready()) {
          Session session(*it, "db");
          if (session.ok && session.Ask("warm-up", "READ start").Done()) {
            session.Bye();
            break;
          }
        }
        SleepMs(100);
      }
    }
    return true;
  }

  std::optional<HttpAnswer> Cloud(const HttpRequest& request) {
    if (request.path != "/promote") return HttpAnswer{404, "{}"};
    const std::string id = request.body["id"].asString();
    const std::uint64_t fence =
        std::stoull(request.headers.at("x-corianderdock-fence"));
    if (late_ms > 0) {
      const std::int64_t ms = late_ms.exchange(0);
      record.Line("promote %s by %s fence %llu: not answered, executed later",
                  id.c_str(),
                  request.headers.at("x-corianderdock-holder").c_str(),
                  static_cast<unsigned long long>(fence));
      std::thread([this, id, fence, ms] {
        SleepMs(ms);
        const HttpAnswer answer = group.Promote(id, fence);
        record.Line("the late order to promote %s, fence %llu: %d", id.c_str(),
                    static_cast<unsigned long long>(fence), answer.status);
      }).detach();
      giver = request.headers.at("x-corianderdock-holder");
      given = true;
      return std::nullopt;
    }
    const HttpAnswer answer = group.Promote(id, fence);
    record.Line("promote %s by %s fence %llu: %d", id.c_str(),
                request.headers.at("x-corianderdock-holder").c_str(),
                static_cast<unsigned long long>(fence), answer.status);
    return answer;
  }

  Record record;
  const int store_port;
  const int cloud_port;
  const int front_port;
  const int ready_port;
  const int peer_port;
  const int peer_port_2;
  const int server_port;
  Store store;
  Group group;
  Deployment deployment;
  std::string folder;
  /// The next promotion order is left unanswered and executed so much later.
  std::atomic<std::int64_t> late_ms{0};
  std::string giver;  ///< of that order
  std::atomic<bool> given{false};
  std::vector<std::unique_ptr<Process>> processes;

 private:
  Listener cloud_;
};

/// Whether the run has its disruption; `TROUBLE=0` leaves it out.
inline bool Trouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

}  // namespace review
