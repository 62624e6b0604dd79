/// \file
/// corianderdockd: one instance of the proxy.
#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <iterator>

#include "corianderdock/node.h"

namespace {

namespace po = boost::program_options;

constexpr int kExitOk = 0;
constexpr int kExitBadInput = 2;
constexpr int kExitFailed = 3;

void StartLog(const corianderdock::Settings& settings) {
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
  log4cplus::Initializer initializer;
  StartLog(*settings);
  corianderdock::Node node(*settings);
  node.Run();
  return kExitOk;
}

}  // namespace

int main(int argc, char** argv) {
  std::string path;
  po::options_description flags("corianderdockd: database proxy instance");
  flags.add_options()("help", "show this text")("settings", po::value(&path),
                                                "settings file (JSON)")(
      "check", "check the settings and exit");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, flags), values);
    po::notify(values);
    if (values.count("help") != 0) {
      std::cout << flags;
      return kExitOk;
    }
    if (path.empty()) {
      std::cerr << "corianderdockd: --settings FILE is required\n";
      return kExitBadInput;
    }
    return Run(path, values.count("check") != 0);
  } catch (const po::error& error) {
    std::cerr << "corianderdockd: " << error.what() << "\n";
    return kExitBadInput;
  } catch (const std::exception& error) {
    std::cerr << "corianderdockd: " << error.what() << "\n";
    return kExitFailed;
  }
}
