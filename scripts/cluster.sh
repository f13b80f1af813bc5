# Functions that start and stop a local deployment of an example on 127.0.0.1. Sourced by other scripts.
#
# Variables: BUILD_DIR (build directory), RUN_DIR (logs), EXAMPLE (directory of the example), PLATFORM (address),
# ENGINE_OPTIONS, PLATFORM_OPTIONS, SERVICE_OPTIONS (extra arguments of the emulators).

BUILD_DIR=${BUILD_DIR:-build}
RUN_DIR=${RUN_DIR:-$(mktemp -d)}
EXAMPLE=${EXAMPLE:-examples/portmore}
PLATFORM=${PLATFORM:-127.0.0.1:20000}
declare -A PIDS=()

# start <name> <command...>: starts a program in the background and remembers its pid under the name.
start() {
    local name=$1
    shift
    "$@" >>"$RUN_DIR/$name.out" 2>>"$RUN_DIR/$name.log" &
    PIDS[$name]=$!
}

# wait_for_end <pid>: waits for a program that was told to stop. Its status is that of the signal and no failure, which
# the condition keeps from ending a script that runs with "set -e".
wait_for_end() {
    if wait "$1" 2>/dev/null; then return 0; fi
}

# stop <name> [signal]: stops a started program and waits for its end.
stop() {
    local name=$1 signal=${2:-TERM} pid=${PIDS[$1]:-}
    [ -n "$pid" ] || return 0
    kill -"$signal" "$pid" 2>/dev/null || echo "$name had already ended" >&2
    wait_for_end "$pid"
    unset "PIDS[$name]"
}

# Kills all started programs, the daemons first.
stop_all() {
    local name
    for name in "${!PIDS[@]}"; do
        if ! kill -KILL "${PIDS[$name]}" 2>/dev/null; then echo "$name had already ended" >&2; fi
    done
    for name in "${!PIDS[@]}"; do wait_for_end "${PIDS[$name]}"; done
    PIDS=()
}

# wait_for <seconds> <command...>: repeats a command until it succeeds.
wait_for() {
    local deadline=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        if [ "$SECONDS" -ge "$deadline" ]; then
            echo "gave up waiting for: $*" >&2
            return 1
        fi
        sleep 0.1
    done
}

# upstreams: prints "<id> <zone> <port> <version> <capacity> <kind>" for each upstream of the example.
upstreams() {
    awk '/^ *kind:/ { kind = $2 }
        /- \{id:/ { line = $0; gsub(/[{},"]/, " ", line); n = split(line, word, " ")
            for (i = 1; i < n; ++i) value[word[i]] = word[i + 1]
            sub(/.*:/, "", value["address:"])
            print value["id:"], value["zone:"], value["address:"], value["version:"], value["capacity:"], kind }' \
        "$EXAMPLE/configuration.yaml"
}

start_platform() {
    local arguments=(--port "${PLATFORM##*:}") id zone port version capacity kind node
    while read -r id zone port version capacity kind; do
        arguments+=(--host "$id,$zone,gpu-small,reclaimable,upstream,127.0.0.1:$port")
    done < <(upstreams)
    for node in "$EXAMPLE"/node-*.yaml; do
        [ -f "$node" ] || continue
        arguments+=(--host "$(awk '/^node:/{print $2}' "$node"),$(awk '/^zone:/{print $2}' "$node"),entry,on-demand,entry,127.0.0.1:$(awk '/^peer:/{gsub(/[{}]/,""); print $3}' "$node")")
    done
    # shellcheck disable=SC2086
    start platform "$BUILD_DIR/teaselshore-platform" "${arguments[@]}" ${PLATFORM_OPTIONS:-}
}

# start_upstream <id>: starts one upstream of the example.
start_upstream() {
    local id zone port version capacity kind
    while read -r id zone port version capacity kind; do
        [ "$id" = "$1" ] || continue
        if [ "$kind" = engine ]; then
            # shellcheck disable=SC2086
            start "$id" "$BUILD_DIR/teaselshore-engine" --port "$port" --version-name "$version" \
                --max-running "$capacity" ${ENGINE_OPTIONS:-}
        else
            # shellcheck disable=SC2086
            start "$id" "$BUILD_DIR/teaselshore-service" --port "$port" --version-name "$version" \
                --execution-log "$RUN_DIR/$id.executions" ${SERVICE_OPTIONS:-}
        fi
    done < <(upstreams)
}

start_upstreams() {
    local id rest
    while read -r id rest; do start_upstream "$id"; done < <(upstreams)
}

# start_node <number>: starts the daemon of node-<number>.
start_node() { start "node-$1" "$BUILD_DIR/teaselshored" --settings "$EXAMPLE/node-$1.yaml"; }

apply_configuration() {
    "$BUILD_DIR/teaselshorectl" apply "$EXAMPLE/configuration.yaml" --platform "$PLATFORM" "$@"
}

service_addresses() { upstreams | awk '$6 == "plain" { print "127.0.0.1:" $3 }'; }
