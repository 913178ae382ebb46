#!/usr/bin/env bash
# Builds the stand-in of cases 6 to 9 into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -pthread review/6/standin/*.cc -o target/review-2/standin-2 -lboost_json
