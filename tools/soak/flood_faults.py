"""Faults of the soak in which runners or the store send bytes without end, while gateways are stopped and killed."""

import asyncio
import signal
import time

from floods import KINDS

FLOOD_S = (0.5, 3.0)  # For how long new responses are floods; each one goes on until its gateway closes the connection.
STORE_FLOOD_S = (0.2, 1.0)
FLOODED_SHARES = (0.3, 0.6, 1.0)
CALLS_SHARE = 0.3  # Of the floods of a runner, those in which calls other than requests get them too.
MAX_ENDED_GATEWAYS = 2
MAX_ENDS_IN_SERIES = 3
DOWNTIME_S = (0.2, 1.0)


class Floods:
    """Selects runners that flood, and gateways that are ended meanwhile."""

    def __init__(self, soak):
        self._soak = soak
        self._locks = {gateway.name: asyncio.Lock() for gateway in soak.gateways}
        self._flooding_until = {}  # By route of the runner; floods of one runner may overlap.
        self.service_periods = []  # (service, since, until)
        self.gateway_periods = []  # (address, since, until): from the signal until it is ready again.

    async def flood_runner(self, generator):
        """Lets one runner, or all of a service, flood."""
        soak = self._soak
        runner = generator.choice(soak.engines + soak.runners)
        service = soak.engines if runner in soak.engines else soak.runners
        flooding = service if generator.random() < 0.2 else [runner]
        kind, share, seconds = generator.choice(KINDS), generator.choice(FLOODED_SHARES), generator.uniform(*FLOOD_S)
        calls = generator.random() < CALLS_SHARE
        names = ", ".join(f"{runner.id} ({runner.route})" for runner in flooding)
        soak.log_event(f"{names}: {share} of the responses{' and all calls' if calls else ''} without end for "
                       f"{seconds:.1f} s: {kind}")
        since = time.monotonic()
        for runner in flooding:
            runner.flood, runner.flooded_share, runner.floods_calls = kind, share, calls
            self._flooding_until[runner.route] = max(self._flooding_until.get(runner.route, 0.0), since + seconds)
        await asyncio.sleep(seconds)
        for runner in flooding:
            if self._flooding_until[runner.route] <= time.monotonic():
                runner.flood = ""
        self.service_periods.append(("engines" if service is soak.engines else "app", since, time.monotonic()))

    async def flood_store_path(self, generator):
        kind, seconds = generator.choice(KINDS), generator.uniform(*STORE_FLOOD_S)
        self._soak.log_event(f"store: responses without end for {seconds:.1f} s: {kind}")
        self._soak.store.flood = kind
        await asyncio.sleep(seconds)
        self._soak.store.flood = ""

    async def end_gateways(self, generator):
        """Stops or kills gateways one after the other or overlapping, and starts them again."""
        count = generator.randint(1, MAX_ENDED_GATEWAYS)
        delays = [generator.uniform(0.0, 2.0) for _ in range(count)]
        plans = [[generator.choice([signal.SIGTERM, signal.SIGKILL]) for _ in range(generator.randint(1, MAX_ENDS_IN_SERIES))]
                 for _ in range(count)]
        gateways = generator.sample(self._soak.gateways, count)
        downtimes = [generator.uniform(*DOWNTIME_S) for _ in range(count)]
        await asyncio.gather(*(self._end_in_series(*plan) for plan in zip(gateways, delays, plans, downtimes)))

    async def _end_in_series(self, gateway, delay, numbers, downtime):
        await asyncio.sleep(delay)
        for number in numbers:
            async with self._locks[gateway.name]:
                await self._end_gateway(gateway, number, downtime)

    async def _end_gateway(self, gateway, number, downtime):
        self._soak.log_event(f"{number.name} {gateway.name}")
        since = time.monotonic()
        self._soak.record_disturbance([gateway])
        status = await gateway.terminate(number)
        if number == signal.SIGTERM and status != 0:
            self._soak.problems.append(f"planned stop: {gateway.name} ended with {status}")
        await asyncio.sleep(downtime)
        await gateway.start()
        await gateway.wait_until_ready()
        self._soak.record_disturbance([gateway])
        self.gateway_periods.append((gateway.address, since, time.monotonic()))
