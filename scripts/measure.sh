#!/bin/bash
# Runs one measurement: prints a table and, as the last line, 'NAME key=value ...'.
set -euo pipefail
cd "$(dirname "$0")/.."
measure_placement() {
    build/bin/placement-benchmark "$@"
}
measure_capacity() {
    build/bin/capacity-benchmark "$@"
}
measure_outage() {
    build/bin/outage-benchmark "$@"
}
measure_coordination() {
    build/bin/sequoia-bench-coordination "$@"
}
measure_recovery() {
    scripts/measure-recovery.sh "$@"
}
measure_path() {
    scripts/measure-path.sh "$@"
}
usage() {
    echo "usage: scripts/measure.sh NAME [options], with NAME one of:"
    declare -F | sed -n 's/^declare -f measure_/  /p'
}
name=${1:-}
if [ -z "$name" ] || ! declare -F "measure_$name" >/dev/null; then
    usage
    exit 2
fi
shift
scripts/build.sh build
"measure_$name" "$@"
