"""A small deployment on loopback: gateways started with the command and the settings template of the deploy file, the
project's stand-in of the platform's store, and runners and clients that follow the published protocol."""

import asyncio
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "platform" / "standin"))

from http_text import Server, head_bytes, read_body, read_chunk, read_head, response_bytes  # noqa: E402
from store import Store  # noqa: E402

HOST = "desk.example"
START_LIMIT_S = 15.0
HEARTBEAT_S = 0.6
BOUNDS = {"drainTimeoutMs": 2000, "gracePeriodS": 8, "failClosed": True, "revokeMs": 5000, "retryBudgetRatio": 0.2,
          "budgetWindowS": 10, "retrySlack": 54, "leaseMs": 3000, "versionMs": 8000}
LIMITS = {"cpuShare": 0.25, "cpuCores": 1, "memoryMb": 260, "linkMbps": 1000.0}


# Settings.

def _look_up(name, scopes):
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            elif isinstance(value, dict) and part in value:
                value = value[part]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def _text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(_text(item) for item in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def expand(template, scopes, more=False):
    """Fills the gaps of a settings template."""
    output, position = "", 0
    gap = re.compile(r"\{\{([#^]?)([^}]*)\}\}")
    while match := gap.search(template, position):
        output += template[position:match.start()]
        position = match.end()
        kind, name = match.groups()
        if not kind:
            if name == ",":
                output += "," if more else ""
            else:
                output += _text(_look_up(name, scopes))
            continue
        end = template.index("{{/" + name + "}}", position)
        body, position = template[position:end], end + len(name) + 5
        value = _look_up(name, scopes)
        if kind == "^":
            output += "" if value else expand(body, scopes)
        elif isinstance(value, list):
            for index, item in enumerate(value):
                output += expand(body, [*scopes, item], index + 1 < len(value))
        elif value is not None and value is not False:
            output += expand(body, [*scopes, value])
    return output + template[position:]


def free_ports(hosts, count):
    """Returns ports that are free on all of the hosts."""
    ports = []
    while len(ports) < count:
        probes = []
        try:
            for host in hosts:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    probe = socket.socket(socket.AF_INET, kind)
                    probes.append(probe)
                    probe.bind((host, probes[0].getsockname()[1] if len(probes) > 1 else 0))
            candidate = probes[0].getsockname()[1]
            if candidate not in ports:
                ports.append(candidate)
        except OSError:
            pass
        finally:
            for probe in probes:
                probe.close()
    return ports


# Processes.

class Gateway:
    """One process of the role of the deploy file."""

    def __init__(self, number, host, ports, seeds, store_address, folder, role, template):
        self.name, self.host, self.ports = f"front-{number}", host, ports
        self._folder, self._role = folder, role
        fields = {"nodeName": self.name, "ip": host, "zone": "zone-a", "region": "region-a", "seeds": seeds,
                  "listen": {"front": f"{host}:{ports['front']}", "ready": f"{host}:{ports['ready']}",
                             "directory": f"{host}:{ports['directory']}"},
                  "internalPorts": [ports["internal"], ports["internal"] + 15], "bounds": BOUNDS, "limits": LIMITS,
                  "platform": {"address": store_address}}
        self.settings = folder / f"{self.name}.toml"
        self.settings.write_text(expand(template, [fields]))
        self.log_path = folder / f"{self.name}.log"
        self.process = None

    async def start(self):
        words = self._role["run"].split()
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(ROOT / words[0]), *words[1:], cwd=ROOT, stdout=log, stderr=log, start_new_session=True,
                env=environment | {"CRANKSPUR_CONFIG": str(self.settings)})

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.host, self.ports["ready"])
            writer.write(head_bytes("GET /readyz HTTP/1.1", {"Host": "r"}))
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head.first[1] == "200"
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_until_ready(self):
        deadline = time.monotonic() + START_LIMIT_S
        while time.monotonic() < deadline:
            if self.process.returncode is not None:
                raise RuntimeError(f"{self.name} ended with {self.process.returncode}")
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} is not ready")

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        if self.process is None or self.process.returncode is not None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.process.wait()


