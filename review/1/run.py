"""A host that shuts down takes generations over kept channels that it can't finish, while engines are full."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))

from deployment import Consumer, Deployment, Worker, config, main, route, service

# Flags go out so long after the SIGTERM. The rule excuses a cut only for requests sent within 3 s of it.
LATE_S = 3.1
REPORTS = 27
REPORT_GAP_S = 0.14
REPORT_PROMPT = 3000
REPORT_TOKENS = 710
REPORT_TOKENS_MAX = 2224
REPORT_HINT = 400
FLAGS = 12
FLAG_PROMPT = 1460
FLAG_TOKENS = 80
FLAG_HINT = 60
FLAG_BUDGET_MS = 6_000

# Tokens that an engine keeps free for those that run when it admits another one.
MARGIN = 64

# The engines of the site.
ENGINE = {
    "slots": 64, "kvCapTokens": 34545, "kvTokenBytes": 18432, "linkMbps": 2700.0, "moves": True, "backups": True,
    "stride": 4, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": [{"name": "m"}],
}


class Run:
    def __init__(self, ident, order, rank, prompt, total, writer):
        self.ident = ident
        self.order = order
        self.rank = rank
        self.prompt = prompt
        self.total = total
        self.writer = writer
        self.made = 0
        self.unread = prompt
        self.resident = False
        self.ended = asyncio.Event()

    def held(self):
        return self.prompt + self.made


class Engine(Worker):
    """Works in steps as the site's engines do: 7 ms and 0.12 ms for each request, 14 prompt tokens a ms in chunks of
    112. Runs share the memory; when it runs out, the newest of the least urgent is preempted and read in again."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.runs = []
        self.orders = 0
        self.stepping = None

    async def start(self, **options):
        await super().start(**options)
        self.stepping = asyncio.ensure_future(self.steps())

    def end(self):
        if self.stepping is not None:
            self.stepping.cancel()
        super().end()

    async def run(self, method, target, message, reader, writer):
        ident = message.headers["x-attempt-id"]
        self.record.write(f"worker {self.id}: takes {ident}")
        prompt, most = (int(text) for text in message.headers["x-token-usage"].split(","))
        total = min(most, int(message.body.split(b"=")[1]))
        rank = int(message.headers.get("x-priority-class", 5))
        self.orders += 1
        run = Run(ident, self.orders, rank, prompt, total, writer)
        self.runs.append(run)
        await run.ended.wait()

    def begin(self, run):
        """Begins the answer. A request starts to run with its first token."""
        self.ran.append((self.record.now(), run.ident))
        self.record.write(f"worker {self.id}: runs {run.ident}")
        head = [f"{name}: {value}" for name, value in self.sealed(run.ident)]
        head += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        run.writer.write(("HTTP/1.1 200 OK\r\n" + "\r\n".join(head) + "\r\n\r\n").encode())

    async def steps(self):
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            due = max(due, loop.time() - 0.05) + self.step() / 1_000
            await asyncio.sleep(max(0.0, due - loop.time()))

    def step(self):
        """Does one step and returns its time in ms."""
        self.runs = [run for run in self.runs if not run.ended.is_set()]
        for run in [run for run in self.runs if run.writer.transport.is_closing()]:
            self.record.write(f"worker {self.id}: {run.ident} left after {run.made} tokens")
            run.ended.set()
            self.runs.remove(run)
        used = sum(run.held() for run in self.runs if run.resident)
        for run in sorted(self.runs, key=lambda run: (run.rank, run.order)):
            if run.resident:
                continue
            if used + run.held() + MARGIN > ENGINE["kvCapTokens"]:
                # None that is less urgent is admitted first.
                break
            run.resident = True
            run.unread = run.held()
            used += run.held()
        active = [run for run in self.runs if run.resident]
        chunk = 112
        for run in active:
            read = min(chunk, run.unread)
            chunk -= read
            was_unread = run.unread > 0
            run.unread -= read
            if run.unread or was_unread:
                continue
            if run.made == 0:
                self.begin(run)
            run.made += 1
            if run.made % 4 == 0 or run.made == run.total:
                number = (run.made + 3) // 4
                event = f"id: {number}\ndata: {run.ident} {number}\n\n".encode()
                run.writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            if run.made == run.total:
                run.writer.write(b"0\r\n\r\n")
                run.ended.set()
                self.record.write(f"worker {self.id}: {run.ident} is complete")
        active = [run for run in active if not run.ended.is_set()]
        while sum(run.held() for run in active) > ENGINE["kvCapTokens"]:
            last = max(active, key=lambda run: (run.rank, run.order))
            last.resident = False
            active.remove(last)
            self.record.write(f"worker {self.id}: {last.ident} is preempted after {last.made} tokens")
        return 7.0 + 0.12 * len(active) + (112 - chunk) / 14


