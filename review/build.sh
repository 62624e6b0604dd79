#!/bin/bash
# Builds the stand-ins and clients of the cases into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags="-std=c++20 -O1 -pthread $(pkg-config --cflags --libs-only-L jsoncpp)"
# shellcheck disable=SC2086
g++ $flags -c review/lab/lab.cc -o target/review/lab.o
for source in review/[1-9]/case.cc; do
  n=$(basename "$(dirname "$source")")
  # shellcheck disable=SC2086
  g++ $flags "$source" target/review/lab.o -o "target/review/case$n" -ljsoncpp
done
