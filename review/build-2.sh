#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/scenario.cc; do
  name=$(basename "$(dirname "$source")")
  # shellcheck disable=SC2046
  g++ -std=c++20 -O1 -pthread -w $(pkg-config --cflags jsoncpp) \
    -o "target/review-2/$name" "$source" $(pkg-config --libs jsoncpp)
done
