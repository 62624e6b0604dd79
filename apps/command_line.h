/// \file
/// Parser for command lines of the form `PROGRAM COMMAND [ARGUMENT] [options]`.
#pragma once

#include <boost/program_options.hpp>
#include <initializer_list>

namespace apps {

/// Parses the arguments into the variables bound in `flags`. `positions` names,
/// in order, the flags that positional arguments set. Throws
/// `boost::program_options::error` on invalid input.
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
