"""Stand-ins for the platform's store, workers and consumers, and the hosts as processes.

Everything listens on loopback addresses. A world owns what it starts and ends it.
"""

import asyncio
import base64
import hashlib
import json
import os
import random
import signal
import struct
import subprocess
import tempfile
import time
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST_BINARY = ROOT / "target" / "release" / "cedargauge-platform"
HEARTBEAT_S = 1.2
KEY = "key-of-village"


def verdict(main):
    """Runs a case and returns its exit code: 2 if it couldn't run to its end."""
    try:
        return asyncio.run(main())
    except Exception:
        traceback.print_exc()
        return 2


class Record:
    """Writes what was sent, answered and run, one line each."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8") if path else None
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        line = f"{self.now():8.3f} {text}"
        if self.file:
            print(line, file=self.file, flush=True)


async def read_head(reader):
    """Reads a message's first line and headers; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers.setdefault(name.strip().lower(), value.strip())
    return lines[0], headers


async def read_body(reader, headers, until_end=False):
    """Reads a message's body. Raises IncompleteReadError if it ends early."""
    if headers.get("transfer-encoding", "").lower().endswith("chunked"):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_end else b""


def response(status, headers=(), body=b"", length=True):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class StoreConnection:
    """An open connection of a host to the store. A mute one carries no answer any more."""

    def __init__(self):
        self.mute = False


