#!/usr/bin/env bash
# Runs the scenario "restarts" of the stand-in; see claim.txt. TROUBLE=0 leaves the disruption out.
# Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
TROUBLE="${TROUBLE:-1}" timeout -k 1 117 target/review-2/standin-2 restarts "$folder" review/9/record.txt
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
