"""A loss of power takes down all gateways and all model runners at once. All are back within two seconds, the runners at
their addresses and under new ids, and new weights are named. Each runner has to get them. See claim.txt."""

import asyncio
import collections
import json
import random
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from deployment import Connection, Deployment, Runner, head_bytes, response_bytes, route, run_case  # noqa: E402

SEED = 8
GATEWAYS, RUNNERS, SLOTS = 3, 4, 16
REQUESTS_PER_S = 10  # Of the clients of one gateway.
MODEL, PIECES, PIECE_S, LOAD_S = "model-a", 10, 0.02, 0.6
HEARTBEAT_S = 1.2
LAPSE_S = 3 * HEARTBEAT_S  # A runner's entry goes after three heartbeats without a write.
BEFORE_S, RUNNERS_DOWN_S, GATEWAYS_DOWN_S = 6.0, 1.0, 1.3
VERSION_S, RECOVERY_S = 8.0, 12.0
JUDGED_AFTER_S = 1.5 * VERSION_S + 3.0  # From the naming of the weights; all machines are in touch for 1.5 x versionMs.


class Engine(Runner):
    """A model runner: streams, orders to load weights, reports and events of its KV cache. Each start draws a new id."""

    def __init__(self, deployment, orders, log):
        super().__init__(deployment, "lm", SLOTS)
        self._orders, self._log = orders, log
        self.version = 1
        self._begin()

    def _begin(self):
        self.id = f"i-{self.deployment.random.getrandbits(32):08x}"
        self._running, self._loading, self._sequence, self._fence = 0, False, 0, 0

    def entry(self):
        models = [{"name": MODEL, "version": self.version, "adapters": []}]
        return super().entry() | {"stage": "combined", "models": models}

    async def serve(self, connection, head, body):
        writer, path = connection["writer"], head.first[1]
        if path.startswith("/kv-events"):
            await asyncio.sleep(min(1.0, int(head.headers.get("wait-ms", "0")) / 1000))
            page = {"epoch": int(self.id[2:], 16), "nextPageToken": 0, "lost": False, "events": []}
            return writer.write(response_bytes(200, page))
        if path == "/kv-list":
            page = {"epoch": int(self.id[2:], 16), "nextPageToken": 0, "held": []}
            return writer.write(response_bytes(200, page))
        if path == "/report":
            return writer.write(response_bytes(200, self._report()))
        if path == "/healthz":
            return writer.write(response_bytes(200, b"", {"Instance-Id": self.id}))
        if head.headers.get("expect-instance", self.id) != self.id:
            return writer.write(response_bytes(421, b"", {"Instance-Id": self.id}))
        if path == "/order":
            return self._accept_order(json.loads(body), writer)
        await self._stream(head, writer)

    def _report(self):
        models = [{"name": MODEL, "version": self.version, "adapters": []}]
        return {"stage": "combined", "models": models, "busy": self._loading, "sequence": self._sequence, "queued": 0,
                "running": self._running, "kvUsed": 0, "kvTotal": 100000, "handles": 0}

    def _accept_order(self, order, writer):
        self._orders.append((self.deployment.seconds(), self.id, order["holder"], order["fence"], order["version"]))
        self._log(f"{self.deployment.seconds():8.3f} {self.id} gets an order of {order['holder']}: {order}")
        if order["fence"] < self._fence:
            return writer.write(response_bytes(412))
        self._fence = order["fence"]
        if order["version"] <= self.version:
            return writer.write(response_bytes(200))
        if self._loading or order.get("expectedRev", self._sequence) != self._sequence:
            return writer.write(response_bytes(409))
        self._sequence += 1
        self._loading = True
        asyncio.get_running_loop().create_task(self._load(self.id, order["version"]))
        writer.write(response_bytes(202))

    async def _load(self, id, version):
        while self._running and id == self.id:  # Runs end first.
            await asyncio.sleep(0.02)
        await asyncio.sleep(LOAD_S)
        if id == self.id:
            self.version, self._loading = version, False
            self._write_entry()

    async def _stream(self, head, writer):
        attempt = head.headers.get("attempt-id", "")
        echo = {"Attempt-Id": attempt}
        if int(head.headers.get("expect-version", self.version)) != self.version:
            return writer.write(response_bytes(421, b"", echo | {"Weight-Versions": str(self.version)}))
        if self._running >= SLOTS or self._loading:
            return writer.write(response_bytes(503, b"", echo | {"Not-Executed": "1"}))
        self._running += 1
        try:
            fields = echo | {"Server-Seal": f"{self.id}.{attempt}", "Weight-Versions": str(self.version),
                             "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
            writer.write(head_bytes("HTTP/1.1 200 OK", fields))
            for number in range(1, PIECES + 1):
                event = f"id: {number}\ndata: {attempt}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
                await asyncio.sleep(PIECE_S)
            writer.write(b"0\r\n\r\n")
        finally:
            self._running -= 1

    async def crash(self):
        """Ends at once; the entry lapses."""
        await self.stop()
        asyncio.get_running_loop().call_later(LAPSE_S, self.deployment.store.remove, "servers", self.id)

    async def start_again(self):
        earlier = self.id
        self._begin()
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(self._connection, host, int(port))
        self._write_entry()
        self._log(f"{self.deployment.seconds():8.3f} the runner at {port} is {self.id}, it was {earlier}")


async def request(gateway, generator, results, log, seconds):
    attempt = f"{generator.getrandbits(64):016x}"
    connection = Connection(gateway.host, gateway.ports["front"])
    fields = {"Attempt-Id": attempt, "Deadline-Ms": "4000", "Authorization": "Bearer key-a", "Model": MODEL,
              "Token-Usage": f"300,{PIECES}", "Prefix-Hash": f"{generator.randint(1, 4):x}:200,{generator.getrandbits(40):x}:100"}
    sent_at = seconds()
    try:
        status, headers, _ = await asyncio.wait_for(connection.request("POST", "/review/x", fields, b"a prompt"), 5)
    except (OSError, asyncio.TimeoutError):
        status, headers = 0, {}
    connection.close()
    results.append((sent_at, status == 200 and "server-seal" in headers, status))
    log(f"{seconds():8.3f} client {attempt} sent {sent_at:.3f} by {gateway.name}: {status}")


def name_weights(deployment, version):
    text = json.dumps({"model": MODEL, "version": version}).encode()
    deployment.store.put("op", f"version/{MODEL}", text)


async def main(trouble, log):
    deployment = Deployment(GATEWAYS, SEED)
    generator, orders, results, tasks = random.Random(SEED), [], [], set()
    deployment.runners = [Engine(deployment, orders, log) for _ in range(RUNNERS)]
    engine = {"slots": SLOTS, "kvCapacity": 110556, "kvTokenBytes": 163840, "linkMbps": 1100000.0, "maxInFlight": 12,
              "models": [{"name": MODEL}]}
    deployment.publish(
        [route("review", "streaming", "lm", 6000, 800, attempts=2, sticky=True, resumable=True, gapTargetMs=500)],
        [{"name": "lm", "healthPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tls": False, "engine": engine}],
        [{"name": "tenant-a", "apiKeys": ["key-a"]}])
    name_weights(deployment, 1)

    async def load(until):
        while time.monotonic() < until:
            gateway = generator.choice(deployment.gateways)
            task = asyncio.create_task(request(gateway, generator, results, log, deployment.seconds))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(generator.expovariate(REQUESTS_PER_S * GATEWAYS))

    async def start_gateways():
        await asyncio.sleep(GATEWAYS_DOWN_S)
        for gateway in deployment.gateways:
            await gateway.start()
        log(f"{deployment.seconds():8.3f} the gateways are started again")

    async def start_runners():
        await asyncio.sleep(RUNNERS_DOWN_S)
        for runner in deployment.runners:
            await runner.start_again()

    try:
        await deployment.start()
        await asyncio.sleep(3)
        traffic = asyncio.create_task(load(time.monotonic() + BEFORE_S + GATEWAYS_DOWN_S + JUDGED_AFTER_S))
        await asyncio.sleep(BEFORE_S)
        fault_at = deployment.seconds()
        if trouble:
            log(f"{deployment.seconds():8.3f} power is lost")
            for gateway in deployment.gateways:
                gateway.signal(signal.SIGKILL)
            for runner in deployment.runners:
                await runner.crash()
            for gateway in deployment.gateways:
                await gateway.process.wait()
            await asyncio.gather(start_gateways(), start_runners())
        back_at = deployment.seconds()
        name_weights(deployment, 2)
        log(f"{back_at:8.3f} version 2 is named")
        await traffic
        await asyncio.gather(*list(tasks))
        outdated = [runner.id for runner in deployment.runners if runner.version < 2]
    finally:
        await deployment.stop()
    before = [served for sent_at, served, _ in results if sent_at < fault_at]
    after = [(served, status) for sent_at, served, status in results if sent_at > back_at + RECOVERY_S]
    counts = dict(collections.Counter(status for _, status in after))
    text = (f"{len(outdated)} of {RUNNERS} runners still have an older version than 2: {outdated}; served before the fault "
            f"{sum(before)} of {len(before)}, later than {RECOVERY_S:.0f} s after the machines are back "
            f"{sum(served for served, _ in after)} of {len(after)}: {counts}")
    log(text)
    print(text)
    return len(outdated) > 1 and len(outdated) > RUNNERS / 10


run_case(main, FOLDER)
