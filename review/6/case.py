"""Two of four runners of an application service break off or double some answers while the service is busy. Each request
must not run more than once, and one that is refused as not run must not run at all. See claim.txt."""

import asyncio
import collections
import json
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from deployment import Connection, Deployment, Runner, reset, response_bytes, route, run_case  # noqa: E402

SEED = 6
GATEWAYS, RUNNERS = 2, 4
GARBLING = 2  # Runners that garble, half of them.
SLOTS, QUEUE = 6, 2
WORK_S = (0.06, 0.18)
REJECTION_S = 0.03  # A busy runner takes this long to reject a request.
REQUESTS_PER_S = 120  # Of the clients of one gateway.
GARBLED_SHARE = 0.03  # Of the answers of a garbling runner, broken off or doubled.
GARBLE_S, PAUSE_S, PERIODS = 5.0, 3.0, 7
MAX_IDLE_S = 12.0  # Four fifths of idleTimeoutMs.
PROMISES = {429, 503, 408, 421}  # The request did not run, and never will.


class Application(Runner):
    """Runs requests in its slots, queues a few more and rejects the others. A health request is treated alike."""

    def __init__(self, deployment, runs, gateway_of, log):
        super().__init__(deployment, "app", SLOTS)
        self._runs, self._gateway_of, self._log = runs, gateway_of, log
        self._running = self._queued = 0
        self._slot_free = asyncio.Condition()
        self._garbles = False
        self._answers = self._garbled = 0  # Since this period of garbling began.
        self._working = {}  # Attempt that runs -> its connection.
        self._last_answered = {}  # Gateway -> its connection that was answered last, while it is idle.

    def garble(self, enabled):
        self._garbles, self._answers, self._garbled = enabled, 0, 0

    async def serve(self, connection, head, body):
        writer = connection["writer"]
        is_health = head.first[1] == "/healthz"
        attempt = head.headers.get("attempt-id", "")
        surplus = connection.pop("surplus", b"")
        if surplus:  # A surplus answer arrives late, in the place where the next one is due.
            self._note(f"sends a surplus answer before that to {'health' if is_health else attempt}")
            writer.write(surplus)
        for gateway, idle in list(self._last_answered.items()):
            if idle is connection:
                del self._last_answered[gateway]
        echo = {} if is_health else {"Attempt-Id": attempt}
        if head.headers.get("expect-instance", self.id) != self.id:
            return writer.write(response_bytes(421, b"", echo | {"Instance-Id": self.id}))
        if self._running >= SLOTS and self._queued >= QUEUE:
            await asyncio.sleep(REJECTION_S)
            self._note(f"is full: rejects {'health' if is_health else attempt}")
            return writer.write(response_bytes(503, b"", echo | {"Not-Executed": "1"}))
        await self._take_slot()
        try:
            if is_health:
                return writer.write(response_bytes(200, b"", {"Instance-Id": self.id}))
            await self._run(connection, attempt)
        finally:
            async with self._slot_free:
                self._running -= 1
                self._slot_free.notify()

    def _note(self, text):
        self._log(f"{self.deployment.seconds():8.3f} {self.id} {text}")

    async def _take_slot(self):
        if self._running < SLOTS:
            self._running += 1
            return
        self._queued += 1
        if self._queued >= QUEUE:
            self._garble_answers()
        async with self._slot_free:
            await self._slot_free.wait_for(lambda: self._running < SLOTS)
            self._queued -= 1
            self._running += 1

    async def _run(self, connection, attempt):
        self._runs.append((self.deployment.seconds(), self.id, attempt))
        self._note(f"runs {attempt}")
        self._working[attempt] = connection
        await asyncio.sleep(self.deployment.random.uniform(*WORK_S))
        del self._working[attempt]
        self._answers += 1
        seal = {"Attempt-Id": attempt, "Server-Seal": f"{self.id}.{attempt}"}
        connection["answer"] = response_bytes(200, json.dumps({"attempt": attempt}).encode(), seal)
        if not connection["writer"].is_closing():
            connection["writer"].write(connection["answer"])
            self._last_answered[self._gateway_of.get(attempt)] = connection

    def _garble_answers(self):
        """Breaks off the answer to a request of a gateway, and doubles the last answer that this gateway got."""
        if not self._garbles or self._garbled + 2 > GARBLED_SHARE * self._answers:
            return
        for attempt, connection in self._working.items():
            idle = self._last_answered.get(self._gateway_of.get(attempt))
            if idle is None or connection["writer"].is_closing():
                continue
            self._garbled += 2
            self._note(f"breaks off the answer to {attempt}")
            idle["surplus"] = idle["answer"]
            connection["writer"].write(b"HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt.encode())
            reset(connection["writer"])
            return


class Clients:
    """Clients of one gateway, with kept connections."""

    def __init__(self, deployment, gateway, attempts, gateway_of, log, seed):
        self._deployment, self._gateway, self._attempts = deployment, gateway, attempts
        self._gateway_of, self._log, self._random = gateway_of, log, random.Random(seed)
        self._idle = []

    async def load(self, until):
        tasks = set()
        while time.monotonic() < until:
            task = asyncio.create_task(self._request())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(self._random.expovariate(REQUESTS_PER_S))
        await asyncio.gather(*list(tasks))

    async def _request(self):
        attempt = f"{self._random.getrandbits(64):016x}"
        self._gateway_of[attempt] = self._gateway.name
        connection = self._take_connection()
        fields = {"Attempt-Id": attempt, "Deadline-Ms": "4000", "Authorization": "Bearer key-a"}
        sent_at = self._deployment.seconds()
        try:
            status, headers, _ = await asyncio.wait_for(
                connection.request("POST", "/order/x", fields, b"order " + attempt.encode()), 5)
        except (OSError, asyncio.TimeoutError):
            status, headers = 0, {}
            connection.close()
        self._attempts[attempt] = status
        sealed = "sealed" if "server-seal" in headers else "unsealed"
        self._log(f"{self._deployment.seconds():8.3f} client {attempt} sent {sent_at:.3f} by {self._gateway.name}: "
                  f"{status} {sealed}")
        if connection.writer is not None:
            connection.idle_since = time.monotonic()
            self._idle.append(connection)

    def _take_connection(self):
        while self._idle:
            connection = self._idle.pop()
            if time.monotonic() - connection.idle_since < MAX_IDLE_S:
                return connection
            connection.close()
        return Connection(self._gateway.host, self._gateway.ports["front"])


async def main(trouble, log):
    deployment = Deployment(GATEWAYS, SEED)
    runs, attempts, gateway_of = [], {}, {}
    deployment.runners = [Application(deployment, runs, gateway_of, log) for _ in range(RUNNERS)]
    deployment.publish([route("order", "unsafe", "app", 4000, 300, attempts=2)],
                       [{"name": "app", "healthPath": "/healthz", "maxConnections": 100, "protocol": "h1", "tls": False}],
                       [{"name": "tenant-a", "apiKeys": ["key-a"]}])
    try:
        await deployment.start()
        await asyncio.sleep(4)
        until = time.monotonic() + PERIODS * (PAUSE_S + GARBLE_S)
        clients = [Clients(deployment, gateway, attempts, gateway_of, log, SEED + number)
                   for number, gateway in enumerate(deployment.gateways)]
        loads = [asyncio.create_task(client.load(until)) for client in clients]
        for _ in range(PERIODS):
            for garbles, seconds in ((False, PAUSE_S), (trouble, GARBLE_S)):
                for runner in deployment.runners[:GARBLING]:
                    runner.garble(garbles)
                await asyncio.sleep(seconds)
        await asyncio.gather(*loads)
        await asyncio.sleep(1)
    finally:
        await deployment.stop()
    counts = collections.Counter(attempt for _, _, attempt in runs)
    twice = [attempt for attempt, count in counts.items() if count > 1]
    refused = [attempt for attempt, status in attempts.items() if status in PROMISES and counts[attempt]]
    log(f"{len(attempts)} requests; answers by status: {dict(collections.Counter(attempts.values()))}")
    for attempt in twice:
        log(f"TWICE: {attempt} ran {counts[attempt]} times: {[run[:2] for run in runs if run[2] == attempt]}")
    for attempt in refused:
        log(f"REFUSED: {attempt} was answered {attempts[attempt]} and ran: {[run[:2] for run in runs if run[2] == attempt]}")
    print(f"{len(attempts)} requests, {len(twice)} ran twice, {len(refused)} were refused as not run and ran")
    return bool(twice or refused)


run_case(main, FOLDER)
