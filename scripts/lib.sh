# Shared by the scripts: starting stand-ins and nodes on loopback, and ending just those.
# shellcheck shell=bash

STARTED=()
LISTENING=""

# start_listening LOG COMMAND...: starts a stand-in and sets LISTENING to the address it prints.
start_listening() {
  local log=$1
  shift
  # The started process may not have made its file yet when it is first read.
  : >"$log"
  "$@" >"$log" 2>"$log.err" &
  STARTED+=($!)
  for _ in $(seq 1 200); do
    LISTENING=$(sed -n 's/^listening on //p' "$log")
    [ -n "$LISTENING" ] && return 0
    sleep 0.05
  done
  echo "no address from: $*" >&2
  cat "$log.err" >&2
  return 1
}

# start_node FOLDER NUMBER ZONE SEED KV MACHINES [DATA_FOLDER]: writes settings and starts a node on
# free ports; sets NODE_CALLERS and NODE_PEERS, and NODE_PID.
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
  "$BIN/stallmoor" node --settings "$settings" >"$log" 2>"$log.err" &
  NODE_PID=$!
  STARTED+=("$NODE_PID")
  for _ in $(seq 1 400); do
    NODE_CALLERS=$(sed -n 's/^callers \(.*\) peers .*/\1/p' "$log")
    NODE_PEERS=$(sed -n 's/^callers .* peers \(.*\)/\1/p' "$log")
    [ -n "$NODE_CALLERS" ] && return 0
    kill -0 "$NODE_PID" 2>/dev/null || break
    sleep 0.05
  done
  echo "node $number did not start" >&2
  cat "$log.err" >&2
  return 1
}

# free_port: prints a port of the loopback device that is free now.
free_port() {
  python3 -c 'import socket; s = socket.socket(); s.bind(("127.0.0.1", 0)); print(s.getsockname()[1])'
}

# start_serving FOLDER ROLE NAME STORE: writes settings and starts a gateway or storing node on free
# ports; for a gateway sets SERVING to the callers' address and SERVING_READINESS.
start_serving() {
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
      SERVING="127.0.0.1:$(free_port)"
      SERVING_READINESS="127.0.0.1:$(free_port)"
      echo "callers = \"$SERVING\""
      echo "readiness = \"$SERVING_READINESS\""
    fi
    echo "[metadata]"
    echo "address = \"$store\""
  } >"$settings"
  "$BIN/stallmoor" "$role" --settings "$settings" >"$folder/$name.out" 2>"$folder/$name.err" &
  STARTED+=("$!")
}

# wait_ready ADDRESS: waits until a node takes requests.
wait_ready() {
  for _ in $(seq 1 300); do
    [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$1/readyz")" = 200 ] && return 0
    sleep 0.1
  done
  echo "node at $1 did not become ready" >&2
  return 1
}

# stop_started: ends what this script started, the latest first, and waits for it.
stop_started() {
  local place
  for ((place = ${#STARTED[@]} - 1; place >= 0; place--)); do
    kill "${STARTED[$place]}" 2>/dev/null || true
    wait "${STARTED[$place]}" 2>/dev/null || true
  done
  STARTED=()
}
