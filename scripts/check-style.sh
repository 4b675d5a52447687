#!/bin/bash
# Formatter and linter over all sources but generated code; fails on the first difference or warning.
# With --fix, formats in place.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard 'libs/*.h' 'libs/*.cpp' 'programs/*.h' 'programs/*.cpp' \
    'platform/*.h' 'platform/*.cpp' 'tests/*.h' 'tests/*.cpp' 'fuzz/*.cpp' 'bench/*.h' 'bench/*.cpp' | grep -v /generated/)
if [ "${1:-}" = --fix ]; then
    clang-format -i "${files[@]}"
    exit 0
fi
# Names of the users' wire are decoded in platform/ and stand nowhere else.
if git grep -nE 'X-Sequoiashift-|rows-(tx|get|feed)|warmup_left_ms|max_concurrency|traffic_split|"hold_ms"' -- \
    'libs/*.cpp' 'libs/*.h' 'programs/*.cpp' 'programs/*.h'; then
    echo "names of the users' platform outside platform/; decode them there" >&2
    exit 1
fi
clang-format --dry-run -Werror "${files[@]}"
mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep -E '/src/.*\.cpp$')
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet 2>/dev/null
echo "style: ${#files[@]} files formatted, ${#sources[@]} sources linted"
