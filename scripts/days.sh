#!/usr/bin/env bash
# Plays a day of a site with gateways and storage nodes that run as processes, up to the fault that ends it, and checks that
# all batch jobs are done at the end.
#
# Usage: scripts/days.sh SITE DAY [--seed S] [--until SECONDS] [--recovery SECONDS] [--closing KIND,DOWN_S,HOW]
#                        [--online FACTOR] [--keep FOLDER]
#
# SITE is the path of a site file, DAY the name of one of its days or the path of a file with one day. DAYS_BUILD=debug uses
# the binaries built by `cargo test` instead of building release ones.
set -euo pipefail
invoked_from="$PWD"
cd "$(dirname "$0")/.."
profile="${DAYS_BUILD:-release}"
if [ "$profile" = release ]; then
    cargo build --quiet --release -p stallmoor
    cargo build --quiet --release -p stallmoor-adapter --example days
fi
bin_dir="$(cd "${CARGO_TARGET_DIR:-target}/$profile" && pwd)"
cd "$invoked_from"
exec "$bin_dir/examples/days" "$@" --binary "$bin_dir/stallmoor"
