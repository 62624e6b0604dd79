/// \file
/// corianderload: load generator, experiments and demonstration.
#include <boost/program_options.hpp>
#include <iostream>
#include <string>

#include "command_line.h"
#include "demo.h"
#include "experiments.h"
#include "load_command.h"

namespace {

namespace po = boost::program_options;

constexpr int kExitBadInput = 2;

constexpr char kUsage[] =
    "corianderload COMMAND [NAME] [options]\n\n"
    "  demo               short tour of the main features\n"
    "  experiment NAME    run an experiment; list them without NAME\n"
    "  load               send load to running instances and print results\n\n";

}  // namespace

int main(int argc, char** argv) {
  std::string command;
  bench::ExperimentRun run;
  bench::LoadCommand load;
  po::options_description flags("options");
  flags.add_options()("help", "show this help")(
      "command", po::value(&command), "command")("name", po::value(&run.name),
                                                 "experiment")(
      "deployment", po::value(&run.deployment)->default_value("both"),
      "adinkra, dzintarkrasts or both")(
      "seconds", po::value(&run.seconds)->default_value(8),
      "duration of a load, in seconds")(
      "repeat", po::value(&run.repeat)->default_value(20),
      "number of faults in a failover experiment")(
      "output", po::value(&run.folder)->default_value("docs/measurements"),
      "directory for results")("seed", po::value(&run.seed)->default_value(1),
                               "random seed of the load")(
      "address", po::value(&load.addresses)->composing(),
      "client address IP:PORT of an instance, may be repeated")(
      "rate", po::value(&load.rate)->default_value(150),
      "statements per second of a load")(
      "peak", po::value(&load.peak)->default_value(2),
      "peak rate as a multiple of --rate")(
      "long", po::value(&load.long_work)->default_value("audits"),
      "long statements in the load: none, reports or audits")(
      "json", po::value(&load.json), "write the report of a load to this file");
  try {
    const po::variables_map values =
        apps::ParseCommandLine(argc, argv, flags, {"command", "name"});
    if (values.count("help") != 0) {
      std::cout << kUsage << flags;
      return 0;
    }
    if (command == "demo") return bench::RunDemo();
    if (command == "experiment") return bench::RunExperiment(run);
    if (command == "load") {
      load.seconds = run.seconds;
      load.seed = run.seed;
      return bench::RunLoadCommand(load);
    }
    std::cerr << kUsage << flags;
    return kExitBadInput;
  } catch (const std::exception& error) {
    std::cerr << "corianderload: " << error.what() << "\n";
    return kExitBadInput;
  }
}
