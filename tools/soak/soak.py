#!/usr/bin/env python3
"""Fault soak: runs gateway processes on loopback, injects faults from outside and checks the gateways' guarantees from
the records of clients and runners.

    tools/soak/soak.py --seconds 60 --seed 1 [--build build] [--keep FOLDER]

All connections from the gateways to the store and the runners pass the fault proxy. The schedule of faults is derived
from the seed and printed as it runs. When a guarantee is violated, settings, schedule and all logs are kept in the
folder named by the last line. Stops only processes that it started. Exit status: 0 all guarantees held, 1 a violation,
2 it could not run.
"""

import argparse
import asyncio
import json
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "platform" / "standin"))

from checks import (find_cut_requests, find_departure_violations, find_endless_reads, find_excess_repeats,  # noqa: E402
                    find_falls, find_pause_violations, find_repeated_crashes, find_starved_requests,
                    find_stream_violations, find_streams_that_stop, find_unneeded_refusals, find_violations, mark_streams_of_gone_builds)
from client import Attempt, Kind, look_up, make_attempt  # noqa: E402
from flood_faults import Floods  # noqa: E402
from http_text import head_bytes, read_body, read_head  # noqa: E402
from process_faults import MEMORY_LIMIT_MB, HeldBytes, ObstructedStarts  # noqa: E402
from runner import Brittleness, Notices, Runner  # noqa: E402
from stop_faults import DEADLINE_S as STOP_DEADLINE_S  # noqa: E402
from stop_faults import RUN_S, PlannedStops, summarize_stops  # noqa: E402
from store import Store  # noqa: E402

GATEWAYS = 3
LAGGING_FLEET = 7  # Number of gateways when gateways that lag are the selected fault: not each one keeps each stream.
ENGINES = 3
CRASHING_ENGINES = 9  # Number of engines when requests that crash engines are the selected fault.
SLOTS = 16  # Of an engine.
BRITTLE_ENGINES, BRITTLE_SLOTS = 6, 4  # Number and slots of engines when brittle runners are the selected fault.
MAX_CRASHING_REQUESTS = 2  # Concurrent requests that crash engines.
APPLICATION_RUNNERS = 2
RUNNER_HOST = "127.0.0.2"  # Differs from the proxy's address, whose ports the kernel chooses.
REQUESTS_PER_S = 40
BRITTLE_REQUESTS_PER_S = 90  # When brittle runners are the selected fault: engines are nearly full at times.
MAX_BACK_ENDS, MAX_BACK_ENDS_OF_RETRIES = 2, 6  # Of a request; the latter when retries are the selected fault.
REVOKED_KEY_SHARE = 0.15  # Share of requests that use revoked keys.
DEADLINE_S = 3.0
KEY_VALIDITY_S = 5.0
RETRIES_WARM_UP_S = 11.0  # Time without faults before retries: a window of the retry budget, in which it accrues.
QUIET_PERIOD_S = 6.0  # Time without faults at the end, to check recovery.
START_TIMEOUT_S = 10.0
DRAIN_LIMIT_S = 8.0
MODEL = "model"
KINDS = [
    Kind("/order/", streaming=False, repeatable=False),
    Kind("/look/", streaming=False, repeatable=True),
    Kind("/review/", streaming=True, repeatable=True, answer_events=20),
    Kind("/answer/", streaming=True, repeatable=False, answer_events=12),
]
# Faults that --only can select; with silent_connections, any rejection by a gateway is a violation.
SINGLE_FAULTS = ("silent_connections", "ending_requests", "ending_requests_and_restarts", "notices", "brittle", "retries",
                 "lagging_gateways", "starts", "held_bytes", "floods", "planned_stops")
LONG_RUN_SHARE = 0.2  # Of the requests while gateways are stopped as planned: they run as long as those of its clients.
LAG_AGES_S = (4.0, 32.0, 32.0)  # Ages of the gateways at the first release; 30 s after a start a gateway knows more.
RELEASED_ENGINES = 6  # That join with newer builds when gateways that lag are the selected fault, two at a time.
RESUMED_SHARE = 0.6  # Share of the streams that their clients leave and resume at another gateway, then.
MAX_RESUMPTIONS = 4
LAGGING_SHARE = 0.5  # Share of the resumptions that go to a gateway that lags.
STREAM_SHARE = 0.7  # Of the requests, while gateways lag.


def find_free_ports(count):
    """Returns ports that are free on all loopback addresses."""
    sockets = [socket.socket() for _ in range(count)]
    for listener in sockets:
        listener.bind(("127.0.0.1", 0))
    ports = [listener.getsockname()[1] for listener in sockets]
    for listener in sockets:
        listener.close()
    return ports


def choose_runner_endpoints(count):
    """Returns the host and port of each runner, before any runner listens."""
    return [(RUNNER_HOST, port) for port in find_free_ports(count)]


