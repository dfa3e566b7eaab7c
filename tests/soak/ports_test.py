"""Guards against a soak that fails to start: the runners' ports are chosen before the fault proxy starts, because its
routes name them. The proxy listens on 127.0.0.1 with port 0 and may be given one of these ports before its runner
listens."""

import asyncio
import random
import socket
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
for folder in ("platform/standin", "tools/soak"):
    sys.path.insert(0, str(ROOT / folder))

from http_text import Server  # noqa: E402
from runner import Runner  # noqa: E402
from soak import choose_runner_endpoints  # noqa: E402
from store import Store  # noqa: E402


async def listen_on(endpoints):
    for host, port in endpoints:
        server = Server(None)
        await server.start(host, port)
        await server.stop()


async def connect_after_crash(host):
    runner = Runner(Store(random.Random(1)), "engines", "model", 1, [], random.Random(1))
    await runner.start(host, 0, "")
    await runner.crash_and_return()
    _, writer = await asyncio.open_connection(host, runner.port)
    writer.close()
    await runner.crash()


class PortsTest(unittest.TestCase):
    def test_runners_listen_although_the_proxy_was_given_their_ports(self):
        endpoints = choose_runner_endpoints(5)
        sockets = []
        for _, port in endpoints:
            listener = socket.socket()
            listener.bind(("127.0.0.1", port))
            listener.listen()
            sockets.append(listener)
        asyncio.run(listen_on(endpoints))
        for listener in sockets:
            listener.close()

    def test_a_runner_that_a_request_crashed_listens_on_its_address_again(self):
        (host, _), = choose_runner_endpoints(1)
        asyncio.run(connect_after_crash(host))


if __name__ == "__main__":
    unittest.main()
