#!/usr/bin/env bash
# Runs clang-tidy over the sources of the product (or over the files given) with the compile commands in build/.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "$#" -gt 0 ]; then files=("$@"); else mapfile -t files < <(git ls-files -co --exclude-standard 'src/*.cc' 'platform/*.cc' 'test/standin/*.cc' 'test/soak/*.cc' | while read -r file; do [ -f "$file" ] && echo "$file"; done); fi
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -n 2 clang-tidy -p build --quiet 2> /dev/null
