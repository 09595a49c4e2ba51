"""Case 5: the host that reads the list of workers for all defers a removal, and the others never learn of it.

Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
"""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import world as standins

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["north", "middle", "south"]
HOSTS = 14
# The host whose name comes first reads the list of workers for all.
READER = "host-00"
# The settings' bound.
DRAIN_S = 2.0
TURNED_AWAY_S = 12.0
TURNED_AWAY_FOR_S = 3.0
# The worker leaves so long after the store answers the reader again, and serves on for so long.
LEAVES_AFTER_S = 1.2
SERVES_ON_S = 10.0
PAUSE_S = 0.15


async def traffic(world, host, asked):
    while True:
        attempt = world.attempt_id()
        asked[attempt] = host.name
        await world.ask(host, "/records/1", method="POST", attempt=attempt)
        await asyncio.sleep(PAUSE_S)


async def play(world):
    world.services = {"registry": {}}
    world.routes = [world.route("records", "registry", kind="non_idempotent", attempts=1)]
    await world.configure()
    workers = [await world.add_worker("registry", ZONES[number % 3], slots=64) for number in range(4)]
    world.spawn(world.run_check_ins())
    for number in range(HOSTS):
        await world.add_host(f"host-{number:02}", ZONES[number % 3], ZONES)
    for host in world.hosts:
        host.start()
    if not await world.wait_ready(20):
        return None
    asked = {}
    began = world.record.now()
    at = lambda seconds: asyncio.sleep(began + seconds - world.record.now())
    for host in world.hosts:
        world.spawn(traffic(world, host, asked))
    await at(TURNED_AWAY_S)
    if TROUBLE:
        await world.store.set_mode(READER, "busy")
        await at(TURNED_AWAY_S + TURNED_AWAY_FOR_S)
        await world.store.set_mode(READER, "up")
    ended = world.record.now()
    key = (READER, "keyed.servers")
    while world.store.answered_at.get(key, 0) < ended and world.record.now() < ended + 5:
        await asyncio.sleep(0.01)
    await asyncio.sleep(LEAVES_AFTER_S)
    leaving = workers[-1]
    removed = await leaving.leave_unannounced()
    await asyncio.sleep(SERVES_ON_S)
    await leaving.stop()
    await asyncio.sleep(2)
    return leaving, removed, asked


async def main():
    world = standins.World(HERE / "record.txt")
    try:
        played = await play(world)
    finally:
        await world.close()
    if played is None:
        print("the hosts didn't get ready")
        return 2
    leaving, removed, asked = played
    ran = [(when, attempt) for when, attempt, worker in world.runs if worker == leaving.id]
    before = sum(when < removed for when, _ in ran)
    late = [attempt for when, attempt in ran if when > removed + DRAIN_S]
    # The reader isn't in touch for a while after it was turned away.
    in_touch = [attempt for attempt in late if asked.get(attempt) != READER]
    lines = [
        f"requests at the leaving worker before its entry was removed: {before}",
        f"requests that reached it more than {DRAIN_S:g} s after: {len(late)}",
        f"of these sent by hosts in touch: {len(in_touch)}, by {len({asked[one] for one in in_touch})} hosts",
    ]
    for line in lines:
        world.record.write(line)
        print(line)
    if before < 20:
        return 2
    print("DRAIN broken" if in_touch else "DRAIN held")
    return 1 if in_touch else 0


sys.exit(standins.verdict(main))
