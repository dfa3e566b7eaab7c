"""A `GET` on a route that isn't idempotent, whose answer a runner loses, must not run twice."""

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from deployment import make_gateways, run_case  # noqa: E402
from http_text import head_bytes, read_body, read_head  # noqa: E402
from plain_runner import PlainRunner  # noqa: E402
from settings import HOST, KEY, configuration, plain_route  # noqa: E402
from store import Store  # noqa: E402

GATEWAYS, RUNNERS = 3, 2
REQUESTS_PER_S = 60
WARM_UP_S, TROUBLE_S, REST_S = 4.0, 4.0, 2.0
SHARE_LOST = 0.05  # Of the answers of one runner of the two.
DEADLINE_S = 4.0


class LossOfAnswers:
    """While it is active, a runner loses just a share of its answers, and never more than it."""

    def __init__(self, share):
        self._share, self.active, self.answers, self.lost = share, False, 0, 0

    def loses_next(self):
        if not self.active:
            return False
        self.answers += 1
        loses = self.lost + 1 <= self._share * self.answers
        self.lost += loses
        return loses


async def request(gateway, route, attempt, record, answers):
    """One client attempt; clients of these pages never repeat it under the same id."""
    target = f"/{route}/{attempt}"
    record.write(f"client sends {attempt}: GET {target} to {gateway.name}")
    try:
        async with asyncio.timeout(DEADLINE_S):
            reader, writer = await asyncio.open_connection(*gateway.address)
            fields = {"Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": int(DEADLINE_S * 1000),
                      "Authorization": f"Bearer {KEY}", "Connection": "close"}
            writer.write(head_bytes(f"GET {target} HTTP/1.1", fields))
            head = await read_head(reader)
            await read_body(reader, head.headers)
            answers[attempt] = head.first[1]
            writer.close()
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        answers[attempt] = type(error).__name__
    record.write(f"client is answered {attempt}: {answers[attempt]}")


async def main(folder, record, trouble):
    generator = random.Random(65)
    store = Store(generator)
    port = await store.start("127.0.2.1", 0)
    store.put("op", "config", configuration([plain_route("take", "unsafe"), plain_route("watch", "streaming")]))
    runners = [PlainRunner(number + 1, "app", store, record, slots=12) for number in range(RUNNERS)]
    for number, runner in enumerate(runners):
        await runner.start(f"127.0.3.{number + 1}")
    gateways = make_gateways(GATEWAYS, f"127.0.2.1:{port}", folder)
    loss = LossOfAnswers(SHARE_LOST)
    runners[0].loses_answer = loss.loses_next
    answers, tasks = {}, []
    try:
        for gateway in gateways:
            await gateway.start()
        for gateway in gateways:
            await gateway.wait_until_ready()
        await asyncio.sleep(1)
        clock = asyncio.get_running_loop().time
        began = clock()
        while clock() < began + WARM_UP_S + TROUBLE_S + REST_S:
            during = WARM_UP_S <= clock() - began < WARM_UP_S + TROUBLE_S
            loss.active = trouble and during
            attempt = f"{generator.getrandbits(64):016x}"
            gateway, route = generator.choice(gateways), generator.choice(["take", "watch"])
            tasks.append(asyncio.create_task(request(gateway, route, attempt, record, answers)))
            await asyncio.sleep(generator.expovariate(REQUESTS_PER_S))
        await asyncio.gather(*tasks)
    finally:
        await asyncio.gather(*(gateway.stop() for gateway in gateways))
        for runner in runners:
            await runner.stop()
        await store.stop()
    if sum(status == "200" for status in answers.values()) < len(answers) / 2:
        raise RuntimeError("less than half of the requests were served")
    runs = Counter((run[1], run[3].split("/")[1]) for runner in runners for run in runner.runs)
    record.write(f"{runners[0].id} lost {loss.lost} of {loss.answers} answers")
    record.write(f"{len(answers)} requests, {sum(runs.values())} runs, answers {dict(Counter(answers.values()))}")
    return [f"TWICE: {attempt} (/{route}/) ran {count} times; its client was answered {answers[attempt]}"
            for (attempt, route), count in runs.items() if count > 1]


run_case(main, Path(__file__).resolve().parent)
