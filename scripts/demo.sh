#!/bin/bash
# Installs the packages, builds, and runs a small fleet on loopback under load while one backend server is killed
# and one router is stopped gracefully. Prints the merged time line. The exit code is 0 only when no response was
# wrong and no request ran twice.
set -uo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh && scripts/build.sh build || exit 1
FLEET_SERVICES=booking
FLEET_CONTROLLERS=2
source scripts/lib/fleet.sh

write_settings </dev/null
echo "starting 1 platform stand-in, 2 controllers, 2 routers, 4 backend servers on loopback"
start_platform || exit 1
for i in 1 2 3 4; do start_server "$i"; done
for i in 1 2; do start_controller "$i"; done
for i in 1 2; do start_router "$i"; done
for i in 1 2; do wait_until 30 is_healthy "$(router_address "$i")" /sequoia/health || exit 1; done

report=$fleet_dir/report.txt
"$fleet_bin/sequoia-load" --targets="$(router_address 1),$(router_address 2)" --services=booking --rate=400 --concurrency=64 --seconds=12 \
    --write_fraction=0.3 --keys=2000 --seed=1 --journals="$(for i in 1 2 3 4; do printf '%s%s' "${s:-}" "$fleet_dir/server-$i.journal"; s=,; done)" \
    >"$report" 2>"$fleet_dir/load.log" &
load=$!
sleep 3
echo "killing backend server 1"
signal server-1 KILL
end_process server-1
sleep 4
echo "stopping router 2 gracefully"
signal router-2 TERM
end_process router-2
echo "router 2 exited with code $?"
wait "$load"
load_code=$?
cat "$report"
echo
echo "time line:"
"$fleet_bin/sequoiactl" --platform="$platform_address" --processes="$(processes)" timeline || true
echo
tail -1 "$report" | sed 's/^load /demo /'
exit "$load_code"
