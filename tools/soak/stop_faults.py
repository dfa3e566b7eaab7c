"""Planned stops of the soak: gateways are stopped by SIGTERM, in series and overlapping, while clients keep using open
connections and send requests that arrive slowly."""

import asyncio
import random
import signal
import time
from dataclasses import dataclass, field

from client import Attempt, connect, read_response, request_parts, request_pieces

CLIENTS_PER_STOP = 40
LEAD_S = 1.0  # From the opening of the clients' connections to SIGTERM.
LAST_BEGIN_S = 7.8  # After SIGTERM: the last moment at which a client begins its first request.
LATE_CONNECTION_SHARE = 0.2  # Of the clients: they connect while the stopping gateway still accepts connections.
ACCEPTED_S = 2.8
ARRIVAL_S = (0.2, 7.5)  # From the first to the last byte of a request that arrives slowly.
RUN_S = (0.05, 3.0)
PIECES = 5  # Of a request that arrives slowly.
PAUSE_S = 0.5  # Maximum time between two requests on a connection.
DEADLINE_S = 12.0  # Of the requests; later than the end of a stop.
OVERLAP_S = (0.0, 3.0)  # Between two stops that overlap.
MIN_UPTIME_S = 2.0  # From a start to the next stop.
EXTRA_SIGNALS_UNTIL_S = 7.0


@dataclass
class Stop:
    """A planned stop of a gateway and the requests of clients that used its connections."""

    gateway: str
    began_at: float
    ended_at: float = 0.0
    status: int | None = None  # Exit status; None: it did not end in time.
    attempts: list = field(default_factory=list)


class PlannedStops:
    def __init__(self, soak, kinds, model):
        self._soak, self._kinds, self._model = soak, kinds, model
        self._locks = {gateway.name: asyncio.Lock() for gateway in soak.gateways}
        self.stops = []

    async def stop_gateways(self, generator):
        """Stops one gateway, or two shortly after one another; one whose stop is under way is not selected again."""
        gateways = generator.sample(self._soak.gateways, generator.randint(1, 2))
        delays = [0.0, generator.uniform(*OVERLAP_S)]
        seeds = [generator.getrandbits(64) for _ in gateways]
        await asyncio.gather(*(self._stop_later(*plan) for plan in zip(gateways, delays, seeds)))

    async def _stop_later(self, gateway, delay, seed):
        await asyncio.sleep(delay)
        if self._locks[gateway.name].locked():
            return
        async with self._locks[gateway.name]:
            await gateway.wait_until_ready()
            await asyncio.sleep(MIN_UPTIME_S)
            await self._stop(gateway, random.Random(seed))

    async def _stop(self, gateway, generator):
        stop = Stop(gateway.address, time.monotonic() + LEAD_S)
        self.stops.append(stop)
        clients = [asyncio.create_task(self._use_connections(stop, gateway.process, random.Random(generator.getrandbits(64))))
                   for _ in range(CLIENTS_PER_STOP)]
        extra = [(generator.uniform(0.0, EXTRA_SIGNALS_UNTIL_S), number) for number in (signal.SIGTERM, signal.SIGHUP)
                 if generator.random() < 0.5]
        await asyncio.sleep(LEAD_S)
        self._soak.log_event(f"SIGTERM {gateway.name}, then {[f'{number.name} after {at:.1f} s' for at, number in extra]}")
        self._soak.record_disturbance([gateway])
        stop.began_at = time.monotonic()
        signals = [asyncio.create_task(self._send_later(gateway, at, number)) for at, number in extra]
        stop.status = await gateway.terminate(signal.SIGTERM)
        stop.ended_at = time.monotonic()
        for task in signals:
            task.cancel()
        self._soak.log_event(f"{gateway.name} ended {stop.ended_at - stop.began_at:.2f} s after SIGTERM with {stop.status}")
        await gateway.start()
        await asyncio.gather(*clients)
        await gateway.wait_until_ready()
        self._soak.record_disturbance([gateway])

    @staticmethod
    async def _send_later(gateway, delay, number):
        await asyncio.sleep(delay)
        gateway.send_signal(number)

    # Clients.

    async def _use_connections(self, stop, process, generator):
        """Uses one connection to the process after the other until the process is gone or accepts no connection."""
        begins_at = stop.began_at + generator.uniform(-LEAD_S, LAST_BEGIN_S)
        if generator.random() < LATE_CONNECTION_SHARE:
            connects_at = stop.began_at + generator.uniform(0.0, ACCEPTED_S)
            await asyncio.sleep(max(0.0, connects_at - time.monotonic()))
        while process.returncode is None and stop.ended_at == 0.0:
            try:
                reader, writer = await connect(stop.gateway)
            except (OSError, asyncio.TimeoutError):
                return
            try:
                await asyncio.sleep(max(0.0, begins_at - time.monotonic()))
                await self._use_connection(stop, reader, writer, generator)
            finally:
                writer.close()

    async def _use_connection(self, stop, reader, writer, generator):
        closes = False
        while not (closes or reader.at_eof() or writer.is_closing()):
            attempt = self._make_attempt(stop, generator)
            pieces, arrival_s = self._plan_request(attempt, generator)
            response = asyncio.create_task(self._read(attempt, reader))
            await self._send(attempt, writer, pieces, arrival_s, response)
            await response
            attempt.ended_at = time.monotonic()
            closes = attempt.closes or not attempt.whole or not attempt.whole_at
            if not closes:
                await asyncio.sleep(generator.uniform(0.0, PAUSE_S))

    def _make_attempt(self, stop, generator):
        key = generator.choice(list(self._soak.keys))
        attempt = Attempt(f"{generator.getrandbits(64):016x}", generator.choice(self._kinds), key, self._soak.keys[key],
                          stop.gateway, time.monotonic())
        attempt.run_s = generator.uniform(*RUN_S)
        self._soak.attempts.append(attempt)
        stop.attempts.append(attempt)
        return attempt

    def _plan_request(self, attempt, generator):
        """Returns the pieces of a request and the time from the first to the last."""
        slow_part = generator.choice(["head", "body", ""])
        prompt = [(generator.randint(1, 6), 640), (generator.getrandbits(40), 160)]
        fields, body = request_parts(attempt, self._model, prompt, DEADLINE_S)
        return request_pieces(attempt, fields, body, PIECES, slow_part), generator.uniform(*ARRIVAL_S)

    @staticmethod
    async def _send(attempt, writer, pieces, arrival_s, response):
        """Sends the pieces until a response or the end of the connection is there."""
        for index, piece in enumerate(pieces):
            if index:
                await asyncio.wait([response], timeout=arrival_s / (len(pieces) - 1))
            if response.done() or writer.is_closing():
                return
            writer.write(piece)
        attempt.whole_at = time.monotonic()

    @staticmethod
    async def _read(attempt, reader):
        try:
            await asyncio.wait_for(read_response(attempt, reader), 2 * DEADLINE_S)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass


def summarize_stops(stops):
    """Returns a line on what became of the requests of the stops."""
    attempts = [attempt for stop in stops for attempt in stop.attempts]
    whole = [attempt for attempt in attempts if attempt.whole_at]
    answered = sum(attempt.status == 200 and attempt.whole for attempt in whole)
    refused = sum(attempt.status == 503 and attempt.not_run for attempt in whole)
    longest = max((stop.ended_at - stop.began_at for stop in stops), default=0.0)
    return (f"{len(stops)} planned stops, the longest {longest:.2f} s; of {len(attempts)} requests {len(whole)} were sent "
            f"whole, {answered} answered whole, {refused} refused as not run")
