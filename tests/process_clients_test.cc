/// Misbehaving connections at the ports of corianderdock-proxy, as a real
/// process. They guard against a process that runs out of memory or
/// descriptors, or that serves nobody any more.
#include <fcntl.h>
#include <json/json.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>

#include "review/lab/lab.h"
#include "support/crowd.h"

namespace corianderdock::test {

namespace {

namespace fs = std::filesystem;
using lab::Clock;
using lab::Ms;

constexpr char kService[] = "books";
constexpr char kServer[] = "books-i0";
constexpr Ms kServedLimit{20'000};
constexpr std::uint64_t kMegabyte = 1 << 20;
constexpr std::size_t kMaxLineBytes = 1 << 20;
/// Most of the longest line.
constexpr std::size_t kPartBytes = 1'000'000;
constexpr std::size_t kWhole = std::size_t{64} << 10;

/// The limits that a test sets; the bounds are the same figures.
struct Limits {
  std::uint64_t memory_megabytes = 64;
  std::uint64_t descriptors = 512;
};

/// Runs the stand-ins in a thread, and the proxy before them.
class Fixture {
 public:
  explicit Fixture(Limits limits)
      : limits_(limits),
        record_(*new lab::Record("/dev/null")),
        io_(*new lab::asio::io_context(1)),
        store_(*new lab::Store(io_, record_)),
        group_(*new lab::Group(io_, record_, store_, kService)) {
    group_.Add(kServer, "z");
    group_.Add("books-i1", "z");
    lab::asio::co_spawn(io_, group_.Pump(Ms(5)), lab::asio::detached);
    lab::RouteSpec route;
    route.host = "db";
    route.type = "primary";
    route.backend = kService;
    route.timeout_ms = 5000;
    store_.Put("op/config", lab::ConfigText(1, {route}, {kService}, 60, 1));
    StartProxy();
    thread_ = std::thread([this] { io_.run(); });
    REQUIRE(AwaitServed());
  }

  ~Fixture() {
    if (process_ > 0) {
      ::kill(process_, SIGKILL);
      ::waitpid(process_, nullptr, 0);
    }
    // Coroutines that never end refer to the stand-ins, which stay.
    io_.stop();
    thread_.join();
    std::error_code ignored;
    fs::remove_all(folder_, ignored);
  }

  /// Waits until a write and a read of a new client are answered.
  [[nodiscard]] bool AwaitServed() const {
    const auto until = Clock::now() + kServedLimit;
    while (Clock::now() < until) {
      PlainClient client(client_port);
      const std::string opened = client.Exchange("START db key\r\n", "\r\n");
      if (opened == "READY I -\r\n") {
        const std::string written =
            client.Exchange("QUERY w WRITE item data\r\n", "READY");
        const std::string read =
            client.Exchange("QUERY r READ item\r\n", "READY");
        if (written.starts_with("DONE") && read.starts_with("ROW data\r\n")) {
          return true;
        }
      }
      std::this_thread::sleep_for(Ms(100));
    }
    return false;
  }

  /// What holds after every crowd. The bounds are the limits of the settings.
  void CheckHeld(const ProcessWatch& watch) const {
    WARN("highest memory " << watch.max_memory() / kMegabyte << " MB of "
                           << limits_.memory_megabytes
                           << ", highest descriptors "
                           << watch.max_descriptors() << " of "
                           << limits_.descriptors);
    CHECK(watch.Alive());
    CHECK(watch.max_memory() <= limits_.memory_megabytes * kMegabyte);
    CHECK(watch.max_descriptors() <= limits_.descriptors);
    CHECK(AwaitServed());
  }

  [[nodiscard]] pid_t process() const { return process_; }

  int client_port = lab::FreePort();
  int ready_port = lab::FreePort();
  int relay_port = lab::FreePort();
  int share_port = lab::FreePort();

 private:
  static std::string Loopback(int port) {
    return "127.0.0.1:" + std::to_string(port);
  }

  std::string WriteSettings() {
    std::string folder =
        (fs::temp_directory_path() / "clients-test-XXXXXX").string();
    REQUIRE(::mkdtemp(folder.data()) != nullptr);
    folder_ = folder;
    Json::Value settings;
    settings["instance"] = "a";
    settings["zone"] = "z";
    settings["client_address"] = Loopback(client_port);
    settings["ready_address"] = Loopback(ready_port);
    settings["relay_address"] = Loopback(relay_port);
    settings["share_address"] = Loopback(share_port);
    settings["store_address"] = Loopback(store_.Listen("a"));
    settings["cloud_address"] = Loopback(lab::FreePort());
    settings["grace_seconds"] = 4;
    settings["drain_milliseconds"] = 7000;
    settings["promotion_tokens_checked"] = true;
    settings["memory_megabytes"] = Json::UInt64{limits_.memory_megabytes};
    settings["max_descriptors"] = Json::UInt64{limits_.descriptors};
    settings["start_timeout_milliseconds"] = 2000;
    settings["reader_timeout_milliseconds"] = 2000;
    settings["http_timeout_milliseconds"] = 2000;
    std::string path = folder_ + "/settings.json";
    std::ofstream(path) << Json::writeString(Json::StreamWriterBuilder(),
                                             settings);
    return path;
  }

  /// The process may open more descriptors than its setting allows, so that the
  /// setting is what keeps them below the bound.
  void StartProxy() {
    constexpr rlim_t kSpareDescriptors = 64;
    const std::string path = WriteSettings();
    std::string program = PROXY_PROGRAM;
    std::string flag = "--settings";
    std::string file = path;
    char* arguments[] = {program.data(), flag.data(), file.data(), nullptr};
    const rlim_t most = limits_.descriptors + kSpareDescriptors;
    process_ = ::fork();
    REQUIRE(process_ >= 0);
    if (process_ > 0) return;
    const int null = ::open("/dev/null", O_WRONLY);
    ::dup2(null, STDOUT_FILENO);
    ::dup2(null, STDERR_FILENO);
    for (int fd = 3; fd < 1024; ++fd) ::close(fd);
    const rlimit limit{most, most};
    (void)::setrlimit(RLIMIT_NOFILE, &limit);
    ::execv(program.c_str(), arguments);
    ::_exit(2);
  }

  Limits limits_;
  lab::Record& record_;
  lab::asio::io_context& io_;
  lab::Store& store_;
  lab::Group& group_;
  std::string folder_;
  pid_t process_ = 0;
  std::thread thread_;
};

std::string PartOfLine() {
  return "QUERY q WRITE item " + std::string(kPartBytes, 'x');
}

/// A write whose line has exactly `size` bytes.
std::string LongestLine() {
  std::string line = "QUERY q WRITE big ";
  line.append(kMaxLineBytes - line.size(), 'x');
  return line + "\r\n";
}

constexpr char kStart[] = "START db key\r\n";

}  // namespace

TEST_CASE("parts of legal lines", "[lines]") {
  Fixture fixture({});
  ProcessWatch watch(fixture.process());
  Crowd crowd(fixture.client_port, 100, watch);
  crowd.Send(PartOfLine(), kWhole, Ms(0));
  Crowd sessions(fixture.client_port, 100, watch);
  sessions.Send(kStart + PartOfLine(), kWhole, Ms(0));
  sessions.Wait(Ms(500));
  fixture.CheckHeld(watch);
}

TEST_CASE("parts of legal lines in small pieces", "[slow_lines]") {
  Fixture fixture({});
  ProcessWatch watch(fixture.process());
  Crowd crowd(fixture.client_port, 150, watch);
  crowd.Send(kStart + PartOfLine(), 4 << 10, Ms(10));
  fixture.CheckHeld(watch);
}

TEST_CASE("lines far over the limit", "[long_lines]") {
  Fixture fixture({});
  ProcessWatch watch(fixture.process());
  for (int n = 0; n < 3; ++n) {
    Crowd crowd(fixture.client_port, 150, watch);
    crowd.Send(kStart, kWhole, Ms(0));
    crowd.Send("QUERY q WRITE item " + std::string(4 << 20, 'x'), kWhole,
               Ms(0));
  }
  fixture.CheckHeld(watch);
}

TEST_CASE("statements sent ahead", "[pipelined]") {
  Fixture fixture({});
  ProcessWatch watch(fixture.process());
  std::string ahead = kStart;
  for (int n = 0; n < 400; ++n) {
    ahead += "QUERY q" + std::to_string(n) + " WRITE item " +
             std::string(10'000, 'x') + "\r\n";
  }
  for (int n = 0; n < 3; ++n) {
    Crowd crowd(fixture.client_port, 100, watch);
    crowd.Send(kStart, kWhole, Ms(0));
    crowd.Wait(Ms(100));
    crowd.Send(std::string_view{ahead}.substr(sizeof(kStart) - 1), kWhole,
               Ms(0));
  }
  Crowd crowd(fixture.client_port, 100, watch);
  crowd.Send(ahead, kWhole, Ms(0));
  fixture.CheckHeld(watch);
}

TEST_CASE("large answers that nobody reads", "[readers]") {
  constexpr int kRounds = 8;
  Fixture fixture({});
  PlainClient writer(fixture.client_port);
  (void)writer.Exchange(kStart, "\r\n");
  const std::string written = writer.Exchange(LongestLine(), "READY I");
  REQUIRE_THAT(written, Catch::StartsWith("DONE"));
  ProcessWatch watch(fixture.process());
  Crowd crowd(fixture.client_port, 60, watch);
  crowd.Send(kStart, kWhole, Ms(0));
  crowd.Wait(Ms(100));
  for (int n = 0; n < kRounds; ++n) {
    crowd.Send("QUERY q" + std::to_string(n) + " READ big\r\n", kWhole, Ms(0));
    crowd.Wait(Ms(400));
  }
  fixture.CheckHeld(watch);
}

TEST_CASE("connections that say nothing", "[silent]") {
  Fixture fixture({.descriptors = 128});
  ProcessWatch watch(fixture.process());
  Crowd silent(fixture.client_port, 100, watch);
  Crowd halfway(fixture.client_port, 200, watch);
  halfway.Send("START d", kWhole, Ms(0));
  halfway.Wait(Ms(500));
  fixture.CheckHeld(watch);
}

TEST_CASE("bodies and headers without end at the ready port", "[http]") {
  Fixture fixture({.descriptors = 256});
  ProcessWatch watch(fixture.process());
  const std::string post = "POST /ready HTTP/1.1\r\nHost: x\r\n";
  Crowd bodies(fixture.ready_port, 150, watch);
  bodies.Send(
      post + "Content-Length: 1000001\r\n\r\n" + std::string(kPartBytes, 'x'),
      kWhole, Ms(0));
  Crowd chunks(fixture.ready_port, 100, watch);
  chunks.Send(post + "Transfer-Encoding: chunked\r\n\r\n100000\r\n" +
                  std::string(kPartBytes, 'x'),
              kWhole, Ms(0));
  Crowd headers(fixture.ready_port, 100, watch);
  headers.Send(post + "X: " + std::string(kPartBytes, 'x'), kWhole, Ms(0));
  Crowd slow(fixture.ready_port, 100, watch);
  slow.Send(post, 1, Ms(20));
  fixture.CheckHeld(watch);
}

TEST_CASE("crowds at the ports of instances", "[instances]") {
  Fixture fixture({.descriptors = 256});
  ProcessWatch watch(fixture.process());
  const std::string start =
      std::string("START ") + kService + " b " + kServer + "\r\n";
  std::string ahead;
  for (int n = 0; n < 400; ++n) {
    ahead += "QUERY q" + std::to_string(n) + " WRITE item " +
             std::string(10'000, 'x') + "\r\n";
  }
  {
    Crowd pipelined(fixture.share_port, 60, watch);
    pipelined.Send(start, kWhole, Ms(0));
    pipelined.Wait(Ms(200));
    pipelined.Send(ahead, kWhole, Ms(0));
  }
  Crowd parts(fixture.share_port, 100, watch);
  parts.Send(start + PartOfLine(), kWhole, Ms(0));
  Crowd silent(fixture.share_port, 150, watch);
  silent.Wait(Ms(500));
  Crowd relayed(fixture.relay_port, 200, watch);
  relayed.Send("RELAY " + std::string(10'000, 'x'), kWhole, Ms(0));
  fixture.CheckHeld(watch);
}

// Guards against limits that clients meet which do nothing wrong.
TEST_CASE("4,000 idle sessions with 391 MB of memory", "[calm]") {
  constexpr std::size_t kSessions = 4000;
  Fixture fixture({.memory_megabytes = 391, .descriptors = 4500});
  ProcessWatch watch(fixture.process());
  Crowd crowd(fixture.client_port, kSessions, watch);
  crowd.Send(kStart, kWhole, Ms(0));
  const auto until = Clock::now() + kServedLimit;
  while (crowd.CountAnswered("READY I") < kSessions && Clock::now() < until) {
    crowd.Wait(Ms(100));
  }
  CHECK(crowd.CountAnswered("READY I") == kSessions);
  // Longer than the time limits of the settings.
  crowd.Wait(Ms(3000));
  CHECK(crowd.CountAnswered("READY I") == kSessions);
  fixture.CheckHeld(watch);
}

TEST_CASE("a statement of 1 MiB with 160 MB of memory", "[longest]") {
  Fixture fixture({.memory_megabytes = 160});
  ProcessWatch watch(fixture.process());
  PlainClient client(fixture.client_port);
  CHECK(client.Exchange(kStart, "\r\n") == "READY I -\r\n");
  const std::string written = client.Exchange(LongestLine(), "READY I");
  CHECK_THAT(written, Catch::StartsWith("DONE"));
  const std::string read =
      client.Exchange("QUERY r READ big\r\n", "\r\nREADY I");
  CHECK(read.starts_with("ROW xxx"));
  CHECK(read.size() > kMaxLineBytes);
  watch.Sample();
  fixture.CheckHeld(watch);
}

}  // namespace corianderdock::test