class Deployment:
    """The store and the gateways."""

    def __init__(self, gateways, seed=1):
        self.random = random.Random(seed)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(random.Random(seed + 1))
        self.gateways, self.runners = [], []
        self.store_addresses = None  # For each gateway; none: that of the store.
        self.started_at = time.monotonic()
        self.version = 0
        network = f"127.{random.SystemRandom().randint(20, 250)}.{random.SystemRandom().randint(1, 250)}"
        self.hosts = [f"{network}.{number + 10}" for number in range(gateways)]
        self.runner_host = f"{network}.200"

    def seconds(self):
        return time.monotonic() - self.started_at

    def publish(self, routes, services, tenants, limits=None):
        """Writes the next configuration on behalf of the operator."""
        self.version += 1
        document = {"version": self.version, "routes": routes, "services": services, "tenants": tenants,
                    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                               "idleTimeoutMs": 15000} | (limits or {})}
        self.store.put("op", "config", json.dumps(document).encode())

    async def start(self):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = next(iter(deploy["roles"].values()))
        template = (ROOT / role["template"]).read_text()
        store_port = await self.store.start(f"{self.hosts[0].rsplit('.', 1)[0]}.1", 0)
        store_address = f"{self.hosts[0].rsplit('.', 1)[0]}.1:{store_port}"
        names = ["front", "ready", "directory", "internal", "control"]
        ports = dict(zip(names, free_ports(self.hosts, len(names))))
        seeds = [f"{host}:{ports['control']}" for host in self.hosts[:3]]
        for runner in self.runners:
            await runner.start(self.runner_host)
        for number, host in enumerate(self.hosts):
            address = self.store_addresses[number] if self.store_addresses else store_address
            self.gateways.append(Gateway(number, host, ports, seeds, address, self.folder, role, template))
        for gateway in self.gateways:
            await gateway.start()
        for gateway in self.gateways:
            await gateway.wait_until_ready()

    async def stop(self, keep=False):
        for gateway in self.gateways:
            await gateway.end()
        for runner in self.runners:
            await runner.stop()
        await self.store.stop()
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, kind, service, timeout_ms, target_ms, attempts=1, **more):
    """Returns a route whose prefix is /NAME/."""
    document = {"name": name, "host": HOST, "pathPrefix": f"/{name}/", "kind": kind, "timeoutMs": timeout_ms,
                "targetLatencyMs": target_ms, "priority": 1, "service": service, "maxAttempts": attempts,
                "public": False, "sticky": False, "resumable": False}
    return document | more


def reset(writer):
    """Resets a connection; without the option, the close would look like the end of an answer without a length."""
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


# Runners.

class Runner:
    """Base of the runners: listens, keeps its entry in the store and serves one request at a time on a connection."""

    _ids = itertools.count(1)

    def __init__(self, deployment, service, slots, zone="zone-a"):
        self.deployment, self.service, self.slots, self.zone = deployment, service, slots, zone
        self.id = f"i-{next(self._ids):08x}"
        self._server = None
        self._tasks = set()
        self._writers = set()
        self.address = ""

    async def start(self, host):
        self._server = await asyncio.start_server(self._connection, host, 0)
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"
        self._write_entry()

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": "ready", "coldRemainingMs": 0, "sequence": 1}

    def _write_entry(self):
        self.deployment.store.put("servers", self.id, json.dumps(self.entry()).encode())

    async def stop(self):
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _connection(self, reader, writer):
        self._writers.add(writer)
        connection = {"reader": reader, "writer": writer}
        try:
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head.headers)
                await self.serve(connection, head, body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(self, connection, head, body):
        raise NotImplementedError


# Clients.

class Connection:
    """A client's kept connection to a gateway."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(self.host, self.port), 1)

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None

    async def request(self, method, path, fields, body=b""):
        """Returns status, fields and body; status 0 if the connection ended without a complete answer."""
        if self.writer is None:
            await self.open()
        fields = {"Host": HOST} | fields
        if body or method != "GET":
            fields["Content-Length"] = str(len(body))
        try:
            self.writer.write(head_bytes(f"{method} {path} HTTP/1.1", fields) + body)
            head = await read_head(self.reader)
            answer = await read_body(self.reader, head.headers)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            self.close()
            return 0, {}, b""
        if head.headers.get("connection", "").lower() == "close":
            self.close()
        return int(head.first[1]), head.headers, answer


# Programs of cases.

def run_case(main, folder):
    """Runs a case and ends with its exit status: 1 the rule was broken, 0 it held, 2 the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = open(Path(folder) / "record.txt", "w")

    def log(text):
        record.write(text + "\n")
        record.flush()

    try:
        broken = asyncio.run(asyncio.wait_for(main(trouble, log), 110))
    except BaseException as error:  # noqa: BLE001
        log(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
