"""A small deployment on loopback addresses: the platform's stand-in, executors, and real nodes.

Each part is a process of its own. Every process that was started is ended by `close`.
"""

import asyncio
import json
import os
import re
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
sys.path.insert(0, HERE)

import http11  # noqa: E402

HOST = "127.0.0.1"
QUEUE_HOST = "desk.example"
PREFIX = "/renewals/"
SERVICE = "renewal-desk"

BOUNDS = """bounds.contact_ms=3000
bounds.ack_timeout_ms=4000
bounds.drain_ms=2000
bounds.grace_s=6
bounds.config_apply_ms=2000
bounds.max_stretch_ms=5000
bounds.recovery_s=12
bounds.max_hold_ms=10000
bounds.stop_ms=200
bounds.gang_timeout_ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.finish_s=14
bounds.status_s=120
bounds.remote_factor=2
bounds.notice_ms=4500
bounds.migrate_s=1.5
bounds.maintenance_s=2
bounds.require_fencing=false
bounds.lease_ms=3000
"""


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((HOST, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Deployment:
    def __init__(self, record_path, nodes=3, executors=7, record_bytes=262_144):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = open(record_path, "w")
        self.start_s = time.monotonic()
        self.processes = []
        self.events = []
        self.readers = []
        self.node_count, self.executor_count = nodes, executors
        self.record_bytes = record_bytes
        self.store_port = free_ports(1)[0]
        self.executors = {}
        self.nodes = []
        self.node_commands = []

    def write(self, line):
        self.record.write(f"{time.monotonic() - self.start_s:8.3f} {line}\n")
        self.record.flush()

    async def spawn(self, name, arguments, environment=None):
        process = await asyncio.create_subprocess_exec(
            *arguments,
            cwd=ROOT,
            env={**os.environ, **(environment or {})},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
            limit=1 << 22,
        )
        self.processes.append(process)
        self.readers.append(asyncio.ensure_future(self.follow(name, process)))
        return process

    async def follow(self, name, process):
        logs = open(os.path.join(self.folder, f"{name}.log"), "a")
        while line := await process.stdout.readline():
            text = line.decode(errors="replace").strip()
            logs.write(text + "\n")
            logs.flush()
            if name.startswith(("executor", "platform")):
                event = json.loads(text)
                self.events.append(event)
                self.write(f"{name}: {text}")

    async def start_executor(self, index, executor_id=None):
        port, known_id = self.executors.get(index, (None, None))
        port = port or free_ports(1)[0]
        executor_id = executor_id or known_id or f"i-{index:010x}"
        arguments = [sys.executable, os.path.join(HERE, "executor.py"), HOST, str(port), executor_id]
        arguments += [SERVICE, f"m-{index:05x}", f"r1-{index // 4}", str(self.store_port), "10000"]
        process = await self.spawn(f"executor-{index}", arguments)
        self.executors[index] = (port, executor_id)
        return process

    def put(self, topic, key, value):
        path = f"/put?topic={topic}&key={key}"
        body = json.dumps(value).encode()
        return http11.call(HOST, self.store_port, "POST", path, body=body)

    async def start(self):
        arguments = [sys.executable, os.path.join(HERE, "platform.py"), HOST, str(self.store_port)]
        await self.spawn("platform", arguments + [str(self.record_bytes)])
        while await http11.call(HOST, self.store_port, "GET", "/machines") is None:
            await asyncio.sleep(0.05)
        config = {
            "version": 7,
            "routes": [
                {
                    "name": "r-1",
                    "host": QUEUE_HOST,
                    "path_prefix": PREFIX,
                    "kind": "non_idempotent",
                    "timeout_ms": 3000,
                    "target_latency_ms": 600,
                    "priority": 0,
                    "service": SERVICE,
                    "max_attempts": 3,
                    "stretch": 1.6,
                }
            ],
            "services": [{"name": SERVICE, "admission_check": False}],
            "limits": {"max_body_bytes": 262144},
        }
        await self.put("keyed.op", "config", config)
        self.executor_processes = {}
        for index in range(self.executor_count):
            self.executor_processes[index] = await self.start_executor(index)
        with open(os.path.join(ROOT, "deploy/system.toml")) as file:
            command = shlex.split(re.search(r'^run = "(.*)"', file.read(), re.MULTILINE).group(1))
        command[0] = os.path.join(ROOT, command[0])
        for index in range(self.node_count):
            front, ready, first, last = free_ports(4)
            settings = os.path.join(self.folder, f"node-{index}.conf")
            with open(settings, "w") as file:
                file.write(
                    f"node_name=frontend-{index}\nrole=node\nmachine_class=frontend\n"
                    f"ip={HOST}\nzone=zone-a\nregion=region-a\nzones.zone-a=region-a\n"
                    f"listen_addrs.front={HOST}:{front}\nlisten_addrs.ready={HOST}:{ready}\n"
                    f"internal_ports={min(first, last)},{max(first, last)}\n"
                    "bootstrap=true\nlimits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\n"
                    "limits.max_fds=4100\nlimits.link_mbps=1000.0\ndiscovery=platform\n"
                    f"heartbeat_ms=1500\n{BOUNDS}control_mode=call\n"
                    f"platform.address={HOST}:{self.store_port}\nplatform.form=log\n"
                    "platform.writes_per_s=800\nplatform.reads_per_s=2000\nplatform.parts=32\n"
                    f"platform.record_bytes={self.record_bytes}\nplatform.request_bytes=2097152\n"
                    f"platform.keep_s=300\ncloud.address={HOST}:{self.store_port}\n"
                    "cloud.rate_per_s=64.0\ncloud.duty_per_s=64.0\n"
                )
            environment = {"LYNXWHEEL_CONFIG": settings}
            process = await self.spawn(f"node-{index}", command, environment)
            self.nodes.append((front, ready, process))
            self.node_commands.append((command, environment))
        until = time.monotonic() + 15
        for front, ready, _ in self.nodes:
            while True:
                answer = await http11.call(HOST, ready, "GET", "/ready", timeout=1)
                if answer and answer[0] == 200:
                    break
                if time.monotonic() > until:
                    raise RuntimeError("a node does not get ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(2.5)
        self.write("the deployment is up")

    async def restart_nodes(self):
        """Kills all nodes and starts them again with the same settings."""
        for _, _, process in self.nodes:
            process.kill()
        for index, (front, ready, process) in enumerate(self.nodes):
            await process.wait()
            command, environment = self.node_commands[index]
            process = await self.spawn(f"node-{index}", command, environment)
            self.nodes[index] = (front, ready, process)

    async def ask(self, node, method, job, body=None, timeout=3.0):
        """Sends a client's request to a node; returns the status (None without an answer), body."""
        headers = {
            "Host": QUEUE_HOST,
            "Content-Type": "application/json",
            "Lynxwheel-Deadline-Ms": str(int(timeout * 1000)),
        }
        data = b"" if body is None else json.dumps(body).encode()
        front = self.nodes[node % len(self.nodes)][0]
        answer = await http11.call(HOST, front, method, PREFIX + job, headers, data, timeout)
        status, text = answer if answer else (None, b"")
        self.write(f"client: {method} {job} at node {node % len(self.nodes)} -> {status} {text[:80]!r}")
        return status, text

    async def submit(self, job, body, node=0, tries=5, timeout=3.0):
        """Hands a job in, again at another node after no answer or a refusal; True once accepted."""
        for attempt in range(tries):
            status, _ = await self.ask(node + attempt, "POST", job, body, timeout)
            if status is not None and 200 <= status < 300:
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, job, node=0):
        status, text = await self.ask(node, "GET", job)
        return json.loads(text).get("state") if status == 200 else None

    async def close(self):
        for process in self.processes:
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGKILL)
                except ProcessLookupError:
                    pass
        for process in self.processes:
            await process.wait()
        await asyncio.sleep(0.1)
        for reader in self.readers:
            reader.cancel()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def main(test):
    """Runs `test(trouble)`, which returns whether the rule held; exits with 0, 1 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        held = asyncio.run(asyncio.wait_for(test(trouble), 115))
    except BaseException as error:  # noqa: BLE001
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
