"""Stand-in of the platform's metadata store (PROTOCOL.md): items, ranges, watches, transactions with conditions."""

import asyncio
import base64
import json
from urllib.parse import unquote

from http11 import answer_bytes, serve

PAGE = 500


class Store:
    def __init__(self):
        self.items = {}  # key -> (bytes, revision)
        self.history = []  # (revision, key)
        self.revision = 1
        self.changed = asyncio.Event()
        self.mode = "up"  # "up", "busy" (503 to all calls) or "silent"
        self.address = None

    async def start(self):
        server = await serve(self.answer)
        self.address = server.sockets[0].getsockname()
        return self

    def put(self, key, value):
        """Writes as the operator or a worker."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        known = self.items.get(key)
        if known and known[0] == data:
            return
        self.revision += 1
        self.items[key] = (data, self.revision)
        self.record(key)

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.record(key)

    def record(self, key):
        self.history.append((self.revision, key))
        self.changed.set()
        self.changed = asyncio.Event()

    def get(self, key):
        found = self.items.get(key)
        return json.loads(found[0]) if found else None

    def item(self, key):
        data, revision = self.items[key]
        return {"KeyFile": key, "Value": base64.b64encode(data).decode(), "Revision": revision,
                "made": revision, "lease": 0}

    async def answer(self, request, _reader, writer):
        if self.mode == "silent":
            await asyncio.sleep(3600)
        if self.mode == "busy":
            writer.write(answer_bytes(503))
            return
        query = {name: unquote(value) for name, value in request.query.items()}
        if request.path == "/kv-key":
            status, body = self.read(query)
        elif request.path == "/kv-range":
            status, body = self.range(query)
        elif request.path == "/kv-watch":
            status, body = await self.watch(query)
        elif request.path == "/kv-txn":
            status, body = self.transact(json.loads(request.body))
        else:
            status, body = 404, {}
        writer.write(answer_bytes(status, json.dumps(body).encode(), [("Content-Type", "application/json")]))

    def read(self, query):
        key = query.get("KeyFile", "")
        return (200, {**self.item(key), "at": self.revision}) if key in self.items else (404, {})

    def range(self, query):
        prefix, after = query.get("PathPrefix", ""), query.get("SinceRev")
        keys = sorted(key for key in self.items if key.startswith(prefix) and (after is None or key > after))
        return 200, {"Requests": [self.item(key) for key in keys[:PAGE]], "more": len(keys) > PAGE,
                     "at": self.revision}

    async def watch(self, query):
        prefix, since = query.get("PathPrefix", ""), int(query.get("SinceRev", "0"))
        end = asyncio.get_running_loop().time() + int(query.get("WaitMs", "0")) / 1000
        while True:
            keys = {key: revision for revision, key in self.history if revision > since and key.startswith(prefix)}
            left = end - asyncio.get_running_loop().time()
            if keys or left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        events = [self.item(key) if key in self.items else {"KeyFile": key, "Revision": revision, "gone": True}
                  for key, revision in sorted(keys.items(), key=lambda pair: pair[1])]
        return 200, {"events": events, "at": self.revision}

    def transact(self, body):
        def found(key):
            return self.items[key][1] if key in self.items else 0

        rows = body.get("ExpectedRev", [])
        if any(found(row["KeyFile"]) != row["Revision"] for row in rows):
            present = [self.item(row["KeyFile"]) for row in rows if row["KeyFile"] in self.items]
            return 412, {"Requests": present}
        self.revision += 1
        for row in body.get("put", []):
            self.items[row["KeyFile"]] = (base64.b64decode(row["Value"]), self.revision)
            self.record(row["KeyFile"])
        for key in body.get("Remove", []):
            if self.items.pop(key, None):
                self.record(key)
        return 200, {"Revision": self.revision}
