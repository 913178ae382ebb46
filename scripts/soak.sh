#!/usr/bin/env bash
# Builds and plays the fault soak: the cell as processes on loopback, disturbed from outside. Arguments go to the soak, see
# `build/soak --help`; without arguments it plays the seeds of test/soak/seeds.txt for a short time each.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
scripts/build.sh build > /dev/null
if [ "$#" -eq 0 ]; then
    seeds=$(grep -o '^[0-9]*' test/soak/seeds.txt | paste -sd, -)
    set -- "--seeds=$seeds" --seconds=12
fi
exec build/soak "$@"