async def case(record, trouble):
    async with Deployment(record) as deployment:
        hosts = await deployment.create_hosts(3)
        llm = {**service("llm", 442), "engine": ENGINE}
        routes = [
            {**route("report", "/report/", "streaming", "llm", 39_000, 1_800), "priority": 0, "gapAimMs": 180},
            {**route("flag", "/flag/", "streaming", "llm", 6_000, 1_500), "priority": 1, "gapAimMs": 180},
        ]
        await deployment.store.put("keyed.op", "config", config(7, routes, [llm]))
        for index in range(3):
            zone = f"hall-{'abc'[index]}"
            await deployment.add_worker(Engine(record, deployment.store, f"i-{index}", "llm", zone, 64))
        await deployment.start_hosts()
        stopping = hosts[0]

        def headers(number, prompt, tokens, hint):
            return [("X-Model", "m"), ("X-Token-Usage", f"{prompt},{tokens}"), ("X-Length-Hint", str(hint)),
                    ("X-Prefix-Hash", f"{0x1000 + number:x}:{prompt}")]

        async def report(number, host):
            # All are expected to run on for some 8 s after the SIGTERM; those sent earlier are longer.
            tokens = REPORT_TOKENS + 16 * (REPORTS - number)
            message = await Consumer(record, host).send(
                "POST", "/report/net", f"report-{number}", body=b"tokens=%d" % tokens, deadline_ms=39_000,
                headers=headers(number, REPORT_PROMPT, REPORT_TOKENS_MAX, REPORT_HINT),
            )
            return message is not None and message.status == 200

        async def flag(consumer, ident, number):
            sent = record.now()
            message = await consumer.send(
                "POST", "/flag/net", ident, body=b"tokens=%d" % FLAG_TOKENS, deadline_ms=FLAG_BUDGET_MS,
                headers=headers(number, FLAG_PROMPT, FLAG_TOKENS, FLAG_HINT),
            )
            return ident, sent, record.now(), message

        consumers = [Consumer(record, stopping) for _ in range(FLAGS)]
        # The channels are kept: one flag each goes before, and they are idle for less than 12 s after that.
        await asyncio.gather(
            *(flag(consumer, f"early-{number}", 1_000 + number) for number, consumer in enumerate(consumers))
        )
        reports = []
        for number in range(REPORTS):
            # Two go to the host that is going to stop.
            host = stopping if number < 2 else hosts[1 + number % 2]
            reports.append(asyncio.ensure_future(report(number, host)))
            await asyncio.sleep(REPORT_GAP_S)
        if trouble:
            stopping.process.send_signal(signal.SIGTERM)
            record.write(f"platform: SIGTERM to {stopping.name}")
        terminated = record.now()
        await asyncio.sleep(LATE_S)
        for worker in deployment.workers:
            held = sum(run.held() for run in worker.runs)
            record.write(f"worker {worker.id}: {len(worker.runs)} runs hold {held} tokens of {ENGINE['kvCapTokens']}")
        flags = [flag(consumer, f"late-{number}", 2_000 + number) for number, consumer in enumerate(consumers)]
        results = await asyncio.gather(*flags)
        answered = sum(await asyncio.gather(*reports))
        record.write(f"reports answered: {answered} of {len(reports)}")
        statuses = [message.status if message is not None else None for _, _, _, message in results]
        record.write(f"flags answered: {statuses.count(200)}, refused: {statuses.count(503)} of {len(results)}")
        ran = {ident for worker in deployment.workers for _, ident in worker.ran}
        lost = []
        for ident, sent, ended, message in results:
            in_budget = ended - sent < FLAG_BUDGET_MS / 1_000 - 0.1
            if message is None and ident in ran and in_budget:
                lost.append(
                    f"LOST: {ident}, sent {sent - terminated:.3f} s after the SIGTERM and run by a worker, was cut"
                    f" {ended - terminated:.3f} s after the SIGTERM"
                )
    return lost


main(case, FOLDER)
