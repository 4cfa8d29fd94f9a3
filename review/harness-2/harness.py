"""Stand-ins of the platform, of workers and of clients, and the processes of the project, for the scripts of this review.

Standard library alone. All addresses are loopback addresses. Names and bounds are those of the site `tubig-serve`.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "front.example"
SERVICE = "logger-lm"
BOUNDS = {
    "SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4.8, "DrainMs": 2000, "GraceS": 8,
    "LossSlackMs": 200, "ConfigMs": 2000, "RevertSlackMs": 250, "SkewMs": 5000, "RecoveryS": 12, "PassMs": 120,
    "RetryAfterS": 0, "FinishS": 18, "StatusS": 120, "CancelMs": 3000, "SettleMs": 1000, "QuotaExcess": 0.1,
}
USED_PORTS = set()
ZONES = {"cebu-a": "visayas", "mandaue-b": "visayas", "lapu-c": "visayas"}


class CaseError(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def say(self, *words):
        line = f"{self.now():8.3f} " + " ".join(str(word) for word in words)
        self.file.write(line + "\n")
        self.file.flush()

    def tell(self, *words):
        self.say(*words)
        print(" ".join(str(word) for word in words), flush=True)


# HTTP


async def read_head(reader):
    """Reads a head. Returns its first line and its headers with names in lower case; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunked(reader, into=None):
    """Reads a body in chunks. `into` collects what arrives, also if the body breaks off."""
    body = bytearray() if into is None else into
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return bytes(body)
        body += data[:-2]


