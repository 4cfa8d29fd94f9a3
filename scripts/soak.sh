#!/usr/bin/env bash
# Runs gateways and storing nodes as processes under faults drawn by seed, and checks at their callers:
# scripts/soak.sh [--seed S] [--seconds N] [--keep FOLDER]. Without a seed a fresh one is drawn; without
# seconds it runs for a minute. scripts/soak.sh --kept runs the seeds that ever failed (scripts/soak-seeds.txt).
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --quiet --release -p stallmoor
cargo build --quiet --release -p stallmoor-adapter --example soak
binaries="${CARGO_TARGET_DIR:-target}/release"
if [ "${1:-}" = "--kept" ]; then
    status=0
    while read -r seed seconds _; do
        case "$seed" in '' | '#'*) continue ;; esac
        "$binaries/examples/soak" --binary "$binaries/stallmoor" --seed "$seed" --seconds "$seconds" || status=1
    done <scripts/soak-seeds.txt
    exit "$status"
fi
case " $* " in
    *" --seed "*) exec "$binaries/examples/soak" --binary "$binaries/stallmoor" "$@" ;;
    *) exec "$binaries/examples/soak" --binary "$binaries/stallmoor" --seed "$RANDOM$RANDOM" "$@" ;;
esac
