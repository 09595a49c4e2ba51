"""Stand-ins for the platform around cedargauge: the log, workers, consumers, and the processes of hosts.

They speak the subset of the users' PROTOCOL.md that a small deployment needs, over loopback addresses and
the real clock. Each script under review/ composes them and writes what happened to record.txt.
"""

import asyncio
import base64
import contextlib
import json
import logging
import os
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "cedargauge-platform")
KEY = "xd9dnn2ctnfzs989anu6"
TENANT = "huka270"
HOST_NAME = "ficu95.example"
CONTACT_S = 3.0
DRAIN_S = 2.0
HEARTBEAT_S = 1.2
METRICS_PORT = 7215


class CannotRun(Exception):
    """The case could not be set up; run.sh exits with 2."""


class Record:
    """Writes each step with the time since the start of the script."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()

    def close(self):
        self.file.close()


class Message:
    """An HTTP message: its first line, its headers by lower-case name, and its body."""

    def __init__(self, line, headers, body):
        self.line = line
        self.headers = headers
        self.body = body

    def words(self):
        return self.line.split(" ", 2)

    @property
    def status(self):
        return int(self.words()[1])


async def read_head(reader):
    """The first line and the headers; None if the connection ends before."""
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


async def read_message(reader, until_close=False):
    """A whole message; None if the connection ends before it does."""
    head = await read_head(reader)
    if head is None:
        return None
    line, headers = head
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            body = b""
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                piece = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += piece[:-2]
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif until_close:
            body = await reader.read(-1)
        else:
            body = b""
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return Message(line, headers, body)


def answer(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """Accepts connections at one address and closes all of them when it ends."""

    def __init__(self):
        self.connections = set()
        self.tasks = set()
        self.server = None
        self.address = None

    async def listen(self, ip="127.0.0.1", port=0, limit=1 << 23, receive_buffer=None):
        """Listens; with a receive buffer, a sender is held up once it and `limit` are full of unread bytes."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if receive_buffer is not None:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        listener.bind((ip, port))
        self.server = await asyncio.start_server(self._connected, sock=listener, backlog=512, limit=limit)
        self.address = self.server.sockets[0].getsockname()

    def addr(self):
        return f"{self.address[0]}:{self.address[1]}"

    async def _connected(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.connections.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.CancelledError, asyncio.IncompleteReadError):
            pass  # The other side left, or this server ends.
        finally:
            self.connections.discard(writer)
            self.tasks.discard(task)
            with contextlib.suppress(Exception):
                writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError

    def end(self):
        """Ends like a process that exits: nothing listens any more and all connections close."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.connections):
            with contextlib.suppress(Exception):
                writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()


class Store(Server):
    """The platform's log with keyed topics. Every topic has partition 0 alone. It listens at one port for each host,
    which tells the hosts apart."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.listeners = {}
        self.topics = {}
        self.waiting = set()
        # Offset from which each host last asked to read a topic.
        self.read_up_to = {}

    async def listen_for(self, host):
        """Opens the address of one host and returns it."""
        listener = await asyncio.start_server(self._connected, "127.0.0.1", 0, backlog=512, limit=1 << 23)
        port = listener.sockets[0].getsockname()[1]
        self.listeners[port] = (host, listener)
        return f"127.0.0.1:{port}"

    def end(self):
        for _, listener in self.listeners.values():
            listener.close()
        super().end()

    def records(self, topic):
        return self.topics.setdefault(topic, [])

    async def put(self, topic, key, value):
        """Appends a record; value None drops the key. Returns its offset."""
        records = self.records(topic)
        records.append((key, value))
        for waiter in self.waiting:
            waiter.set()
        return len(records) - 1

    def has_read(self, host, topic, offset):
        """Whether a host has asked for the records after this offset, and so has this record."""
        return self.read_up_to.get((host, topic), 0) > offset

    async def serve(self, reader, writer):
        host = self.listeners[writer.get_extra_info("sockname")[1]][0]
        while True:
            message = await read_message(reader)
            if message is None:
                return
            _, target, _ = message.words()
            path, _, query = target.partition("?")
            fields = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
            topic = fields.get("topic", "")
            if path == "/-/log-newest":
                reply = self.newest(topic, fields.get("after"))
            elif path == "/-/log-read":
                reply = await self.read(host, topic, int(fields["from"]), int(fields.get("waitMs", 0)))
            elif path == "/-/log-append":
                reply = await self.append(topic, fields, message.body)
            else:
                reply = answer(404)
            writer.write(reply)
            await writer.drain()

    def newest(self, topic, after):
        newest = {}
        records = self.records(topic)
        for offset, (key, value) in enumerate(records):
            newest[key] = (value, offset)
        entries = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in sorted(newest.items())
            if value is not None and (after is None or key > after)
        ]
        page = {"entries": entries[:500], "hasMore": len(entries) > 500, "end": len(records)}
        return answer(200, [("Content-Type", "application/json")], json.dumps(page).encode())

    async def read(self, host, topic, start, wait_ms):
        records = self.records(topic)
        self.read_up_to[(host, topic)] = max(start, self.read_up_to.get((host, topic), 0))
        if start > len(records):
            return answer(410, body=b'{"first":0}')
        until = time.monotonic() + min(wait_ms, 30_000) / 1_000
        while len(records) <= start and time.monotonic() < until:
            waiter = asyncio.Event()
            self.waiting.add(waiter)
            try:
                await asyncio.wait_for(waiter.wait(), max(0.001, until - time.monotonic()))
            except asyncio.TimeoutError:
                pass
            finally:
                self.waiting.discard(waiter)
        body = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            content = bytes([len(key)]) + key.encode() + (value or b"")
            body += struct.pack(">I", len(content)) + content
        return answer(200, body=body)

    async def append(self, topic, fields, body):
        if topic in ("keyed.op", "keyed.servers"):
            return answer(403)
        records = self.records(topic)
        if "endOffset" in fields and int(fields["endOffset"]) != len(records):
            return answer(412, body=json.dumps({"end": len(records)}).encode())
        first = len(records)
        while body:
            (length,) = struct.unpack(">I", body[:4])
            content, body = body[4 : 4 + length], body[4 + length :]
            key_length = content[0]
            value = content[1 + key_length :] or None
            await self.put(topic, content[1 : 1 + key_length].decode(), value)
        return answer(200, body=json.dumps({"offset": first, "end": len(records)}).encode())


