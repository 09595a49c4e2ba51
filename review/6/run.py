"""Case 6: more consumers than usual send bodies of the size that the config allows, and a host outgrows its memory.

Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
"""

import asyncio
import os
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import world as standins

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["north", "middle", "south"]
# limits.ramMb of the settings, taken as MiB. The page's limit on a body (maxBodyBytes).
RAM_BYTES = 110 << 20
BODY_BYTES = 4 << 20
WORK_S = 0.3
PAUSE_S = 0.1
USUAL = 8
BURST = 13
BURST_S = 8.0
BURST_LASTS_S = 3.0
END_S = 16.0


def memory_bytes(host):
    """The memory that the process has taken for itself, without its program and libraries."""
    try:
        text = Path(f"/proc/{host.process.pid}/status").read_text(encoding="utf-8")
    except OSError:
        return 0
    sizes = [line.split()[1] for line in text.splitlines() if line.startswith("RssAnon:")]
    return int(sizes[0]) * 1024 if sizes else 0


class Platform:
    """Ends a process that exceeds its memory, and starts it again after a short delay."""

    def __init__(self, world, host):
        self.world = world
        self.host = host
        self.peak_bytes = 0
        self.kills = 0

    async def watch(self):
        while True:
            used = memory_bytes(self.host)
            self.peak_bytes = max(self.peak_bytes, used)
            if used > RAM_BYTES:
                self.kills += 1
                self.world.record.write(f"{self.host.name} takes {used >> 20} MiB and is killed")
                self.host.signal(signal.SIGKILL)
                await self.host.ended()
                await asyncio.sleep(1)
                self.host.start()
            await asyncio.sleep(0.01)


class Consumer:
    """Sends one request after another on a kept channel, and opens a new one if it was closed."""

    def __init__(self, world, host, outcomes):
        self.world = world
        self.host = host
        self.outcomes = outcomes
        self.body = os.urandom(BODY_BYTES)

    async def run(self):
        while True:
            try:
                reader, writer = await asyncio.open_connection(self.host.ip, self.host.ports["front"])
                await self.use(reader, writer)
            except OSError:
                pass
            await asyncio.sleep(0.3)

    async def use(self, reader, writer):
        is_kept = False
        status = "open"
        while status != "closed":
            attempt = self.world.attempt_id()
            self.world.record.write(f"consumer sends {attempt} to {self.host.name}")
            try:
                head = (
                    f"POST /records/1 HTTP/1.1\r\nHost: village.example\r\nX-Attempt-Id: {attempt}\r\n"
                    f"X-Deadline-Ms: 3000\r\nAuthorization: Token {standins.KEY}\r\n"
                    f"Content-Length: {len(self.body)}\r\n\r\n"
                )
                writer.write(head.encode() + self.body)
                answer = await asyncio.wait_for(self.world.read_answer(reader), 4)
                status = answer[0] if answer else "closed"
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                status = "closed"
            self.world.record.write(f"consumer of {attempt} gets {status}")
            self.outcomes.append((attempt, is_kept, status))
            is_kept = True
            await asyncio.sleep(PAUSE_S)
        writer.close()


async def play(world):
    world.services = {"registry": {}}
    world.routes = [
        world.route("records", "registry", kind="non_idempotent", attempts=1, timeout_ms=3000)
    ]
    await world.configure()
    for zone in ZONES:
        await world.add_worker("registry", zone, slots=64, work_s=WORK_S)
    world.spawn(world.run_check_ins())
    for number in range(2):
        await world.add_host(f"host-{number}", ZONES[number], ZONES)
    for host in world.hosts:
        host.start()
    if not await world.wait_ready():
        return None
    host = world.hosts[0]
    platform = Platform(world, host)
    world.spawn(platform.watch())
    outcomes = []
    began = world.record.now()
    at = lambda seconds: asyncio.sleep(began + seconds - world.record.now())
    for _ in range(USUAL):
        world.spawn(Consumer(world, host, outcomes).run())
    await at(BURST_S)
    if TROUBLE:
        world.record.write(f"burst: {BURST} consumers")
        more = [world.spawn(Consumer(world, host, outcomes).run()) for _ in range(BURST - USUAL)]
        await at(BURST_S + BURST_LASTS_S)
        for task in more:
            task.cancel()
    await at(END_S)
    return platform, outcomes


async def main():
    world = standins.World(HERE / "record.txt")
    try:
        played = await play(world)
    finally:
        await world.close()
    if played is None:
        print("the hosts didn't get ready")
        return 2
    platform, outcomes = played
    passed_on = {attempt for _, attempt, _ in world.runs}
    served = sum(status == 200 for _, _, status in outcomes)
    lost = [a for a, is_kept, status in outcomes if is_kept and status == "closed" and a in passed_on]
    lines = [
        f"requests served: {served}",
        f"most memory: {platform.peak_bytes >> 20} MiB of {RAM_BYTES >> 20}; killed for it: {platform.kills} times",
        f"requests of kept channels that were passed on and whose channel was closed: {len(lost)}",
    ]
    for line in lines:
        world.record.write(line)
        print(line)
    if served < 100:
        return 2
    print("LOST broken" if len(lost) > 3 else "LOST held")
    return 1 if len(lost) > 3 else 0


sys.exit(asyncio.run(main()))
