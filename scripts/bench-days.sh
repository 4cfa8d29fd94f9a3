#!/usr/bin/env bash
# Plays the days of bench-days/ on the shifted and the largest sites of the users' kit, or on those named as arguments. KIT names the
# kit's system folder, BENCH its newest bench. A day takes half a minute to two minutes on such a site; DAYS chooses some of
# them by a pattern. Prints one line a day; a day with a broken rule makes the script fail.
set -euo pipefail
cd "$(dirname "$0")/.."
kit="${KIT:-../given/kit/more/system}"
bench="${BENCH:-$kit/more/bench-018dfa/bin/fleetbench}"
if [ ! -x "$bench" ]; then
    echo "bench-days: there is no bench at $bench; nothing was played"
    exit 0
fi
why="${WHY:-the days of bench-days}"
broken=0
sites=("$@")
[ ${#sites[@]} -gt 0 ] || sites=("$kit"/shifted/*.toml "$kit"/large/*.toml)
for site in "${sites[@]}"; do
    for day in bench-days/${DAYS:-*}.toml; do
        output="$("$bench" run "$site" "$day" --why "$why" 2>&1 || true)"
        line="$(grep -E "^$(basename "$day" .toml) " <<<"$output" || echo "$(basename "$day" .toml) was not played")"
        echo "$(basename "$site" .toml) $line"
        case "$line" in *BROKEN* | *"not played"*) broken=1 ;; esac
    done
done
exit "$broken"
