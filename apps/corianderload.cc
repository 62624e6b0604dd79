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
    "  demo               one pass over what the system does\n"
    "  experiment NAME    run a named comparison; without NAME list them\n"
    "  load               load running instances and print the measures\n\n";

}  // namespace

int main(int argc, char** argv) {
  std::string command;
  bench::ExperimentRun run;
  bench::LoadCommand load;
  po::options_description flags("options");
  flags.add_options()("help", "show this text")(
      "command", po::value(&command), "command")("name", po::value(&run.name),
                                                 "experiment")(
      "deployment", po::value(&run.deployment)->default_value("both"),
      "adinkra, dzintarkrasts or both")(
      "seconds", po::value(&run.seconds)->default_value(8), "length of a load")(
      "repeat", po::value(&run.repeat)->default_value(20),
      "faults of a failover experiment")(
      "output", po::value(&run.folder)->default_value("docs/measurements"),
      "folder for the results")("seed", po::value(&run.seed)->default_value(1),
                                "seed of the load")(
      "address", po::value(&load.addresses)->composing(),
      "IP:PORT for callers of an instance to load, may be repeated")(
      "rate", po::value(&load.rate)->default_value(150),
      "statements per second of a load")(
      "peak", po::value(&load.peak)->default_value(2),
      "demand of the peak over that rate")(
      "long", po::value(&load.long_work)->default_value("audits"),
      "long work of a load: none, reports or audits")(
      "json", po::value(&load.json), "file for the report of a load");
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
