"""Stand-in of the platform: its store (a log with topics) and its service of machines.

python3 platform.py HOST PORT [RECORD_BYTES]

Follows "The platform's metadata store" of PROTOCOL.md as far as the system calls it: `/log-append`
with `at`, `producer`, `epoch` and `sequence`; `/log-read` with `from` and `wait_ms`; `/log-newest`.
A record of more than RECORD_BYTES is refused with 413. Executors, the operator and the test write
with `/put` (an access of the stand-in's own, which the system is not told of).
"""

import asyncio
import base64
import json
import struct
import sys
import time

import http11


class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}


class Store:
    def __init__(self, record_bytes):
        self.record_bytes = record_bytes
        self.topics = {}
        self.changed = asyncio.Event()

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def add(self, name, records):
        topic = self.topic(name)
        first = len(topic.records)
        for record in records:
            if name.startswith("keyed."):
                size = record[0]
                key, value = record[1 : 1 + size].decode(), record[1 + size :]
                if value:
                    topic.newest[key] = (len(topic.records), value)
                else:
                    topic.newest.pop(key, None)
            topic.records.append(record)
        self.notify()
        return first, len(topic.records)

    def append(self, query, body):
        name = query["topic"]
        topic = self.topic(name)
        records = []
        at = 0
        while at < len(body):
            (size,) = struct.unpack_from(">I", body, at)
            records.append(body[at + 4 : at + 4 + size])
            at += 4 + size
        largest = max(map(len, records), default=0)
        if largest > self.record_bytes:
            print(json.dumps({"record_refused": largest, "at_s": time.monotonic()}), flush=True)
            return 413, {"reason": "record_bytes"}
        if "producer" in query:
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            known = topic.producers.setdefault(
                query["producer"], {"epoch": epoch, "next": None, "recent": []}
            )
            if epoch < known["epoch"]:
                return 409, {"reason": "fenced"}
            if records:
                for recent, answer in known["recent"]:
                    if recent == sequence:
                        return 200, answer
                if epoch == known["epoch"] and known["next"] not in (None, sequence):
                    return 409, {"reason": "seq", "sequence": known["next"]}
        if "at" in query and int(query["at"]) != len(topic.records):
            return 412, {"end_offset": len(topic.records)}
        first, end = self.add(name, records)
        answer = {"offset": first, "end_offset": end}
        if "producer" in query:
            if epoch > known["epoch"]:
                known["epoch"], known["next"] = epoch, None
            if records:
                known["next"] = sequence + 1
                known["recent"] = known["recent"][-4:] + [(sequence, answer)]
        return 200, answer

    async def read(self, query):
        topic = self.topic(query["topic"])
        start = int(query["from"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while len(topic.records) <= start and time.monotonic() < until:
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        body = struct.pack(">QQ", len(topic.records), 0)
        size = 0
        for record in topic.records[start:]:
            size += len(record)
            if size > 1_000_000:
                break
            body += struct.pack(">I", len(record)) + record
        return 200, body

    def newest(self, query):
        topic = self.topic(query["topic"])
        keys = sorted(key for key in topic.newest if key > query.get("depends_on", ""))
        items, size = [], 0
        for key in keys:
            offset, value = topic.newest[key]
            size += len(value)
            if len(items) == 500 or (items and size > 1_000_000):
                break
            value = base64.b64encode(value).decode()
            items.append({"key": key, "value": value, "offset": offset})
        more = len(items) < len(keys)
        return 200, {"items": items, "has_more": more, "end_offset": len(topic.records)}


async def main():
    host, port = sys.argv[1], int(sys.argv[2])
    store = Store(int(sys.argv[3]) if len(sys.argv) > 3 else 262_144)

    async def handle(request):
        if request.path == "/put":
            key = request.query["key"].encode()
            store.add(request.query["topic"], [bytes([len(key)]) + key + request.body])
            return 200, {}
        if request.path == "/machines":
            machines = []
            for key, (_, value) in store.topic("keyed.servers").newest.items():
                entry = json.loads(value)
                machines.append(
                    {
                        "machine": entry["machine"],
                        "pool": entry["service"],
                        "state": "up",
                        "zone": entry["zone"],
                        "labels": entry["labels"],
                        "capacity": entry["capacity"],
                        "id": key,
                    }
                )
            return 200, {"machines": machines, "next_page_token": None}
        await asyncio.sleep(0.003)
        if request.path == "/log-append":
            await asyncio.sleep(0.002)
            return store.append(request.query, request.body)
        if request.path == "/log-read":
            return await store.read(request.query)
        if request.path == "/log-newest":
            return store.newest(request.query)
        if request.path in ("/machine-move", "/machine-upkeep"):
            return 409, {"reason": "busy"}
        return 404, {}

    server = await http11.serve(host, port, handle)
    print(json.dumps({"ready": port}), flush=True)
    async with server:
        await server.serve_forever()


asyncio.run(main())
