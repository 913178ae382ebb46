#!/usr/bin/env bash
# Runs the case with the programs in target/, after the build of the deploy file and review/build-3.sh. Exits with 1 if
# the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/turmericpier ] && [ -x target/review-3/review-cases ] || exit 2
exec target/review-3/review-cases advice-after-restart "$PWD" "review/11/record.txt"
