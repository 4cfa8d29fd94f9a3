#!/usr/bin/env bash
# Checks formatting and lints, runs all tests, and runs a short soak test of real processes with a fixed seed. Tests
# listed in KNOWN-RED.txt may fail; they are printed.
set -euo pipefail
cd "$(dirname "$0")/.."
# Short soaks with fixed seeds, for reproducible CI runs. For other seeds and durations use scripts/soak.sh.
SOAK_SEED=29
SOAK_SECONDS=45
# Crashes under the same items need more workers, and no other faults that crash them.
CRASHES_SEED=104
CRASHES_SECONDS=20
CRASHES_WORKERS=12
cargo fmt --all --check
cargo clippy --workspace --all-targets --quiet -- -D warnings
python3 -B -m unittest discover --quiet --start-directory scripts --pattern 'test_*.py'
python3 -B scripts/known_red.py
SOAK_BUILD=debug scripts/soak.sh --seed "$SOAK_SEED" --seconds "$SOAK_SECONDS"
SOAK_BUILD=debug scripts/soak.sh --seed "$CRASHES_SEED" --seconds "$CRASHES_SECONDS" --workers "$CRASHES_WORKERS" --without others