class Worker(Server):
    """A worker of a plain service. It lists itself in the store and runs requests for work_s each."""

    def __init__(self, record, store, ident, service, zone, slots=64, work_s=0.06):
        super().__init__()
        self.record = record
        self.store = store
        self.id = ident
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.state = "ready"
        self.seq = 0
        self.running = 0
        # (time, request id) of each request that it began to run.
        self.ran = []
        self.beating = None

    async def start(self, **options):
        await self.listen(**options)
        await self.beat()
        self.beating = asyncio.ensure_future(self._beats())

    def entry(self):
        """The next entry that it writes about itself."""
        self.seq += 1
        entry = {
            "service": self.service, "addr": self.addr(), "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": self.state, "coldLeftMs": 0, "stage": "unified",
            "models": [], "seq": self.seq,
        }
        return json.dumps(entry).encode()

    async def beat(self):
        return await self.store.put("keyed.servers", self.id, self.entry())

    async def _beats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.beat()

    def end(self):
        if self.beating is not None:
            self.beating.cancel()
        super().end()

    async def serve(self, reader, writer):
        while True:
            message = await read_message(reader)
            if message is None:
                return
            method, target, _ = message.words()
            if target == "/healthz":
                status = 200 if self.state == "ready" else 503
                writer.write(answer(status, [("X-Instance-Id", self.id), self.load()]))
            elif target == "/-/report":
                state = {"stage": "unified", "models": [], "busy": False, "seq": 0, "waiting": 0,
                         "running": self.running, "kvUsed": 0, "kvTotal": 1, "handles": 0}
                writer.write(answer(200, [("Content-Type", "application/json")], json.dumps(state).encode()))
            elif message.headers.get("x-expect-instance", self.id) != self.id:
                writer.write(answer(421, [("X-Instance-Id", self.id)]))
            elif "x-attempt-id" not in message.headers:
                writer.write(answer(400, [("X-Not-Executed", "1")]))
            else:
                await self.run(method, target, message, reader, writer)
            await writer.drain()

    def load(self):
        return ("X-Server-Load", f"{self.running},0,{self.slots}")

    def began(self, message):
        ident = message.headers["x-attempt-id"]
        self.ran.append((self.record.now(), ident))
        self.record.write(f"worker {self.id}: runs {ident}")
        return ident

    async def run(self, method, target, message, reader, writer):
        ident = self.began(message)
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        writer.write(answer(200, self.sealed(ident), self.body(ident)))
        self.record.write(f"worker {self.id}: answered {ident}")

    def sealed(self, ident):
        return [("X-Attempt-Id", ident), ("X-Server-Seal", f"{self.id}.{ident}"), self.load()]

    def body(self, ident):
        return f"{self.id} {ident}\n".encode() * 8


