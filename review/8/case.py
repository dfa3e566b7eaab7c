"""One gateway loses its path to the store, and a key is taken away. It stands still at the end of the cut. The requests
that clients sent it with that key later than revokeMs after the revocation must not run. See claim.txt."""

import asyncio
import base64
import json
import random
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from deployment import Connection, Deployment, Runner, response_bytes, route, run_case  # noqa: E402

SEED = 8
GATEWAYS, RUNNERS, SLOTS = 2, 3, 100
CLIENTS = 240  # Of the gateway that is cut off, with the key that is taken away.
BODY = b"order " + b"x" * 16
KEPT, REVOKED = "key-kept", "key-revoked"
DEADLINE_S, WORK_S = 4.0, 0.03
PAUSE_S = (0.2, 1.2)  # Between two requests of a client.
ROUNDS, CUT_S, REVOKED_AFTER_S, FROZEN_S = 3, 9.5, 0.5, 3.5
REVOKE_S = 5.0


class RemoteStore:
    """The store in its own process, with a path for each gateway; takes the place of the deployment's store."""

    async def start_process(self, host, count):
        program = str(FOLDER / "store_process.py")
        self._process = await asyncio.create_subprocess_exec(
            sys.executable, program, host, str(count), stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE)
        self.addresses = json.loads(await asyncio.wait_for(self._process.stdout.readline(), 10))

    def _send(self, *command):
        self._process.stdin.write(json.dumps(command).encode() + b"\n")

    def put(self, table, key, value):
        self._send("put", table, key, base64.b64encode(value).decode())

    def remove(self, table, key):
        self._send("remove", table, key)

    def cut(self, number):
        self._send("cut", number)

    def heal(self, number):
        self._send("heal", number)

    async def start(self, host, port):
        return 0

    async def stop(self):
        self._process.kill()
        await self._process.wait()


class Application(Runner):
    def __init__(self, deployment, runs, log):
        super().__init__(deployment, "app", SLOTS)
        self._runs, self._log, self._running = runs, log, 0

    async def serve(self, connection, head, body):
        writer, attempt = connection["writer"], head.headers.get("attempt-id", "")
        echo = {"Attempt-Id": attempt} if attempt else {}
        if head.headers.get("expect-instance", self.id) != self.id:
            return writer.write(response_bytes(421, b"", echo | {"Instance-Id": self.id}))
        if head.first[1] == "/healthz":
            return writer.write(response_bytes(200, b"", {"Instance-Id": self.id}))
        if self._running >= SLOTS:
            return writer.write(response_bytes(503, b"", echo | {"Not-Executed": "1"}))
        self._runs.append((self.deployment.seconds(), self.id, attempt))
        self._log(f"{self.deployment.seconds():8.3f} {self.id} runs {attempt}")
        self._running += 1
        await asyncio.sleep(WORK_S)
        self._running -= 1
        seal = echo | {"Server-Seal": f"{self.id}.{attempt}"}
        writer.write(response_bytes(200, json.dumps({"attempt": attempt}).encode(), seal))


class Client:
    """Sends one request after the other on a kept connection, and honours Retry-After."""

    def __init__(self, deployment, gateway, sent, log, seed):
        self._deployment, self._sent, self._log = deployment, sent, log
        self._random = random.Random(seed)
        self._connection = Connection(gateway.host, gateway.ports["front"])
        self.key = REVOKED

    async def run(self, is_over):
        await asyncio.sleep(self._random.uniform(0, 1))
        while not is_over():
            retry_after = await self._request()
            await asyncio.sleep(retry_after + self._random.uniform(*PAUSE_S))
        self._connection.close()

    async def _request(self):
        attempt = f"{self._random.getrandbits(64):016x}"
        fields = {"Attempt-Id": attempt, "Deadline-Ms": str(int(DEADLINE_S * 1000)), "Authorization": f"Bearer {self.key}"}
        sent_at = self._deployment.seconds()
        self._sent[attempt] = (sent_at, self.key)
        try:
            status, headers, _ = await asyncio.wait_for(
                self._connection.request("POST", "/order/x", fields, BODY), DEADLINE_S)
        except (OSError, asyncio.TimeoutError):
            status, headers = 0, {}
            self._connection.close()
        self._log(f"{self._deployment.seconds():8.3f} client {attempt} sent {sent_at:.3f} with {self.key}: {status}")
        return float(headers.get("retry-after", "0"))


async def main(trouble, log):
    deployment = Deployment(GATEWAYS, SEED)
    store = deployment.store = RemoteStore()
    await store.start_process(deployment.runner_host, GATEWAYS)
    deployment.store_addresses = store.addresses
    runs, sent, revoked = [], {}, {}
    deployment.runners = [Application(deployment, runs, log) for _ in range(RUNNERS)]
    is_over = False

    def publish(keys):
        deployment.publish([route("order", "unsafe", "app", 4000, 300)],
                           [{"name": "app", "healthPath": "/healthz", "maxConnections": 600, "protocol": "h1", "tls": False}],
                           [{"name": "tenant-a", "apiKeys": [KEPT]}, {"name": "tenant-b", "apiKeys": keys}])

    keys = [f"{REVOKED}-{number}" for number in range(ROUNDS)]
    publish(keys)
    try:
        await deployment.start()
        await asyncio.sleep(3)
        gateway = deployment.gateways[0]
        clients = [Client(deployment, gateway, sent, log, SEED * 1000 + number) for number in range(CLIENTS)]
        for client in clients:
            client.key = keys[0]
        tasks = [asyncio.create_task(client.run(lambda: is_over)) for client in clients]
        await asyncio.sleep(4)
        for number, key in enumerate(keys):
            for client in clients:
                client.key = key
            await asyncio.sleep(2)
            if trouble:
                log(f"{deployment.seconds():8.3f} {gateway.name} is cut off from the store")
                store.cut(0)
            await asyncio.sleep(REVOKED_AFTER_S)
            publish(keys[number + 1:])
            revoked[key] = deployment.seconds()
            log(f"{revoked[key]:8.3f} {key} is taken away")
            await asyncio.sleep(CUT_S - REVOKED_AFTER_S - FROZEN_S)
            if trouble:
                log(f"{deployment.seconds():8.3f} {gateway.name} stands still")
                gateway.signal(signal.SIGSTOP)
            await asyncio.sleep(FROZEN_S - 0.1)
            if trouble:
                store.heal(0)
                log(f"{deployment.seconds():8.3f} the path to the store is there again")
            await asyncio.sleep(0.1)
            if trouble:
                gateway.signal(signal.SIGCONT)
                log(f"{deployment.seconds():8.3f} {gateway.name} runs again")
            await asyncio.sleep(5)
        is_over = True
        await asyncio.gather(*tasks)
    finally:
        await deployment.stop()
    broken = []
    for at, runner, attempt in runs:
        sent_at, key = sent[attempt]
        if key in revoked and sent_at > revoked[key] + REVOKE_S:
            broken.append(attempt)
            log(f"CONFIG: {attempt} was sent {sent_at - revoked[key]:.3f} s after {key} was taken away, and {runner} ran it "
                f"{at - revoked[key]:.3f} s after that")
    late = sum(key in revoked and sent_at > revoked[key] + REVOKE_S for sent_at, key in sent.values())
    text = f"{len(broken)} of {late} requests that were sent later than {REVOKE_S:.0f} s after their key was taken away ran"
    log(text)
    print(text)
    return bool(broken)


run_case(main, FOLDER)
