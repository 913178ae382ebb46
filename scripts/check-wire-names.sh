#!/usr/bin/env bash
# Fails if a name of the users' platform appears outside platform/ and its tests, or if the repository contains a path that
# exists on one machine only.
set -euo pipefail
cd "$(dirname "$0")/.."
names='run-start|run-stop|ack-cursor|until-ms|X-Turmericpier-|TURMERICPIER_BOOT|heartbeat-addr|admission-check|may-miss|max-per-server|est-ms|mem-mb|path-prefix|target-runtime-ms|advice-ttl-ms'
if git grep -n -I -E "$names" -- 'src/*' 'include/*' 'schema/*'; then
    echo "error: wire names of the platform appear outside platform/"
    exit 1
fi
if git grep -n -I -E '/work/(main|given|shared)|\.\./given/kit/more/system/bin' -- ':!scripts/check-wire-names.sh' ':!journal' ':!docs' ':!DEVELOPERS.md'; then
    echo "error: paths that exist on one machine only"
    exit 1
fi
echo "wire names: only in platform/"
