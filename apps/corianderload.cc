/// \file
/// corianderload: load generator, experiments and demonstration.
#include <boost/program_options.hpp>
#include <iostream>
#include <string>

#include "demo.h"
#include "experiments.h"

namespace {

namespace po = boost::program_options;

constexpr int kExitBadInput = 2;

constexpr char kUsage[] =
    "corianderload COMMAND [NAME] [options]\n\n"
    "  demo               one pass over what the system does\n"
    "  experiment NAME    run a named comparison; without NAME list them\n\n";

}  // namespace

int main(int argc, char** argv) {
  std::string command;
  bench::ExperimentRun run;
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
                                "seed of the load");
  po::positional_options_description positions;
  positions.add("command", 1).add("name", 1);
  try {
    po::variables_map values;
    po::store(po::command_line_parser(argc, argv)
                  .options(flags)
                  .positional(positions)
                  .run(),
              values);
    po::notify(values);
    if (values.count("help") != 0) {
      std::cout << kUsage << flags;
      return 0;
    }
    if (command == "demo") return bench::RunDemo();
    if (command == "experiment") return bench::RunExperiment(run);
    std::cerr << kUsage << flags;
    return kExitBadInput;
  } catch (const std::exception& error) {
    std::cerr << "corianderload: " << error.what() << "\n";
    return kExitBadInput;
  }
}
