"""Stand-in of an executor, one process for one life.

python3 executor.py HOST PORT ID SERVICE MACHINE RACK STORE_PORT MAX_HOLD_MS

Follows "Running tasks" of PROTOCOL.md. A task's `spec` says how long it works, as `work_ms=N`. A
life knows nothing of earlier ones: its runs, its highest fence number, the numbers of its ends and
its clock begin anew. What happens is printed as lines of JSON.
"""

import asyncio
import json
import re
import sys
import time

import http11

HOST, PORT, ID, SERVICE, MACHINE, RACK, STORE_PORT, MAX_HOLD_MS = sys.argv[1:9]
PORT, STORE_PORT, MAX_HOLD_MS = int(PORT), int(STORE_PORT), int(MAX_HOLD_MS)
BORN_MS = int(time.time() * 1000)
START = time.monotonic()
CAPACITY = {"cpu": 16000, "mem_mb": 65536, "gpu": 0}
HEARTBEAT_S = 1.5


def clock_ms():
    return int((time.monotonic() - START) * 1000) + 1000


def log(event, **fields):
    line = {"at_s": round(time.monotonic(), 3), "executor": ID, "born": BORN_MS, "event": event}
    print(json.dumps({**line, **fields}), flush=True)


class Executor:
    def __init__(self):
        self.running = {}
        self.closed = {}
        self.finished = []
        self.last_end = 0
        self.token = 0
        self.deadline_ms = 0
        self.ended = asyncio.Event()

    def extend(self, deadline_ms):
        deadline_ms = min(deadline_ms, clock_ms() + MAX_HOLD_MS)
        self.deadline_ms = max(self.deadline_ms, deadline_ms)

    def end(self, name, run, how):
        self.running.pop((name, run), None)
        self.closed[name] = max(self.closed.get(name, 0), run)
        self.last_end += 1
        self.finished.append([self.last_end, name, run, how, ""])
        log("end", task=name, run=run, how=how, number=self.last_end)
        self.ended.set()
        self.ended = asyncio.Event()

    async def work(self, name, run, work_ms):
        await asyncio.sleep(work_ms / 1000)
        if (name, run) in self.running:
            self.end(name, run, "done")

    def start(self, body):
        name, run = body["task"], body["run"]
        if body["deadline_ms"] <= clock_ms():
            return 409, {"clock_ms": clock_ms(), "reason": "late"}
        self.extend(body["deadline_ms"])
        if (name, run) in self.running:
            return 200, {"clock_ms": clock_ms()}
        if run <= self.closed.get(name, 0):
            return 409, {"clock_ms": clock_ms(), "reason": "old"}
        work_ms = int(re.search(r"work_ms=(\d+)", body["spec"]).group(1))
        self.running[(name, run)] = time.monotonic()
        log("start", task=name, run=run, fencing_token=body["fencing_token"])
        asyncio.ensure_future(self.work(name, run, work_ms))
        return 200, {"clock_ms": clock_ms()}

    def stop(self, body):
        name, run = body["task"], body["run"]
        if (name, run) in self.running:
            self.end(name, run, "stopped")
        self.closed[name] = max(self.closed.get(name, 0), run)
        return 200, {"clock_ms": clock_ms()}

    async def hold(self, body):
        cursor = body.get("ack_cursor", 0)
        for number, name, run, how, _ in self.finished:
            if number <= cursor:
                log("noted", task=name, run=run, how=how, number=number, ack_cursor=cursor)
        self.finished = [end for end in self.finished if end[0] > cursor]
        if "deadline_ms" in body:
            self.extend(body["deadline_ms"])
        if body.get("wait_ms") and not self.finished:
            try:
                await asyncio.wait_for(self.ended.wait(), min(body["wait_ms"], 2000) / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[name, run, "", 50, 0] for name, run in self.running]
        return 200, {
            "born": BORN_MS,
            "clock_ms": clock_ms(),
            "running": running,
            "finished": self.finished[:500],
        }

    async def handle(self, request):
        if request.path == "/health":
            return 200, {"born": BORN_MS}
        if request.headers.get("lynxwheel-expect-instance", ID) != ID:
            return 421, {"clock_ms": clock_ms()}
        body = request.json()
        if body.get("fencing_token", 0) < self.token:
            return 409, {"clock_ms": clock_ms(), "reason": "fence"}
        self.token = body.get("fencing_token", 0)
        if request.path == "/run-start":
            return self.start(body)
        if request.path == "/run-stop":
            return self.stop(body)
        if request.path == "/hold":
            return await self.hold(body)
        return 200, {"clock_ms": clock_ms()}

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.running and clock_ms() > self.deadline_ms:
                log("lapsed", runs=len(self.running))
                for name, run in list(self.running):
                    self.end(name, run, "lapsed")

    async def register(self):
        sequence = 0
        while True:
            sequence += 1
            entry = {
                "born": BORN_MS,
                "service": SERVICE,
                "address": f"{HOST}:{PORT}",
                "zone": "zone-a",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_remaining_ms": 0,
                "capacity": CAPACITY,
                "labels": ["a", RACK],
                "machine": MACHINE,
                "clock_ms": clock_ms(),
                "sequence": sequence,
            }
            path = f"/put?topic=keyed.servers&key={ID}"
            await http11.call(HOST, STORE_PORT, "POST", path, body=json.dumps(entry).encode())
            await asyncio.sleep(HEARTBEAT_S)


async def main():
    executor = Executor()
    server = await http11.serve(HOST, PORT, executor.handle)
    log("up")
    asyncio.ensure_future(executor.watch_lease())
    asyncio.ensure_future(executor.register())
    async with server:
        await server.serve_forever()


asyncio.run(main())
