"""A model runner, as far as orders to it go. It records each order with its holder and fencing token."""

import asyncio
import json
import time

from http_text import Server, response_bytes

LOAD_S = 0.6
MAX_EVENTS_WAIT_S = 1.0


class EngineRunner:
    def __init__(self, number, service, model, store, record):
        self.id, self._service, self._model = f"i-{number:08x}", service, model
        self._store, self._record = store, record
        self.version, self._loading, self._sequence, self._fence = 1, False, 0, 0
        self.orders = []  # (time, holder, fence, version)
        self._server, self._address, self._tasks = Server(self._handle), "", []

    async def start(self, host):
        port = await self._server.start(host, 0)
        self._address = f"{host}:{port}"
        self._put()

    def _put(self):
        models = [{"name": self._model, "version": self.version, "adapters": []}]
        entry = {"service": self._service, "address": self._address, "zone": "zone-a", "version": "v1", "slots": 64,
                 "state": "ready", "coldRemainingMs": 0, "sequence": 1, "stage": "combined", "models": models}
        self._store.put("servers", self.id, json.dumps(entry).encode())

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        await self._server.stop()

    async def _handle(self, head, body, writer):
        path = head.first[1].split("?")[0]
        if path == "/healthz":
            return writer.write(response_bytes(200, b"", {"Instance-Id": self.id}))
        if path == "/report":
            models = [{"name": self._model, "version": self.version, "adapters": []}]
            report = {"stage": "combined", "models": models, "busy": self._loading, "sequence": self._sequence}
            return writer.write(response_bytes(200, report | {"queued": 0, "running": 0, "kvUsed": 0,
                                                              "kvTotal": 90000, "handles": 0}))
        if path == "/kv-events":
            await asyncio.sleep(min(int(head.headers.get("wait-ms", "0")) / 1000, MAX_EVENTS_WAIT_S))
            return writer.write(response_bytes(200, {"epoch": 1, "nextPageToken": 0, "lost": False, "events": []}))
        if path == "/kv-list":
            return writer.write(response_bytes(200, {"epoch": 1, "nextPageToken": 0, "held": []}))
        if path == "/order":
            return self._order(json.loads(body), head, writer)
        writer.write(response_bytes(400, b"", {"Not-Executed": "1"}))

    def _order(self, order, head, writer):
        status = self._take(order, head)
        self._record.write(f"runner {self.id} is ordered version {order['version']} by {order['holder']}"
                           f" with fence {order['fence']}: {status}")
        if status != 421:
            self.orders.append((time.monotonic(), order["holder"], order["fence"], order["version"]))
        writer.write(response_bytes(status))

    def _take(self, order, head):
        if head.headers.get("expect-instance", self.id) != self.id:
            return 421
        if order["fence"] < self._fence:
            return 412
        self._fence = order["fence"]
        if order["version"] <= self.version:
            return 200
        if self._loading or order.get("expectedRev", self._sequence) != self._sequence:
            return 409
        self._sequence += 1
        self._loading = True
        self._tasks.append(asyncio.create_task(self._load(order["version"])))
        return 202

    async def _load(self, version):
        await asyncio.sleep(LOAD_S)
        self.version, self._loading = version, False
        self._put()
