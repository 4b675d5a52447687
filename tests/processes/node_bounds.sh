#!/bin/bash
# sequoia-node starts, reloads and starts again with each form and size of figures that a deployment may fill into
# deploy/node.ini, and refuses nonsense with the remedy. Guards against hosts that do not start after the settings have
# changed (review/3), and against changed settings that stay without effect.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 1
folder=$(mktemp -d)
ip=127.$((RANDOM % 200 + 10)).$((RANDOM % 200 + 10)).1
settings=$folder/node.ini
log=$folder/node.log
node=
failures=0
declare -A names=(
    [node_name]=host-1 [zone]=dc-1 [region]=north [ip]=$ip [listen.front]=$ip:7001 [listen.ready]=$ip:7002
    [internal_ports.0]=7004 [provider.address]=$ip:7005
)
declare -A usual=(
    [limits.cpu_share]=0.15 [limits.link_mbps]=750.0 [limits.memory_mb]=120 [limits.max_fds]=3075
    [bounds.grace_s]=6 [bounds.hold_max_ms]=10000
    [bounds.retry_budget_ratio]=0.2 [bounds.retry_budget_slack]=60 [bounds.budget_window_s]=10
    [bounds.evac_ms]=5000 [bounds.drain_ms]=2000 [bounds.cold_over]=1.5 [bounds.cold_slack]=8
)

fail() {
    echo "FAILED: $*"
    failures=$((failures + 1))
}

# fill [NAME=FIGURE]...: writes the settings from the template, with these figures in place of the usual ones.
fill() {
    local text name change
    declare -A values
    text=$(<deploy/node.ini)
    for name in "${!names[@]}"; do values[$name]=${names[$name]}; done
    for name in "${!usual[@]}"; do values[$name]=${usual[$name]}; done
    for change in "$@"; do values[${change%%=*}]=${change#*=}; done
    # The lines between {{#NAME}} and {{/NAME}} are left out where the deployment has no such figure.
    for name in "${!values[@]}"; do
        case ${values[$name]} in
        '' | false) text=$(sed "\\|^#{{#$name}}|,\\|^#{{/$name}}|d" <<<"$text") ;;
        *) text=$(sed "\\|^#{{[#/]$name}}|d" <<<"$text") ;;
        esac
    done
    for name in "${!values[@]}"; do text=${text//"{{$name}}"/${values[$name]}}; done
    printf '%s\n' "$text" >"$settings.new"
    mv "$settings.new" "$settings"
}

# expect TEXT: waits until the log of the process has the text.
expect() {
    for _ in $(seq 400); do
        grep -q "$1" "$log" && return
        sleep 0.05
    done
    fail "the log has no line with: $1"
    cat "$log"
}

start() {
    "$SEQUOIA_BIN/sequoia-node" --settings="$settings" >"$log" 2>&1 &
    node=$!
    expect event=started
}

stop() {
    kill -TERM "$node"
    wait "$node"
    local code=$?
    ((code == 0)) || fail "the process ended with $code"
}

check_template() {
    fill
    ! grep -q '{{' "$settings" || fail "the template has a placeholder that this test does not fill"
}

# Each figure in each form, at a first start.
check_forms() {
    local name figure
    for name in "${!usual[@]}"; do
        for figure in 1 3 2.5 4.0 0.75 100000 123456.789 1e3 '' true false; do
            fill "$name=$figure"
            "$SEQUOIA_BIN/sequoia-node" --settings="$settings" --check >"$log" 2>&1 \
                || fail "$name = $figure is refused: $(cat "$log")"
        done
        for figure in many -1 1,5 1.2.3 nan inf 1e400; do
            fill "$name=$figure"
            "$SEQUOIA_BIN/sequoia-node" --settings="$settings" --check >"$log" 2>&1
            local code=$?
            ((code == 3)) || fail "$name = $figure ends with $code in place of 3"
            grep -q 'node.ini: \[.*; write ' "$log" || fail "$name = $figure: no remedy: $(cat "$log")"
        done
    done
}

# A change without a signal is in force within a few seconds, and so is one with SIGHUP; then a new process starts.
check_reload_and_restart() {
    fill
    start
    fill bounds.grace_s=2.5
    expect 'event=reloaded in_force=edge.grace '
    fill bounds.grace_s=2.5 bounds.hold_max_ms=2500.5 limits.cpu_share=1 limits.link_mbps=10000 \
        bounds.retry_budget_ratio=1 bounds.retry_budget_slack=60.5 bounds.budget_window_s=10.5 \
        provider.address="$ip:7006"
    kill -HUP "$node"
    expect 'in_force=store.address,node.processor_share,node.link_megabits,grants.longest_hold,repeats.ratio,repeats.slack,repeats.window '
    fill bounds.grace_s=2.5 bounds.budget_window_s=
    expect 'event=settings_without_figure keys=repeats.window'
    fill bounds.grace_s=soon
    expect 'event=reload_refused .*grace'
    stop
    fill bounds.grace_s=1.5 bounds.budget_window_s=0.5 bounds.hold_max_ms=true
    start
    expect 'event=settings_without_figure keys=grants.longest_hold'
    kill -KILL "$node"
    wait "$node" 2>/dev/null
    start
    stop
}

check_template
check_forms
check_reload_and_restart
((failures == 0)) && echo passed
rm -rf "$folder"
exit $((failures > 0))
