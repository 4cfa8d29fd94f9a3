#!/usr/bin/env bash
# Plays the days of bench-days/ on every site of the users' kit. KIT names the kit's system folder.
# Prints one line a day; a day with a broken rule makes the script fail.
set -euo pipefail
cd "$(dirname "$0")/.."
kit="${KIT:-../given/kit/more/system}"
if [ ! -x "$kit/bin/fleetbench" ]; then
    echo "bench-days: there is no kit at $kit; nothing was played"
    exit 0
fi
why="${WHY:-the days of bench-days}"
broken=0
for site in "$kit"/sites/*.toml; do
    for day in bench-days/*.toml; do
        output="$("$kit/bin/fleetbench" run "$site" "$day" --why "$why" 2>&1 || true)"
        line="$(grep -E "^$(basename "$day" .toml) " <<<"$output" || echo "$(basename "$day" .toml) was not played")"
        echo "$(basename "$site" .toml) $line"
        case "$line" in *BROKEN* | *"not played"*) broken=1 ;; esac
    done
done
exit "$broken"
