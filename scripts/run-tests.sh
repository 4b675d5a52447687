#!/bin/bash
# Runs the tests of a build folder and appends "PASSED FAILED" to the file given. A doctest program counts with
# its test cases, any other test as one.
set -uo pipefail
cd "$(dirname "$0")/.."
folder=$1
counts=$2
log=$(mktemp)
trap 'rm -f "$log"' EXIT
ctest --test-dir "$folder" -j "$(nproc)" -V >"$log" 2>&1
status=$?
cases=$(awk '/\[doctest\] test cases:/ { gsub(/\|/, " "); for (i = 1; i < NF; i++) { if ($(i + 1) == "passed") p += $i; if ($(i + 1) == "failed") f += $i } } END { print p + 0, f + 0 }' "$log")
programs=$(grep -cE '\[doctest\] test cases:' "$log")
total=$(grep -oE 'tests failed out of [0-9]+' "$log" | grep -oE '[0-9]+$' | tail -1)
failedTests=$(grep -oE '[0-9]+ tests failed out of' "$log" | grep -oE '^[0-9]+' | tail -1)
read -r passed failed <<<"$cases"
others=$((${total:-0} - programs))
# A program that ended without a summary (crash, time limit) or a failed script counts as one failure.
failedDoctest=$(grep -cE '\[doctest\] test cases:.*\| +[1-9][0-9]* failed' "$log")
otherFailed=$((${failedTests:-0} - failedDoctest))
((otherFailed < 0)) && otherFailed=0
failed=$((failed + otherFailed))
((others - otherFailed > 0)) && passed=$((passed + others - otherFailed))
if ((status != 0)); then
    grep -vE '^[0-9]+: (time_ms=|Test command|Working Directory|Environment)' "$log" | tail -200
    ((failed == 0)) && failed=1
fi
echo "$folder: $passed passed, $failed failed"
echo "$passed $failed" >>"$counts"
