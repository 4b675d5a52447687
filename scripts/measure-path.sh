#!/bin/bash
# Latency and throughput through one router against the same load sent to the backend servers directly, in one run.
# Used by scripts/measure.sh path. Prints a table and the line `path ...`.
set -uo pipefail
cd "$(dirname "$0")/.."
FLEET_SERVICES=booking
FLEET_CONTROLLERS=1
FLEET_SLOTS=64
FLEET_CONNECTIONS=64
FLEET_LOG_LEVEL=warn
source scripts/lib/fleet.sh

seconds=8
low_rate=200   # requests per second for latency, far below the limit of either path
high_rate=6000 # offered for throughput, above the limit of either path

cpu_ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
value_of() { tr ' ' '\n' <<<"$1" | sed -n "s/^$2=//p"; }
# load_line ARGUMENT...: runs sequoia-load and prints its last line.
load_line() { "$fleet_bin/sequoia-load" --services=booking --keys=500 --write_fraction=0 --read_bytes=200 --seconds="$seconds" --seed=1 "$@" 2>/dev/null | tail -1; }

write_settings </dev/null
start_platform || exit 1
for i in 1 2; do start_server "$i" server_standin.connections=1000 server_standin.service_time=1ms; done
start_controller 1
start_router 1
wait_until 30 is_healthy "$(router_address 1)" /sequoia/health || exit 1
for i in 3 4; do start_server "$i" server_standin.connections=1000 server_standin.service_time=1ms server_standin.serve_without_grant=true server_standin.register=false; done
for i in 3 4; do wait_until 20 is_up "$(server_address "$i")" /control/v1/health || exit 1; done
targets=$(router_address 1)
direct=$(server_address 3),$(server_address 4)

direct_low=$(load_line --direct="$direct" --rate=$low_rate)
routed_low=$(load_line --targets="$targets" --rate=$low_rate)
direct_high=$(load_line --direct="$direct" --rate=$high_rate --concurrency=32)
before=$(cpu_ticks "${fleet_pid[router-1]}")
routed_high=$(load_line --targets="$targets" --rate=$high_rate --concurrency=32)
after=$(cpu_ticks "${fleet_pid[router-1]}")
served=$(value_of "$routed_high" served)
micros=$(awk -v t=$((after - before)) -v hz="$(getconf CLK_TCK)" -v n="${served:-0}" 'BEGIN { if (n > 0) printf "%.0f", t / hz * 1e6 / n; else printf "none" }')
printf '%s\n' "direct, $low_rate/s:  $direct_low" "routed, $low_rate/s:  $routed_low" "direct, full: $direct_high" "routed, full: $routed_high"

# Uploads of 8 MB through the router: its resident memory must not grow with the body.
rss_kb() { awk '/VmHWM/ { print $2 }' "/proc/${fleet_pid[router-1]}/status"; }
rss_before=$(rss_kb)
upload=$("$fleet_bin/sequoia-load" --services=booking --keys=50 --write_fraction=1 --upload_bytes=8000000 --rate=10 --deadline_ms=20000 --seconds="$seconds" --seed=2 --targets="$targets" 2>/dev/null | tail -1)
rss_after=$(rss_kb)
echo "uploads of 8 MB: $upload"
echo "path direct_p50_ms=$(value_of "$direct_low" p50_ms) routed_p50_ms=$(value_of "$routed_low" p50_ms)" \
    "direct_p99_ms=$(value_of "$direct_low" p99_ms) routed_p99_ms=$(value_of "$routed_low" p99_ms)" \
    "direct_rps=$(value_of "$direct_high" rps) routed_rps=$(value_of "$routed_high" rps)" \
    "router_cpu_us_per_request=$micros upload_served=$(value_of "$upload" served) upload_wrong=$(value_of "$upload" wrong)" \
    "router_peak_growth_kb=$((rss_after - rss_before))"
