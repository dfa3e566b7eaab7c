"""Faults of the soak that may end a process: starts at which signals, settings and addresses are late or early, and
callers that leave bytes with a gateway."""

import asyncio
import signal
import socket
import time
from pathlib import Path

from http_text import head_bytes, read_head

READY_LIMIT_S = 8.0  # From the time at which nothing stands in the way of a start until the gateway is ready.
BODY_BYTES = 4 << 20  # The largest body that the configuration allows.
HEAD_BYTES = 15_000
MAX_START_SIGNALS, SIGNAL_SPREAD_S = 6, 0.05
# Starts that may end by a signal before the program's first instruction, while its libraries are loaded.
MAX_EARLY_ENDS, STARTS_PER_EARLY_END = 1, 25
HELD_CONNECTIONS = 60  # Of one fault that leaves bytes with a gateway.
MEMORY_LIMIT_MB = 88  # That the settings name, and the peak that is allowed.


def handles(process_id, number):
    """Returns whether the process handles or blocks a signal; false before its first own instruction."""
    try:
        lines = Path(f"/proc/{process_id}/status").read_text().splitlines()
    except OSError:
        return False
    masks = [int(line.split()[1], 16) for line in lines if line.startswith(("SigBlk:", "SigCgt:"))]
    return any(mask >> (number - 1) & 1 for mask in masks)


def peak_memory_mb(process_id):
    """Returns the highest resident memory of a process so far, or 0 if it has ended."""
    try:
        lines = Path(f"/proc/{process_id}/status").read_text().splitlines()
    except OSError:
        return 0.0
    return max((int(line.split()[1]) / 1000 for line in lines if line.startswith("VmHWM")), default=0.0)


def hold_port(host, port, kind):
    """Binds a port as another process would; returns the socket, or None if the port is in use."""
    holder = socket.socket(socket.AF_INET, kind)
    try:
        holder.bind((host, port))
    except OSError:
        holder.close()
        return None
    if kind == socket.SOCK_STREAM:
        holder.listen()
    return holder


class ObstructedStarts:
    """Starts gateways again while something stands in the way, and checks that each becomes ready."""

    def __init__(self, gateways, log_event, problems):
        self._gateways, self._log_event, self._problems = gateways, log_event, problems
        self._locks = {gateway.name: asyncio.Lock() for gateway in gateways}
        self.starts = self.ended_before_code = 0

    async def obstruct_start(self, generator):
        gateway = generator.choice(self._gateways)
        async with self._locks[gateway.name]:
            await gateway.terminate(generator.choice([signal.SIGKILL, signal.SIGKILL, signal.SIGTERM]))
            gateway.expected_exit = True
            obstacles = generator.sample(["settings", "address", "signals"], generator.randint(1, 3))
            tasks = [getattr(self, f"_delay_{name}")(gateway, generator) for name in obstacles if name != "signals"]
            prepared = [await task for task in tasks]
            self.starts += 1
            self._log_event(f"{gateway.name} starts; in its way: {', '.join(sorted(obstacles))}")
            await gateway.start()
            if "signals" in obstacles:
                await self._send_signals(gateway, generator)
            await asyncio.gather(*(remove() for remove in prepared))
            await self._check_ready(gateway)

    async def _delay_settings(self, gateway, generator):
        """The settings file is absent, empty or cut off; returns what writes it in place."""
        text = gateway.settings.read_text()
        gateway.settings.unlink()
        cut = generator.choice([None, 0, generator.randrange(len(text))])
        if cut is not None:
            gateway.settings.write_text(text[:cut])
        delay = generator.uniform(0.0, 0.8)

        async def write():
            await asyncio.sleep(delay)
            gateway.settings.write_text(text)

        return write

    async def _delay_address(self, gateway, generator):
        """Another socket holds one of the addresses; returns what frees it."""
        name = generator.choice(sorted(gateway.ports))
        kind = socket.SOCK_DGRAM if name == "gossip" and generator.random() < 0.5 else socket.SOCK_STREAM
        holder = hold_port(gateway.host, gateway.ports[name], kind)
        delay = generator.uniform(0.1, 2.0)

        async def free():
            await asyncio.sleep(delay)
            if holder:
                holder.close()

        return free

    async def _send_signals(self, gateway, generator):
        """Tells the process of changed settings at any moment of its start."""
        for _ in range(generator.randint(1, MAX_START_SIGNALS)):
            await asyncio.sleep(generator.uniform(0.0, SIGNAL_SPREAD_S))
            handled = handles(gateway.process.pid, signal.SIGHUP)
            gateway.expected_exit = not handled
            gateway.send_signal(signal.SIGHUP)
            if not handled and await self._has_ended(gateway):
                # No instruction of the program had run: nothing in it can prevent that.
                self.ended_before_code += 1
                await gateway.start()
            gateway.expected_exit = False

    async def _has_ended(self, gateway):
        try:
            return await asyncio.wait_for(asyncio.shield(gateway.process.wait()), 0.05) == -signal.SIGHUP
        except asyncio.TimeoutError:
            return False

    def find_early_ends(self):
        """Returns a violation if more starts ended before the program's first instruction than loading explains."""
        allowed = MAX_EARLY_ENDS + self.starts // STARTS_PER_EARLY_END
        if self.ended_before_code <= allowed:
            return []
        return [f"{self.ended_before_code} of {self.starts} starts ended by SIGHUP before a handler or a mask was set"]

    async def _check_ready(self, gateway):
        deadline = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < deadline:
            if gateway.process.returncode is not None:
                return  # The monitor of the processes reports it.
            if await self._is_ready(gateway):
                return
            await asyncio.sleep(0.05)
        self._problems.append(f"{gateway.name} is not ready {READY_LIMIT_S:.0f} s after a start")
        self._log_event(self._problems[-1])

    @staticmethod
    async def _is_ready(gateway):
        try:
            reader, writer = await asyncio.open_connection(gateway.host, gateway.ports["readiness"])
            writer.write(head_bytes("GET /readyz HTTP/1.1", {"Host": "r"}))
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head.first[1] == "200"
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