class Gateway:
    """One gateway process."""

    def __init__(self, number, count, ports, store_address, folder, program):
        self.host = f"127.0.0.{11 + number}"
        self.name = f"gateway-{number}"
        self._program, self._folder = program, folder
        self.ports = ports
        self.process = None
        self.expected_exit = False
        seeds = ", ".join(f'"127.0.0.{11 + other}:{ports["gossip"]}"' for other in range(count))
        lines = [f'name = "{self.name}"', 'zone = "zone-a"', 'region = "r"', f'platform = "{store_address}"']
        lines += [f'{key} = "{self.host}:{port}"' for key, port in ports.items()]
        lines += [f"seeds = [{seeds}]", f"key_validity_ms = {int(KEY_VALIDITY_S * 1000)}", "drain_limit_ms = 8000"]
        lines += [f"memory_limit_mb = {MEMORY_LIMIT_MB}"]
        self.settings = folder / f"{self.name}.toml"
        self.settings.write_text("\n".join(lines) + "\n")

    async def start(self):
        log = open(self._folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            str(self._program), f"--settings={self.settings}", stdout=log, stderr=log, start_new_session=True)
        self.expected_exit = False  # Reset only now: the previous process may have been killed.
        log.close()

    async def wait_until_listening(self):
        """Waits until the process accepts connections at its readiness address."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                _, writer = await asyncio.open_connection(self.host, self.ports["readiness"])
                writer.close()
                return
            except OSError:
                await asyncio.sleep(0.05)

    async def wait_until_ready(self):
        """Waits until the process reports that it is ready, which requires a configuration."""
        await self.wait_until_listening()
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            reader, writer = await asyncio.open_connection(self.host, self.ports["readiness"])
            writer.write(head_bytes("GET /readyz HTTP/1.1", {"Host": "r"}))
            head = await read_head(reader)
            writer.close()
            if head.first[1] == "200":
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} is not ready after the start")

    def send_signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def terminate(self, number):
        """Sends a signal that stops the process and waits for its exit."""
        self.expected_exit = True
        self.send_signal(number)
        try:
            return await asyncio.wait_for(self.process.wait(), DRAIN_LIMIT_S + 2)
        except asyncio.TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self.process.wait()
            return None

    @property
    def address(self):
        return f"{self.host}:{self.ports['front']}"


class Proxy:
    """The fault proxy process, with a route to the store and one to each runner."""

    def __init__(self):
        self.process = None
        self.ports = {}
        self._control = 0

    async def start(self, program, targets, folder):
        routes = ",".join(f"{name}=0:{target}" for name, target in targets.items())
        log = open(folder / "proxy.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            str(program), f"--routes={routes}", stdout=asyncio.subprocess.PIPE, stderr=log, start_new_session=True)
        log.close()
        while len(self.ports) < len(targets) or not self._control:
            line = (await asyncio.wait_for(self.process.stdout.readline(), START_TIMEOUT_S)).decode()
            words = line.split()
            if "control" in words:
                self._control = int(words[words.index("control") + 1])
            self.ports |= {word.split("=")[0]: int(word.split("=")[1]) for word in words if "=" in word}
            if not line:
                raise RuntimeError("the fault proxy ended")

    async def configure(self, **behaviour):
        reader, writer = await asyncio.open_connection("127.0.0.1", self._control)
        body = json.dumps(behaviour).encode()
        fields = {"Host": "p", "Content-Type": "application/json", "Content-Length": str(len(body))}
        writer.write(head_bytes("POST /control HTTP/1.1", fields) + body)
        head = await read_head(reader)
        response = await read_body(reader, head.headers)
        writer.close()
        if head.first[1] != "200":
            raise RuntimeError(f"the fault proxy refused {behaviour}: {response.decode()}")


class Soak:
    def __init__(self, options, folder):
        self.options, self.folder = options, folder
        self.random = random.Random(options.seed + 3)  # For the clients' traffic.
        self.started_at = time.monotonic()
        self.store = Store(random.Random(options.seed + 1))
        self.proxy = Proxy()
        self.gateways, self.engines, self.runners, self.runs, self.attempts = [], [], [], [], []
        self.released = []  # Engines that join later with newer builds.
        self.problems, self.ends, self.ending_parts = [], [], set()
        self.notices, self.disturbances = Notices(), {}
        self.brittleness = Brittleness()
        self.ending = asyncio.Semaphore(MAX_CRASHING_REQUESTS)
        self.keys = {"key-a": "tenant-a", "key-b": "tenant-b"}
        self.revoked = {}  # Key -> time when its revocation was accepted.
        self.configuration_version = 0
        self.weights = 1
        self.max_back_ends = MAX_BACK_ENDS_OF_RETRIES if options.only == "retries" else MAX_BACK_ENDS
        self.lags = options.only == "lagging_gateways"
        self.streams, self.builds_served = [], {}  # See find_streams_that_stop.
        self.lagging = []  # Gateways that lag now.
        self.obstructed_starts = self.held_bytes = self.floods = self.planned_stops = None  # Set by start().
        self.run_times = random.Random(options.seed + 7)
        self.used_gateway = None  # The only one that clients use; None: any.
        self.schedule = open(folder / "schedule.log", "w")

    def log_event(self, text):
        line = f"{time.monotonic() - self.started_at:8.3f} {text}"
        print(line, flush=True)
        self.schedule.write(line + "\n")
        self.schedule.flush()

    # Actions of an operator.

    def publish_configuration(self, generator):
        self.configuration_version += generator.randint(1, 3)
        routes = []
        for kind in KINDS:
            route = {"name": kind.route.strip("/"), "host": "desk.example", "pathPrefix": kind.route}
            route |= {"kind": "streaming" if kind.streaming else "safe" if kind.repeatable else "unsafe"}
            route |= {"timeoutMs": 5000, "targetLatencyMs": 600, "priority": 1, "public": False}
            route["maxAttempts"] = self.max_back_ends
            route |= {"service": "engines" if kind.streaming else "app", "sticky": kind.streaming}
            routes.append(route | {"resumable": kind.streaming and kind.repeatable, "gapTargetMs": 500})
        engine = {"slots": 16, "kvCapacity": 100000, "kvTokenBytes": 1000, "linkMbps": 1e5, "maxInFlight": 8}
        engine["models"] = [{"name": MODEL}]
        services = [{"name": "engines", "healthPath": "/healthz", "maxConnections": 200, "engine": engine},
                    {"name": "app", "healthPath": "/healthz", "maxConnections": 200}]
        tenants = [{"name": tenant, "apiKeys": [key]} for key, tenant in self.keys.items()]
        document = {"version": self.configuration_version, "routes": routes, "services": services, "tenants": tenants}
        document["limits"] = {"headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
        if self.options.only == "planned_stops":  # Requests arrive slowly and run until the end of a stop.
            document["limits"]["headerTimeoutMs"] = int(STOP_DEADLINE_S * 1000)
            for route in routes:
                route["timeoutMs"] = int(STOP_DEADLINE_S * 1000)
        self.store.put("op", "config", json.dumps(document).encode())

    def publish_weights(self):
        self.weights += 1
        self.store.put("op", f"version/{MODEL}", json.dumps({"model": MODEL, "version": self.weights}).encode())

    # Start and stop.

    async def start(self):
        build = ROOT / self.options.build / "bin"
        store_port = await self.store.start("127.0.0.1", 0)
        generator = random.Random(self.options.seed + 2)
        engines = CRASHING_ENGINES if self.options.only.startswith("ending_requests") else ENGINES
        slots = SLOTS
        if self.options.only == "brittle":
            engines, slots = BRITTLE_ENGINES, BRITTLE_SLOTS
        if self.options.only == "retries":
            engines = BRITTLE_ENGINES
        shared = (self.ending_parts, self.ends, self.notices, self.brittleness)
        self.engines = [Runner(self.store, "engines", MODEL, slots, self.runs, generator, *shared) for _ in range(engines)]
        self.runners = [Runner(self.store, "app", "", 12, self.runs, generator, notices=self.notices) for _ in range(APPLICATION_RUNNERS)]
        if self.lags:
            self.released = [Runner(self.store, "engines", MODEL, slots, self.runs, generator, *shared)
                             for _ in range(RELEASED_ENGINES)]
        runners = self.engines + self.runners + self.released
        endpoints = choose_runner_endpoints(len(runners))
        count = LAGGING_FLEET if self.lags else GATEWAYS
        store_routes = [f"store{number}" if self.lags else "store" for number in range(count)]
        targets = {route: f"127.0.0.1:{store_port}" for route in store_routes}
        targets |= {f"runner{index}": f"{host}:{port}" for index, (host, port) in enumerate(endpoints)}
        await self.proxy.start(build / "fault_proxy", targets, self.folder)
        self.publish_configuration(self.random)
        self.store.put("op", f"version/{MODEL}", json.dumps({"model": MODEL, "version": 1}).encode())
        for index, runner in enumerate(runners):
            runner.route, runner.endpoint = f"runner{index}", endpoints[index]
            if runner not in self.released:
                await self.start_runner(runner)
        names = ["front", "readiness", "directory", "metrics", "gossip"]
        ports = dict(zip(names, find_free_ports(len(names))))
        program = build / "crankspur_gateway"
        for number, route in enumerate(store_routes):
            address = f"127.0.0.1:{self.proxy.ports[route]}"
            self.gateways.append(Gateway(number, count, ports, address, self.folder, program))
            self.gateways[-1].store_route = route
        self.obstructed_starts = ObstructedStarts(self.gateways, self.log_event, self.problems)
        self.held_bytes = HeldBytes(self.gateways, self.record_left_attempt, self.log_event, self.problems)
        self.floods = Floods(self)
        self.planned_stops = PlannedStops(self, KINDS, MODEL)
        for gateway in self.gateways:
            await gateway.start()
        for gateway in self.gateways:  # Until it has a configuration, a gateway may reject requests.
            await gateway.wait_until_ready()
        await self.wait_until_serving()

    async def start_runner(self, runner):
        """Starts a runner, which is listed with the address of its proxy route."""
        await runner.start(*runner.endpoint, f"127.0.0.1:{self.proxy.ports[runner.route]}")

    async def wait_until_serving(self):
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            await asyncio.sleep(0.1)
            attempt = await self.run_attempt(KINDS[1], "key-a")
            if attempt.status == 200:
                return
        raise RuntimeError("no gateway serves after the start")

    async def stop(self):
        for gateway in self.gateways:
            if gateway.process is not None:
                gateway.send_signal(signal.SIGCONT)
                await gateway.terminate(signal.SIGTERM)
        if self.proxy.process is not None:
            self.proxy.process.terminate()
            await self.proxy.process.wait()
        for runner in self.engines + self.runners + self.released:
            if runner.id:
                await runner.crash()
        await self.store.stop()

    async def kill_processes(self):
        """Kills all started processes immediately."""
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
        started = [gateway.process for gateway in self.gateways] + [self.proxy.process]
        for process in started:
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()

    # Clients.

    async def find_gateway(self):
        """Returns a gateway address as a client looks it up: from the directory of any gateway that responds."""
        if self.used_gateway is not None and self.used_gateway.process.returncode is None:
            return self.used_gateway.address
        for gateway in self.random.sample(self.gateways, len(self.gateways)):
            try:
                addresses = await look_up(gateway.host, gateway.ports["directory"])
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                continue
            if addresses:
                return self.random.choice(addresses)
        return self.random.choice(self.gateways).address

    async def run_attempt(self, kind, key, prompt=None):
        number = f"{self.random.getrandbits(64):016x}"
        gateway = await self.find_gateway()
        attempt = Attempt(number, kind, key, self.keys.get(key, ""), gateway, time.monotonic())
        self.attempts.append(attempt)
        if prompt is None:
            prompt = [(self.random.randint(1, 6), 640), (self.random.getrandbits(40), 160)]
        if self.options.only == "planned_stops" and self.run_times.random() < LONG_RUN_SHARE:
            attempt.run_s = self.run_times.uniform(*RUN_S)
        return await make_attempt(attempt, MODEL, prompt, STOP_DEADLINE_S if attempt.run_s else DEADLINE_S)

    def record_left_attempt(self, number, gateway):
        """Records an attempt whose client leaves before it has read the response; returns its key."""
        key = next(iter(self.keys))
        attempt = Attempt(number, KINDS[1], key, self.keys[key], gateway.address, time.monotonic())
        attempt.left = True
        self.attempts.append(attempt)
        return key

    async def run_stream(self, key):
        """Runs a stream that the client may leave, and resumes at any gateway."""
        kind = KINDS[2]
        prompt = [(self.random.getrandbits(40), 640), (self.random.getrandbits(40), 160)]  # Cached at no engine.
        attempts = []
        self.streams.append(attempts)
        for _ in range(1 + MAX_RESUMPTIONS):
            number = f"{self.random.getrandbits(64):016x}"
            gateway = await self.find_gateway()
            if attempts and self.lagging and self.random.random() < LAGGING_SHARE:
                gateway = self.random.choice(self.lagging).address
            attempt = Attempt(number, kind, key, self.keys.get(key, ""), gateway, time.monotonic())
            attempt.after = sum(len(earlier.event_ids) for earlier in attempts)
            attempt.resumes = attempts[0].id if attempt.after else ""
            leaves = self.random.random() < RESUMED_SHARE
            attempt.leave_after = self.random.randint(2, kind.answer_events // 2) if leaves else 0
            self.attempts.append(attempt)
            await make_attempt(attempt, MODEL, prompt, DEADLINE_S)
            if attempt.event_ids or attempts:
                attempts.append(attempt)
            if attempt.whole and attempt.status == 200 or not attempts:
                return
            await asyncio.sleep(float(attempt.retry_after or 0) + self.random.uniform(0.0, 0.3))

    async def traffic(self, until):
        tasks = set()
        while time.monotonic() < until:
            use_revoked = self.revoked and self.random.random() < REVOKED_KEY_SHARE
            key = self.random.choice(list(self.revoked if use_revoked else self.keys))
            kind = KINDS[2] if self.lags and self.random.random() < STREAM_SHARE else self.random.choice(KINDS)
            is_stream = self.lags and kind.streaming and kind.repeatable
            task = asyncio.create_task(self.run_stream(key) if is_stream else self.run_attempt(kind, key))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            rate = BRITTLE_REQUESTS_PER_S if self.options.only in ("brittle", "retries") else REQUESTS_PER_S
            await asyncio.sleep(self.random.expovariate(rate))
        await asyncio.gather(*list(tasks))

    # Faults. Each fault reverts its effect.

    def record_disturbance(self, gateways):
        for gateway in gateways:
            self.disturbances.setdefault(gateway.address, []).append(time.monotonic())

    async def kill_gateway(self, generator):
        gateway = generator.choice(self.gateways)
        self.log_event(f"SIGKILL {gateway.name}")
        self.record_disturbance([gateway])
        await gateway.terminate(signal.SIGKILL)
        await asyncio.sleep(generator.uniform(0.2, 1.5))
        await gateway.start()

    async def kill_all(self, generator):
        self.log_event("SIGKILL all gateways")
        self.record_disturbance(self.gateways)
        await asyncio.gather(*(gateway.terminate(signal.SIGKILL) for gateway in self.gateways))
        await asyncio.sleep(generator.uniform(0.2, 1.0))
        for gateway in self.gateways:
            await gateway.start()

    async def stop_gateway(self, generator):
        gateway = generator.choice(self.gateways)
        # Before it listens, SIGTERM would kill it: its handler is not installed and it has accepted no request.
        await gateway.wait_until_listening()
        self.log_event(f"SIGTERM {gateway.name}")
        self.record_disturbance([gateway])
        status = await gateway.terminate(signal.SIGTERM)
        if status != 0:
            self.problems.append(f"planned stop: {gateway.name} ended with {status}")
        await gateway.start()

    async def freeze_gateway(self, generator):
        gateway = generator.choice(self.gateways)
        seconds = generator.uniform(0.5, 7.0)
        self.log_event(f"SIGSTOP {gateway.name} for {seconds:.1f} s")
        self.record_disturbance([gateway])
        gateway.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        gateway.send_signal(signal.SIGCONT)
        self.record_disturbance([gateway])

    async def crash_runner(self, generator):
        runner = generator.choice(self.engines + self.runners)
        self.log_event(f"crash of {runner.id} ({runner.route})")
        async with runner.restarting:
            await runner.crash()
            await asyncio.sleep(generator.uniform(0.3, 2.0))
            await runner.start(RUNNER_HOST, runner.port, runner.listed_address)

    async def impair_runner(self, generator):
        runner = generator.choice(self.engines + self.runners)
        failure = generator.choice(["errors", "silent", "lost"])
        self.log_event(f"{runner.id} ({runner.route}): {failure}")
        runner.failure_mode = failure
        await asyncio.sleep(generator.uniform(0.5, 3.0))
        runner.failure_mode = ""

    async def interrupt_store(self, generator):
        mode = generator.choice(["down", "reset", "silent"])
        seconds = generator.uniform(0.5, 7.0)
        self.log_event(f"store {mode} for {seconds:.1f} s")
        self.store.mode = mode
        await asyncio.sleep(seconds)
        self.store.mode = "ok"

    async def degrade_store(self, generator):
        behaviour = generator.choice(["slow", "loses answers", "forgets history"])
        self.log_event(f"store {behaviour}")
        if behaviour == "forgets history":
            return self.store.forget_history()
        self.store.delay_s, self.store.lose_share = (0.3, 0.0) if behaviour == "slow" else (0.0, 0.4)
        await asyncio.sleep(generator.uniform(1.0, 4.0))
        self.store.delay_s, self.store.lose_share = 0.0, 0.0

    async def impair_network(self, generator):
        route = generator.choice(list(self.proxy.ports))
        fault, revert = generator.choice([
            ({"delay_to_client_ms": 200}, {"delay_to_client_ms": 0}),
            ({"delay_to_server_ms": 200}, {"delay_to_server_ms": 0}),
            ({"swallow_answers": True}, {"swallow_answers": False, "reset": True}),
            ({"freeze": True}, {"freeze": False, "reset": True}),
            ({"reset": True}, {}),
            ({"refuse": True}, {"refuse": False}),
        ])
        seconds = generator.uniform(0.3, 3.0)
        self.log_event(f"proxy {route}: {fault} for {seconds:.1f} s")
        self.record_disturbance(self.gateways)
        await self.proxy.configure(route=route, **fault)
        await asyncio.sleep(seconds)
        self.record_disturbance(self.gateways)
        if revert:
            await self.proxy.configure(route=route, **revert)

    async def silent_connections(self, generator):
        """Makes open connections go silent permanently, up to three times in a row, while new connections work."""
        for _ in range(generator.randint(1, 3)):
            share = generator.choice([1.0, 1.0, 0.6])
            route = {} if generator.random() < 0.7 else {"route": generator.choice(list(self.proxy.ports))}
            self.log_event(f"proxy {route.get('route', 'everywhere')}: {share} of the open connections go silent")
            self.record_disturbance(self.gateways)
            await self.proxy.configure(silence_open=share, **route)
            await asyncio.sleep(generator.uniform(0.5, 4.0))

    async def ending_requests(self, generator):
        """Repeatedly sends a request that crashes each engine that starts to run it, to any gateway."""
        async with self.ending:
            part = generator.getrandbits(40) | 1 << 40
            kind, key = generator.choice(KINDS[2:]), generator.choice(list(self.keys))
            prompt = [(generator.randint(1, 6), 640), (part, 160)]
            until = time.monotonic() + generator.uniform(4.0, 12.0)
            self.log_event(f"request {part:x} ends each engine that runs it ({kind.route})")
            self.ending_parts.add(part)
            while time.monotonic() < until:
                await self.run_attempt(kind, key, prompt)
                await asyncio.sleep(generator.uniform(0.05, 0.7))

    async def mix_in_ending_requests(self, until):
        """Adds such requests to the other faults, with a generator of its own: their schedule for a seed is unchanged."""
        generator = random.Random(self.options.seed + 4)
        while time.monotonic() < until:
            await asyncio.sleep(generator.uniform(2.0, 12.0))
            await self.ending_requests(generator)

    async def pause_runner(self, generator):
        """Lets a runner reject requests and ask for a pause with each, once or twice in a row."""
        runner = generator.choice(self.engines + self.runners)
        for _ in range(generator.randint(1, 2)):
            share, pause_s = generator.choice([1.0, 0.5, 0.2]), generator.uniform(0.8, 4.0)
            self.log_event(f"{runner.id} ({runner.route}) rejects {share} of its requests and asks for {pause_s:.1f} s")
            runner.rejected_share, runner.pause_s = share, pause_s
            await asyncio.sleep(generator.uniform(0.5, 5.0))
            runner.rejected_share = 0.0
            await asyncio.sleep(generator.uniform(0.0, 1.0))

    async def depart_unlisted(self, generator):
        """Lets a runner state in its responses that it leaves while the list says that it is ready, and end later."""
        runner = generator.choice(self.engines + self.runners)
        self.log_event(f"{runner.id} ({runner.route}) states in its responses that it leaves")
        runner.states_departure = True
        await asyncio.sleep(generator.uniform(2.5, 6.0))
        async with runner.restarting:
            await runner.crash()
            await asyncio.sleep(generator.uniform(0.1, 0.5))
            await runner.start(RUNNER_HOST, runner.port, runner.listed_address)

    async def mix_in_notices(self, until):
        """Adds such runners to the other faults, with a generator of its own: their schedule for a seed is unchanged."""
        generator = random.Random(self.options.seed + 5)
        while time.monotonic() < until:
            await asyncio.sleep(generator.uniform(1.0, 8.0))
            await generator.choice([self.pause_runner, self.pause_runner, self.depart_unlisted])(generator)

    async def make_runners_brittle(self, generator):
        """Lets all engines run fewer requests at once and fall over when they reject too many."""
        if self.brittleness.is_current():
            return
        seconds, tolerated = generator.uniform(6.0, 14.0), generator.randint(2, 6)
        room = generator.choice([1.0, 0.75, 0.75])
        self.log_event(f"engines are brittle for {seconds:.1f} s, {tolerated} rejections a second, {room} of their slots")
        self.brittleness.begin(seconds, tolerated, room)
        await asyncio.sleep(seconds)

    async def respond_without_end(self, generator):
        """Lets an engine send responses without end in place of some."""
        runner = generator.choice(self.engines)
        self.log_event(f"{runner.id} ({runner.route}) sends responses without end")
        runner.endless_share = generator.choice([0.2, 0.5])
        await asyncio.sleep(generator.uniform(0.5, 3.0))
        runner.endless_share = 0.0

    async def fail_runners(self, generator):
        """Lets all engines fail most of their requests in one way."""
        failure, share = generator.choice(["error", "full", "misdirected", "endless"]), generator.uniform(0.6, 1.0)
        seconds = generator.uniform(2.0, 12.0)
        self.log_event(f"engines fail {share:.1f} of their requests for {seconds:.1f} s: {failure}")
        for engine in self.engines:
            engine.failure, engine.failed_share = failure, share
        await asyncio.sleep(seconds)
        for engine in self.engines:
            engine.failed_share = 0.0

    async def move_clients(self, generator):
        """Lets all clients use the same gateway, and another one every few seconds."""
        for _ in range(generator.randint(3, 6)):
            self.used_gateway = generator.choice(self.gateways)
            self.log_event(f"clients use {self.used_gateway.name}")
            await asyncio.sleep(generator.uniform(1.0, 3.0))
        self.used_gateway = None

    async def lag_gateway(self, gateway, generator):
        """Keeps a gateway from receiving changes of the store for some seconds, in one of several ways."""
        way = generator.choice(["cut", "cut", "stopped", "stopped", "slow", "killed"])
        seconds = generator.uniform(0.8, 4.5)
        self.log_event(f"{gateway.name} lags for {seconds:.1f} s: {way}")
        self.record_disturbance([gateway])
        if way == "killed":
            await gateway.terminate(signal.SIGKILL)
            await asyncio.sleep(generator.uniform(0.1, 1.0))
            return await gateway.start()
        if way == "stopped":
            gateway.send_signal(signal.SIGSTOP)
        else:
            fault = {"freeze": True} if way == "cut" else {"delay_to_client_ms": int(seconds * 500)}
            await self.proxy.configure(route=gateway.store_route, **fault)
        await asyncio.sleep(seconds)
        gateway.send_signal(signal.SIGCONT)
        if way != "stopped":
            await self.proxy.configure(route=gateway.store_route, freeze=False, delay_to_client_ms=0, reset=True)

    async def release_build(self, number, generator):
        """Lets two engines of a newer build join, serve for some seconds and then leave or crash."""
        engines = self.released[2 * number:2 * number + 2]
        build = f"v{number + 2}"
        for engine in engines:
            engine.build = build
            await self.start_runner(engine)
            self.log_event(f"{engine.id} ({engine.route}) joins with build {build}")
            await asyncio.sleep(generator.uniform(0.0, 0.4))
        since = time.monotonic()
        await asyncio.sleep(generator.uniform(1.0, 6.0))
        self.builds_served.setdefault(build, []).append((since, time.monotonic()))
        for engine in engines:
            self.log_event(f"{engine.id} ({engine.route}) crashes")
            await engine.crash()

    async def lagging_gateways(self):
        """Releases builds one after the other while some gateways lag. Ends when all are released."""
        generator = random.Random(self.options.seed + 6)
        await asyncio.sleep(generator.choice(LAG_AGES_S))
        for number in range(RELEASED_ENGINES // 2):
            self.lagging = generator.sample(self.gateways, generator.randint(1, 3))
            lags = [asyncio.create_task(self.lag_gateway(gateway, generator)) for gateway in self.lagging]
            await asyncio.sleep(generator.uniform(0.0, 0.6))
            await self.release_build(number, generator)
            await asyncio.gather(*lags)
            self.lagging = []
            await asyncio.sleep(generator.uniform(0.0, 2.0))

    async def change_configuration(self, generator):
        self.publish_configuration(generator)
        self.log_event(f"configuration {self.configuration_version}")

    async def change_weights(self, generator):
        self.publish_weights()
        self.log_event(f"weights {self.weights}")

    async def revoke_key(self, generator):
        if len(self.keys) < 2:
            return
        key = generator.choice(list(self.keys))
        tenant = self.keys.pop(key)
        self.keys[f"key-{generator.getrandbits(32):08x}"] = tenant
        self.publish_configuration(generator)
        self.revoked[key] = time.monotonic()
        self.log_event(f"configuration {self.configuration_version} takes {key} away")

    async def faults(self, until):
        faults = [self.kill_gateway, self.kill_all, self.stop_gateway, self.freeze_gateway, self.crash_runner,
                  self.impair_runner, self.interrupt_store, self.degrade_store, self.impair_network,
                  self.impair_network, self.change_configuration, self.change_weights, self.revoke_key,
                  self.silent_connections]
        if self.options.only == "ending_requests_and_restarts":
            faults = [self.ending_requests, self.ending_requests, self.kill_gateway, self.kill_all, self.stop_gateway]
        elif self.options.only == "notices":
            faults = [self.pause_runner, self.pause_runner, self.pause_runner, self.depart_unlisted, self.kill_gateway,
                      self.stop_gateway, self.freeze_gateway]
        elif self.options.only == "brittle":
            faults = [self.make_runners_brittle, self.make_runners_brittle, self.respond_without_end,
                      self.kill_gateway, self.stop_gateway, self.freeze_gateway]
        elif self.options.only == "retries":
            faults = [self.fail_runners, self.fail_runners, self.fail_runners, self.move_clients, self.move_clients,
                      self.kill_gateway, self.kill_all, self.stop_gateway]
        elif self.options.only == "starts":
            faults = [self.obstructed_starts.obstruct_start] * 3 + [self.interrupt_store, self.change_configuration]
        elif self.options.only == "held_bytes":
            hold = self.held_bytes.hold_bytes
            faults = [hold, hold, hold, hold, self.kill_gateway, self.stop_gateway, self.change_configuration]
        elif self.options.only == "floods":
            faults = [self.floods.flood_runner] * 4 + [self.floods.flood_store_path, self.floods.end_gateways]
        elif self.options.only == "planned_stops":
            faults = [self.planned_stops.stop_gateways]
        elif self.options.only:
            faults = [getattr(self, self.options.only)]
        tasks = set()
        gateway_lock = asyncio.Lock()  # Serializes signals to gateways, or one could be sent to a stopped process.
        gateway_faults = {self.kill_gateway, self.kill_all, self.stop_gateway, self.freeze_gateway}
        schedule = random.Random(self.options.seed)

        async def run_fault(fault, generator):
            if fault in gateway_faults:
                async with gateway_lock:
                    return await fault(generator)
            await fault(generator)

        if not self.options.only:
            tasks.add(asyncio.create_task(self.mix_in_ending_requests(until)))
            tasks.add(asyncio.create_task(self.mix_in_notices(until)))
        while time.monotonic() < until:
            # One generator per fault, so that its choices depend only on the seed, not on concurrent faults.
            generator = random.Random(schedule.getrandbits(64))
            task = asyncio.create_task(run_fault(schedule.choice(faults), generator))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(schedule.uniform(0.2, 2.5))
        await asyncio.gather(*list(tasks))

    async def monitor_processes(self):
        while True:
            await asyncio.sleep(0.2)
            self.held_bytes.check_memory()
            for gateway in self.gateways:
                if gateway.process.returncode is not None and not gateway.expected_exit:
                    self.problems.append(f"{gateway.name} ended by itself: {gateway.process.returncode}")
                    self.log_event(self.problems[-1])
                    gateway.expected_exit = True

    async def run(self):
        await self.start()
        monitor = asyncio.create_task(self.monitor_processes())
        if self.options.only == "retries":
            await self.traffic(time.monotonic() + RETRIES_WARM_UP_S)
        faults_end = time.monotonic() + self.options.seconds

        async def inject_faults():
            if self.lags:
                self.builds_served["v1"] = [(time.monotonic(), float("inf"))]
                await self.lagging_gateways()
            else:
                await self.faults(faults_end)
            self.log_event("quiet")
            return time.monotonic()

        faults = asyncio.create_task(inject_faults())
        traffic = asyncio.create_task(self.run_traffic_through_quiet_period(faults))
        quiet_since = await faults
        await traffic
        monitor.cancel()
        await self.stop()
        await asyncio.sleep(0.5)
        mark_streams_of_gone_builds(self.streams, self.builds_served)
        violations = find_violations(self.attempts, self.runs, self.revoked, KEY_VALIDITY_S,
                                     quiet_since + QUIET_PERIOD_S / 2, self.max_back_ends)
        violations += find_repeated_crashes(self.ends)
        gateway_of = self.find_sending_gateways()
        violations += find_falls(self.brittleness, len(self.engines), gateway_of, self.disturbances)
        violations += find_excess_repeats(self.notices, self.attempts)
        endless = [response for runner in self.engines + self.runners for response in runner.endless]
        violations += find_endless_reads(endless, gateway_of, self.disturbances, time.monotonic())
        violations += find_pause_violations(self.notices, gateway_of, self.disturbances)
        violations += find_departure_violations(self.notices, gateway_of, self.disturbances, self.attempts)
        violations += find_stream_violations(self.streams)
        violations += find_streams_that_stop(self.streams, self.builds_served)
        violations += self.obstructed_starts.find_early_ends()
        violations += find_cut_requests(self.planned_stops.stops, self.runs)
        if self.options.only == "floods":
            violations += find_starved_requests(self.attempts, self.floods.service_periods, self.floods.gateway_periods)
        if self.options.only == "silent_connections":
            violations += find_unneeded_refusals(self.attempts)
        return self.problems + violations

    def find_sending_gateways(self):
        """Returns the gateway that sent each attempt to runners, without the attempts that were relayed."""
        relayed = set()
        for gateway in self.gateways:
            for line in (self.folder / f"{gateway.name}.log").read_text(errors="replace").splitlines():
                if " event=1234 " in line:
                    relayed.add(line.split("request_id=")[1].split()[0])
        return {attempt.id: attempt.gateway for attempt in self.attempts if attempt.id not in relayed}

    async def run_traffic_through_quiet_period(self, faults):
        while not faults.done():
            await self.traffic(time.monotonic() + 0.5)
        await self.traffic(time.monotonic() + QUIET_PERIOD_S)


def summarize(soak):
    statuses = {}
    for attempt in soak.attempts:
        statuses[attempt.status] = statuses.get(attempt.status, 0) + 1
    complete = sum(1 for attempt in soak.attempts if attempt.status == 200 and attempt.whole)
    counts = ", ".join(f"{status}: {count}" for status, count in sorted(statuses.items()))
    print(f"{len(soak.attempts)} attempts, {complete} answered whole, {len(soak.runs)} runs; by status: {counts}")
    notices = soak.notices
    print(f"{len(notices.pauses)} rejections with a pause, {len({runner for _, runner, _ in notices.departures})} runners "
          f"stated that they leave")
    print(f"{len(soak.brittleness.falls)} falls in {len(soak.brittleness.periods)} brittle periods, "
          f"{sum(len(runner.endless) for runner in soak.engines + soak.runners)} responses without end")
    print(f"peak memory {soak.held_bytes.peak_mb:.0f} MB of {MEMORY_LIMIT_MB}")
    if soak.planned_stops.stops:
        print(summarize_stops(soak.planned_stops.stops))
    starts = soak.obstructed_starts
    if starts.starts:
        print(f"{starts.starts} obstructed starts, {starts.ended_before_code} ended before the program's first instruction")
    resumed = [attempt for attempts in soak.streams for attempt in attempts[1:]]
    if resumed:
        print(f"{len(resumed)} attempts to resume a stream, {sum(1 for a in resumed if a.event_ids)} went on")
    if soak.ends:
        parts = {end.part for end in soak.ends}
        print(f"{len(parts)} requests ended {len(soak.ends)} engines")


async def run_soak(options, folder):
    soak = Soak(options, folder)
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):  # Always stops the started processes.
        asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
    try:
        problems = await soak.run()
    except BaseException:
        await soak.kill_processes()
        raise
    summarize(soak)
    (folder / "attempts.json").write_text("\n".join(json.dumps(vars(a), default=vars) for a in soak.attempts))
    (folder / "runs.json").write_text("\n".join(json.dumps(vars(run)) for run in soak.runs))
    return problems


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("--seconds", type=float, default=60, help="time with faults, in seconds; a quiet period follows")
    parser.add_argument("--seed", type=int, default=None, help="seed of the schedule; default: random, and printed")
    parser.add_argument("--only", default="", choices=["", *SINGLE_FAULTS], help="the only kind of fault to inject")
    parser.add_argument("--build", default="build", help="build folder that contains the programs")
    parser.add_argument("--keep", default="", help="folder for logs, which are kept even without violations")
    options = parser.parse_args()
    if options.seed is None:
        options.seed = random.SystemRandom().randrange(1 << 31)
    folder = Path(options.keep or tempfile.mkdtemp(prefix="crankspur-soak-"))
    folder.mkdir(parents=True, exist_ok=True)
    print(f"seed {options.seed}, {options.seconds:.0f} s of faults", flush=True)
    try:
        problems = asyncio.run(run_soak(options, folder))
    except (RuntimeError, asyncio.CancelledError) as failure:
        print(f"could not run: {failure!r}; logs in {folder}")
        return 2
    for problem in problems[:40]:
        print("BROKEN", problem)
    if problems:
        print(f"{len(problems)} broken; seed {options.seed}; logs in {folder}")
        return 1
    if not options.keep:
        shutil.rmtree(folder)
    print(f"all promises held; seed {options.seed}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
