#!/bin/bash
# Installs the declared packages, builds, checks style, and runs all tests: once as built for use, once under
# AddressSanitizer and UndefinedBehaviorSanitizer. The last line is 'N passed, N failed'.
set -uo pipefail
cd "$(dirname "$0")/.."
counts=$(mktemp)
trap 'rm -f "$counts"' EXIT
step() {
    echo "== $*"
    "$@" || { echo "0 1" >>"$counts"; echo "FAILED: $*"; }
}
step scripts/install-packages.sh
step scripts/build.sh build
step scripts/check-style.sh
step scripts/run-tests.sh build "$counts"
step scripts/build.sh build-sanitize -DSEQUOIA_SANITIZE=ON -DCMAKE_BUILD_TYPE=Debug
step scripts/run-tests.sh build-sanitize "$counts"
if [ -e KNOWN-RED.txt ]; then
    echo "known failures, expected by their tests (see KNOWN-RED.txt):"
    grep '^test:' KNOWN-RED.txt
fi
awk '{ p += $1; f += $2 } END { print p + 0 " passed, " f + 0 " failed"; exit (f > 0 || p == 0) }' "$counts"