class Store:
    """The platform's log. Each host has a listener of its own, so that one can be turned away."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.changed = asyncio.Condition()
        self.modes = {}
        self.servers = []
        self.open = {}
        self.answered_at = {}

    async def listen(self, ip, name):
        self.modes[name] = "up"
        self.open[name] = set()
        serve = lambda reader, writer: self.serve(name, reader, writer)
        server = await asyncio.start_server(serve, ip, 0)
        self.servers.append(server)
        return server.sockets[0].getsockname()

    async def put(self, topic, key, value):
        async with self.changed:
            records = self.topics.setdefault(topic, [])
            records.append((key, value))
            self.changed.notify_all()
        return len(records) - 1

    async def set_mode(self, name, mode):
        """up; busy: 503; silent: open connections and calls get nothing; mute: only those open now."""
        if self.modes[name] == mode:
            return
        self.modes[name] = mode
        self.record.write(f"store {name} {mode}")
        if mode == "mute":
            self.modes[name] = "up"
            for state in self.open[name]:
                state.mute = True
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, name, reader, writer):
        state = StoreConnection()
        self.open[name].add(state)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                body = await read_body(reader, headers)
                answer = await self.handle(name, line.split(" ")[1], body)
                while state.mute or self.modes[name] == "silent":
                    if await reader.read(1 << 16) == b"":
                        return
                if self.modes[name] == "busy":
                    answer = response(503)
                else:
                    topic = line.partition("topic=")[2].partition("&")[0]
                    self.answered_at[name, topic.partition(" ")[0]] = self.record.now()
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.open[name].discard(state)
            writer.close()

    async def handle(self, name, target, body):
        if self.modes[name] == "busy":
            return response(503)
        path, _, query = target.partition("?")
        fields = dict(pair.partition("=")[::2] for pair in query.split("&"))
        topic = fields.get("topic", "")
        if path == "/-/log-newest":
            return self.newest(topic)
        if path == "/-/log-read":
            wait_s = int(fields.get("waitMs", 0)) / 1000
            return await self.read(name, topic, int(fields["from"]), wait_s)
        if path == "/-/log-append":
            if topic in ("keyed.op", "keyed.servers"):
                return response(403)
            end = len(self.topics.get(topic, []))
            if "endOffset" in fields and int(fields["endOffset"]) != end:
                return response(412, body=json.dumps({"end": end}).encode())
            while body:
                size = struct.unpack(">I", body[:4])[0]
                content, body = body[4 : 4 + size], body[4 + size :]
                key = content[1 : 1 + content[0]].decode()
                await self.put(topic, key, content[1 + content[0] :] or None)
            return response(200, body=json.dumps({"offset": end, "end": end + 1}).encode())
        return response(404)

    def newest(self, topic):
        records = self.topics.get(topic, [])
        newest = {}
        for offset, (key, value) in enumerate(records):
            newest[key] = (offset, value)
        entries = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(newest.items())
            if value is not None
        ]
        page = {"entries": entries, "hasMore": False, "end": len(records)}
        return response(200, body=json.dumps(page).encode())

    async def read(self, name, topic, start, wait_s):
        until = time.monotonic() + wait_s
        async with self.changed:
            while len(self.topics.get(topic, [])) <= start and self.modes[name] != "busy":
                left = until - time.monotonic()
                if left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    break
            records = self.topics.get(topic, [])
            body = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:]:
                content = bytes([len(key)]) + key.encode() + (value or b"")
                body += struct.pack(">I", len(content)) + content
        return response(200, body=body)


class Worker:
    """A worker of a service: answers calls after `work_s`, or streams events."""

    def __init__(self, world, service, zone, ip, slots=6, work_s=0.03):
        self.world = world
        self.service = service
        self.zone = zone
        self.ip = ip
        self.slots = slots
        self.work_s = work_s
        self.id = "i-" + random.randbytes(5).hex()
        self.seq = 0
        self.port = None
        self.server = None
        self.writers = set()
        self.reaches_store = True
        self.heard_at = 0.0
        self.is_listed = False
        self.state = "ready"
        self.events = 8
        self.event_s = 0.02

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port or 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def cut(self):
        """Its zone is cut off: connections are refused, open ones are reset, and check-ins fail."""
        self.world.record.write(f"worker {self.id} cut off")
        self.reaches_store = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def heal(self):
        self.world.record.write(f"worker {self.id} no longer cut off")
        await self.start()
        self.reaches_store = True
        await self.check_in()

    async def check_in(self):
        if not self.reaches_store:
            return
        self.heard_at = time.monotonic()
        if not self.is_listed:
            self.seq += 1
            await self.list_entry()

    async def leave_unannounced(self):
        """It leaves without having reported that it drains: its entry is removed, and it goes on serving."""
        self.reaches_store = False
        self.is_listed = False
        await self.world.store.put("keyed.servers", self.id, None)
        at = self.world.record.now()
        self.world.record.write(f"the entry of worker {self.id} is removed, it is leaving")
        return at

    async def stop(self):
        self.world.record.write(f"worker {self.id} ends")
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def list_entry(self):
        entry = {
            "service": self.service,
            "addr": f"{self.ip}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self.seq,
        }
        await self.world.store.put("keyed.servers", self.id, json.dumps(entry).encode())
        self.is_listed = True
        self.world.record.write(f"worker {self.id} of {self.service} listed as {self.state}")

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                expected = headers.get("x-expect-instance", self.id)
                if expected != self.id:
                    writer.write(response(421, [("X-Instance-Id", self.id)]))
                else:
                    await self.answer(writer, method, target, headers, body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, writer, method, target, headers, body):
        attempt = headers.get("x-attempt-id", "")
        self.world.runs.append((self.world.record.now(), attempt, self.id))
        self.world.record.write(f"worker {self.id} runs {attempt}")
        await asyncio.sleep(self.work_s)
        text = f"{self.id} {attempt} {hashlib.sha256(body).hexdigest()[:16]}\n".encode()
        seal = [("X-Attempt-Id", attempt), ("X-Server-Seal", self.id)]
        writer.write(response(200, seal, text))


class Host:
    """One cedargauge-platform process."""

    def __init__(self, world, name, zone, ip):
        self.world = world
        self.name = name
        self.zone = zone
        self.ip = ip
        self.process = None
        self.ports = {}

    def start(self):
        self.world.record.write(f"host {self.name} starts")
        log = open(self.world.folder / f"{self.name}.log", "ab")
        env = {
            "PATH": os.environ.get("PATH", ""),
            "CEDARGAUGE_SETTINGS": str(self.world.folder / f"{self.name}.conf"),
        }
        self.process = subprocess.Popen(
            [str(HOST_BINARY)], cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        log.close()

    def signal(self, number):
        self.world.record.write(f"host {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def ended(self):
        while self.process.poll() is None:
            await asyncio.sleep(0.02)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ports["ready"])
            writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and head[0].split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False


class World:
    """A small deployment: a store, hosts, workers and consumers."""

    def __init__(self, record_path):
        self.record = Record(record_path)
        self.store = Store(self.record)
        self.hosts = []
        self.workers = []
        self.runs = []
        self.routes = []
        self.services = {}
        self.version = 0
        self.keys = [KEY]
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self.temporary.name)
        # Each world uses loopback addresses of its own, since a host's metrics port is fixed.
        self.net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.tasks = []
        self.count = 0

    async def add_host(self, name, zone, zones, settings=()):
        host = Host(self, name, zone, f"{self.net}.{10 + len(self.hosts)}")
        base = random.randrange(9000, 30000)
        host.ports = {"front": base, "ready": base + 1}
        store_ip, store_port = await self.store.listen(f"{self.net}.200", name)
        values = {
            "nodeName": name,
            "role": "gateway",
            "class": "edge",
            "serves": "edge,ctrl",
            "ip": host.ip,
            "zone": zone,
            "region": "north",
            **{f"zones.{other}": "north" for other in zones},
            "listen.front": f"{host.ip}:{base}",
            "listen.ready": f"{host.ip}:{base + 1}",
            "listen.control": f"{host.ip}:8748",
            "portRange": "7200,7215",
            "seeds": ",".join(f"{self.net}.{10 + number}:8748" for number in range(3)),
            "bootstrap": "true",
            "limits.cores": "1",
            "limits.ramMb": "110",
            "limits.maxFds": "4100",
            "heartbeatMs": "1200",
            "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
            "bounds.contactMs": "3000",
            "bounds.ackMs": "4000",
            "bounds.drainMs": "2000",
            "bounds.graceS": "8",
            "bounds.lossSlackMs": "200",
            "bounds.configMs": "2000",
            "bounds.rollbackSlackMs": "250",
            "bounds.retryRatio": "0.2",
            "bounds.budgetWindowS": "10",
            "bounds.retrySlack": "56",
            "bounds.recoverS": "12",
            "platform.addr": f"{store_ip}:{store_port}",
            "platform.form": "log",
            "platform.parts": "8",
            **dict(settings),
        }
        text = "".join(f"{key}={value}\n" for key, value in values.items())
        (self.folder / f"{name}.conf").write_text(text, encoding="utf-8")
        self.hosts.append(host)
        return host

    async def add_worker(self, service, zone, **options):
        worker = Worker(self, service, zone, f"{self.net}.{100 + len(self.workers) % 90}", **options)
        await worker.start()
        self.workers.append(worker)
        await worker.check_in()
        return worker

    async def run_check_ins(self):
        """Workers check in; an entry is removed after three intervals of silence."""
        while True:
            for worker in self.workers:
                await worker.check_in()
                silence = time.monotonic() - worker.heard_at
                if worker.is_listed and silence > 3 * HEARTBEAT_S:
                    worker.is_listed = False
                    self.record.write(f"the entry of worker {worker.id} lapses")
                    await self.store.put("keyed.servers", worker.id, None)
            await asyncio.sleep(0.1)

    async def configure(self):
        """Writes the next version of the config; returns when it was confirmed."""
        self.version += 1
        document = {
            "version": self.version,
            "routes": self.routes,
            "services": [
                {"name": name, "healthPath": "/healthz", "maxConns": 110, "proto": "h1", "tls": False, **more}
                for name, more in self.services.items()
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "tenants": [{"name": "village", "apiKeys": self.keys, "priority": 1}],
        }
        await self.store.put("keyed.op", "config", json.dumps(document).encode())
        at = self.record.now()
        self.record.write(f"config version {self.version} confirmed")
        return at

    def route(self, name, service, kind="idempotent", timeout_ms=1500, attempts=2):
        return {
            "name": name,
            "host": "village.example",
            "pathPrefix": f"/{name}/",
            "type": kind,
            "timeoutMs": timeout_ms,
            "goalMs": 300,
            "priority": 2,
            "service": service,
            "attempts": attempts,
            "public": False,
        }

    async def wait_ready(self, limit_s=10):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if all([await host.is_ready() for host in self.hosts]):
                return True
            await asyncio.sleep(0.1)
        return False

    def attempt_id(self):
        self.count += 1
        return f"{self.count:06x}{random.randbytes(5).hex()}"

    async def ask(self, host, target, method="GET", body=b"", deadline_ms=1500, attempt=None):
        """One request on a new connection. Returns its status, or why it has none."""
        attempt = attempt or self.attempt_id()
        self.record.write(f"consumer sends {attempt} {method} {target} to {host.name}")
        status, answer = "cut", b""
        writer = None
        try:
            reader, writer = await asyncio.open_connection(host.ip, host.ports["front"])
            head = (
                f"{method} {target} HTTP/1.1\r\nHost: village.example\r\nX-Attempt-Id: {attempt}\r\n"
                f"X-Deadline-Ms: {deadline_ms}\r\nAuthorization: Token {KEY}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            )
            writer.write(head.encode() + body)
            answered = await asyncio.wait_for(self.read_answer(reader), deadline_ms / 1000 + 0.5)
            if answered is not None:
                status, answer = answered
        except asyncio.TimeoutError:
            status = "deadline"
        except (OSError, asyncio.IncompleteReadError):
            status = "cut"
        finally:
            if writer:
                writer.close()
        self.record.write(f"consumer of {attempt} gets {status}")
        return status, answer

    async def read_answer(self, reader):
        head = await read_head(reader)
        if head is None:
            return None
        body = await read_body(reader, head[1])
        return int(head[0].split(" ")[1]), body

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.append(task)
        return task

    async def close(self):
        for task in self.tasks:
            task.cancel()
        for host in self.hosts:
            if host.process and host.process.poll() is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                host.process.wait()
        for server in self.store.servers + [worker.server for worker in self.workers]:
            server.close()
        self.temporary.cleanup()
