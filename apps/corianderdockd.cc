/// \file
/// corianderdockd: runs one instance of the proxy.
#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <malloc.h>

#include <fstream>
#include <iostream>
#include <iterator>

#include "corianderdock/node.h"
#include "daemon_main.h"

namespace {

using apps::kExitBadInput;
using apps::kExitOk;

void InitLogging(const corianderdock::Settings& settings) {
  log4cplus::SharedAppenderPtr appender;
  if (settings.log_file.empty()) {
    appender = new log4cplus::ConsoleAppender(true, true);
  } else {
    appender = new log4cplus::FileAppender(settings.log_file, std::ios::app);
  }
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "%D{%Y-%m-%dT%H:%M:%S.%q} %p %m%n"));
  auto root = log4cplus::Logger::getRoot();
  root.addAppender(appender);
  root.setLogLevel(
      log4cplus::getLogLevelManager().fromString(settings.log_level));
}

/// Makes the memory of large buffers, which misbehaving clients can fill, go
/// back to the system when they are freed. By default the threshold rises with
/// the largest buffer freed, and each thread has a heap that stays fragmented.
void InitMemory() {
  constexpr int kMmapThresholdBytes = 64 << 10;
  constexpr int kTrimThresholdBytes = 1 << 20;
  constexpr int kHeaps = 2;
  (void)::mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  (void)::mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
  (void)::mallopt(M_ARENA_MAX, kHeaps);
}

int Run(const std::string& path, bool check_only) {
  std::ifstream in(path);
  if (!in) {
    std::cerr << "corianderdockd: cannot read " << path << "\n";
    return kExitBadInput;
  }
  const std::string text{std::istreambuf_iterator<char>(in),
                         std::istreambuf_iterator<char>()};
  const auto settings = corianderdock::ParseSettings(text);
  if (!settings) {
    for (const auto& it : settings.error()) {
      std::cerr << path << ": " << it.place << ": " << it.reason << "\n";
    }
    return kExitBadInput;
  }
  if (check_only) {
    std::cout << path << ": ok\n";
    return kExitOk;
  }
  InitMemory();
  log4cplus::Initializer initializer;
  InitLogging(*settings);
  corianderdock::Node node(*settings);
  node.Run();
  return kExitOk;
}

}  // namespace

int main(int argc, char** argv) {
  return apps::DaemonMain(argc, argv, "corianderdockd", {}, Run);
}
