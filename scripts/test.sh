#!/usr/bin/env bash
# Formatting, lints and all tests, with the same verdict on every run. Tests that KNOWN-RED.txt lists may fail; they
# are printed.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo fmt --all --check
cargo clippy --workspace --all-targets --quiet -- -D warnings
python3 -B -m unittest discover --quiet --start-directory scripts --pattern 'test_*.py'
exec python3 -B scripts/known_red.py
