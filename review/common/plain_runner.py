"""A runner of a plain service, as PROTOCOL.md describes it. It records its runs. Below /watch/ it answers with events."""

import asyncio
import json
import time

import http_text
from http_text import Server, head_bytes, response_bytes

http_text.HEAD_LIMIT = 1024 * 1024  # A runner takes any header that the operator allows.

HEARTBEAT_S = 1.2


class PlainRunner:
    """`loses_answer()` is asked after each run: true resets the connection in place of the answer."""

    def __init__(self, number, service, store, record, slots=6, work_s=0.06):
        self.id, self._service, self._store, self._record = f"i-{number:08x}", service, store, record
        self._slots, self._work_s, self._running = slots, work_s, 0
        self._server, self._task, self._address = Server(self._handle), None, ""
        self.loses_answer = lambda: False
        self.runs = []  # (time, Attempt-Id, method, target, body)
        self._connections = {}

    async def start(self, host):
        port = await self._server.start(host, 0)
        self._address = f"{host}:{port}"
        self._put("ready")

    def _put(self, state):
        entry = {"service": self._service, "address": self._address, "zone": "zone-a", "version": "v1",
                 "slots": self._slots, "state": state, "coldRemainingMs": 0, "sequence": 1}
        self._store.put("servers", self.id, json.dumps(entry).encode())

    async def stop(self):
        await self._server.stop()

    async def _handle(self, head, body, writer):
        method, target = head.first[0], head.first[1]
        attempt = head.headers.get("attempt-id", "")
        echo = {"Attempt-Id": attempt}
        if target == "/healthz":
            return writer.write(response_bytes(200, b"", {"Instance-Id": self.id}))
        connection = self._connections.setdefault(writer, len(self._connections) + 1)
        if head.headers.get("expect-instance", self.id) != self.id:
            return writer.write(response_bytes(421, b"", echo | {"Not-Executed": "1"}))
        if not attempt:
            return writer.write(response_bytes(400, b"", {"Not-Executed": "1"}))
        if self._running >= self._slots:
            self._record.write(f"runner {self.id} rejects {attempt}: full")
            return writer.write(response_bytes(503, b"", echo | {"Not-Executed": "1"}))
        self.runs.append((time.monotonic(), attempt, method, target, body))
        self._record.write(f"runner {self.id} runs {attempt}: {method} {target}, body of {len(body)} bytes (connection {connection})")
        self._running += 1
        try:
            await asyncio.sleep(self._work_s)
        finally:
            self._running -= 1
        if self.loses_answer():
            self._record.write(f"runner {self.id} has run {attempt} and resets its connection")
            return writer.transport.abort()
        seal = echo | {"Server-Seal": f"{self.id}.{len(self.runs)}"}
        if target.startswith("/watch/"):
            return await self._stream(seal, writer)
        writer.write(response_bytes(200, json.dumps({"run": len(self.runs), "of": attempt}).encode(), seal))

    async def _stream(self, seal, writer):
        fields = seal | {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        writer.write(head_bytes("HTTP/1.1 200 OK", fields))
        for number in range(1, 4):
            event = f"id: {number}\ndata: {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")
