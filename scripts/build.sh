#!/usr/bin/env bash
# Configures and builds into build/ (or the folder given as the first argument); further arguments go to cmake.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-build}
shift || true
cmake -S . -B "$folder" -G Ninja "$@" > /dev/null
cmake --build "$folder"
