#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/11 to review/15 into target/review-3/. Needs only the packages of the build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
"${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread review/11/standin/*.cc \
    -o target/review-3/review-cases -lboost_json
