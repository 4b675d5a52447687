# Starts and stops the processes of a small fleet on loopback; sourced by demo.sh and by the process tests.
# Needs: binaries in build/bin. Gives: fleet_dir (logs, journals), and the functions below. All processes are
# ended by their process id when the script exits.

fleet_bin=${SEQUOIA_BIN:-build/bin}

# Each fleet takes a block of 100 ports below the ephemeral range, so that several can run at once.
port_in_use() { (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }
free_port_block() {
    local block offset
    for ((block = $$ % 140, tries = 0; tries < 140; block = (block + 1) % 140, ++tries)); do
        local base=$((17000 + block * 100)) used=
        for offset in 0 11 12 13 31 32 33 51 52 53 71 72 73 74 75; do
            port_in_use $((base + offset)) && used=1 && break
        done
        [ -z "$used" ] && echo "$base" && return
    done
    echo "no free block of ports between 17000 and 31000" >&2
    return 1
}
fleet_port=${SEQUOIA_PORT_BASE:-$(free_port_block)}
fleet_dir=$(mktemp -d)
declare -A fleet_pid=()

platform_address=127.0.0.1:$fleet_port
router_address() { echo "127.0.0.1:$((fleet_port + 10 + $1))"; }
router_control_address() { echo "127.0.0.1:$((fleet_port + 30 + $1))"; }
controller_address() { echo "127.0.0.1:$((fleet_port + 50 + $1))"; }
server_address() { echo "127.0.0.1:$((fleet_port + 70 + $1))"; }

fleet_settings=$fleet_dir/fleet.ini
fleet_services=${FLEET_SERVICES:-booking}

# write_settings: one settings file for all processes; extra lines come from standard input.
write_settings() {
    {
        printf '[platform]\naddress=%s\npoll_interval=200ms\n' "$platform_address"
        printf '[log]\nlevel=%s\n' "${FLEET_LOG_LEVEL:-info}"
        for service in $fleet_services; do
            printf '[service %s]\nkind=keyed\nslots=%s\nconnections=120\nconnections_per_router=%s\n' "$service" "${FLEET_SLOTS:-8}" "${FLEET_CONNECTIONS:-24}"
        done
        cat
    } >"$fleet_settings"
}

# launch NAME PROGRAM [override ...]: starts a process and remembers its id under NAME.
launch() {
    local name=$1 program=$2
    shift 2
    local overrides
    overrides=$(IFS=,; echo "$*")
    "$fleet_bin/$program" --settings="$fleet_settings" --set="$overrides" >>"$fleet_dir/$name.log" 2>&1 &
    fleet_pid[$name]=$!
}

# wait_until SECONDS COMMAND...: tries a command until it succeeds.
wait_until() {
    local deadline=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        if ((SECONDS >= deadline)); then
            echo "timed out waiting for: $*" >&2
            return 1
        fi
        sleep 0.05
    done
}

is_up() { curl -s -o /dev/null "http://$1$2"; }
is_healthy() { curl -sf -o /dev/null "http://$1$2"; }

start_platform() {
    launch platform sequoia-platform-standin "platform_standin.listen=$platform_address"
    wait_until 20 is_up "$platform_address" /hosts
}

register() { curl -sf -X PUT "http://$platform_address/hosts/$1" -H 'Content-Type: application/json' -d "$2" >/dev/null; }

start_controller() {
    local i=$1 peers
    peers=$(for ((p = 1; p <= ${FLEET_CONTROLLERS:-2}; ++p)); do printf '%s;' "$(controller_address "$p")"; done)
    launch "controller-$i" sequoia-controller "host.id=h$i" "host.data_centre=dc-$i" \
        "controller.listen=$(controller_address "$i")" "controller.peers=$peers"
    register "controller-$i" "{\"id\":\"controller-$i\",\"kind\":\"HOST_KIND_CONTROLLER\",\"state\":\"HOST_STATE_LIVE\",\"address\":\"$(controller_address "$i")\",\"dataCentre\":\"dc-$i\"}"
}

start_router() {
    local i=$1 others
    others=$(for ((p = 1; p <= ${FLEET_CONTROLLERS:-2}; ++p)); do ((p != i)) && printf ';%s' "$(controller_address "$p")"; done)
    launch "router-$i" sequoia-router "host.id=h$i" "host.data_centre=dc-$i" "router.listen=$(router_address "$i")" \
        "router.control_listen=$(router_control_address "$i")" "router.controllers=$(controller_address "$i")$others"
    register "router-$i" "{\"id\":\"router-$i\",\"kind\":\"HOST_KIND_ROUTER\",\"state\":\"HOST_STATE_LIVE\",\"address\":\"$(router_control_address "$i")\",\"dataCentre\":\"dc-$i\"}"
}

# start_server I [override ...]
start_server() {
    local i=$1
    shift
    launch "server-$i" sequoia-server-standin "host.id=server-$i" "host.data_centre=dc-$((i % 3 + 1))" \
        "server_standin.listen=$(server_address "$i")" "server_standin.service=${fleet_services%% *}" \
        "server_standin.register=true" "server_standin.journal=$fleet_dir/server-$i.journal" \
        "server_standin.slots=${FLEET_SLOTS:-8}" "server_standin.connections=120" "$@"
}

# signal NAME SIGNAL: to a process started by launch.
signal() { kill "-$2" "${fleet_pid[$1]}"; }

# end_process NAME: waits for the end of a process and returns its exit code.
end_process() {
    local code=0
    wait "${fleet_pid[$1]}" || code=$?
    unset "fleet_pid[$1]"
    return "$code"
}

fleet_stop() {
    local name
    for name in "${!fleet_pid[@]}"; do
        kill -CONT "${fleet_pid[$name]}" 2>/dev/null
        kill -KILL "${fleet_pid[$name]}" 2>/dev/null
    done
    wait 2>/dev/null
    if [ -n "${FLEET_KEEP:-}" ]; then
        echo "logs are kept in $fleet_dir" >&2
    else
        rm -rf "$fleet_dir"
    fi
}
trap fleet_stop EXIT

routers() { for ((r = 1; r <= $1; ++r)); do printf '%s%s' "${sep:-}" "$(router_address "$r")"; sep=,; done; }
processes() {
    local sep=''
    for ((p = 1; p <= ${FLEET_CONTROLLERS:-2}; ++p)); do
        printf '%s%s,%s' "$sep" "$(controller_address "$p")" "$(router_control_address "$p")"
        sep=,
    done
}

# ctl COMMAND...: sequoiactl on this fleet.
ctl() { "$fleet_bin/sequoiactl" --platform="$platform_address" --processes="$(processes)" "$@"; }

# server_journals COUNT: the journals of servers 1 to COUNT, for sequoia-load.
server_journals() { for ((j = 1; j <= $1; ++j)); do printf '%s%s' "${comma:-}" "$fleet_dir/server-$j.journal"; local comma=,; done; }

# leading_controller: number of the controller that holds the lease of the first service; fails when there is none.
leading_controller() {
    local address
    address=$(ctl status 2>/dev/null | awk -v service="${fleet_services%% *}" '$1 == service && $3 == "holder" { print $2 }')
    [[ $address =~ ^127\.0\.0\.1:([0-9]+)$ ]] || return 1
    echo $((BASH_REMATCH[1] - fleet_port - 50))
}

# witnesses_are_running: the status names each incarnation of a running process and of a witness; when it names no
# more incarnations than processes, every witness runs.
witnesses_are_running() {
    local status
    status=$(ctl status --output=json 2>/dev/null)
    local processes incarnations
    processes=$(grep -c '"program":' <<<"$status")
    incarnations=$(grep -o '"incarnation": *"[0-9a-f]*"' <<<"$status" | sort -u | wc -l)
    ((processes > 0 && incarnations == processes)) || return 1
    ctl status 2>/dev/null | awk -v controllers="${FLEET_CONTROLLERS:-2}" '$3 == "holder" && $NF != controllers { exit 1 }'
}

# fleet_is_settled SERVERS: a controller leads, every witness is a running controller, every slice is active, and
# each of SERVERS servers owns a slice.
fleet_is_settled() {
    leading_controller >/dev/null || return 1
    witnesses_are_running || return 1
    ctl routes "${fleet_services%% *}" 2>/dev/null | awk -v servers="$1" '
        NR > 2 && $3 ~ /^server-/ { owners[$3] = 1; if ($6 != "active") waiting = 1 }
        END { exit waiting || length(owners) != servers }'
}

# show_fleet: the state of the fleet and the last events, for the report of a failure.
show_fleet() {
    ctl status
    ctl routes "${fleet_services%% *}"
    ctl timeline | tail -40
}
