#!/usr/bin/env bash
# Builds stallmoor, starts mock services and three storage nodes on loopback, applies the Tubigwatch set,
# runs one online session and one batch job of 200 items, and stops all processes. Then runs one stream and
# one batch job through the platform's adapter against a mock of that platform. On success the last line
# is "quickstart: ok".
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh
. platform/quickstart.sh

say() { printf '%s\n' "$*"; }
start_ms=$(date +%s%3N)
elapsed_ms() { echo $(($(date +%s%3N) - start_ms)); }

say "building"
cargo build --quiet --release -p stallmoor -p stallmoor-standins
cargo build --quiet --release -p stallmoor-adapter --example standin
BIN_DIR=${CARGO_TARGET_DIR:-target}/release
built_at_ms=$(elapsed_ms)

RUN_DIR=$(mktemp -d)
finish() {
  stop_started
  rm -rf "$RUN_DIR"
}
trap finish EXIT

say "starting mock services and nodes"
start_listening "$RUN_DIR/kv" "$BIN_DIR/stallmoor-standins" kv
kv=$LISTEN_ADDRESS
start_listening "$RUN_DIR/machines" "$BIN_DIR/stallmoor-standins" machines
machines=$LISTEN_ADDRESS
cp -r examples/tubigwatch "$RUN_DIR/set"
for number in $(seq 1 12); do
  name=$(printf 'logger-%02d' "$number")
  start_listening "$RUN_DIR/$name" "$BIN_DIR/stallmoor-standins" engine --seed "$number"
  # The set has fixed ports; replace them with the ports the engines are bound to.
  sed -i "s/127.0.0.1:$((17300 + number))\"/$LISTEN_ADDRESS\"/" "$RUN_DIR/set/machines.toml"
  curl -s -X POST "http://$machines/v1/machines" -d "{\"name\":\"$name\",\"incarnation\":1,\"state\":\"live\"}"
done
nodes=()
seeds=""
for zone in cebu-a mandaue-b lapu-c; do
  number=$((${#nodes[@]} + 1))
  start_node "$RUN_DIR" "$number" "$zone" "$seeds" "$kv" "$machines" "$RUN_DIR/data-$number"
  nodes+=("$BOUND_CALLER_ADDRESS")
  seeds="${seeds:+$seeds, }\"$BOUND_PEER_ADDRESS\""
done
say "applying examples/tubigwatch"
"$BIN_DIR/stallmoor" apply "$RUN_DIR/set" --node "${nodes[0]}" --wait
for node in "${nodes[@]}"; do wait_ready "$node"; done
started_at_ms=$(elapsed_ms)

say "one online session of two turns on two nodes"
for turn in 0 1; do
  curl -sS -N "http://${nodes[$turn]}/v1/chat/completions" \
    -H 'content-type: application/json' -H 'stallmoor-tenant: control-room' -H 'stallmoor-session: desk-4' \
    -d "{\"model\":\"logger-7b\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Pressure in district 7, turn $turn?\"}]}" \
    >"$RUN_DIR/turn-$turn"
  grep -q '^data: \[DONE\]' "$RUN_DIR/turn-$turn" || { cat "$RUN_DIR/turn-$turn"; exit 1; }
  say "  turn $turn: $(head -1 "$RUN_DIR/turn-$turn" | cut -c1-110)"
done
request=$(sed -n 's/.*"id":"\(request-[^"]*\)".*/\1/p' "$RUN_DIR/turn-1" | head -1)
"$BIN_DIR/stallmoor" explain "$request" --node "${nodes[1]}" | head -12
served_at_ms=$(elapsed_ms)

say "one batch job of 200 items"
for item in $(seq 1 200); do
  printf '{"custom_id":"district-%s","prompt":"Sweep district %s for pressure drops."}\n' "$item" "$item"
done >"$RUN_DIR/sweep.jsonl"
job=$("$BIN_DIR/stallmoor" batch submit "$RUN_DIR/sweep.jsonl" --tenant burst-sweep --model logger-7b --key sweep-1 \
  --wait --node "${nodes[1]}" --output json)
id=$(sed -n 's/.*"id":"\(job-[^"]*\)".*/\1/p' <<<"$job")
"$BIN_DIR/stallmoor" batch status "$id" --node "${nodes[2]}"
"$BIN_DIR/stallmoor" batch results "$id" --node "${nodes[2]}" --to "$RUN_DIR/results.jsonl"
say "  first result: $(head -1 "$RUN_DIR/results.jsonl" | cut -c1-110)"
results=$(wc -l <"$RUN_DIR/results.jsonl")
distinct=$(sed 's/.*"custom_id":"\([^"]*\)".*/\1/' "$RUN_DIR/results.jsonl" | sort -u | wc -l)
say "  results: $results, distinct items: $distinct"
[ "$results" = 200 ] && [ "$distinct" = 200 ]
batched_at_ms=$(elapsed_ms)

"$BIN_DIR/stallmoor" status --node "${nodes[0]}"
say "stopping"
stop_started
stopped_at_ms=$(elapsed_ms)

say "one stream and one batch job through the platform's adapter, against a mock platform"
start_listening "$RUN_DIR/platform" "$BIN_DIR/examples/standin"
platform=$LISTEN_ADDRESS
start_gateway_or_storage "$RUN_DIR" gateway gateway "$platform"
gateway=$GATEWAY_ADDRESS
for number in 1 2 3; do start_gateway_or_storage "$RUN_DIR" storage "storage-$number" "$platform"; done
wait_ready "$GATEWAY_READINESS_ADDRESS"
send_adapter_requests "$gateway" "$RUN_DIR"
stop_started
adapted_at_ms=$(elapsed_ms)
say "time: build $built_at_ms ms, start $((started_at_ms - built_at_ms)) ms, online $((served_at_ms - started_at_ms)) ms," \
  "batch $((batched_at_ms - served_at_ms)) ms, stop $((stopped_at_ms - batched_at_ms)) ms, adapter $((adapted_at_ms - stopped_at_ms)) ms"
say "quickstart: ok"
