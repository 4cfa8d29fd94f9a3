# Shared functions that start mock services and nodes on loopback and stop the processes they started.
# shellcheck shell=bash

STARTED_PIDS=()
LISTEN_ADDRESS=""

# start_listening LOG COMMAND...: starts a mock service and sets LISTEN_ADDRESS to the address it prints.
start_listening() {
  local log=$1
  shift
  # Create the log first, so that reading it does not fail before the background process opens it.
  : >"$log"
  "$@" >"$log" 2>"$log.err" &
  STARTED_PIDS+=($!)
  for _ in $(seq 1 200); do
    LISTEN_ADDRESS=$(sed -n 's/^listening on //p' "$log")
    [ -n "$LISTEN_ADDRESS" ] && return 0
    sleep 0.05
  done
  echo "no listen address printed by: $*" >&2
  cat "$log.err" >&2
  return 1
}

# start_node FOLDER NUMBER ZONE SEEDS KV MACHINES [DATA_FOLDER]: writes the settings file and starts a node,
# on free ports unless NODE_PEER_ADDRESS and NODE_CALLER_ADDRESS are set. Sets NODE_PID and the bound
# addresses, BOUND_CALLER_ADDRESS and BOUND_PEER_ADDRESS.
start_node() {
  local folder=$1 number=$2 zone=$3 seeds=$4 kv=$5 machines=$6 data=${7:-}
  local settings="$folder/node-$number.toml" log="$folder/node-$number.out"
  {
    echo "[node]"
    echo "zone = \"$zone\""
    echo "peer_address = \"${NODE_PEER_ADDRESS:-127.0.0.1:0}\""
    echo "caller_address = \"${NODE_CALLER_ADDRESS:-127.0.0.1:0}\""
    echo "seeds = [$seeds]"
    [ -n "$data" ] && echo "data_folder = \"$data\""
    echo
    echo "[platform]"
    echo "key_value = \"$kv\""
    echo "machine_list = \"$machines\""
    echo
    echo "[log]"
    echo "file = \"$folder/node-$number.log\""
  } >"$settings"
  : >"$log"
  "$BIN_DIR/stallmoor" node --settings "$settings" >"$log" 2>"$log.err" &
  NODE_PID=$!
  STARTED_PIDS+=("$NODE_PID")
  for _ in $(seq 1 400); do
    BOUND_CALLER_ADDRESS=$(sed -n 's/^callers \(.*\) peers .*/\1/p' "$log")
    BOUND_PEER_ADDRESS=$(sed -n 's/^callers .* peers \(.*\)/\1/p' "$log")
    [ -n "$BOUND_CALLER_ADDRESS" ] && return 0
    kill -0 "$NODE_PID" 2>/dev/null || break
    sleep 0.05
  done
  echo "node $number did not start" >&2
  cat "$log.err" >&2
  return 1
}

# free_port: prints a TCP port that is currently free on loopback.
free_port() {
  python3 -c 'import socket; s = socket.socket(); s.bind(("127.0.0.1", 0)); print(s.getsockname()[1])'
}

# start_gateway_or_storage FOLDER ROLE NAME STORE: writes the settings file and starts a gateway or
# storage node on free ports. For a gateway, sets GATEWAY_ADDRESS (client requests) and GATEWAY_READINESS_ADDRESS.
start_gateway_or_storage() {
  local folder=$1 role=$2 name=$3 store=$4
  local settings="$folder/$name.toml"
  {
    echo "[node]"
    echo "name = \"$name\""
    echo "zone = \"zone-a\""
    echo "address = \"127.0.0.1\""
    [ "$role" = storage ] && echo "data_folder = \"$folder/$name\""
    echo "[listen]"
    echo "peer_port = $(free_port)"
    if [ "$role" = gateway ]; then
      GATEWAY_ADDRESS="127.0.0.1:$(free_port)"
      GATEWAY_READINESS_ADDRESS="127.0.0.1:$(free_port)"
      echo "callers = \"$GATEWAY_ADDRESS\""
      echo "readiness = \"$GATEWAY_READINESS_ADDRESS\""
    fi
    echo "[metadata]"
    echo "address = \"$store\""
  } >"$settings"
  "$BIN_DIR/stallmoor" "$role" --settings "$settings" >"$folder/$name.out" 2>"$folder/$name.err" &
  STARTED_PIDS+=("$!")
}

# wait_ready ADDRESS: waits until /readyz of a node returns 200.
wait_ready() {
  for _ in $(seq 1 300); do
    [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$1/readyz")" = 200 ] && return 0
    sleep 0.1
  done
  echo "node at $1 did not become ready" >&2
  return 1
}

# stop_started: stops the processes started by this script in reverse order and waits for them to exit.
stop_started() {
  local index
  for ((index = ${#STARTED_PIDS[@]} - 1; index >= 0; index--)); do
    kill "${STARTED_PIDS[$index]}" 2>/dev/null || true
    wait "${STARTED_PIDS[$index]}" 2>/dev/null || true
  done
  STARTED_PIDS=()
}
