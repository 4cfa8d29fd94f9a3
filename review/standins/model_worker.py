"""Stand-in of a model worker (PROTOCOL.md): streams of events, its record in the store, draining, its end."""

import asyncio
import hashlib
import itertools

from http11 import answer_bytes, serve

HEARTBEAT_S = 1.2
# Events that are sent together.
GROUP = 6
numbers = itertools.count(1)


def event(request_id, number):
    """The event `number` of a request; the same at each worker."""
    digest = hashlib.sha256(f"{request_id} {number}".encode()).hexdigest()
    return f"id: {number}\ndata: {digest[:60]}\n\n"


def whole_text(request_id, events):
    return "\n".join(event(request_id, number).split("data: ")[1].strip() for number in range(1, events + 1))


class Worker:
    def __init__(self, store, service, zone, slots, events, pause_s, seen, version="v1"):
        self.store, self.service, self.zone, self.slots = store, service, zone, slots
        self.events, self.pause_s, self.seen, self.version = events, pause_s, seen, version
        self.id = f"i-{next(numbers):08x}"
        self.state, self.running, self.sequence = "ready", 0, 0
        self.connections = set()

    async def start(self):
        self.server = await serve(self.answer)
        self.address = self.server.sockets[0].getsockname()
        self.record()
        self.beat = asyncio.create_task(self.heartbeats())
        return self

    def record(self):
        self.store.put(f"servers/{self.id}", {
            "Service": self.service, "Address": "%s:%d" % self.address, "Zone": self.zone, "Version": self.version,
            "Slots": self.slots, "State": self.state, "ColdLeftMs": 0, "Sequence": 1})

    async def heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.record()

    async def crash(self):
        """Ends at once. Its record goes after three heartbeats of silence."""
        self.stop_listening(abort=True)
        asyncio.get_running_loop().call_later(3 * HEARTBEAT_S, self.store.remove, f"servers/{self.id}")

    async def drain(self, serve_on_s):
        """Says that it is draining, serves on, and ends."""
        self.state = "draining"
        self.record()
        await asyncio.sleep(serve_on_s)
        self.stop_listening(abort=True)
        self.store.remove(f"servers/{self.id}")

    def stop_listening(self, abort):
        self.beat.cancel()
        self.server.close()
        for writer in list(self.connections):
            if abort:
                writer.transport.abort()

    def head(self, request, status, extra=()):
        seal = hashlib.sha256(request.headers.get("x-attempt-id", "").encode()).hexdigest()[:8]
        return [("X-Attempt-Id", request.headers.get("x-attempt-id", "")), ("X-Response-Seal", seal),
                ("X-Instance-Load", f"{self.running},0,{self.slots}"), *extra]

    async def answer(self, request, _reader, writer):
        self.connections.add(writer)
        try:
            return await self.run(request, writer)
        finally:
            self.connections.discard(writer)

    async def run(self, request, writer):
        headers = request.headers
        if headers.get("x-expect-instance", self.id) != self.id:
            writer.write(answer_bytes(421, b"", self.head(request, 421)))
            return None
        if self.running >= self.slots:
            writer.write(answer_bytes(503, b"", self.head(request, 503, [("X-Not-Executed", "1")])))
            return None
        request_id = headers.get("x-attempt-id", "")
        after = int(headers.get("last-event-id", "0"))
        self.running += 1
        self.seen.ran(self, request_id, after)
        try:
            lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
            lines += [f"{name}: {value}" for name, value in self.head(request, 200)]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            for first in range(after + 1, self.events + 1, GROUP):
                numbers_now = range(first, min(first + GROUP, self.events + 1))
                await asyncio.sleep(self.pause_s * len(numbers_now))
                if writer.transport.is_closing():
                    return False
                data = "".join(event(request_id, number) for number in numbers_now).encode()
                writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.seen.finished(self, request_id)
            return None
        finally:
            self.running -= 1
