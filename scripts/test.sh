#!/usr/bin/env bash
# Formatting, lints, all tests and a short soak of real processes, with the same verdict on every run. Tests that
# KNOWN-RED.txt lists may fail; they are printed.
set -euo pipefail
cd "$(dirname "$0")/.."
# The soak in CI is short, and its seed is always the same; scripts/soak.sh runs longer ones.
SOAK_SEED=29
SOAK_SECONDS=45
cargo fmt --all --check
cargo clippy --workspace --all-targets --quiet -- -D warnings
python3 -B -m unittest discover --quiet --start-directory scripts --pattern 'test_*.py'
python3 -B scripts/known_red.py
SOAK_BUILD=debug scripts/soak.sh --seed "$SOAK_SEED" --seconds "$SOAK_SECONDS"
