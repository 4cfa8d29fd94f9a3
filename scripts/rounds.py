#!/usr/bin/env python3
"""Runs the same benchmark days on two checkouts and prints the paired differences.

    scripts/rounds.py --bench FLEETBENCH --why TEXT [--seeds N] [--jobs N] [--days DAY,...] [--cpu]
                      --base DIR --trial DIR SITE...

Each day of each site runs with the same seeds on both checkouts. Processor time is ignored unless --cpu is given.
For each metric the table shows the mean of each checkout, the mean difference (trial - base) and the half width of
its 95% confidence interval over the pairs. Differences greater than the half width are marked with an asterisk.
Both checkouts must be built before the run.
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

# Seeds that each day is run with; `None` is the seed defined by the day itself.
SEEDS = [None, 101, 202, 303, 404, 505, 606, 707]


@dataclass(frozen=True)
class BenchRun:
    site: Path
    day: str
    seed: int | None


def day_names(site: Path) -> list[str]:
    with site.open("rb") as file:
        return [day["name"] for day in tomllib.load(file)["day"]]


def run_day(bench: Path, checkout: Path, run: BenchRun, why: str, with_cpu: bool) -> dict | None:
    """Runs one day and returns the report of the bench, or None if the bench wrote no report."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [str(bench), "run", str(run.site), run.day, "--jobs", "1", "--report", report.name, "--why", why]
        if not with_cpu:
            command.append("--no-cpu")
        if run.seed is not None:
            command += ["--seed", str(run.seed)]
        result = subprocess.run(command, cwd=checkout, capture_output=True, text=True, check=False)
        text = Path(report.name).read_text()
        if not text:
            print(f"no report for {run}: {result.stdout[-300:]}{result.stderr[-300:]}", file=sys.stderr)
            return None
        return json.loads(text)


def load_or_run(cache: Path | None, run: BenchRun, produce) -> dict | None:
    """Returns the cached report of a run, or produces and caches it."""
    if cache is None:
        return produce()
    path = cache / f"{run.site.stem}-{run.day}-{run.seed}.json"
    if path.exists():
        return json.loads(path.read_text())
    report = produce()
    if report:
        cache.mkdir(parents=True, exist_ok=True)
        path.write_text(json.dumps(report))
    return report


def ratio(part: float, total: float) -> float:
    return part / total if total else 0.0


def metrics(report: dict) -> dict[str, float]:
    """Returns the metrics to compare for one day, by the name printed in the table."""
    parts = {name: value for name, _, value in report["parts"]}
    classes = report["classes"]
    batch = [entry for entry in classes if "batch" in entry["name"] or entry["p50_ms"] > 3000]
    online = [entry for entry in classes if entry not in batch]
    values = {
        "worth": report["G"],
        "whole day": parts.get("whole day", 0.0),
        "worst windows": parts.get("worst windows", 0.0),
        "worst class": parts.get("worst class", 0.0),
        "prices": sum(price for _, _, price in report["prices"]),
        "online in time": ratio(sum(cls["in_aim"] for cls in online), sum(cls["n"] - cls["not_owed"] for cls in online)),
        "online late": ratio(sum(cls["late"] for cls in online), sum(cls["n"] - cls["not_owed"] for cls in online)),
        "items in time": ratio(sum(cls["in_aim"] for cls in batch), sum(cls["n"] - cls["not_owed"] for cls in batch)),
        "broken rules": float(sum(len(rules) if isinstance(rules, list) else 1 for rules in report["breaks"].values())),
    }
    for name, _, price in report["prices"]:
        values[f"price of {name}"] = price
    return values


def interval_half_width(differences: list[float]) -> float:
    """Returns half the width of the 95% interval of the mean (normal approximation, for 12 or more pairs)."""
    n = len(differences)
    if n < 2:
        return math.inf
    mean = sum(differences) / n
    variance = sum((difference - mean) ** 2 for difference in differences) / (n - 1)
    return 1.96 * math.sqrt(variance / n)


def print_table(title: str, pairs: list[tuple[dict, dict]]) -> None:
    print(f"\n{title}: {len(pairs)} pairs")
    print(f"  {'':36} {'base':>8} {'trial':>8} {'diff':>8} {'+-':>7}")
    names = dict.fromkeys(name for base, _ in pairs for name in base)
    for name in names:
        base = [metrics_base.get(name, 0.0) for metrics_base, _ in pairs]
        trial = [metrics_trial.get(name, 0.0) for _, metrics_trial in pairs]
        differences = [after - before for before, after in zip(base, trial)]
        mean = sum(differences) / len(differences)
        width = interval_half_width(differences)
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
    parser.add_argument("--days", help="run only these days (comma-separated)")
    parser.add_argument("--cpu", action="store_true", help="count processor time (omits --no-cpu)")
    parser.add_argument("--cache", type=Path, help="cache folder for reports of the base checkout; one folder per base")
    parser.add_argument("--base", type=Path, required=True)
    parser.add_argument("--trial", type=Path, required=True)
    parser.add_argument("sites", type=Path, nargs="+")
    args = parser.parse_args()
    if not args.bench.exists():
        sys.exit(f"bench not values at {args.bench}")
    selected_days = args.days.split(",") if args.days else None
    runs = [
        BenchRun(site, day, seed)
        for site in args.sites
        for day in day_names(site)
        if selected_days is None or day in selected_days
        for seed in SEEDS[: args.seeds]
    ]

    def run_pair(run: BenchRun) -> tuple[BenchRun, dict | None, dict | None]:
        base = load_or_run(args.cache, run, lambda: run_day(args.bench, args.base, run, f"{args.why} (base)", args.cpu))
        trial = run_day(args.bench, args.trial, run, f"{args.why} (trial)", args.cpu)
        return run, base, trial

    with ThreadPoolExecutor(args.jobs) as pool:
        completed = [result for result in pool.map(run_pair, runs) if result[1] and result[2]]
    for site in args.sites:
        pairs = [(metrics(base), metrics(trial)) for run, base, trial in completed if run.site == site]
        if pairs:
            print_table(site.stem, pairs)
    if len(args.sites) > 1 and completed:
        print_table("all sites", [(metrics(base), metrics(trial)) for _, base, trial in completed])
    for run, base, trial in completed:
        for name, report in (("base", base), ("trial", trial)):
            if any(report["breaks"].values()):
                print(f"RULE BROKEN on {name}: {run.site.stem} {run.day} seed {run.seed}: {report['breaks']}")


if __name__ == "__main__":
    main()
