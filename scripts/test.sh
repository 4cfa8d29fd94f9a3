#!/usr/bin/env bash
# Formatting, lints and all tests, with the same verdict on every run.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo fmt --all --check
cargo clippy --workspace --all-targets --quiet -- -D warnings
cargo test --workspace --quiet
