"""Stand-in for one minion: it registers in the store and takes orders as PROTOCOL.md says.

Usage: minion.py ID PORT STORE_PORT EVENTS ZONE RACK [KIND [FIRST_BEAT_S]]

KIND is its first label, FIRST_BEAT_S the time from its start to its first heartbeat.

Every start and every end is appended to the file EVENTS as a line of JSON. The spec of a task is JSON:
{"ms": N} works for N milliseconds and ends `done`; {"lasts": true} works until it is stopped. With {"save": C} it saves a
checkpoint of C characters after each 2 s of work, and with {"fail_ms": N} a run that starts without a checkpoint fails after N ms.
"""

import asyncio
import http.client
import json
import sys
import time

import httpd
from httpd import reply

HOLD_MAX_MS = 6_000
STOP_S = 0.1
BEAT_S = 1.5
STARTUP_S = 0.3
SAVE_S = 2.0
CAPACITY = {"cpu": 16_000, "memMb": 64_000, "gpu": 0}


class Minion:
    def __init__(self, name, port, store_port, events, zone, rack, kind="a", first_beat="0"):
        self.kind, self.first_beat = kind, float(first_beat)
        self.name, self.port, self.store_port = name, port, store_port
        self.zone, self.rack = zone, rack
        self.events = open(events, "a", buffering=1)
        self.started = time.monotonic()
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.until = 0
        self.runs = {}
        self.ended = []
        self.last_number = 0
        self.highest = {}
        self.changed = asyncio.Condition()
        self.seq = 0

    def clock(self):
        return int((time.monotonic() - self.started) * 1000)

    def note(self, event, **fields):
        fields.update(event=event, minion=self.name, born=self.born, at=time.time())
        self.events.write(json.dumps(fields) + "\n")

    def renew(self, until):
        self.until = max(self.until, min(int(until), self.clock() + HOLD_MAX_MS))

    async def end(self, task, run, how):
        if (task, run) not in self.runs:
            return
        saved = self.checkpoint(task, run)
        del self.runs[(task, run)]
        self.highest[task] = max(self.highest.get(task, 0), run)
        self.last_number += 1
        self.ended.append([self.last_number, task, run, how, saved])
        self.note("end", task=task, run=run, how=how)
        async with self.changed:
            self.changed.notify_all()

    def checkpoint(self, task, run):
        since, spec, resumed = self.runs[(task, run)]
        saves = int((time.monotonic() - since) / SAVE_S) if spec.get("save") else 0
        if not saves:
            return resumed
        text = f"{task} run {run} save {saves} "
        return text + "x" * max(0, spec["save"] - len(text))

    async def work(self, task, run, spec):
        if "fail_ms" in spec and not self.runs[(task, run)][2]:
            await asyncio.sleep(spec["fail_ms"] / 1000)
            await self.end(task, run, "failed")
            return
        if spec.get("lasts"):
            return
        await asyncio.sleep(spec.get("ms", 100) / 1000)
        await self.end(task, run, spec.get("how", "done"))

    async def stop_later(self, task, run):
        await asyncio.sleep(STOP_S)
        await self.end(task, run, "stopped")

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.runs and self.clock() > self.until:
                for task, run in list(self.runs):
                    await self.end(task, run, "lapsed")

    async def handle(self, request):
        if request.method == "GET" and request.path == "/health":
            return reply(200)
        expected = request.headers.get("x-expected-instance")
        if expected is not None and expected != self.name:
            return reply(421)
        body = request.json()
        token = body.get("fencingToken", 0)
        if token < self.fence:
            return reply(409, {"clockMs": self.clock(), "reason": "fence"})
        self.fence = token
        if request.path == "/run-start":
            return self.start(body)
        if request.path == "/run-stop":
            task, run = body["task"], body["run"]
            self.highest[task] = max(self.highest.get(task, 0), run)
            if (task, run) in self.runs:
                asyncio.create_task(self.stop_later(task, run))
            return reply(200, {"clockMs": self.clock()})
        if request.path == "/hold":
            return await self.hold(body)
        if request.path == "/pace":
            return reply(200, {"clockMs": self.clock()})
        return reply(404)

    def start(self, body):
        task, run = body["task"], body["run"]
        if (task, run) in self.runs:
            self.renew(body["untilMs"])
            return reply(200, {"clockMs": self.clock()})
        if run <= self.highest.get(task, 0):
            self.renew(body["untilMs"])
            return reply(409, {"clockMs": self.clock(), "reason": "old"})
        if body["untilMs"] <= self.clock():
            return reply(409, {"clockMs": self.clock(), "reason": "late"})
        self.renew(body["untilMs"])
        spec = json.loads(body["spec"])
        self.runs[(task, run)] = (time.monotonic(), spec, body.get("checkpoint", ""))
        self.note("start", task=task, run=run, token=self.fence, spec=body["spec"][:200])
        asyncio.create_task(self.work(task, run, spec))
        return reply(200, {"clockMs": self.clock()})

    async def hold(self, body):
        seen = body.get("lastSeen", 0)
        self.ended = [end for end in self.ended if end[0] > seen]
        if body.get("untilMs"):
            self.renew(body["untilMs"])
        wait = min(body.get("waitMs", 0), 2_000) / 1000
        if wait and not self.ended:
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait_for(lambda: self.ended), wait)
            except asyncio.TimeoutError:
                pass
        running = []
        for (task, run), (since, _, _) in self.runs.items():
            age = time.monotonic() - since
            running.append([task, run, self.checkpoint(task, run), 100 if age >= STARTUP_S else 0, 0])
        return reply(200, {"clockMs": self.clock(), "born": self.born, "running": running,
                           "ended": self.ended[:500]})

    def beat(self):
        self.seq += 1
        entry = {"service": "asm", "address": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "v1",
                 "slots": 8, "state": "ready", "coldRemainingMs": 0, "capacity": CAPACITY,
                 "labels": [self.kind, self.rack], "clockMs": self.clock(), "seq": self.seq, "born": self.born}
        connection = http.client.HTTPConnection("127.0.0.1", self.store_port, timeout=1)
        try:
            connection.request("POST", f"/standin/put?topic=keyed.servers&key={self.name}", json.dumps(entry))
            connection.getresponse().read()
        except OSError:
            pass
        finally:
            connection.close()

    async def beats(self):
        await asyncio.sleep(self.first_beat)
        while True:
            await asyncio.to_thread(self.beat)
            await asyncio.sleep(BEAT_S)


async def main():
    name, port, store_port, *others = sys.argv[1:]
    port, store_port = int(port), int(store_port)
    minion = Minion(name, port, store_port, *others)
    server = await httpd.serve(port, minion.handle)
    minion.note("up", kind=minion.kind)
    asyncio.create_task(minion.watch_lease())
    asyncio.create_task(minion.beats())
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
