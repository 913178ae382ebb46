#!/bin/bash
# Builds the stand-ins of all cases into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O2 -Wall -Wextra -Wno-missing-field-initializers -o target/review/scenario review/3/standin/*.cc \
  -lboost_json -pthread
