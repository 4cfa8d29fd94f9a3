#!/usr/bin/env bash
# Checks formatting and lints, runs all tests, and runs short soak tests and a short day of real processes with fixed seeds.
# Tests listed in KNOWN-RED.txt may fail; they are printed.
set -euo pipefail
cd "$(dirname "$0")/.."
# Short soaks with fixed seeds, for reproducible CI runs. For other seeds and durations use scripts/soak.sh.
SOAK_SEED=29
SOAK_SECONDS=45
# Crashes under the same items need more workers, and no other faults that crash them.
CRASHES_SEED=104
CRASHES_SECONDS=20
CRASHES_WORKERS=12
# A day on which a machine is emptied, another loses its disk, and all lose power.
DAY_SEED=5
cargo fmt --all --check
cargo clippy --workspace --all-targets --quiet -- -D warnings
python3 -B -m unittest discover --quiet --start-directory scripts --pattern 'test_*.py'
python3 -B scripts/known_red.py
SOAK_BUILD=debug scripts/soak.sh --seed "$SOAK_SEED" --seconds "$SOAK_SECONDS"
SOAK_BUILD=debug scripts/soak.sh --seed "$CRASHES_SEED" --seconds "$CRASHES_SECONDS" --workers "$CRASHES_WORKERS" --without others
DAYS_BUILD=debug scripts/days.sh platform/examples/days/small.toml emptied-and-wiped --seed "$DAY_SEED"
