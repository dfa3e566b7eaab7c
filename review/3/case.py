"""Requests with a large header, within the operator's `maxHeaderBytes`, must not end the processes that read them."""

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from deployment import Platform, make_gateways, run_case  # noqa: E402
from http_text import head_bytes, read_body, read_head  # noqa: E402
from plain_runner import PlainRunner  # noqa: E402
from settings import HOST, KEY, configuration, plain_route  # noqa: E402
from store import Store  # noqa: E402

GATEWAYS, RUNNERS = 3, 2
REQUESTS_PER_S = 20
CONFIGURED_AT_S, LONG_FROM_S, END_S = 3.0, 6.0, 24.0
LONG_EVERY_S = 1.5
RESTART_DELAY_S = 0.5
DEADLINE_S = 4.0
RAISED_HEADER_BYTES = 131072
PART = "5c1e07a2:16"  # A part of a prompt.
LONG_PARTS, USUAL_PARTS = 6000, 1000  # 72,000 and 12,000 bytes.
ENDS_THAT_COUNT, MACHINES_THAT_COUNT = 3, 2  # As the rule has them.


class Clients:
    """Clients as PROTOCOL.md has them: each attempt on a new connection, `safe` requests are sent once more."""

    def __init__(self, gateways, record, generator):
        self._gateways, self._record, self._random = gateways, record, generator
        self.answers = {}

    async def _attempt(self, gateway, route, parts):
        attempt = f"{self._random.getrandbits(64):016x}"
        fields = {"Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": int(DEADLINE_S * 1000), "Content-Length": 2,
                  "Authorization": f"Bearer {KEY}", "Connection": "close"}
        if parts:
            fields["Prefix-Hash"] = ",".join([PART] * parts)
        head = head_bytes(f"POST /{route}/x HTTP/1.1", fields)
        self._record.write(f"client sends {attempt}: /{route}/, header of {len(head)} bytes, to {gateway.name}")
        try:
            async with asyncio.timeout(DEADLINE_S):
                reader, writer = await asyncio.open_connection(*gateway.address)
                writer.write(head + b"{}")
                answer = await read_head(reader)
                await read_body(reader, answer.headers)
                status = answer.first[1]
                writer.close()
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            status = type(error).__name__
        self.answers[attempt] = (route, status)
        self._record.write(f"client is answered {attempt}: {status}")
        return status

    async def send(self, route, parts=0):
        first, second = self._random.sample(self._gateways, 2)
        if await self._attempt(first, route, parts) != "200" and route == "look":
            await self._attempt(second, route, parts)


async def main(folder, record, trouble):
    generator = random.Random(65)
    store = Store(generator)
    port = await store.start("127.0.2.1", 0)
    routes = [plain_route("look", "safe", attempts=2), plain_route("take", "unsafe")]
    store.put("op", "config", configuration(routes))
    runners = [PlainRunner(number + 1, "app", store, record, slots=12) for number in range(RUNNERS)]
    for number, runner in enumerate(runners):
        await runner.start(f"127.0.3.{number + 1}")
    gateways = make_gateways(GATEWAYS, f"127.0.2.1:{port}", folder)
    clients, requests, platform = Clients(gateways, record, generator), [], None
    try:
        for gateway in gateways:
            await gateway.start()
        for gateway in gateways:
            await gateway.wait_until_ready()
        platform = Platform(gateways, record, RESTART_DELAY_S)
        await asyncio.sleep(1)
        clock = asyncio.get_running_loop().time
        began, configured, next_long = clock(), False, LONG_FROM_S
        while clock() < began + END_S:
            now = clock() - began
            if now >= CONFIGURED_AT_S and not configured:
                configured = True
                store.put("op", "config", configuration(routes, version=2, maxHeaderBytes=RAISED_HEADER_BYTES))
                record.write(f"operator: maxHeaderBytes is {RAISED_HEADER_BYTES}")
            if now >= next_long:
                next_long += LONG_EVERY_S
                requests.append(asyncio.create_task(clients.send("look", LONG_PARTS if trouble else USUAL_PARTS)))
            requests.append(asyncio.create_task(clients.send(generator.choice(["look", "take"]))))
            await asyncio.sleep(generator.expovariate(REQUESTS_PER_S))
        await asyncio.gather(*requests)
    finally:
        if platform is not None:
            await platform.stop()
        await asyncio.gather(*(gateway.stop() for gateway in gateways))
        for runner in runners:
            await runner.stop()
        await store.stop()
    ends = platform.ends
    record.write(f"answers {dict(Counter(clients.answers.values()))}, ends {dict(ends)}")
    if not clients.answers:
        raise RuntimeError("nothing was sent")
    often = [name for name, count in ends.items() if count >= ENDS_THAT_COUNT]
    if len(often) < MACHINES_THAT_COUNT:
        return []
    return [f"Fault: the process of {name} ended by itself {ends[name]} times" for name in sorted(often)]


run_case(main, Path(__file__).resolve().parent)
