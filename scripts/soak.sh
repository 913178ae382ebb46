#!/usr/bin/env bash
# Builds and plays the fault soak: the cell as processes on loopback, disturbed from outside. Arguments go to the soak, see
# `build/soak --help`; without arguments it plays the lines of test/soak/seeds.txt: seed, seconds, group of disturbances,
# the number of control processes where it is not the usual one, and that of tenants. A colon ends the last of them.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
scripts/build.sh build > /dev/null
if [ "$#" -gt 0 ]; then
    exec build/soak "$@"
fi
status=0
# A fault of one group that KNOWN-RED.txt lists, as "soak: GROUP "TEXT" ...": its broken promises are printed and passed over.
known_of() { sed -n "s/^soak: $1 \"\([^\"]*\)\".*/\1/p" KNOWN-RED.txt | head -n 1; }
while read -r seed seconds group controls tenants _; do
    options=(--seeds="$seed" --seconds="$seconds" --faults="${group%:}" --known_fault="$(known_of "${group%:}")")
    case "$group" in *:) ;; *) options+=(--controls="${controls%:}") ;; esac
    case "$group$controls" in *:*) ;; *) options+=(--tenants="${tenants%:}") ;; esac
    build/soak "${options[@]}" < /dev/null || status=1
done < test/soak/seeds.txt
exit "$status"