async def read_request(reader):
    found = await read_head(reader)
    if found is None:
        return None
    line, headers = found
    method, target, _ = line.split(" ", 2)
    if "chunked" in headers.get("transfer-encoding", ""):
        body = await read_chunked(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return method, target, headers, body


def head_of(status, headers):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class Answer:
    """A client's answer. `complete` is false if the connection ended first."""

    def __init__(self, status, headers, body, complete):
        self.status, self.headers, self.body, self.complete = status, headers, body, complete

    def __repr__(self):
        return f"{self.status}{'' if self.complete else ' (incomplete)'}"


NO_ANSWER = Answer(None, {}, b"", False)


async def call(address, method, target, headers=(), body=b"", timeout=5.0):
    """Sends a request on a connection of its own. `NO_ANSWER` if none comes in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address, limit=1 << 26)
            names = {name.lower() for name, _ in headers}
            lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers]
            if "host" not in names:
                lines.append(f"Host: {HOST}")
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            await writer.drain()
            found = await read_head(reader)
            if found is None:
                return NO_ANSWER
            line, answered = found
            status, part = int(line.split(" ")[1]), bytearray()
            try:
                if "chunked" in answered.get("transfer-encoding", ""):
                    content = await read_chunked(reader, part)
                elif "content-length" in answered:
                    content = await reader.readexactly(int(answered["content-length"]))
                else:
                    content = await reader.read()
            except (asyncio.IncompleteReadError, ConnectionError, ValueError):
                return Answer(status, answered, bytes(part), False)
            return Answer(status, answered, content, True)
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return NO_ANSWER
    finally:
        if writer is not None:
            writer.close()


async def serve_http(address, handler):
    """Serves connections: `handler(request, reader, writer)` returns whether the connection goes on."""

    async def serve(reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None or not await handler(request, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve, *address, limit=1 << 26)


def free_port(host="127.0.0.1"):
    """Returns a free port below those that the system gives to outgoing connections, so that none of these takes it."""
    while True:
        port = random.SystemRandom().randrange(10_000, 32_000)
        with socket.socket() as listener:
            try:
                listener.bind((host, port))
            except OSError:
                continue
            if port not in USED_PORTS:
                USED_PORTS.add(port)
                return port


# The platform's store


class Store:
    """The platform's store. `faults` of an address: "silent", "busy" or None."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 0
        self.changed = asyncio.Event()
        self.writes = []
        self.fault = None

    async def start(self):
        self.address = ("127.0.0.1", free_port())
        self.server = await serve_http(self.address, self.handle)

    def touch(self, key, value):
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
        else:
            made = self.items[key][2] if key in self.items else self.revision
            self.items[key] = (value, self.revision, made)
        self.history.append((self.revision, key))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def put(self, key, value):
        return self.touch(key, value if isinstance(value, bytes) else json.dumps(value).encode())

    def remove(self, key):
        return self.touch(key, None)

    def get(self, key):
        found = self.items.get(key)
        return None if found is None else json.loads(found[0])

    def row(self, key, at=None):
        found = self.items.get(key)
        if found is None:
            return {"KeyFile": key, "Revision": at, "gone": True}
        value, revision, made = found
        return {"KeyFile": key, "Value": base64.b64encode(value).decode(), "Revision": revision, "made": made, "lease": 0}

    async def handle(self, request, reader, writer):
        method, target, _, body = request
        if self.fault == "silent":
            await asyncio.sleep(3600)
        if self.fault == "busy":
            status, answer = 503, {}
        else:
            parts = urlsplit(target)
            query = dict(parse_qsl(parts.query, keep_blank_values=True))
            status, answer = await self.answer(method, parts.path, query, body)
        content = json.dumps(answer).encode()
        writer.write(head_of(status, [("Content-Type", "application/json"), ("Content-Length", len(content))]) + content)
        await writer.drain()
        return True

    async def answer(self, method, path, query, body):
        if path == "/kv-key":
            key = query.get("KeyFile", "")
            return (200, self.row(key) | {"at": self.revision}) if key in self.items else (404, {"at": self.revision})
        if path == "/kv-range":
            prefix, after = query.get("PathPrefix", ""), query.get("SinceRev", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            return 200, {"Requests": [self.row(key) for key in keys[:500]], "more": len(keys) > 500, "at": self.revision}
        if path == "/kv-watch":
            since, until = int(query.get("SinceRev", 0)), time.monotonic() + int(query.get("WaitMs", 0)) / 1000
            prefix = query.get("PathPrefix", "")
            while True:
                keys = dict((key, at) for at, key in self.history if at > since and key.startswith(prefix))
                left = until - time.monotonic()
                if keys or left <= 0:
                    events = sorted((self.row(key, at) for key, at in keys.items()), key=lambda row: row["Revision"])
                    return 200, {"events": events, "at": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    pass
        if path == "/kv-txn" and method == "POST":
            call = json.loads(body)
            rows = call.get("ExpectedRev", [])
            for row in rows:
                if (self.items[row["KeyFile"]][1] if row["KeyFile"] in self.items else 0) != row["Revision"]:
                    return 412, {"Requests": [self.row(row["KeyFile"]) for row in rows if row["KeyFile"] in self.items]}
            for row in call.get("put", []):
                if row["KeyFile"].startswith(("op/", "servers/")):
                    return 403, {}
            for row in call.get("put", []):
                self.touch(row["KeyFile"], base64.b64decode(row["Value"]))
                self.writes.append((time.monotonic(), row["KeyFile"]))
            for key in call.get("Remove", []):
                self.touch(key, None)
            return 200, {"Revision": self.revision}
        return 404, {}


# Workers


class Worker:
    """A sound worker. Tests replace `respond` or change its fields."""

    born = 0

    def __init__(self, number, record, zone="cebu-a", slots=17, version="v1", port=None, identity=None):
        self.id = identity or f"i-{number:04x}"
        self.zone, self.slots, self.version, self.record = zone, slots, version, record
        self.address = ("127.0.0.1", port or free_port())
        self.events, self.first_s, self.pause_s, self.piece = 12, 0.02, 0.02, "piece {n} of {version}"
        self.runs = []
        self.active = 0
        self.sequence = 0
        self.state = "ready"
        self.writers = set()
        self.is_dark = False

    async def start(self):
        self.born = int(time.time() * 1000)
        self.server = await asyncio.start_server(self.serve, *self.address, limit=1 << 26)

    def entry(self):
        self.sequence += 1
        return {
            "Service": SERVICE, "Address": "%s:%d" % self.address, "Zone": self.zone, "Version": self.version,
            "Slots": self.slots, "State": self.state, "ColdLeftMs": 0, "Sequence": self.sequence, "born": self.born,
        }

    async def crash(self):
        """Ends like a process that was killed: nothing listens, connections are reset."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                if not await self.one(request, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def one(self, request, reader, writer):
        method, target, headers, body = request
        attempt = headers.get("x-attempt-id", "")
        if target == "/healthz":
            writer.write(head_of(200, [("X-Instance-Id", self.id), ("Content-Length", 0)]))
            await writer.drain()
            return True
        if self.is_dark:
            await asyncio.sleep(3600)
        expected = headers.get("x-expect-instance")
        if expected not in (None, self.id):
            return await self.refuse(writer, attempt, 421)
        if self.active >= self.slots:
            return await self.refuse(writer, attempt, 503)
        self.active += 1
        run = {"at": time.monotonic(), "id": attempt, "target": target, "headers": headers, "bytes": len(body),
               "body": body if len(body) < 4096 else None, "worker": self.id, "version": self.version, "events": 0}
        self.runs.append(run)
        self.record.say("run", attempt, "at", self.id, target, "after", headers.get("last-event-id", "-"), "bytes", len(body))
        # A worker drops a request once its connection closes.
        closed = asyncio.ensure_future(reader.read(1))
        working = asyncio.ensure_future(self.respond(run, headers, body, writer))
        try:
            await asyncio.wait({closed, working}, return_when=asyncio.FIRST_COMPLETED)
            if not working.done():
                self.record.say("dropped", attempt, "at", self.id, "after event", run["events"])
                return False
            return working.result()
        finally:
            self.active -= 1
            for task in (working, closed):
                task.cancel()
            # What became of either is known by now, or of no use.
            await asyncio.gather(working, closed, return_exceptions=True)

    def answer_headers(self, attempt):
        return [("X-Attempt-Id", attempt), ("X-Instance-Load", f"{self.active},0,{self.slots}"), ("X-Weight-Versions", 1)]

    def seal(self, attempt):
        return ("X-Response-Seal", f"seal.{self.id}.{attempt}")

    async def refuse(self, writer, attempt, status):
        headers = self.answer_headers(attempt) + [("X-Not-Executed", "1"), ("Content-Length", 0)]
        writer.write(head_of(status, headers))
        await writer.drain()
        return True

    async def fail(self, writer, attempt, status):
        writer.write(head_of(status, self.answer_headers(attempt) + [self.seal(attempt), ("Content-Length", 0)]))
        await writer.drain()
        return True

    def event(self, number):
        return f"id: {number}\ndata: {self.piece.format(n=number, version=self.version)}\n\n".encode()

    async def respond(self, run, headers, body, writer):
        """Streams `events` events, from the one after `Last-Event-Id` on."""
        first = int(headers.get("last-event-id", "0")) + 1
        await asyncio.sleep(self.first_s)
        named = [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        writer.write(head_of(200, self.answer_headers(run["id"]) + [self.seal(run["id"])] + named))
        for number in range(first, self.events + 1):
            event = self.event(number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            run["events"] = number
            await asyncio.sleep(self.pause_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        run["done"] = True
        return True


# The project's programs


def look_up(scopes, path):
    """Returns what a name of the template stands for."""
    if path == ".":
        return scopes[-1][0]
    if path == "@":
        return scopes[-1][1]
    for scope, _ in reversed(scopes):
        value = scope
        for part in path.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def fill(template, scopes):
    """Fills a template of settings as DEPLOY.md describes it."""
    text, rest = "", template
    while True:
        found = re.search(r"\{\{(.*?)\}\}", rest)
        if found is None:
            return text + rest
        text, name, rest = text + rest[:found.start()], found.group(1), rest[found.end():]
        if name[0] in "#^":
            end = "{{/" + name[1:] + "}}"
            inner, rest = rest.split(end, 1)
            value = look_up(scopes, name[1:])
            if name[0] == "^":
                text += fill(inner, scopes) if not value else ""
            elif isinstance(value, dict):
                text += "".join(fill(inner, scopes + [(entry, key)]) for key, entry in value.items())
            elif isinstance(value, list):
                text += "".join(fill(inner, scopes + [(entry, key)]) for key, entry in enumerate(value))
            elif value is not None and value is not False:
                text += fill(inner, scopes + [(value, "")])
        else:
            value = look_up(scopes, name)
            text += "" if value is None else str(value)


class Node:
    """A process of the project on a machine of its own: the command and the template of the deploy file."""

    def __init__(self, fleet, role, number, zone):
        self.fleet, self.role, self.zone = fleet, role, zone
        self.name = f"{'edge' if role == 'gateway' else 'store'}-{zone}-{number}"
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][role]
        self.command, self.template = deploy["run"].split(), (ROOT / deploy["template"]).read_text()
        ports = [free_port() for _ in range(4)]
        self.callers, self.readiness = ("127.0.0.1", ports[2]), ("127.0.0.1", ports[3])
        self.ports = ports[:2]
        self.folder = Path(fleet.folder) / self.name
        (self.folder / "data").mkdir(parents=True)
        self.limits = fleet.limits[role]
        self.store_address = None
        self.process = None
        self.starts = 0

    def settings(self):
        address = self.store_address or self.fleet.store.address
        fields = {
            "NodeName": self.name, "Zone": self.zone, "Ip": "127.0.0.1", "DataDir": str(self.folder / "data"),
            "PortRange": self.ports, "Bounds": BOUNDS, "HeartbeatMs": 1200, "Zones": ZONES, "Limits": self.limits,
            "FaultTolerance": {"Machines": self.fleet.losses, "Zones": 0, "Regions": 0},
            "Platform": {"Address": "%s:%d" % address},
            "Listen": {"Frontend": "%s:%d" % self.callers, "Readiness": "%s:%d" % self.readiness},
        }
        return fill(self.template, [(fields, "")])

    async def start(self):
        path = self.folder / "local.toml"
        path.write_text(self.settings())
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        log = open(self.folder / "log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            str(ROOT / self.command[0]), *self.command[1:], cwd=ROOT, stdout=log, stderr=log,
            env=kept | {"STALLMOOR_NODE_FILE": str(path)}, start_new_session=False)
        log.close()
        self.starts += 1
        self.fleet.record.say("start", self.name, "process", self.process.pid)

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.is_running():
            self.process.send_signal(number)
            self.fleet.record.say(signal.Signals(number).name, self.name)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()

    def resident_mb(self):
        """Memory of the process in MB."""
        try:
            found = re.search(r"VmRSS:\s+(\d+) kB", Path(f"/proc/{self.process.pid}/status").read_text())
        except OSError:
            return 0
        return int(found.group(1)) / 1000 if found else 0

    def log_text(self):
        return (self.folder / "log").read_text(errors="replace") if (self.folder / "log").exists() else ""


def route(name, kind, prefix, **fields):
    standard = {"Name": name, "Host": HOST, "PathPrefix": prefix, "Type": kind, "Service": SERVICE, "Priority": 0}
    return standard | fields


def configuration(version, routes=None, **fields):
    routes = routes or [
        route("district-query", "streaming", "/query/", TimeoutMs=5000, ObjectiveMs=200, MaxAttempts=2, Resumable=True,
              GapTargetMs=250, Sticky=True),
        route("history-review", "streaming", "/review/", TimeoutMs=4000, ObjectiveMs=800, MaxAttempts=1,
              Resumable=False, GapTargetMs=250, Sticky=True),
        route("burst-sweep", "batch", "/sweep/", TimeoutMs=30000, ObjectiveMs=400, Priority=2, MaxAttempts=3,
              DueMs=20000, MaxWaitS=60, MaxQueuedTokens=1600000),
    ]
    services = [{"Name": SERVICE, "HealthPath": "/healthz", "MaxConns": 370, "Engine": {"Slots": 17, "KvCapacity": 153000}}]
    limits = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
    return {"Version": version, "Routes": routes, "Services": services, "Limits": limits} | fields


class Fleet:
    """The store, workers, gateways and storage nodes of one case."""

    def __init__(self, record, seed=1):
        self.record, self.random = record, random.Random(seed)
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = self.temporary.name
        self.store, self.losses = Store(), 1
        self.limits = {"gateway": {"MemoryMb": 260}, "storage": {"MemoryMb": 290, "DiskMb": 480}}
        self.workers, self.gateways, self.storage, self.tasks = [], [], [], []

    async def start(self, workers=4, gateways=2, storage=3, config=None):
        await self.store.start()
        self.store.put("op/config", config or configuration(1))
        # The entries of workers count as changed only when more than `Sequence` does: their heartbeats are left out.
        zones = list(ZONES)
        for number in range(workers):
            worker = Worker(number, self.record, zones[number % 3])
            self.workers.append(worker)
            await worker.start()
            self.store.put(f"servers/{worker.id}", worker.entry())
        for number in range(storage):
            self.storage.append(Node(self, "storage", number, zones[number % 3]))
        for number in range(gateways):
            self.gateways.append(Node(self, "gateway", number, zones[number % 3]))
        for node in self.storage + self.gateways:
            await node.start()
        await self.until(self.is_ready, 30, "the gateways are ready")

    async def is_ready(self):
        for gateway in self.gateways:
            if (await call(gateway.readiness, "GET", "/readyz", timeout=1)).status != 200:
                return False
        return True

    async def until(self, condition, seconds, what):
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            if await condition():
                return
            await asyncio.sleep(0.1)
        raise CaseError(f"not within {seconds} s: {what}")

    def new_id(self):
        return f"{self.random.getrandbits(64):016x}"

    async def submit(self, gateway, job, items, timeout=4.0, path="/sweep/"):
        body = json.dumps({"Requests": items}).encode()
        headers = [("X-Attempt-Id", job), ("Content-Type", "application/json"), ("X-Deadline-Ms", int(timeout * 1000))]
        answer = await call(gateway.callers, "POST", path + job[:6], headers, body, timeout + 1)
        self.record.say("submit", job, "items", len(items), "bytes", len(body), "at", gateway.name, "->", answer)
        return answer

    async def submit_until_taken(self, job, items, tries=20, pause=0.5):
        """Submits a job at one gateway after the other until one answers 202."""
        for number in range(tries):
            answer = await self.submit(self.gateways[number % len(self.gateways)], job, items)
            if answer.status == 202:
                return True
            await asyncio.sleep(pause)
        return False

    async def read_job(self, gateway, job, since=0, wait_ms=1000):
        target = f"/lots/{job}?SinceRev={since}"
        answer = await call(gateway.callers, "GET", target, [("X-Wait-Ms", wait_ms)], timeout=wait_ms / 1000 + 1.5)
        return answer, json.loads(answer.body) if answer.status == 200 and answer.complete else None

    def new_item(self, body, token_count=1000, path=None, headers=()):
        identity = self.new_id()
        standard = {"X-Model": "m", "X-Token-Usage": f"{token_count - 200},200", "X-Prompt-Prefix": f"{identity[:8]}:{token_count - 200}"}
        return {"Id": identity, "Path": path or f"/sweep/{identity[:4]}", "Headers": standard | dict(headers),
                "Body": base64.b64encode(body).decode(), "TokenCount": token_count}

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for node in self.gateways + self.storage:
            if node.is_running():
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                await node.process.wait()
        if os.environ.get("KEEP"):
            # Keeps the settings and logs of the processes in a folder that does not exist yet.
            shutil.copytree(self.folder, os.environ["KEEP"])
        self.temporary.cleanup()


def main(folder, case):
    """Runs `case(fleet, trouble)`, which returns the breaches it saw. Exits with 1, 0 or 2."""
    record = Record(Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        # Told to end, the case ends its processes first.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: record.say("note:", context["message"]))
        fleet = Fleet(record)
        try:
            async with asyncio.timeout(112):
                return await case(fleet, trouble)
        finally:
            await fleet.stop()

    try:
        breaches = asyncio.run(run())
    except (CaseError, TimeoutError, OSError, asyncio.CancelledError) as error:
        record.tell("could not run:", repr(error))
        sys.exit(2)
    for breach in breaches:
        record.tell("BROKEN", breach)
    record.tell("result:", "broken" if breaches else "held")
    sys.exit(1 if breaches else 0)
