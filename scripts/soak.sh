#!/usr/bin/env bash
# Builds and plays the fault soak: the cell as processes on loopback, disturbed from outside. Arguments go to the soak, see
# `build/soak --help`; without arguments it plays the lines of test/soak/seeds.txt: seed, seconds, group of disturbances.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
scripts/build.sh build > /dev/null
if [ "$#" -gt 0 ]; then
    exec build/soak "$@"
fi
status=0
while read -r seed seconds group _; do
    build/soak --seeds="$seed" --seconds="$seconds" --faults="${group%:}" < /dev/null || status=1
done < test/soak/seeds.txt
exit "$status"
