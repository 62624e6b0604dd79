/// \file
/// Command line of a daemon: `--settings FILE`, `--check`, `--help`.
#pragma once

#include <boost/program_options.hpp>
#include <exception>
#include <functional>
#include <iostream>
#include <string>

namespace apps {

constexpr int kExitOk = 0;
constexpr int kExitBadInput = 2;
constexpr int kExitFailed = 3;

/// Runs a daemon with the settings file at `path`, or only validates that file;
/// returns the exit code.
using RunDaemon = std::function<int(const std::string& path, bool check_only)>;

/// Parses the command line and calls `run`. `path` is the default settings
/// file, used without `--settings`. Returns the exit code.
inline int DaemonMain(int argc, char** argv, const std::string& name,
                      std::string path, const RunDaemon& run) {
  namespace po = boost::program_options;
  po::options_description flags(name + ": database proxy instance");
  flags.add_options()("help", "show this help")("settings", po::value(&path),
                                                "settings file (JSON)")(
      "check", "validate the settings and exit");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, flags), values);
    po::notify(values);
    if (values.count("help") != 0) {
      std::cout << flags;
      return kExitOk;
    }
    if (path.empty()) {
      std::cerr << name << ": --settings FILE is required\n";
      return kExitBadInput;
    }
    return run(path, values.count("check") != 0);
  } catch (const po::error& error) {
    std::cerr << name << ": " << error.what() << "\n";
    return kExitBadInput;
  } catch (const std::exception& error) {
    std::cerr << name << ": " << error.what() << "\n";
    return kExitFailed;
  }
}

}  // namespace apps
