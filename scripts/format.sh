#!/usr/bin/env bash
# Formats all sources in place; with --check only reports files that differ.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files -co --exclude-standard 'include/*.h' 'platform/*.h' 'platform/*.cc' 'src/*.h' 'src/*.cc' 'test/*.h' 'test/*.cc' 'bench/*.h' 'bench/*.cc' | while read -r file; do [ -f "$file" ] && echo "$file"; done)
if [ "${1:-}" = "--check" ]; then
    clang-format --dry-run --Werror "${files[@]}"
else
    clang-format -i "${files[@]}"
fi
