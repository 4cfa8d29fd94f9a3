"""A small HTTP/1.1 server and client on asyncio, enough for the stand-ins."""

import asyncio


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)


async def read_head(reader):
    """Returns the start line and the headers (names in lower case), or None at the end of the stream."""
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


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if size == 0:
            return body


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return await read_chunks(reader)
    return await reader.readexactly(int(headers.get("content-length", "0")))


def answer_bytes(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def serve(handler, host="127.0.0.1", port=0, limit=1 << 24):
    """Starts a server. `handler(request, reader, writer)` writes the whole answer; it returns False to close."""

    async def on_connection(reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                start, headers = head
                method, target, _ = start.split(" ", 2)
                body = await read_body(reader, headers)
                if await handler(Request(method, target, headers, body), reader, writer) is False:
                    return
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, host, port, limit=limit)


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


async def call(address, method, target, headers=(), body=b"", timeout=5.0):
    """Makes a call on a connection of its own. Returns None if there is no complete answer in time."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address, limit=1 << 24)
        try:
            lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(body)}", "Connection: close"]
            lines += [f"{name}: {value}" for name, value in headers]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return None
            start, answered = head
            if "content-length" not in answered and "transfer-encoding" not in answered:
                content = await reader.read()
            else:
                content = await read_body(reader, answered)
            return Answer(int(start.split(" ")[1]), answered, content)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None
