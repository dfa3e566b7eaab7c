"""Runs the gateways of the deploy file as processes on loopback, with the settings of a small deployment.

The settings file of each gateway is the template of the deploy file, expanded as DEPLOY.md tells.
"""

import asyncio
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections import Counter
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "platform" / "standin"))

from http_text import head_bytes, read_head  # noqa: E402

GRACE_PERIOD_S = 8
BROKEN = 10  # Exit status; the shell script turns it into 1, and the 1 of an unexpected error into 2.
START_TIMEOUT_S = 20.0
CASE_LIMIT_S = 95.0  # With the end of its processes a case then takes less than 120 s.
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4, "drainTimeoutMs": 2000,
    "gracePeriodS": GRACE_PERIOD_S, "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250,
    "maxSkewMs": 5000, "failClosed": True, "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
    "retrySlack": 54, "recoveryS": 12, "transitMs": 120, "retryAfterS": 10, "fencingRequired": True, "leaseMs": 3000,
    "thawSlackMs": 300, "versionMs": 8000, "versionAllMs": 11000, "ttl_max_s": 5,
}
LIMITS = {"cpuShare": 0.25, "cpuCores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0}


def find_free_ports(count, hosts):
    """Returns ports that are free at each of the hosts."""
    ports, listeners = [], []
    while len(ports) < count:
        first = socket.socket()
        listeners.append(first)
        first.bind((hosts[0], 0))
        port = first.getsockname()[1]
        try:
            for host in hosts[1:]:
                listeners.append(socket.socket())
                listeners[-1].bind((host, port))
            ports.append(port)
        except OSError:
            pass  # Taken at one of them; the next port is tried.
    for listener in listeners:
        listener.close()
    return ports


def _find(scopes, path):
    if path == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for name in path.split("."):
            if isinstance(value, dict) and name in value:
                value = value[name]
            elif isinstance(value, list) and name.isdigit() and int(name) < len(value):
                value = value[int(name)]
            else:
                break
        else:
            return value
    return None


def _text(value, as_json):
    if as_json:
        return json.dumps(value)
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(str(item) for item in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def expand(template, scopes, separator=""):
    """Fills the gaps of a settings template; `scopes` are the enclosing tables, the innermost last."""
    pattern = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}|\{\{([^}]+)\}\}", re.S)

    def fill(match):
        mark, name, inner, gap = match.groups()
        if gap is not None:
            if gap == ",":
                return separator
            return _text(_find(scopes, gap.removesuffix("|json")), gap.endswith("|json"))
        value = _find(scopes, name)
        given = value is not None and value is not False
        if mark == "^":
            return "" if given else expand(inner, scopes)
        if not given:
            return ""
        if isinstance(value, list):
            last = len(value) - 1
            return "".join(expand(inner, scopes + [item], "," if at < last else "") for at, item in enumerate(value))
        return expand(inner, scopes)

    return pattern.sub(fill, template)


_started = []  # All processes that were started.


async def end_started():
    """Ends each process that was started and still runs."""
    for process in _started:
        if process.returncode is None:
            process.kill()
            await process.wait()


class Gateway:
    """One process of the role in the deploy file."""

    def __init__(self, number, count, ports, store_address, folder, bounds=None):
        self.host, self.name = f"127.0.1.{number + 1}", f"front-{number + 1}"
        self.ports, self._folder, self.process = ports, folder, None
        self.restarting = asyncio.Lock()  # Held while the platform starts the process again.
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = next(iter(deploy["roles"].values()))
        self._command = role["run"].split()
        listen = {name: f"{self.host}:{ports[name]}" for name in ("front", "ready", "control", "directory")}
        fields = {
            "nodeName": self.name, "role": "gateway", "machineClass": "front", "ip": self.host, "zone": "zone-a",
            "region": "region-a", "listen": listen, "internalPorts": [ports["internal"], ports["internal"] + 15],
            "seeds": [f"127.0.1.{other + 1}:{ports['control']}" for other in range(min(3, count))],
            "limits": LIMITS, "bounds": BOUNDS | (bounds or {}),
        }
        self._template, self._fields = ROOT / role["template"], fields
        self._settings = folder / f"{self.name}.toml"
        self.use_store(store_address)

    def use_store(self, address):
        """Writes the settings; to be called before the start."""
        fields = self._fields | {"platform": {"address": address}}
        text = expand(self._template.read_text(), [fields])
        # The template has a fixed port for metrics; any process of this machine may use it.
        self._settings.write_text(text.replace(f'"{self.host}:9464"', f'"{self.host}:{self.ports["metrics"]}"'))

    @property
    def address(self):
        return self.host, self.ports["front"]

    async def start(self):
        log = open(self._folder / f"{self.name}.log", "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": "/", "LANG": "C",
                       "CRANKSPUR_CONFIG": str(self._settings)}
        self.process = await asyncio.create_subprocess_exec(
            *self._command, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        _started.append(self.process)
        log.close()

    def send_signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

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
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            if self.process.returncode is not None:
                raise RuntimeError(f"{self.name} ended with {self.process.returncode}")
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} is not ready")

    async def stop(self):
        if self.process is None or self.process.returncode is not None:
            return
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), GRACE_PERIOD_S + 1)
        except asyncio.TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self.process.wait()


class Platform:
    """Starts a process again that has ended by itself, and counts the ends."""

    def __init__(self, gateways, record, delay_s):
        self.ends, self._record, self._delay_s = Counter(), record, delay_s
        self._gateways = gateways
        self._watches = [asyncio.create_task(self._watch(gateway)) for gateway in gateways]

    async def _watch(self, gateway):
        while True:
            status = await gateway.process.wait()
            self.ends[gateway.name] += 1
            self._record.write(f"process {gateway.name} has ended by itself with {status}")
            await asyncio.sleep(self._delay_s)
            async with gateway.restarting:
                await gateway.start()

    async def stop(self):
        for gateway, watch in zip(self._gateways, self._watches):
            async with gateway.restarting:
                watch.cancel()
        await asyncio.gather(*self._watches, return_exceptions=True)


def make_gateways(count, store_address, folder, bounds=None):
    names = ["front", "ready", "control", "directory", "internal", "metrics"]
    hosts = [f"127.0.1.{number + 1}" for number in range(count)]
    ports = dict(zip(names, find_free_ports(len(names), hosts)))
    return [Gateway(number, count, ports, store_address, folder, bounds) for number in range(count)]


class Record:
    """The lines of record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self._began, self._file = time.monotonic(), open(Path(folder) / "record.txt", "w")

    def write(self, text):
        self._file.write(f"{time.monotonic() - self._began:9.3f} {text}\n")
        self._file.flush()


async def _run(case):
    try:
        return await asyncio.wait_for(case, CASE_LIMIT_S)
    finally:
        await end_started()


def run_case(main, folder):
    """Runs the coroutine `main(temporary folder, record, trouble)`, which returns the violations. Never returns."""
    if not (ROOT / "target" / "bin" / "crankspur_gateway").exists():
        print("the build of the deploy file is missing")
        sys.exit(2)
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        with tempfile.TemporaryDirectory() as temporary:
            violations = asyncio.run(_run(main(Path(temporary), record, trouble)))
    except Exception as error:  # The case could not run.
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    for violation in violations:
        record.write(f"BROKEN {violation}")
        print(violation)
    print(f"{len(violations)} violations")
    sys.exit(BROKEN if violations else 0)
