"""Case 4: a worker whose entry lapsed behind a cut lists itself again, and no host uses it.

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
# Planned work and disruptions, in seconds since the first request.
ROUTE_ADDED_S = 3.0
TURNED_AWAY_S = 8.0
CUT_S = 11.0
CUT_LASTS_S = 6.0
# The rule's steady state: well after the last disruption.
STEADY_FROM_S = 30.0
END_S = 45.0


async def traffic(world, path, host, answers, pause_s):
    while True:
        at = world.record.now()
        status, _ = await world.ask(host, path)
        answers.append((at, path, status))
        await asyncio.sleep(pause_s)


async def play(world):
    world.services = {"registry": {}, "orders": {}}
    world.routes = [world.route("records", "registry")]
    await world.configure()
    await world.add_worker("registry", "north")
    orders = await world.add_worker("orders", "south")
    world.spawn(world.run_check_ins())
    # The hosts are outside the zone that is cut off.
    hosts = [await world.add_host(f"host-{number}", ZONES[number % 2], ZONES) for number in range(3)]
    for host in hosts:
        host.start()
    if not await world.wait_ready():
        return None
    answers = []
    began = world.record.now()
    at = lambda seconds: asyncio.sleep(began + seconds - world.record.now())
    for host in hosts:
        world.spawn(traffic(world, "/records/1", host, answers, 0.2))
        world.spawn(traffic(world, "/orders/1", host, answers, 0.1))
    await at(ROUTE_ADDED_S)
    world.routes.append(world.route("orders", "orders"))
    await world.configure()
    if TROUBLE:
        # The store turns the first host away. It takes it back shortly before the cut worker's entry lapses.
        await at(TURNED_AWAY_S)
        await world.store.set_mode("host-0", "busy")
        await at(CUT_S)
        await orders.cut()
        while orders.is_listed:
            if world.record.now() - began > CUT_S + 2.4:
                await world.store.set_mode("host-0", "up")
            await asyncio.sleep(0.05)
        await at(CUT_S + CUT_LASTS_S)
        await orders.heal()
    await at(END_S)
    return [(when - began, path, status) for when, path, status in answers]


async def main():
    world = standins.World(HERE / "record.txt")
    try:
        answers = await play(world)
    finally:
        await world.close()
    if answers is None:
        print("the hosts didn't get ready")
        return 2

    def served(path, begin, end):
        statuses = [status for when, of, status in answers if of == path and begin <= when < end]
        return sum(status == 200 for status in statuses), len(statuses)

    before = served("/orders/1", ROUTE_ADDED_S + 2, TURNED_AWAY_S)
    first = served("/records/1", STEADY_FROM_S, END_S)
    added = served("/orders/1", STEADY_FROM_S, END_S)
    for name, (good, all_) in (("added route before", before), ("first route", first), ("added route", added)):
        line = f"{name}: {good} of {all_} served"
        world.record.write(line)
        print(line)
    if before[0] < before[1] * 0.9 or first[0] < first[1] * 0.9 or added[1] < 20:
        return 2
    is_broken = added[0] / added[1] < first[0] / first[1] / 4
    print("CONFIG broken" if is_broken else "CONFIG held")
    return 1 if is_broken else 0


sys.exit(standins.verdict(main))
