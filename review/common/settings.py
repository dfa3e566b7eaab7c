"""The operator's configuration of a small deployment with one plain service."""

import json

HOST = "desk.example"
KEY, TENANT = "key-a", "tenant-a"
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}


def plain_route(name, kind, attempts=1, **more):
    route = {"name": name, "host": HOST, "pathPrefix": f"/{name}/", "service": "app", "kind": kind, "timeoutMs": 2000,
             "targetLatencyMs": 300, "priority": 2, "maxAttempts": attempts, "sticky": False, "public": False}
    return route | more


def configuration(routes, version=1, **limits):
    service = {"name": "app", "healthPath": "/healthz", "maxConnections": 100}
    tenant = {"name": TENANT, "apiKeys": [KEY]}
    document = {"version": version, "routes": routes, "services": [service], "tenants": [tenant],
                "limits": LIMITS | limits}
    return json.dumps(document).encode()
