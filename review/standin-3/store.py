"""Stand-in for the platform's store: the log calls of PROTOCOL.md, without rate limits.

Usage: store.py PORT

Calls under /standin/ are the operator's, the minions' and the test's own; the programs under test never send them.
"""

import asyncio
import base64
import struct
import sys
import time

import httpd
from httpd import reply

ANSWER_S = 0.004
APPEND_S = 0.003
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
KEEP_S = 300


class Partition:
    def __init__(self):
        self.first = 0
        self.records = []
        self.newest = {}
        self.producers = {}
        self.changed = asyncio.Condition()
        self.free_at = 0.0

    @property
    def end(self):
        return self.first + len(self.records)

    def add(self, records, is_keyed):
        offset = self.end
        for record in records:
            if is_keyed:
                length = record[0]
                key, value = record[1:1 + length], record[1 + length:]
                if value:
                    self.newest[key] = (self.end, value)
                else:
                    self.newest.pop(key, None)
            self.records.append((time.monotonic(), record))
        return {"offset": offset, "end": self.end}

    def expire(self):
        limit = time.monotonic() - KEEP_S
        while self.records and self.records[0][0] < limit:
            self.records.pop(0)
            self.first += 1


class Store:
    def __init__(self):
        self.parts = {}
        # Set by the test: added to the time of each answer, and the share of writes that are done and not answered.
        self.slow_s = 0.0
        self.refusing = False

    def part(self, query):
        key = (query["topic"], int(query.get("part", "0")))
        if key not in self.parts:
            self.parts[key] = Partition()
        return self.parts[key]

    async def handle(self, request):
        if request.path.startswith("/standin/"):
            return await self.control(request)
        if self.refusing:
            return reply(503)
        await asyncio.sleep(ANSWER_S + self.slow_s)
        if request.path == "/log-append":
            return await self.append(request)
        if request.path == "/log-read":
            return await self.read(request)
        if request.path == "/log-newest":
            return self.list_newest(request)
        return reply(404)

    async def control(self, request):
        if request.path == "/standin/put":
            # A record of the operator or of a minion.
            part = self.part({"topic": request.query["topic"]})
            key = request.query["key"].encode()
            part.add([bytes([len(key)]) + key + request.body], True)
            async with part.changed:
                part.changed.notify_all()
            return reply(200)
        if request.path == "/standin/slow":
            self.slow_s = float(request.query["s"])
            return reply(200)
        if request.path == "/standin/refuse":
            self.refusing = request.query["on"] == "1"
            return reply(200)
        return reply(404)

    async def append(self, request):
        query = request.query
        if query["topic"] in ("keyed.op", "keyed.servers"):
            return reply(403)
        records, rest = [], request.body
        while rest:
            if len(rest) < 4:
                return reply(400)
            (length,) = struct.unpack(">I", rest[:4])
            if length > RECORD_BYTES or len(rest) < 4 + length:
                return reply(400)
            records.append(rest[4:4 + length])
            rest = rest[4 + length:]
        if sum(map(len, records)) > CALL_BYTES:
            return reply(400)
        part = self.part(query)
        now = time.monotonic()
        if part.free_at > now + 2:
            return reply(503)
        part.free_at = max(now, part.free_at) + APPEND_S
        wait = part.free_at - now
        if "at" in query and int(query["at"]) != part.end:
            return reply(412, {"end": part.end})
        is_keyed = query["topic"].startswith("keyed.")
        if "producer" in query:
            epoch, seq = int(query["epoch"]), int(query["seq"])
            known = part.producers.get(query["producer"])
            if known and epoch < known["epoch"]:
                return reply(409, {"reason": "fenced"})
            if known and epoch == known["epoch"] and known["seq"] is not None:
                for past, answer in known["recent"]:
                    if past == seq:
                        return reply(200, answer)
                if seq != known["seq"] + 1:
                    return reply(409, {"reason": "seq", "seq": known["seq"] + 1})
            if not known or epoch > known["epoch"]:
                known = part.producers[query["producer"]] = {"epoch": epoch, "seq": None, "recent": []}
            answer = part.add(records, is_keyed)
            if records:
                known["seq"] = seq
                known["recent"] = (known["recent"] + [(seq, answer)])[-5:]
        else:
            answer = part.add(records, is_keyed)
        async with part.changed:
            part.changed.notify_all()
        await asyncio.sleep(wait)
        return reply(200, answer)

    async def read(self, request):
        part = self.part(request.query)
        start = int(request.query["from"])
        limit = int(request.query.get("maxKb", "1024")) * 1024
        wait = min(int(request.query.get("waitMs", "0")), 30_000) / 1000
        if wait and part.end <= start:
            try:
                async with part.changed:
                    await asyncio.wait_for(part.changed.wait_for(lambda: part.end > start), wait)
            except asyncio.TimeoutError:
                pass
        part.expire()
        if start < part.first:
            return reply(410, {"first": part.first})
        body = bytearray(struct.pack(">QQ", part.end, part.first))
        for _, record in part.records[start - part.first:]:
            if len(body) + len(record) > limit and len(body) > 16:
                break
            body += struct.pack(">I", len(record)) + record
        return reply(200, body)

    def list_newest(self, request):
        part = self.part(request.query)
        after = request.query.get("dependsOn", "").encode()
        items, size, more = [], 0, False
        for key in sorted(key for key in part.newest if key > after):
            offset, value = part.newest[key]
            if len(items) == 500 or (items and size + len(value) > 1 << 20):
                more = True
                break
            size += len(value)
            items.append({"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset})
        return reply(200, {"items": items, "more": more, "end": part.end})


async def main():
    server = await httpd.serve(int(sys.argv[1]), Store().handle)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
