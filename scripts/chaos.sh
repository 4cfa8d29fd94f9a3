#!/usr/bin/env bash
# Starts stand-ins and five nodes as processes, sends online and batch load, breaks things, and checks at
# the client: scripts/chaos.sh --seed S --minutes M. Exits 0 if nothing was violated.
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
pick() { echo $((RANDOM % $1)); }

cargo build --quiet --release -p stallmoor -p stallmoor-standins -p stallmoor-bench
BIN=${CARGO_TARGET_DIR:-target}/release
RUN=$(mktemp -d)
finish() {
  local process
  # A paused process can't be ended before it goes on.
  for process in "${STARTED[@]}"; do kill -CONT "$process" 2>/dev/null || true; done
  stop_started
  rm -rf "$RUN"
}
trap finish EXIT

start_listening "$RUN/kv" "$BIN/stallmoor-standins" kv --calls-per-second 60
kv=$LISTENING
start_listening "$RUN/machines" "$BIN/stallmoor-standins" machines
machines=$LISTENING
cp -r examples/tubigwatch "$RUN/set"

engine_addresses=()
engine_processes=()
engine_incarnations=()
# start_engine NUMBER ADDRESS: starts an engine whose count of runs outlives it.
start_engine() {
  local number=$1 address=$2 name incarnation
  name=$(printf 'logger-%02d' $((number + 1)))
  incarnation=$((${engine_incarnations[$number]:-0} + 1))
  engine_incarnations[number]=$incarnation
  start_listening "$RUN/$name" "$BIN/stallmoor-standins" engine --listen "$address" --seed $((seed * 100 + number)) \
    --incarnation "$incarnation" --runs-file "$RUN/$name.runs"
  engine_addresses[number]=$LISTENING
  engine_processes[number]=${STARTED[-1]}
  curl -s -X POST "http://$machines/v1/machines" -d "{\"name\":\"$name\",\"incarnation\":$incarnation,\"state\":\"live\"}"
}
for number in $(seq 0 11); do
  start_engine "$number" 127.0.0.1:0
  sed -i "s/127.0.0.1:$((17301 + number))\"/${engine_addresses[$number]}\"/" "$RUN/set/machines.toml"
done

zones=(cebu-a mandaue-b lapu-c cebu-a mandaue-b)
callers=()
peers=()
processes=()
# boot_node NUMBER: starts a node, the second time at its first addresses.
boot_node() {
  local number=$1 seeds=""
  local peer
  for peer in "${peers[@]}"; do seeds="${seeds:+$seeds, }\"$peer\""; done
  NODE_PEER_ADDRESS=${peers[$number]:-127.0.0.1:0} NODE_CALLER_ADDRESS=${callers[$number]:-127.0.0.1:0} \
    start_node "$RUN" "$number" "${zones[$number]}" "$seeds" "$kv" "$machines" "$RUN/data-$number"
  callers[number]=$NODE_CALLERS
  peers[number]=$NODE_PEERS
  processes[number]=$NODE_PID
}
for number in 0 1 2 3 4; do boot_node "$number"; done
"$BIN/stallmoor" apply "$RUN/set" --node "${callers[0]}" --wait
for caller in "${callers[@]}"; do wait_ready "$caller"; done

arguments=()
for caller in "${callers[@]}"; do arguments+=(--node "$caller"); done
for number in $(seq 1 12); do
  arguments+=(--runs-file "$RUN/$(printf 'logger-%02d' "$number").runs")
done
seconds=$((minutes * 60))
"$BIN/stallmoor-bench" chaos "${arguments[@]}" --seconds "$seconds" --seed "$seed" >"$RUN/verdict" 2>"$RUN/verdict.err" &
client=$!
STARTED+=("$client")

declare -A injected
inject() { injected[$1]=$((${injected[$1]:-0} + 1)); }
fault() { curl -s -m 5 -X POST "http://$1/fault" -d "$2" >/dev/null || true; }
# end_node NUMBER: kills a node at once.
end_node() {
  kill -KILL "${processes[$1]}" 2>/dev/null || true
  wait "${processes[$1]}" 2>/dev/null || true
}
last_wipe=0

ends=$(($(date +%s) + seconds - 5))
while [ "$(date +%s)" -lt "$ends" ]; do
  sleep "$((1 + $(pick 3)))"
  node=$(pick 5)
  engine=$(pick 12)
  case $(pick 11) in
    0 | 1)
      inject kill_node
      end_node "$node"
      sleep "$(pick 4)"
      boot_node "$node"
      ;;
    2 | 3)
      inject pause_node
      kill -STOP "${processes[$node]}"
      sleep "$((1 + $(pick 5)))"
      kill -CONT "${processes[$node]}"
      ;;
    4)
      # Three copies bear one lost disk at a time: the next only after time to repair.
      if [ $(($(date +%s) - last_wipe)) -ge 45 ]; then
        inject empty_data_folder
        last_wipe=$(date +%s)
        end_node "$node"
        rm -rf "$RUN/data-$node"
        boot_node "$node"
      fi
      ;;
    5)
      inject planned_stop
      kill -TERM "${processes[$node]}"
      wait "${processes[$node]}" || true
      boot_node "$node"
      ;;
    6) inject key_value_outage; fault "$kv" '{"outage":true,"calls_per_second":60}' ;;
    7) inject key_value_lost_answers; fault "$kv" '{"lost_answers":0.5,"slow_ms":300,"calls_per_second":60}' ;;
    8) inject key_value_stale; fault "$kv" '{"stale_reads":0.5,"calls_per_second":60}' ;;
    9)
      inject kill_engine
      kill -KILL "${engine_processes[$engine]}" 2>/dev/null || true
      wait "${engine_processes[$engine]}" 2>/dev/null || true
      sleep "$(pick 3)"
      start_engine "$engine" "${engine_addresses[$engine]}"
      ;;
    10)
      inject engine_answers_badly
      fault "${engine_addresses[$engine]}" '{"truncated":0.2,"doubled":0.3,"crossed":0.3}'
      ;;
  esac
  if [ "$(pick 3)" = 0 ]; then fault "$kv" '{"calls_per_second":60}'; fi
done
fault "$kv" '{"calls_per_second":60}'
for address in "${engine_addresses[@]}"; do fault "$address" '{}'; done

status=0
wait "$client" || status=$?
cat "$RUN/verdict"
cat "$RUN/verdict.err" >&2
for kind in "${!injected[@]}"; do echo "injected $kind: ${injected[$kind]}"; done | sort
if [ "$status" = 0 ]; then echo "chaos: ok"; else echo "chaos: violated"; fi
exit "$status"
