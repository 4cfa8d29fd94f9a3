"""Model workers crash again and again; sound items are kept from all workers; see claim.txt."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from fleet import BOUNDS, SERVICE, Job, main  # noqa: E402
from model_worker import Worker, whole_text  # noqa: E402

ITEMS, ITEM_BYTES, EVENTS, PAUSE_S = 8, 4900, 246, 0.040  # like burst-sweep: 246 events, in about 10 s
WORKERS, CRASHED = 12, 2  # srv_crash: share = 0.17
CRASHES, CRASH_GAP_S, DOWN_S = 24, 1.0, 2.0


async def crash(fleet, worker):
    """A worker crashes and another one is at its place some seconds later."""
    fleet.note("worker crashes", worker.id)
    fleet.workers.remove(worker)
    await worker.crash()
    await asyncio.sleep(DOWN_S)
    new = Worker(fleet.store, SERVICE, worker.zone, worker.slots, EVENTS, PAUSE_S, fleet.seen)
    fleet.workers.append(await new.start())


async def case(fleet, trouble):
    await fleet.start(gateways=3, storage=3, workers=WORKERS, events=EVENTS, pause_s=PAUSE_S)
    tasks, started = [], time.monotonic()

    async def one(job):
        if await fleet.submit(job):
            await fleet.follow(job, time.monotonic() + 60)

    async def crashes():
        await asyncio.sleep(4)
        for _ in range(CRASHES if trouble else 0):
            for worker in fleet.random.sample(fleet.workers, CRASHED):
                tasks.append(asyncio.create_task(crash(fleet, worker)))
            await asyncio.sleep(CRASH_GAP_S)

    crashing = asyncio.create_task(crashes())
    while time.monotonic() - started < 34:
        tasks.append(asyncio.create_task(one(Job(ITEMS, ITEM_BYTES))))
        await asyncio.sleep(1 / 1.25)  # jobs a second at the site
    await crashing
    fleet.note("end of traffic")
    await asyncio.sleep(BOUNDS["FinishS"])
    ended = time.monotonic()
    lying = []
    for job in fleet.jobs:
        if await fleet.read(job) != 200:
            fleet.note("can't be read", job.id)
            continue
        listed = {result["Id"]: result for result in job.results.values()}
        for item, result in listed.items():
            if result["State"] == "completed" and result["Message"] != whole_text(item, EVENTS):
                fleet.note("wrong text", item)
                return False
        lying += [(job, item) for item in job.items if item not in listed]
    # The excuses of the rule: a worker had an unlisted item of the batch job in the last 5 s, an item of any batch job
    # was finished in the last 3 s, workers half full. Crashes are no failures of an item, but even those are over 20 s old.
    if any(ended - at < 3 for at in fleet.seen.ended.values()) or any(worker.running for worker in fleet.workers):
        fleet.note("not calm:", len(lying), "items are not listed")
        return True
    had = {item for item, runs in fleet.seen.runs.items() if ended - runs[-1][0] < 5}
    lying = [(job, item) for job, item in lying if not had.intersection(job.items)]
    for job, item in lying:
        runs = fleet.seen.runs.get(item, [])
        fleet.note("left lying:", item, "of", job.id, "runs:", [(round(at - fleet.started, 1), who) for at, who, _ in runs])
    if lying:
        fleet.note("broken: LOST,", len(lying), "items are neither completed nor dead-lettered")
    return not lying


main(case, os.path.join(HERE, "record.txt"))
