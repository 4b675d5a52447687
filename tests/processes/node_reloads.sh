#!/bin/bash
# SIGHUP reads the settings of sequoia-node again: what can change is in force, a file with mistakes changes nothing,
# and the process goes on. Guards against a process that SIGHUP ends (fault soak, seed 101).
set -uo pipefail
folder=$(mktemp -d)
ip=127.$((RANDOM % 200 + 10)).$((RANDOM % 200 + 10)).1
settings=$folder/node.ini
log=$folder/node.log
write_settings() {
    printf '[edge]\nlisten=%s:7001\nready_listen=%s:7002\n[metrics]\nlisten=%s:7003\n[peers]\nlisten=%s:7004\n' \
        "$ip" "$ip" "$ip" "$ip" >"$settings"
    printf '[store]\naddress=%s:7005\n[repeats]\nslack=%s\n' "$ip" "$1" >>"$settings"
}
failures=0
# expect TEXT: waits until the log has the text.
expect() {
    for _ in $(seq 200); do
        grep -q "$1" "$log" && return
        sleep 0.05
    done
    echo "FAILED: the log has no line with: $1"
    failures=$((failures + 1))
}
write_settings 60
"$SEQUOIA_BIN/sequoia-node" --settings="$settings" >"$log" 2>&1 &
node=$!
expect event=started
write_settings many
kill -HUP "$node"
expect 'event=reload_refused .*slack'
write_settings 90
kill -HUP "$node"
expect 'event=reloaded in_force=repeats.slack'
kill -TERM "$node"
wait "$node"
code=$?
((code == 0)) || { echo "FAILED: the process ended with $code"; failures=$((failures + 1)); }
((failures == 0)) && echo passed || cat "$log"
rm -rf "$folder"
exit $((failures > 0))
