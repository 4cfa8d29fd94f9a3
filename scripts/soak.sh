#!/usr/bin/env bash
# Runs gateways and storage nodes as processes, injects faults chosen by a seeded generator, and checks the results seen
# by callers and workers.
#
# Usage: scripts/soak.sh [--seed S] [--seconds N] [--gateways N] [--storage N] [--workers N] [--left-out N]
#                        [--keep FOLDER]
#                        [--without others|releases|endless|item-crashes|joins|odd-records|truncation|stops|trickles|
#                                   late-workers|power|closings]...
#        scripts/soak.sh --kept
#
# The seed defaults to a random one, the duration to one minute. --without leaves out releases while all gateways are
# killed, workers that respond without end, crashes under the same items, versions that join while a gateway is out of
# step, odd records, responses that stop midway, planned stops of gateways, clients of those that send their requests in
# halves, a batch service whose workers join late, all processes that lose power at once, the same while the fleet is in an
# odd state, or all other faults. --kept reruns the seeds that failed in the past (scripts/soak-seeds.txt). --left-out keeps
# N storage nodes from the store from the second loss of power to the end: silent with an even seed, reset with an odd one.
# SOAK_BUILD=debug uses the binaries built by `cargo test` instead of building release ones.
set -euo pipefail
cd "$(dirname "$0")/.."
profile="${SOAK_BUILD:-release}"
if [ "$profile" = release ]; then
    cargo build --quiet --release -p stallmoor
    cargo build --quiet --release -p stallmoor-adapter --example soak
fi
bin_dir="${CARGO_TARGET_DIR:-target}/$profile"
run_soak() { "$bin_dir/examples/soak" --binary "$bin_dir/stallmoor" "$@"; }
if [ "${1:-}" = "--kept" ]; then
    status=0
    while read -r seed seconds _; do
        case "$seed" in '' | '#'*) continue ;; esac
        run_soak --seed "$seed" --seconds "$seconds" || status=1
    done <scripts/soak-seeds.txt
    exit "$status"
fi
case " $* " in
    *" --seed "*) run_soak "$@" ;;
    *) run_soak --seed "$RANDOM$RANDOM" "$@" ;;
esac
