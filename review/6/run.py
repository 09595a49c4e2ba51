"""Case 6: the store carries out a worker's check-in late, and hosts take the worker as ready though it drains.

Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
"""

import asyncio
import json
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import world as standins

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["north", "middle", "south"]
# Bounds of the settings.
DRAIN_S = 2.0
# Seconds since the first request.
LOST_S = 5.0
# The check-in whose answer was lost is done so long after it was sent.
LATE_S = 5.9
DRAINS_S = LOST_S + 3.4
ENDS_S = DRAINS_S + 6.0
PAUSE_S = 0.03


async def traffic(world, host):
    while True:
        world.spawn(world.ask(host, "/records/1", method="POST"))
        await asyncio.sleep(PAUSE_S)


async def check_in(world, worker, state, seq):
    entry = {
        "service": worker.service,
        "addr": f"{worker.ip}:{worker.port}",
        "zone": worker.zone,
        "version": "v1",
        "slots": worker.slots,
        "state": state,
        "coldLeftMs": 0,
        "seq": seq,
    }
    # The entry changes when more than `seq` changes.
    records = [value for key, value in world.store.topics["keyed.servers"] if key == worker.id]
    last = json.loads(records[-1])
    if {**last, "seq": seq} == entry:
        return
    await world.store.put("keyed.servers", worker.id, json.dumps(entry).encode())
    world.record.write(f"entry of worker {worker.id}: {state}, seq {seq}")


async def late_check_in(world, worker, seq):
    world.record.write(f"worker {worker.id} checks in as ready, seq {seq}; the store doesn't answer")
    await asyncio.sleep(LATE_S)
    await check_in(world, worker, "ready", seq)


async def play(world):
    world.services = {"registry": {}}
    world.routes = [world.route("records", "registry", kind="non_idempotent", attempts=1)]
    await world.configure()
    workers = [await world.add_worker("registry", zone, slots=64) for zone in ZONES]
    leaving = workers[0]
    for number, zone in enumerate(ZONES):
        await world.add_host(f"host-{number}", zone, ZONES)
    for host in world.hosts:
        host.start()
    if not await world.wait_ready():
        return None
    began = world.record.now()
    for host in world.hosts:
        world.spawn(traffic(world, host))
    confirmed = None
    seq = 10
    heartbeat = began + LOST_S
    await asyncio.sleep(LOST_S)
    if TROUBLE:
        world.spawn(late_check_in(world, leaving, seq))
    while world.record.now() < began + ENDS_S:
        now = world.record.now()
        if confirmed is None and now >= began + DRAINS_S:
            seq += 1
            await check_in(world, leaving, "draining", seq)
            confirmed = world.record.now()
            heartbeat = now
        elif now >= heartbeat + standins.HEARTBEAT_S:
            heartbeat += standins.HEARTBEAT_S
            seq += 1
            await check_in(world, leaving, "ready" if confirmed is None else "draining", seq)
        await asyncio.sleep(0.02)
    await leaving.stop()
    await asyncio.sleep(0.5)
    return leaving, confirmed


async def main():
    world = standins.World(HERE / "record.txt")
    try:
        played = await play(world)
    finally:
        await world.close()
    if played is None:
        print("the hosts didn't get ready")
        return 2
    leaving, confirmed = played
    ran = [when - confirmed for when, _, worker in world.runs if worker == leaving.id]
    before = sum(when < 0 for when in ran)
    late = [when for when in ran if when > DRAIN_S]
    lines = [
        f"requests at the draining worker before its report was confirmed: {before}",
        f"requests that reached it more than {DRAIN_S:g} s after: {len(late)}",
    ]
    if late:
        lines.append(f"they reached it {min(late):.2f} to {max(late):.2f} s after")
    for line in lines:
        world.record.write(line)
        print(line)
    if before < 20:
        return 2
    print("DRAIN broken" if late else "DRAIN held")
    return 1 if late else 0


sys.exit(standins.verdict(main))
