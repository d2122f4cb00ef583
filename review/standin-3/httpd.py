"""A small HTTP/1.1 server on asyncio, shared by the stand-ins."""

import asyncio
import json
from urllib.parse import parse_qsl, urlsplit

REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           429: "Too Many Requests", 503: "Service Unavailable"}


class Request:
    def __init__(self, method, target, headers, body):
        parts = urlsplit(target)
        self.method = method
        self.path = parts.path
        self.query = dict(parse_qsl(parts.query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body or b"{}")


def reply(status, body=None):
    """An answer: the status, the body and its type."""
    if body is None:
        return status, b"", None
    if isinstance(body, (bytes, bytearray)):
        return status, bytes(body), "application/octet-stream"
    return status, json.dumps(body).encode(), "application/json"


async def _read(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Request(method, target, headers, body)


async def serve(port, handler):
    """Serves `handler(request)`, which returns what `reply` does, or None to give no answer."""

    async def connection(reader, writer):
        try:
            while True:
                request = await _read(reader)
                answer = await handler(request)
                if answer is None:
                    break
                status, body, kind = answer
                head = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                if kind:
                    head += f"Content-Type: {kind}\r\n"
                head += f"Content-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, "127.0.0.1", port, limit=1 << 22, backlog=512)
