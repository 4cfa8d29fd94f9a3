#!/usr/bin/env bash
# Runs gateways and storing nodes as processes under faults drawn by seed, and checks at their callers and workers:
# scripts/soak.sh [--seed S] [--seconds N] [--gateways N] [--storage N] [--workers N] [--keep FOLDER]. Without a seed a fresh
# one is drawn; without seconds it runs for a minute. scripts/soak.sh --kept runs the seeds that ever failed
# (scripts/soak-seeds.txt). SOAK_BUILD=debug runs what `cargo test` has built, and builds nothing.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${SOAK_BUILD:-release}"
if [ "$build" = release ]; then
    cargo build --quiet --release -p stallmoor
    cargo build --quiet --release -p stallmoor-adapter --example soak
fi
binaries="${CARGO_TARGET_DIR:-target}/$build"
soak() { "$binaries/examples/soak" --binary "$binaries/stallmoor" "$@"; }
if [ "${1:-}" = "--kept" ]; then
    status=0
    while read -r seed seconds _; do
        case "$seed" in '' | '#'*) continue ;; esac
        soak --seed "$seed" --seconds "$seconds" || status=1
    done <scripts/soak-seeds.txt
    exit "$status"
fi
case " $* " in
    *" --seed "*) soak "$@" ;;
    *) soak --seed "$RANDOM$RANDOM" "$@" ;;
esac