def free_port(ip, taken=()):
    while True:
        with socket.socket() as probe:
            probe.bind((ip, 0))
            port = probe.getsockname()[1]
        if port not in taken:
            return port


class Host:
    """A process of the system, started with the command of the deploy file."""

    def __init__(self, record, folder, log_address, name, ip, zone, ports, seeds, bounds):
        self.record = record
        self.name = name
        self.ip = ip
        self.front, self.ready, self.control, self.between = ports
        self.settings = os.path.join(folder, f"{name}.conf")
        self.log = os.path.join(folder, f"{name}.log")
        lines = [
            f"nodeName={name}", "role=gateway", "class=edge", "serves=edge,ctrl", f"ip={ip}",
            f"zone={zone}", "region=graubuenden", "zones.hall-a=graubuenden", "zones.hall-b=graubuenden",
            "zones.hall-c=graubuenden", f"listen.front={ip}:{self.front}", f"listen.ready={ip}:{self.ready}",
            f"listen.control={ip}:{self.control}", f"portRange={self.between},{self.between + 1}",
            "seeds=" + ",".join(seeds), "bootstrap=true", "countsAsLoss=false", "limits.cpuShare=0.25",
            "limits.cores=1", "limits.ramMb=110", "limits.maxFds=4100", "limits.linkMbps=1000.0",
            "limits.diskMb=0", "discovery=platform", "entry=vip", "heartbeatMs=1200",
            "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
            "faultTolerance.machines=1", "faultTolerance.zones=1", "faultTolerance.regions=0",
            "bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.contactMs=3000", "bounds.ackMs=4000",
            "bounds.catchUpS=4", "bounds.drainMs=2000", "bounds.graceS=8", "bounds.lossSlackMs=200",
            "bounds.configMs=2000", "bounds.rollbackSlackMs=250", "bounds.outerMs=5000",
            "bounds.strictRevoke=false", "bounds.revokeMs=5000", "bounds.retryRatio=0.2",
            "bounds.budgetWindowS=10", "bounds.retrySlack=56", "bounds.recoverS=12", "bounds.passMs=120",
            "bounds.againS=5.4", f"platform.addr={log_address}", "platform.form=log",
            "platform.writesPerS=400", "platform.readsPerS=2000", "platform.parts=8",
            "platform.appendMs=4.0", "platform.partMbPerS=20.0", "platform.readMbPerS=80.0",
            "platform.recordBytes=262144", "platform.callBytes=2097152", "platform.keep_s=300",
            "platform.partMb=200", "platform.ttlMinMs=1000", *bounds,
        ]
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
        self.process = None

    def start(self):
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["CEDARGAUGE_SETTINGS"] = self.settings
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [PROGRAM], cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )
        self.record.write(f"host {self.name}: started at {self.ip}, process {self.process.pid}")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready)
        except OSError:
            return False
        writer.write(f"GET /-/readyz HTTP/1.1\r\nHost: {self.ip}\r\nConnection: close\r\n\r\n".encode())
        message = await read_message(reader)
        writer.close()
        return message is not None and message.status == 200

    def resident_mb(self):
        """Resident memory of the process in units of 2^20 bytes; 0 once it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/statm", encoding="ascii") as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / (1 << 20)
        except (OSError, IndexError):
            return 0.0

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class Deployment:
    """A store and hosts in a temporary folder, all ended on exit."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(record)
        self.workers = []
        self.hosts = []

    async def __aenter__(self):
        if not os.path.exists(PROGRAM):
            raise CannotRun("the build of the deploy file is missing")
        return self

    async def __aexit__(self, *_):
        for host in self.hosts:
            host.kill()
        for worker in self.workers:
            worker.end()
        self.store.end()
        if "KEEP" in os.environ:
            self.record.write(f"kept {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def add_worker(self, worker, **options):
        self.workers.append(worker)
        await worker.start(**options)

    async def create_hosts(self, count, bounds=()):
        """Creates hosts, in three data centres by turns, on addresses of which no one uses the ports."""
        base = 20 + os.getpid() % 200
        ips = [f"127.{base}.{index + 1}.1" for index in range(count)]
        ports = []
        while len(ports) < 4:
            port = free_port("127.0.0.1", ports)
            if port != METRICS_PORT:
                ports.append(port)
        seeds = [f"{ip}:{ports[2]}" for ip in ips[:3]]
        for index, ip in enumerate(ips):
            zone = f"hall-{'abc'[index % 3]}"
            name = f"edge-{index}"
            host = Host(self.record, self.folder, await self.store.listen_for(name), name, ip, zone, ports, seeds, bounds)
            self.hosts.append(host)
        return self.hosts

    async def start_hosts(self):
        for host in self.hosts:
            host.start()
        for _ in range(200):
            if all([await host.is_ready() for host in self.hosts]):
                self.record.write("all hosts are ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the hosts were not ready after 20 s")


def config(version, routes, services):
    return json.dumps({
        "version": version, "routes": routes, "services": services,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": [{"name": TENANT, "apiKeys": [KEY]}],
    }).encode()


def route(name, prefix, kind, service, timeout_ms=1500, goal_ms=300, attempts=1):
    return {"name": name, "host": HOST_NAME, "pathPrefix": prefix, "type": kind, "timeoutMs": timeout_ms,
            "goalMs": goal_ms, "priority": 2, "service": service, "attempts": attempts, "public": False,
            "sticky": False, "canResume": False}


def service(name, max_conns=110):
    return {"name": name, "healthPath": "/healthz", "maxConns": max_conns, "proto": "h1", "tls": False}


def request(method, path, ident, deadline_ms=3000, body=b"", headers=()):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST_NAME}", f"X-Attempt-Id: {ident}",
             f"X-Deadline-Ms: {deadline_ms}", f"Authorization: Token {KEY}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Consumer:
    """A kept channel to one host."""

    def __init__(self, record, host):
        self.record = record
        self.host = host
        self.reader = None
        self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(self.host.ip, self.host.front, limit=1 << 23)

    async def send(self, method, path, ident, **options):
        """Sends a request and returns its answer; None if the channel ended without a whole one."""
        if self.writer is None:
            await self.connect()
        self.record.write(f"consumer: sends {ident} to {self.host.name}")
        try:
            self.writer.write(request(method, path, ident, **options))
            await self.writer.drain()
            message = await read_message(self.reader)
        except ConnectionError:
            message = None
        outcome = "closed without an answer" if message is None else f"{message.status}"
        self.record.write(f"consumer: {ident} got {outcome}")
        if message is None or message.headers.get("connection") == "close":
            self.close()
        return message

    def close(self):
        if self.writer is not None:
            with contextlib.suppress(Exception):
                self.writer.close()
        self.reader = self.writer = None


def main(case, folder):
    """Runs case(record, trouble), which returns the texts of what broke the rule, and exits as run.sh shall."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"the disruption is {'on' if trouble else 'off'}")
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)

    async def run():
        # A script that is told to end, ends its processes first.
        task = asyncio.ensure_future(case(record, trouble))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(task, 100)

    try:
        broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        record.write(f"the case could not run: {error!r}")
        raise SystemExit(2) from error
    for text in broken:
        record.write(f"BROKEN {text}")
    record.write("the rule was broken" if broken else "the rule held")
    record.close()
    raise SystemExit(1 if broken else 0)
