"""Starts the project's programs with the commands and templates of the deploy file, beside the stand-ins."""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

from http11 import call
from model_worker import Worker
from platform_store import Store

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST, SERVICE = "nony24.example", "logger-lm"
ZONES = ["cebu-a", "mandaue-b", "lapu-c"]
# The bounds of tubig-serve.
BOUNDS = {
    "SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4.8, "DrainMs": 2000, "GraceS": 8,
    "LossSlackMs": 200, "ConfigMs": 2000, "RevertSlackMs": 250, "SkewMs": 5000, "RecoveryS": 12, "PassMs": 120,
    "RetryAfterS": 0, "FinishS": 18, "StatusS": 120, "CancelMs": 3000, "SettleMs": 1000, "QuotaExcess": 0.1,
}
MAX_WAIT_S = 60


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def fill(text, fields):
    """Fills a template as DEPLOY.md tells it."""

    def look_up(name, scopes):
        if name == ".":
            return scopes[-1][1]
        if name == "@":
            return scopes[-1][0]
        for _, scope in reversed(scopes):
            value = scope
            for part in name.split("."):
                if isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                elif isinstance(value, dict) and part in value:
                    value = value[part]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def show(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(show(entry) for entry in value)
        return json.dumps(value) if isinstance(value, dict) else str(value)

    def expand(text, scopes):
        section = re.search(r"\{\{#([^}]+)\}\}", text)
        if not section:
            return re.sub(r"\{\{([^#/^}]+)\}\}", lambda gap: show(look_up(gap[1], scopes)), text)
        name = section[1]
        end = text.index("{{/%s}}" % name, section.end())
        body, value = text[section.end():end], look_up(name, scopes)
        if isinstance(value, dict):
            entries = list(value.items())
        elif isinstance(value, list):
            entries = list(enumerate(value))
        else:
            entries = [(0, value)] if value else []
        inner = "".join(expand(body, scopes + [entry]) for entry in entries)
        rest = text[end + len("{{/%s}}" % name):]
        return expand(text[:section.start()], scopes) + inner + expand(rest, scopes)

    return expand(text, [("", fields)])


class Program:
    """A gateway or storage node on a machine of its own."""

    def __init__(self, fleet, role, name, zone):
        self.fleet, self.role, self.name, self.zone = fleet, role, name, zone
        self.process, self.log_path = None, os.path.join(fleet.folder, name + ".log")
        self.data = os.path.join(fleet.folder, name + ".data")
        self.callers, self.readiness = free_port(), free_port()
        self.ports = [free_port(), free_port()]

    def fields(self):
        is_gateway = self.role == "gateway"
        listen = {"Frontend": f"127.0.0.1:{self.callers}", "Readiness": f"127.0.0.1:{self.readiness}"}
        limits = {"CpuShare": 0.25, "MemoryMb": 260, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0}
        if not is_gateway:
            limits = {"CpuShare": 0.5, "MemoryMb": 290, "MaxFds": 8200, "LinkMbps": 600.0, "DiskMb": 480}
        fields = {
            "NodeName": self.name, "Zone": self.zone, "Region": "visayas", "Ip": "127.0.0.1",
            "PortRange": self.ports, "HeartbeatMs": 1200, "Zones": {zone: "visayas" for zone in ZONES},
            "Listen": listen if is_gateway else {}, "Limits": limits, "Bounds": BOUNDS,
            "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
            "Platform": {"Address": "%s:%d" % self.fleet.store.address, "form": "kv"},
        }
        return fields if is_gateway else {**fields, "DataDir": self.data}

    def start(self):
        deploy = tomllib.load(open(os.path.join(ROOT, "deploy", "system.toml"), "rb"))
        role = deploy["roles"][self.role]
        settings = os.path.join(self.fleet.folder, self.name + ".toml")
        with open(settings, "w") as file:
            file.write(fill(open(os.path.join(ROOT, role["template"])).read(), self.fields()))
        os.makedirs(self.data, exist_ok=True)
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["STALLMOOR_NODE_FILE"] = settings
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(role["run"].split(" "), cwd=ROOT, env=environment, stdout=log, stderr=log,
                                            stdin=subprocess.DEVNULL)
        self.fleet.note("start", self.name)
        return self

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
            self.fleet.note("kill", self.name)

    def terminate(self, grace_s=BOUNDS["GraceS"]):
        self.process.send_signal(signal.SIGTERM)
        try:
            self.process.wait(grace_s)
        except subprocess.TimeoutExpired:
            self.kill()

    def wipe(self):
        shutil.rmtree(self.data, ignore_errors=True)
        self.fleet.note("disk lost", self.name)

    def logged(self, name):
        """The events of this name in the log, with their times (Unix milliseconds)."""
        found = []
        for line in open(self.log_path, errors="replace"):
            if f'"name":"{name}"' in line and line.startswith("{"):
                found.append(json.loads(line))
        return found


class Seen:
    """What the workers have seen."""

    def __init__(self, fleet):
        self.fleet, self.runs, self.ended = fleet, {}, {}

    def ran(self, worker, request_id, after):
        self.runs.setdefault(request_id, []).append((time.monotonic(), worker.id, after))
        self.fleet.note("run", request_id, "at", worker.id, "after event", after)

    def finished(self, worker, request_id):
        self.ended[request_id] = time.monotonic()
        self.fleet.note("ran to its end", request_id, "at", worker.id)


class Job:
    def __init__(self, items, item_bytes):
        self.id = "%016x" % random.getrandbits(64)
        self.items = ["%016x" % random.getrandbits(64) for _ in range(items)]
        self.bodies = {item: random.randbytes(item_bytes) for item in self.items}
        self.accepted_at, self.results, self.total = None, {}, None

    def body(self):
        prefix = "9c2e41:300,%x:240" % random.getrandbits(32)
        requests = [{
            "Id": item, "Path": f"/pule252/3/{item[:4]}", "TokenCount": 940,
            "Headers": {"X-Model": "m", "X-Token-Usage": "540,400", "X-Prompt-Prefix": prefix},
            "Body": base64.b64encode(self.bodies[item]).decode(),
        } for item in self.items]
        return json.dumps({"Requests": requests}).encode()


class Fleet:
    def __init__(self, record_path):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = open(record_path, "w")
        self.started = time.monotonic()
        self.programs, self.workers, self.jobs = [], [], []
        self.seen = Seen(self)
        self.random = random.Random(7)

    def note(self, *words):
        print("%8.3f" % (time.monotonic() - self.started), *words, file=self.record, flush=True)

    def configuration(self, version):
        return {
            "Version": version,
            "Routes": [{
                "Name": "burst-sweep", "Host": HOST, "PathPrefix": "/pule252/", "Type": "batch", "TimeoutMs": 30000,
                "ObjectiveMs": 400, "Priority": 2, "Service": SERVICE, "MaxAttempts": 3, "DueMs": 20000,
                "MaxWaitS": MAX_WAIT_S, "MaxQueuedTokens": 1600000, "GapTargetMs": 250, "Resumable": True,
            }, {
                "Name": "district-query", "Host": HOST, "PathPrefix": "/lohu930/", "Type": "streaming",
                "TimeoutMs": 5000, "ObjectiveMs": 200, "Priority": 0, "Service": SERVICE, "MaxAttempts": 2,
                "GapTargetMs": 250, "Resumable": True, "Sticky": True,
            }],
            "Services": [{"Name": SERVICE, "HealthPath": "/healthz", "MaxConns": 370,
                          "Engine": {"Slots": 17, "KvCapacity": 153000}}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000},
        }

    async def start(self, gateways, storage, workers, events, pause_s, slots=17):
        self.store = await Store().start()
        for number in range(workers):
            worker = Worker(self.store, SERVICE, ZONES[number % 3], slots, events, pause_s, self.seen)
            self.workers.append(await worker.start())
        self.store.put("op/config", self.configuration(3))
        self.storage = [self.add("storage", f"storage-{ZONES[n % 3]}-{n // 3 + 1}", ZONES[n % 3]).start()
                        for n in range(storage)]
        self.gateways = [self.add("gateway", f"edge-{ZONES[n % 3]}-{n // 3 + 1}", ZONES[n % 3]).start()
                         for n in range(gateways)]
        for gateway in self.gateways:
            await self.until(lambda: self.is_ready(gateway), 15, f"{gateway.name} is ready")
        # The bench waits 10 s from the start of the machines to that of traffic.
        await asyncio.sleep(5)

    def add(self, role, name, zone):
        program = Program(self, role, name, zone)
        self.programs.append(program)
        return program

    async def is_ready(self, gateway):
        answer = await call(("127.0.0.1", gateway.readiness), "GET", "/readyz", timeout=1)
        return answer is not None and answer.status == 200

    async def until(self, condition, seconds, what):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await condition():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"not in time: {what}")

    def stop(self):
        for program in self.programs:
            if program.process and program.process.poll() is None:
                program.process.send_signal(signal.SIGCONT)
                program.process.kill()
                program.process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)

    # Clients.

    def any_gateway(self):
        running = [gateway for gateway in self.gateways if gateway.process.poll() is None]
        return ("127.0.0.1", self.random.choice(running).callers)

    async def submit(self, job, tries=20):
        """Submits a batch job until it is accepted. Returns whether it was."""
        headers = [("Host", HOST), ("X-Attempt-Id", job.id), ("Content-Type", "application/json")]
        body = job.body()
        for _ in range(tries):
            answer = await call(self.any_gateway(), "POST", f"/pule252/{job.id[:6]}", headers, body, 4)
            status = answer.status if answer else "no answer"
            self.note("submit", job.id, len(job.items), "items:", status)
            if status == 202:
                job.accepted_at = time.monotonic()
                self.jobs.append(job)
                return True
            await asyncio.sleep(0.3)
        return False

    async def read(self, job, first=0, wait_ms=0):
        """Reads results. Returns the status, or None without an answer, and keeps what was read."""
        headers = [("Host", HOST), ("X-Wait-Ms", str(wait_ms))]
        answer = await call(self.any_gateway(), "GET", f"/lots/{job.id}?SinceRev={first}", headers,
                            timeout=1.5 + wait_ms / 1000 + 1)
        if answer is None:
            return None
        if answer.status == 200:
            page = json.loads(answer.body)
            job.total = page["Total"]
            for offset, result in enumerate(page["Results"]):
                job.results[first + offset] = result
        return answer.status

    async def follow(self, job, until):
        """Reads a job about twice a second until all results are there."""
        while time.monotonic() < until and len(job.results) < len(job.items):
            await self.read(job, first=len(job.results))
            await asyncio.sleep(0.5)


class CannotRun(Exception):
    pass


def main(case, record_path):
    """Runs `case(fleet, trouble)`, which returns whether the rule held, and exits with 0, 1 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # Ends all processes that it started also when it is stopped itself.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    fleet = Fleet(record_path)

    async def run():
        return await asyncio.wait_for(case(fleet, trouble), 115)

    code = 2
    try:
        held = asyncio.run(run())
        code = 0 if held else 1
    except CannotRun as reason:
        fleet.note("cannot run:", reason)
    except asyncio.TimeoutError:
        fleet.note("cannot run: it took too long")
    except KeyboardInterrupt:
        fleet.note("cannot run: stopped")
    except Exception as error:
        # A fault of the case itself says nothing about the rule.
        fleet.note("cannot run:", repr(error))
    finally:
        fleet.stop()
        fleet.note("exit", code)
    print({0: "held", 1: "broken", 2: "could not run"}[code], "trouble" if trouble else "no trouble")
    sys.exit(code)
