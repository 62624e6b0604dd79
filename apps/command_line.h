/// \file
/// Command lines of the form `PROGRAM COMMAND [ARGUMENT] [options]`.
#pragma once

#include <boost/program_options.hpp>
#include <initializer_list>

namespace apps {

/// Parses the arguments and stores them where `flags` point; each of
/// `positions` names the flag of one argument without a name. Throws
/// `boost::program_options::error` with the reason.
inline boost::program_options::variables_map ParseCommandLine(
    int argc, char** argv,
    const boost::program_options::options_description& flags,
    std::initializer_list<const char*> positions) {
  namespace po = boost::program_options;
  po::positional_options_description order;
  for (const char* it : positions) order.add(it, 1);
  po::variables_map values;
  po::store(po::command_line_parser(argc, argv)
                .options(flags)
                .positional(order)
                .run(),
            values);
  po::notify(values);
  return values;
}

}  // namespace apps
