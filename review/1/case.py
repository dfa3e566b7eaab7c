"""Two gateways must not send orders with one fencing token: the holder is cut from the store, its successor is stopped."""

import asyncio
import json
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from cuttable_path import CuttablePath  # noqa: E402
from deployment import make_gateways, run_case  # noqa: E402
from engine_runner import EngineRunner  # noqa: E402
from settings import HOST, KEY, LIMITS, TENANT  # noqa: E402
from store import Store  # noqa: E402

GATEWAYS, RUNNERS = 3, 4
MODEL = "daka510000"
CUT_S = 11.0  # The longest cut of the site file.
THAW_SLACK_S = 0.3  # Orders that arrive so soon after the healing of their sender's link don't count.
VERSION_TIME_S = 6.0  # Longer than a version takes to reach all runners.


def configuration():
    route = {"name": "review", "host": HOST, "pathPrefix": "/review/", "service": "engines", "kind": "streaming",
             "timeoutMs": 6000, "targetLatencyMs": 800, "priority": 1, "maxAttempts": 2, "public": False,
             "sticky": True, "resumable": True, "gapTargetMs": 500}
    engine = {"slots": 64, "kvCapacity": 110556, "kvTokenBytes": 163840, "linkMbps": 1100000.0, "maxInFlight": 12,
              "models": [{"name": MODEL}]}
    service = {"name": "engines", "healthPath": "/healthz", "maxConnections": 360, "engine": engine}
    tenant = {"name": TENANT, "apiKeys": [KEY]}
    return json.dumps({"version": 1, "routes": [route], "services": [service], "tenants": [tenant],
                       "limits": LIMITS}).encode()


async def name_version(store, runners, version, record):
    """Names new weights and waits until all runners have them."""
    record.write(f"operator names version {version}")
    store.put("op", f"version/{MODEL}", json.dumps({"model": MODEL, "version": version}).encode())
    until = time.monotonic() + VERSION_TIME_S
    while time.monotonic() < until:
        await asyncio.sleep(0.1)
    record.write(f"versions of the runners: {[runner.version for runner in runners]}")


def last_holder(runners, gateways):
    """Returns the gateway that sent the last order."""
    orders = sorted(order for runner in runners for order in runner.orders)
    if not orders:
        raise RuntimeError("nobody sent an order")
    return next(gateway for gateway in gateways if orders[-1][1].startswith(gateway.host + ":"))


async def main(folder, record, trouble):
    generator = random.Random(65)
    store = Store(generator)
    port = await store.start("127.0.2.1", 0)
    store.put("op", "config", configuration())
    store.put("op", f"version/{MODEL}", json.dumps({"model": MODEL, "version": 1}).encode())
    runners = [EngineRunner(number + 1, "engines", MODEL, store, record) for number in range(RUNNERS)]
    for number, runner in enumerate(runners):
        await runner.start(f"127.0.3.{number + 1}")
    gateways = make_gateways(GATEWAYS, "", folder)
    paths, healed_at = {}, 0.0
    try:
        for gateway in gateways:
            paths[gateway.name] = CuttablePath(("127.0.2.1", port))
            gateway.use_store(f"127.0.2.2:{await paths[gateway.name].start('127.0.2.2')}")
            await gateway.start()
        for gateway in gateways:
            await gateway.wait_until_ready()
        await asyncio.sleep(2)
        await name_version(store, runners, 2, record)
        first = last_holder(runners, gateways)
        await asyncio.sleep(3)
        if trouble:
            record.write(f"{first.name} is cut from the store")
            paths[first.name].cut()
        await asyncio.sleep(0.3)
        await name_version(store, runners, 3, record)
        await asyncio.sleep(CUT_S - 0.3 - VERSION_TIME_S)
        if trouble:
            record.write(f"{first.name} reaches the store again")
            paths[first.name].heal()
            healed_at = time.monotonic()
        second = last_holder(runners, gateways)
        await asyncio.sleep(1.5)
        if second is not first:
            record.write(f"{second.name} gets SIGTERM")
            second.send_signal(signal.SIGTERM)
        await asyncio.sleep(2.5)
        await name_version(store, runners, 4, record)
    finally:
        await asyncio.gather(*(gateway.stop() for gateway in gateways))
        for runner in runners:
            await runner.stop()
        for path in paths.values():
            await path.stop()
        await store.stop()
    violations = []
    for runner in runners:
        holders = {}
        for arrived_at, holder, fence, version in runner.orders:
            if holder.startswith(first.host + ":") and healed_at <= arrived_at < healed_at + THAW_SLACK_S:
                continue
            other = holders.setdefault(fence, holder)
            if other != holder:
                violations.append(f"ONE: {runner.id} was ordered with fence {fence} by {other} and,"
                                  f" for version {version}, by {holder}")
    return violations


run_case(main, Path(__file__).resolve().parent)
