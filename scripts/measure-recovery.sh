#!/bin/bash
# Measures, on real processes, the time from a loss until every key group is served again. Called by
# 'scripts/measure.sh recovery'; SEQUOIA_LOSSES sets the number of losses (default 32).
#
# One load run per loss. The time of a loss is the longer of two figures of sequoia-load: the longest unavailable
# interval of a key group, and the longest latency of a request that was served, because a router may hold a request
# until its key has an owner again. A group that was not served again before the run ended counts with the time until
# the end of the run, which is a lower bound, and is shown in the column 'unserved'.
set -uo pipefail
cd "$(dirname "$0")/.."
FLEET_SERVICES=booking
FLEET_CONTROLLERS=3
source scripts/lib/fleet.sh

losses=${SEQUOIA_LOSSES:-32}
servers=5
load_seconds=6.5
# A group counts as served again with its next request, so each key must be requested often: 5 times per second on
# average. More requests in progress than this slow sequoia-load down until it misses its own deadlines.
load_options=(--rate=200 --keys=40 --zipf=0 --concurrency=32 --deadline_ms=1000 --write_fraction=0.3)
settle_seconds=30
results=$fleet_dir/results.txt

write_settings </dev/null
start_platform || exit 1
for ((i = 1; i <= servers; ++i)); do start_server "$i"; done
for i in 1 2 3; do start_controller "$i"; done
for i in 1 2; do start_router "$i"; done
for i in 1 2; do wait_until 30 is_healthy "$(router_address "$i")" /sequoia/health || exit 1; done
wait_until "$settle_seconds" fleet_is_settled "$servers" || exit 1
targets=$(sep='' routers 2)
journals=$(server_journals "$servers")

# restart PROCESS...: starts lost processes again.
restart() {
    local name
    for name in "$@"; do "start_${name%-*}" "${name#*-}"; done
}

# lose KIND: ends processes and leaves their names in `lost`.
lose() {
    local kind=$1 leader=$2 server=$3
    case $kind in
    server) lost=("server-$server") ;;
    controller) lost=("controller-$leader") ;;
    both) lost=("server-$server" "controller-$leader") ;;
    leave) lost=("server-$server") ;;
    esac
    local name with=KILL
    [ "$kind" = leave ] && with=TERM
    for name in "${lost[@]}"; do signal "$name" "$with"; done
}

kinds=(server controller both leave)
for ((n = 0; n < losses; ++n)); do
    kind=${kinds[n % ${#kinds[@]}]}
    server=$((n % servers + 1))
    report=$fleet_dir/load-$n.txt
    "$fleet_bin/sequoia-load" --targets="$targets" --services=booking --seconds="$load_seconds" "${load_options[@]}" \
        --seed="$((n + 1))" --journals="$journals" \
        >"$report" 2>&1 &
    load=$!
    sleep 1
    leader=$(leading_controller)
    lose "$kind" "$leader" "$server"
    for name in "${lost[@]}"; do end_process "$name" 2>/dev/null; done
    wait "$load"
    # latency ms ... max M / unavailable ... longest U s, ... not recovered R / load ... wrong=W repeated=P ...
    awk -v kind="$kind" -v lost="${lost[*]}" '
        function figure(name) { match($0, name "=[0-9]+"); return substr($0, RSTART + length(name) + 1, RLENGTH - length(name) - 1) }
        /^latency ms/ { held = $NF / 1000 }
        /^unavailable/ { interval = $6; unserved = $NF }
        /^load / { wrong = figure("wrong"); repeated = figure("repeated"); falsely = figure("false_not_run"); done = 1 }
        END {
            if (!done) exit 1
            time = held > interval ? held : interval
            print kind, time, interval, held, unserved, wrong, repeated, falsely, lost
        }' "$report" >>"$results" || { echo "loss $n ($kind): no report of sequoia-load:"; cat "$report"; exit 1; }
    restart "${lost[@]}"
    if ! wait_until "$settle_seconds" fleet_is_settled "$servers"; then
        echo "loss $n ($kind, ${lost[*]}): the fleet did not settle again"
        show_fleet
        exit 1
    fi
done

printf '%-11s %3s %8s %8s %8s %9s %6s %9s %14s\n' loss n p50_s p99_s max_s unserved wrong repeated false_not_run
for kind in "${kinds[@]}"; do
    awk -v kind="$kind" '$1 == kind' "$results" | sort -k2 -g | awk -v kind="$kind" '
        { time[NR] = $2; unserved += $5; wrong += $6; repeated += $7; falsely += $8 }
        function rank(q) { r = int(q * NR); if (r < q * NR) ++r; return time[r] }
        END { if (NR) printf "%-11s %3d %8.3f %8.3f %8.3f %9d %6d %9d %14d\n", kind, NR, rank(0.5), rank(0.99), time[NR],
                  unserved, wrong, repeated, falsely }'
done
echo
echo "longest: kind, time, interval, held, unserved, wrong, repeated, false_not_run, lost"
sort -k2 -gr "$results" | head -5
sort -k2 -g "$results" | awk '
    { time[NR] = $2; wrong += $6 + $8; repeated += $7 }
    function rank(q) { r = int(q * NR); if (r < q * NR) ++r; return time[r] }
    END { printf "recovery n=%d p50_s=%.3f p99_s=%.3f max_s=%.3f wrong=%d repeated=%d\n", NR, rank(0.5), rank(0.99),
              time[NR], wrong, repeated }'
