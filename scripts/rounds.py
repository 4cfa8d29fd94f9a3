#!/usr/bin/env python3
"""Plays one panel of days on two checkouts and prints the paired differences.

    scripts/rounds.py --bench FLEETBENCH --why TEXT [--seeds N] [--jobs N] [--days DAY,...] [--cpu]
                      --base DIR --trial DIR SITE...

Each day of each site is played with the same seeds on both checkouts, without processor time unless --cpu is given.
For each figure the table gives the mean of both, the mean difference (trial - base) and the half width of its 95%
interval over the pairs. A difference counts when it is greater than that half width. Both checkouts must be built.
"""

import argparse
import json
import math
import subprocess
import sys
import tempfile
import tomllib
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

# Seeds of a panel: the day's own, and others that depend on nothing.
SEEDS = [None, 101, 202, 303, 404, 505, 606, 707]


@dataclass(frozen=True)
class Play:
    site: Path
    day: str
    seed: int | None


def days_of(site: Path) -> list[str]:
    with site.open("rb") as file:
        return [day["name"] for day in tomllib.load(file)["day"]]


def play(bench: Path, checkout: Path, item: Play, why: str, with_cpu: bool) -> dict | None:
    """The bench's report of one day, or None if the day could not be played."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [str(bench), "run", str(item.site), item.day, "--jobs", "1", "--report", report.name, "--why", why]
        if not with_cpu:
            command.append("--no-cpu")
        if item.seed is not None:
            command += ["--seed", str(item.seed)]
        result = subprocess.run(command, cwd=checkout, capture_output=True, text=True, check=False)
        text = Path(report.name).read_text()
        if not text:
            print(f"not played: {item}: {result.stdout[-300:]}{result.stderr[-300:]}", file=sys.stderr)
            return None
        return json.loads(text)


def cached(cache: Path | None, item: Play, produce) -> dict | None:
    """The report of a play that may have been made before."""
    if cache is None:
        return produce()
    place = cache / f"{item.site.stem}-{item.day}-{item.seed}.json"
    if place.exists():
        return json.loads(place.read_text())
    report = produce()
    if report:
        cache.mkdir(parents=True, exist_ok=True)
        place.write_text(json.dumps(report))
    return report


def share(part: float, whole: float) -> float:
    return part / whole if whole else 0.0


def figures(report: dict) -> dict[str, float]:
    """The figures of one day that rounds are judged by."""
    parts = {name: value for name, _, value in report["parts"]}
    classes = report["classes"]
    batch = [one for one in classes if "batch" in one["name"] or one["p50_ms"] > 3000]
    online = [one for one in classes if one not in batch]
    found = {
        "worth": report["G"],
        "whole day": parts.get("whole day", 0.0),
        "worst windows": parts.get("worst windows", 0.0),
        "worst class": parts.get("worst class", 0.0),
        "prices": sum(price for _, _, price in report["prices"]),
        "online in time": share(sum(one["in_aim"] for one in online), sum(one["n"] - one["not_owed"] for one in online)),
        "online late": share(sum(one["late"] for one in online), sum(one["n"] - one["not_owed"] for one in online)),
        "items in time": share(sum(one["in_aim"] for one in batch), sum(one["n"] - one["not_owed"] for one in batch)),
        "broken rules": float(sum(len(found) if isinstance(found, list) else 1 for found in report["breaks"].values())),
    }
    for name, _, price in report["prices"]:
        found[f"price of {name}"] = price
    return found


def interval(differences: list[float]) -> float:
    """Half the width of the mean's 95% interval (normal, good enough for a dozen pairs and more)."""
    n = len(differences)
    if n < 2:
        return math.inf
    mean = sum(differences) / n
    variance = sum((one - mean) ** 2 for one in differences) / (n - 1)
    return 1.96 * math.sqrt(variance / n)


def table(title: str, pairs: list[tuple[dict, dict]]) -> None:
    print(f"\n{title}: {len(pairs)} pairs")
    print(f"  {'':36} {'base':>8} {'trial':>8} {'diff':>8} {'+-':>7}")
    names = dict.fromkeys(name for base, _ in pairs for name in base)
    for name in names:
        base = [one.get(name, 0.0) for one, _ in pairs]
        trial = [one.get(name, 0.0) for _, one in pairs]
        differences = [after - before for before, after in zip(base, trial)]
        mean = sum(differences) / len(differences)
        width = interval(differences)
        is_price = name.startswith("price of ")
        if is_price and abs(mean) < 0.0005:
            continue
        mark = "*" if abs(mean) > width else ""
        n = len(pairs)
        print(f"  {name:36} {sum(base) / n:8.4f} {sum(trial) / n:8.4f} {mean:+8.4f} {width:7.4f} {mark}")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--bench", type=Path, required=True)
    parser.add_argument("--why", required=True)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--jobs", type=int, default=6)
    parser.add_argument("--days", help="only these days, separated by commas")
    parser.add_argument("--cpu", action="store_true", help="count processor time")
    parser.add_argument("--cache", type=Path, help="keeps the base's reports here; for one base only")
    parser.add_argument("--base", type=Path, required=True)
    parser.add_argument("--trial", type=Path, required=True)
    parser.add_argument("sites", type=Path, nargs="+")
    args = parser.parse_args()
    if not args.bench.exists():
        sys.exit(f"the kit's bench is not at {args.bench}: nothing is played")
    wanted = args.days.split(",") if args.days else None
    panel = [
        Play(site, day, seed)
        for site in args.sites
        for day in days_of(site)
        if wanted is None or day in wanted
        for seed in SEEDS[: args.seeds]
    ]

    def pair(item: Play) -> tuple[Play, dict | None, dict | None]:
        base = cached(args.cache, item, lambda: play(args.bench, args.base, item, f"{args.why} (base)", args.cpu))
        trial = play(args.bench, args.trial, item, f"{args.why} (trial)", args.cpu)
        return item, base, trial

    with ThreadPoolExecutor(args.jobs) as pool:
        played = [one for one in pool.map(pair, panel) if one[1] and one[2]]
    for site in args.sites:
        pairs = [(figures(base), figures(trial)) for item, base, trial in played if item.site == site]
        if pairs:
            table(site.stem, pairs)
    if len(args.sites) > 1 and played:
        table("all sites", [(figures(base), figures(trial)) for _, base, trial in played])
    for item, base, trial in played:
        for name, report in (("base", base), ("trial", trial)):
            if any(report["breaks"].values()):
                print(f"RULE BROKEN on {name}: {item.site.stem} {item.day} seed {item.seed}: {report['breaks']}")


if __name__ == "__main__":
    main()
