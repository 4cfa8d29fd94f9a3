#!/usr/bin/env bash
# Builds stallmoor, starts stand-ins and three storing nodes on loopback, applies the Tubigwatch set,
# serves one online session and one batch job of 200 items, and stops everything; then serves one stream
# and one batch job through the platform's adapter, before a stand-in of that platform. The last line is
# "quickstart: ok".
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh
. platform/quickstart.sh

say() { printf '%s\n' "$*"; }
began=$(date +%s%3N)
since() { echo $(($(date +%s%3N) - began)); }

say "building"
cargo build --quiet --release -p stallmoor -p stallmoor-standins
cargo build --quiet --release -p stallmoor-adapter --example standin
BIN=${CARGO_TARGET_DIR:-target}/release
built=$(since)

RUN=$(mktemp -d)
finish() {
  stop_started
  rm -rf "$RUN"
}
trap finish EXIT

say "starting stand-ins and nodes"
start_listening "$RUN/kv" "$BIN/stallmoor-standins" kv
kv=$LISTENING
start_listening "$RUN/machines" "$BIN/stallmoor-standins" machines
machines=$LISTENING
cp -r examples/tubigwatch "$RUN/set"
for number in $(seq 1 12); do
  name=$(printf 'logger-%02d' "$number")
  start_listening "$RUN/$name" "$BIN/stallmoor-standins" engine --seed "$number"
  # The set names fixed ports; here each engine takes a free one.
  sed -i "s/127.0.0.1:$((17300 + number))\"/$LISTENING\"/" "$RUN/set/machines.toml"
  curl -s -X POST "http://$machines/v1/machines" -d "{\"name\":\"$name\",\"incarnation\":1,\"state\":\"live\"}"
done
nodes=()
seeds=""
for zone in cebu-a mandaue-b lapu-c; do
  number=$((${#nodes[@]} + 1))
  start_node "$RUN" "$number" "$zone" "$seeds" "$kv" "$machines" "$RUN/data-$number"
  nodes+=("$NODE_CALLERS")
  seeds="${seeds:+$seeds, }\"$NODE_PEERS\""
done
say "applying examples/tubigwatch"
"$BIN/stallmoor" apply "$RUN/set" --node "${nodes[0]}" --wait
for node in "${nodes[@]}"; do wait_ready "$node"; done
started=$(since)

say "one online session of two turns, at two nodes"
for turn in 0 1; do
  curl -sS -N "http://${nodes[$turn]}/v1/chat/completions" \
    -H 'content-type: application/json' -H 'stallmoor-tenant: control-room' -H 'stallmoor-session: desk-4' \
    -d "{\"model\":\"logger-7b\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Pressure in district 7, turn $turn?\"}]}" \
    >"$RUN/turn-$turn"
  grep -q '^data: \[DONE\]' "$RUN/turn-$turn" || { cat "$RUN/turn-$turn"; exit 1; }
  say "  turn $turn: $(head -1 "$RUN/turn-$turn" | cut -c1-110)"
done
request=$(sed -n 's/.*"id":"\(request-[^"]*\)".*/\1/p' "$RUN/turn-1" | head -1)
"$BIN/stallmoor" explain "$request" --node "${nodes[1]}" | head -12
served=$(since)

say "one batch job of 200 items"
for item in $(seq 1 200); do
  printf '{"custom_id":"district-%s","prompt":"Sweep district %s for pressure drops."}\n' "$item" "$item"
done >"$RUN/sweep.jsonl"
job=$("$BIN/stallmoor" batch submit "$RUN/sweep.jsonl" --tenant burst-sweep --model logger-7b --key sweep-1 \
  --wait --node "${nodes[1]}" --output json)
id=$(sed -n 's/.*"id":"\(job-[^"]*\)".*/\1/p' <<<"$job")
"$BIN/stallmoor" batch status "$id" --node "${nodes[2]}"
"$BIN/stallmoor" batch results "$id" --node "${nodes[2]}" --to "$RUN/results.jsonl"
say "  first result: $(head -1 "$RUN/results.jsonl" | cut -c1-110)"
results=$(wc -l <"$RUN/results.jsonl")
distinct=$(sed 's/.*"custom_id":"\([^"]*\)".*/\1/' "$RUN/results.jsonl" | sort -u | wc -l)
say "  results: $results, distinct items: $distinct"
[ "$results" = 200 ] && [ "$distinct" = 200 ]
batched=$(since)

"$BIN/stallmoor" status --node "${nodes[0]}"
say "stopping"
stop_started
stopped=$(since)

say "the platform's adapter: one stream and one batch job before its stand-in"
start_listening "$RUN/platform" "$BIN/examples/standin"
platform=$LISTENING
start_serving "$RUN" gateway gateway "$platform"
gateway=$SERVING
for number in 1 2 3; do start_serving "$RUN" storage "storage-$number" "$platform"; done
wait_ready "$SERVING_READINESS"
serve_through_adapter "$gateway" "$RUN"
stop_started
adapted=$(since)
say "time: build $built ms, start $((started - built)) ms, online $((served - started)) ms," \
  "batch $((batched - served)) ms, stop $((stopped - batched)) ms, adapter $((adapted - stopped)) ms"
say "quickstart: ok"
