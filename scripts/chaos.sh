#!/usr/bin/env bash
# Starts mock services and five nodes, sends online and batch load, injects faults, and checks the results
# received by the load generator. Exits with 0 if no check failed.
#
# Usage: scripts/chaos.sh [--seed S] [--minutes M]
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh

seed=1
minutes=1
while [ $# -gt 0 ]; do
  case $1 in
    --seed) seed=$2; shift 2 ;;
    --minutes) minutes=$2; shift 2 ;;
    *) echo "usage: scripts/chaos.sh [--seed S] [--minutes M]" >&2; exit 2 ;;
  esac
done
RANDOM=$seed
random_below() { echo $((RANDOM % $1)); }

cargo build --quiet --release -p stallmoor -p stallmoor-standins -p stallmoor-bench
BIN_DIR=${CARGO_TARGET_DIR:-target}/release
RUN_DIR=$(mktemp -d)
finish() {
  local pid
  # A stopped process does not handle SIGTERM until it is continued.
  for pid in "${STARTED_PIDS[@]}"; do kill -CONT "$pid" 2>/dev/null || true; done
  stop_started
  rm -rf "$RUN_DIR"
}
trap finish EXIT

start_listening "$RUN_DIR/kv" "$BIN_DIR/stallmoor-standins" kv --calls-per-second 60
kv=$LISTEN_ADDRESS
start_listening "$RUN_DIR/machines" "$BIN_DIR/stallmoor-standins" machines
machines=$LISTEN_ADDRESS
cp -r examples/tubigwatch "$RUN_DIR/set"

engine_addresses=()
engine_pids=()
engine_incarnations=()
# start_engine NUMBER ADDRESS: starts an engine that stores its run counts in a file, so they survive a restart.
start_engine() {
  local number=$1 address=$2 name incarnation
  name=$(printf 'logger-%02d' $((number + 1)))
  incarnation=$((${engine_incarnations[$number]:-0} + 1))
  engine_incarnations[number]=$incarnation
  start_listening "$RUN_DIR/$name" "$BIN_DIR/stallmoor-standins" engine --listen "$address" --seed $((seed * 100 + number)) \
    --incarnation "$incarnation" --runs-file "$RUN_DIR/$name.runs"
  engine_addresses[number]=$LISTEN_ADDRESS
  engine_pids[number]=${STARTED_PIDS[-1]}
  curl -s -X POST "http://$machines/v1/machines" -d "{\"name\":\"$name\",\"incarnation\":$incarnation,\"state\":\"live\"}"
}
for number in $(seq 0 11); do
  start_engine "$number" 127.0.0.1:0
  sed -i "s/127.0.0.1:$((17301 + number))\"/${engine_addresses[$number]}\"/" "$RUN_DIR/set/machines.toml"
done

zones=(cebu-a mandaue-b lapu-c cebu-a mandaue-b)
caller_addresses=()
peer_addresses=()
node_pids=()
# start_or_restart_node NUMBER: starts a node. A restart reuses the addresses of the first start.
start_or_restart_node() {
  local number=$1 seeds=""
  local peer_address
  for peer_address in "${peer_addresses[@]}"; do seeds="${seeds:+$seeds, }\"$peer_address\""; done
  NODE_PEER_ADDRESS=${peer_addresses[$number]:-127.0.0.1:0} NODE_CALLER_ADDRESS=${caller_addresses[$number]:-127.0.0.1:0} \
    start_node "$RUN_DIR" "$number" "${zones[$number]}" "$seeds" "$kv" "$machines" "$RUN_DIR/data-$number"
  caller_addresses[number]=$BOUND_CALLER_ADDRESS
  peer_addresses[number]=$BOUND_PEER_ADDRESS
  node_pids[number]=$NODE_PID
}
for number in 0 1 2 3 4; do start_or_restart_node "$number"; done
"$BIN_DIR/stallmoor" apply "$RUN_DIR/set" --node "${caller_addresses[0]}" --wait
for caller_address in "${caller_addresses[@]}"; do wait_ready "$caller_address"; done