class HeldBytes:
    """Callers that leave bytes with a gateway, and a check of the memory of all gateways."""

    def __init__(self, gateways, record_attempt, log_event, problems):
        """record_attempt(number, gateway) records a request that a runner may run, and returns its key."""
        self._gateways, self._record_attempt = gateways, record_attempt
        self._log_event, self._problems = log_event, problems
        self.peak_mb = 0.0

    def check_memory(self):
        for gateway in self._gateways:
            if gateway.process.returncode is not None:
                continue
            peak = peak_memory_mb(gateway.process.pid)
            if peak > MEMORY_LIMIT_MB >= self.peak_mb:
                self._problems.append(f"{gateway.name} uses {peak:.0f} MB of {MEMORY_LIMIT_MB}")
                self._log_event(self._problems[-1])
            self.peak_mb = max(self.peak_mb, peak)

    async def hold_bytes(self, generator):
        gateway = generator.choice(self._gateways)
        way = generator.choice(["bodies", "bodies", "anonymous", "heads", "unread", "drip"])
        seconds = generator.uniform(0.5, 4.0)
        count = generator.randint(5, HELD_CONNECTIONS)
        self._log_event(f"{count} callers leave bytes with {gateway.name} for {seconds:.1f} s: {way}")
        callers = [asyncio.create_task(self._call(gateway, generator.getrandbits(64), way, seconds)) for _ in range(count)]
        await asyncio.gather(*callers)

    async def _call(self, gateway, number, way, seconds):
        try:
            async with asyncio.timeout(seconds):
                await self._leave_bytes(gateway, number, way)
        except (OSError, asyncio.TimeoutError):
            pass

    async def _leave_bytes(self, gateway, number, way):
        _, writer = await asyncio.open_connection(gateway.host, gateway.ports["front"], limit=1024)
        try:
            fields = {"Host": "desk.example", "Attempt-Id": f"{number:016x}", "Deadline-Ms": "3000"}
            if way != "anonymous":
                fields["Authorization"] = f"Bearer {self._record_attempt(fields['Attempt-Id'], gateway)}"
            if way == "heads":
                head = head_bytes("GET /look/x HTTP/1.1", fields | {"X-Pad": "p" * HEAD_BYTES})
                writer.write(head[:-1])
            elif way == "unread":
                writer.write(head_bytes("GET /look/x HTTP/1.1", fields | {"Pad-Bytes": str(BODY_BYTES)}))
            else:
                writer.write(head_bytes("POST /look/x HTTP/1.1", fields | {"Content-Length": str(BODY_BYTES)}))
                await self._write_body(writer, way)
            await asyncio.sleep(3600)
        finally:
            writer.transport.abort()

    @staticmethod
    async def _write_body(writer, way):
        """Sends all but the last byte of a body, at once or in drips."""
        if way != "drip":
            writer.write(bytes(BODY_BYTES - 1))
            return await writer.drain()
        for _ in range(BODY_BYTES // 1000 - 1):
            writer.write(bytes(1000))
            await writer.drain()
            await asyncio.sleep(0.2)
