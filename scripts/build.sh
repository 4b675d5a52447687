#!/bin/bash
# Builds into the folder given (default build); further arguments go to cmake.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-build}
shift || true
cmake -S . -B "$folder" -G Ninja "$@" >"$folder.configure.log" 2>&1 || { cat "$folder.configure.log"; exit 1; }
ninja -C "$folder" --quiet