arguments=()
for caller_address in "${caller_addresses[@]}"; do arguments+=(--node "$caller_address"); done
for number in $(seq 1 12); do
  arguments+=(--runs-file "$RUN_DIR/$(printf 'logger-%02d' "$number").runs")
done
seconds=$((minutes * 60))
"$BIN_DIR/stallmoor-bench" chaos "${arguments[@]}" --seconds "$seconds" --seed "$seed" >"$RUN_DIR/result" 2>"$RUN_DIR/result.err" &
client_pid=$!
STARTED_PIDS+=("$client_pid")

declare -A injected
inject() { injected[$1]=$((${injected[$1]:-0} + 1)); }
set_faults() { curl -s -m 5 -X POST "http://$1/fault" -d "$2" >/dev/null || true; }
# kill_node NUMBER: sends SIGKILL to a node and waits for it to exit.
kill_node() {
  kill -KILL "${node_pids[$1]}" 2>/dev/null || true
  wait "${node_pids[$1]}" 2>/dev/null || true
}
last_wipe_s=0

faults_end_s=$(($(date +%s) + seconds - 5))
while [ "$(date +%s)" -lt "$faults_end_s" ]; do
  sleep "$((1 + $(random_below 3)))"
  node=$(random_below 5)
  engine=$(random_below 12)
  case $(random_below 11) in
    0 | 1)
      inject kill_node
      kill_node "$node"
      sleep "$(random_below 4)"
      start_or_restart_node "$node"
      ;;
    2 | 3)
      inject pause_node
      kill -STOP "${node_pids[$node]}"
      sleep "$((1 + $(random_below 5)))"
      kill -CONT "${node_pids[$node]}"
      ;;
    4)
      # Three replicas tolerate one lost disk at a time, so leave time for repair before the next.
      if [ $(($(date +%s) - last_wipe_s)) -ge 45 ]; then
        inject empty_data_folder
        last_wipe_s=$(date +%s)
        kill_node "$node"
        rm -rf "$RUN_DIR/data-$node"
        start_or_restart_node "$node"
      fi
      ;;
    5)
      inject planned_stop
      kill -TERM "${node_pids[$node]}"
      wait "${node_pids[$node]}" || true
      start_or_restart_node "$node"
      ;;
    6) inject key_value_outage; set_faults "$kv" '{"outage":true,"calls_per_second":60}' ;;
    7) inject key_value_lost_answers; set_faults "$kv" '{"lost_answers":0.5,"slow_ms":300,"calls_per_second":60}' ;;
    8) inject key_value_stale; set_faults "$kv" '{"stale_reads":0.5,"calls_per_second":60}' ;;
    9)
      inject kill_engine
      kill -KILL "${engine_pids[$engine]}" 2>/dev/null || true
      wait "${engine_pids[$engine]}" 2>/dev/null || true
      sleep "$(random_below 3)"
      start_engine "$engine" "${engine_addresses[$engine]}"
      ;;
    10)
      inject engine_answers_badly
      set_faults "${engine_addresses[$engine]}" '{"truncated":0.2,"doubled":0.3,"crossed":0.3}'
      ;;
  esac
  if [ "$(random_below 3)" = 0 ]; then set_faults "$kv" '{"calls_per_second":60}'; fi
done
set_faults "$kv" '{"calls_per_second":60}'
for address in "${engine_addresses[@]}"; do set_faults "$address" '{}'; done

status=0
wait "$client_pid" || status=$?
cat "$RUN_DIR/result"
cat "$RUN_DIR/result.err" >&2
for kind in "${!injected[@]}"; do echo "injected $kind: ${injected[$kind]}"; done | sort
if [ "$status" = 0 ]; then echo "chaos: ok"; else echo "chaos: violated"; fi
exit "$status"
