/// A full output pipe must not block the process: lines are dropped and
/// counted.
#include "corianderdock/log_sink.h"

#include <fcntl.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <climits>
#include <string>

namespace corianderdock::test {

namespace {

constexpr std::size_t kOversizedLine = std::size_t{3} * PIPE_BUF;

/// A logger whose lines go into a pipe.
struct Fixture {
  Fixture() {
    // The library can be initialized only once per process.
    static const log4cplus::Initializer kInitializer;
    logger = log4cplus::Logger::getInstance("log_sink_test");
    REQUIRE(::pipe(ends.data()) == 0);
    REQUIRE(::fcntl(ends[0], F_SETFL, O_NONBLOCK) == 0);
    sink = new LogSink(ends[1]);
    log4cplus::SharedAppenderPtr appender(sink);
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    logger.setAdditivity(false);
    logger.addAppender(appender);
  }

  ~Fixture() {
    logger.removeAllAppenders();
    for (const int fd : ends) ::close(fd);
  }

  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;
  Fixture(Fixture&&) = delete;
  Fixture& operator=(Fixture&&) = delete;

  /// Returns everything in the pipe.
  std::string Read() {
    std::string all;
    std::array<char, 4096> buf;
    for (;;) {
      const ssize_t n = ::read(ends[0], buf.data(), buf.size());
      if (n <= 0) return all;
      all.append(buf.data(), static_cast<std::size_t>(n));
    }
  }

  log4cplus::Logger logger;
  std::array<int, 2> ends{};
  LogSink* sink = nullptr;  ///< owned by the logger
};

}  // namespace

TEST_CASE("lines are written at once") {
  Fixture it;
  LOG4CPLUS_INFO(it.logger, "primary found id=i-1");
  CHECK(it.Read() == "primary found id=i-1\n");
  CHECK(it.sink->dropped() == 0);
}

TEST_CASE("lines dropped on a full pipe are counted in the next output") {
  Fixture it;
  const std::string line(200, 'x');
  for (int n = 0; n < 2000; ++n) LOG4CPLUS_INFO(it.logger, line);
  const std::uint64_t dropped = it.sink->dropped();
  CHECK(dropped > 0);
  (void)it.Read();
  LOG4CPLUS_INFO(it.logger, "read again");
  CHECK(it.Read() == "log lines dropped count=" + std::to_string(dropped) +
                         "\nread again\n");
}

TEST_CASE("a line longer than an atomic pipe write is truncated") {
  Fixture it;
  LOG4CPLUS_INFO(it.logger, std::string(kOversizedLine, 'y'));
  const std::string line = it.Read();
  CHECK(line.size() == PIPE_BUF);
  CHECK(line.back() == '\n');
}

}  // namespace corianderdock::test
