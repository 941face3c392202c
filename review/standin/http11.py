"""Minimal HTTP/1.1 server and client for the stand-ins, on asyncio and the standard library only."""

import asyncio
import json
from urllib.parse import parse_qs, urlsplit


class Request:
    def __init__(self, method, target, headers, body):
        parts = urlsplit(target)
        self.method = method
        self.path = parts.path
        self.query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)


async def read_head(reader):
    """Returns the first line and the headers of a message, or None at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    first = line.decode("latin-1").strip()
    headers = {}
    while True:
        line = (await reader.readline()).decode("latin-1")
        if line in ("\r\n", "\n", ""):
            return first, headers
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        chunks = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return b"".join(chunks)
            chunks.append(chunk[:-2])
    return await reader.readexactly(int(headers.get("content-length", 0)))


async def serve(host, port, handler):
    """Serves `handler(request) -> (status, body)`; a body is bytes or a value encoded as JSON."""

    async def connected(reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                first, headers = head
                method, target, _ = first.split(" ", 2)
                body = await read_body(reader, headers)
                status, answer = await handler(Request(method, target, headers, body))
                if not isinstance(answer, bytes):
                    answer = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(answer)}\r\n\r\n".encode()
                    + answer
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connected, host, port, limit=1 << 24, backlog=1024)


async def call(host, port, method, path, headers=None, body=b"", timeout=3.0):
    """Sends one request on a new connection; returns (status, body), or None without an answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(host, port, limit=1 << 24)
        try:
            lines = [f"{method} {path} HTTP/1.1"]
            fields = {"Host": f"{host}:{port}", **(headers or {})}
            fields["Content-Length"] = str(len(body))
            fields["Connection"] = "close"
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            first, answer_headers = await read_head(reader)
            return int(first.split()[1]), await read_body(reader, answer_headers)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, TypeError, ValueError):
        return None
