#!/usr/bin/env bash
# Runs the benchmark days in bench-days/ on the sites given as arguments (default: the shifted and large sites of the users' kit).
# Prints one line per site and day. Exits with 1 if a day breaks a rule or does not run.
#
# Environment variables:
#   KIT    system folder of the kit
#   BENCH  path of the fleetbench binary
#   DAYS   glob pattern that selects days by name (default: all)
#   WHY    reason passed to the bench with --why
set -euo pipefail
cd "$(dirname "$0")/.."
kit="${KIT:-../given/kit/more/system}"
bench="${BENCH:-$kit/more/bench-018dfa/bin/fleetbench}"
if [ ! -x "$bench" ]; then
    echo "bench-days: no executable at $bench; skipping all days"
    exit 0
fi
reason="${WHY:-the days of bench-days}"
status=0
sites=("$@")
[ ${#sites[@]} -gt 0 ] || sites=("$kit"/shifted/*.toml "$kit"/large/*.toml)
for site in "${sites[@]}"; do
    for day in bench-days/${DAYS:-*}.toml; do
        output="$("$bench" run "$site" "$day" --why "$reason" 2>&1 || true)"
        line="$(grep -E "^$(basename "$day" .toml) " <<<"$output" || echo "$(basename "$day" .toml) was not played")"
        echo "$(basename "$site" .toml) $line"
        case "$line" in *BROKEN* | *"not played"*) status=1 ;; esac
    done
done
exit "$status"
