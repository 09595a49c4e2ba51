"""A worker's earlier check-in is carried out late, after the worker has reported `draining`; no further request may
reach the worker."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))

from deployment import DRAIN_S, HEARTBEAT_S, Consumer, Deployment, Worker, config, main, route, service

CONSUMERS = 18
# The answer of one check-in is lost, and the store carries it out so much later (1 to 6 s).
LATE_S = 5.9
# The worker reports `draining` so long after that, when the store has been without impairment for over contactMs.
NOTICE_S = 3.4
# Its process ends so long after the store accepted that report: drainMs and a little longer.
LIFE_S = 3.1


class LeavingWorker(Worker):
    """Leaves as planned. It checks in with a rising `seq`, also while it drains."""

    async def leave(self, late):
        self.beating.cancel()
        # One check-in, as `ready`.
        lost = self.entry()
        if late:
            self.record.write(f"store: takes check-in {self.seq} of {self.id} (ready), its answer is lost")
            asyncio.get_running_loop().call_later(LATE_S, self.carry_out, lost, self.seq)
        else:
            await self.store.put("keyed.servers", self.id, lost)
        for _ in range(2):
            await asyncio.sleep(HEARTBEAT_S)
            await self.beat()
        await asyncio.sleep(NOTICE_S - 2 * HEARTBEAT_S)
        self.state = "draining"
        offset = await self.beat()
        self.record.write(f"store: accepts check-in {self.seq} of {self.id} (draining) at offset {offset}")
        self.beating = asyncio.ensure_future(self._beats())
        return offset

    def carry_out(self, entry, seq):
        self.record.write(f"store: carries out check-in {seq} of {self.id} (ready)")
        asyncio.ensure_future(self.store.put("keyed.servers", self.id, entry))


async def case(record, trouble):
    async with Deployment(record) as deployment:
        store = deployment.store
        hosts = await deployment.create_hosts(3)
        routes = [route("log", "/log/", "non_idempotent", "app")]
        await store.put("keyed.op", "config", config(7, routes, [service("app")]))
        leaving = LeavingWorker(record, store, "i-0", "app", "hall-a")
        others = [Worker(record, store, f"i-{index}", "app", f"hall-{'abc'[index]}") for index in (1, 2)]
        for worker in (leaving, *others):
            await deployment.add_worker(worker)
        await deployment.start_hosts()

        taken_by = {}
        failed = []
        stopping = asyncio.Event()

        async def ask(number):
            host = hosts[number % len(hosts)]
            consumer = Consumer(record, host)
            pauses = random.Random(number)
            count = 0
            while not stopping.is_set():
                count += 1
                ident = f"c{number}-{count}"
                taken_by[ident] = host.name
                message = await consumer.send("POST", "/log/entry", ident, body=b"rake 4 checked")
                if message is None or message.status in (502, 504):
                    failed.append(ident)
                await asyncio.sleep(pauses.uniform(0.02, 0.08))
            consumer.close()

        asking = [asyncio.ensure_future(ask(number)) for number in range(CONSUMERS)]
        await asyncio.sleep(4.0)
        offset = await leaving.leave(late=trouble)
        accepted = record.now()
        acknowledged = {}
        while record.now() < accepted + LIFE_S:
            for host in hosts:
                if host.name not in acknowledged and store.has_read(host.name, "keyed.servers", offset):
                    acknowledged[host.name] = record.now()
                    record.write(f"host {host.name}: has read the record and asks for later ones")
            await asyncio.sleep(0.005)
        record.write(f"worker {leaving.id}: its process ends")
        leaving.end()
        await store.put("keyed.servers", leaving.id, None)
        await asyncio.sleep(2.0)
        stopping.set()
        await asyncio.gather(*asking)

        broken = []
        for when, ident in leaving.ran:
            host = taken_by[ident]
            if host in acknowledged and when > acknowledged[host] + DRAIN_S:
                after_ms = (when - acknowledged[host]) * 1_000
                lost = ", lost" if ident in failed else ""
                broken.append(
                    f"DRAIN: {ident} of {host} reached {leaving.id} {after_ms:.0f} ms after {host} had read"
                    f" that it is draining{lost}"
                )
        record.write(f"hosts that read the record: {len(acknowledged)} of {len(hosts)}")
        record.write(f"requests that got 502, 504 or no answer: {len(failed)}")
        return broken


main(case, FOLDER)
