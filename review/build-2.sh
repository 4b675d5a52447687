#!/bin/bash
# Builds the stand-ins of cases 7 to 10 into target/review-2. Needs what the build of the deploy file needs.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
folder=../../target/review-2
mkdir -p "$folder"
for source in *.cpp; do
    g++ -std=c++20 -O2 -Wall -Wextra -pthread "$source" -o "$folder/${source%.cpp}" &
done
status=0
for job in $(jobs -p); do wait "$job" || status=1; done
exit $status
