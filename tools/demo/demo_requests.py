#!/usr/bin/env python3
"""Sends the demo's requests with a standard HTTP client and prints each response.

Exit status 0 only if all responses were complete and the repeated order ran once.
"""

import argparse
import http.client
import json
import sys
import time

CATALOGUE = "Parts catalogue 2026, section A: cleats, fairleads, rudder bearings, keel bolts, sheaves. "
POLICY = "Park policy for Tallow Creek: pets on a leash, fires in rings only, hookups at pads 1 to 40. "

last_request_id = None  # Id of the latest chat request, for `crankspurctl explain`.


def connect(address):
    host, port = address.rsplit(":", 1)
    return http.client.HTTPConnection(host, int(port), timeout=60)


def post(address, path, key, body, headers):
    connection = connect(address)
    all_headers = {"Authorization": "Bearer " + key, "Content-Type": "application/json", **headers}
    connection.request("POST", path, json.dumps(body), all_headers)
    return connection.getresponse()


def read_stream(response):
    """Returns (text, usage, complete) of a server-sent event stream of chat chunks."""
    text, usage, complete = "", {}, False
    for line in response:
        line = line.strip()
        if not line.startswith(b"data: "):
            continue
        data = line[len(b"data: "):]
        if data == b"[DONE]":
            complete = True
            continue
        chunk = json.loads(data)
        if "error" in chunk:
            print("   error:", chunk["error"])
            return text, usage, False
        usage = chunk.get("usage") or usage
        for choice in chunk["choices"]:
            text += choice["delta"].get("content", "")
    return text, usage, complete


def chat(address, key, model, messages, max_tokens=24):
    """Sends one streaming chat request. Returns whether the response was complete."""
    body = {"model": model, "messages": messages, "max_tokens": max_tokens, "stream": True,
            "stream_options": {"include_usage": True}}
    started = time.monotonic()
    response = post(address, "/v1/chat/completions", key, body, {"X-Deadline-Ms": "20000"})
    first_token_ms = (time.monotonic() - started) * 1000
    if response.status != 200:
        print(f"  {model}: status {response.status}: {response.read().decode()}")
        return False
    global last_request_id
    last_request_id = response.getheader("x-crankspur-request-id")
    text, usage, complete = read_stream(response)
    cached = usage.get("prompt_tokens_details", {}).get("cached_tokens", 0)
    prompt = usage.get("prompt_tokens", 0)
    print(f"  {model:24} engine {response.getheader('x-crankspur-engine', '?'):26} prompt {prompt:6} tokens: "
          f"{cached:6} cached {prompt - cached:6} recomputed; first token {first_token_ms:7.1f} ms; "
          f"{usage.get('completion_tokens', 0)} tokens {text[:24]!r}...{' WHOLE' if complete else ' CUT'}")
    return complete


def run_operation(address, key, name, idempotency_key, body):
    """Runs one operation. Returns its result, or None."""
    response = post(address, "/v1/operations/" + name, key, body, {"Idempotency-Key": idempotency_key})
    document = json.loads(response.read())
    print(f"  {name:24} key {idempotency_key}: status {response.status}: "
          f"{json.dumps(document.get('result', document.get('error')))}")
    return document.get("result") if response.status == 200 else None


def count_executions(runners, idempotency_key):
    """Returns how often the runners report to have executed operations with the key."""
    count = 0
    for address in runners:
        connection = connect(address)
        connection.request("GET", "/v1/executions")
        entries = json.loads(connection.getresponse().read())["executions"]
        count += sum(entry["count"] for entry in entries if entry["idempotency_key"] == idempotency_key)
    return count


def system_message(text, count):
    return {"role": "system", "content": text * count}


def user_message(text):
    return {"role": "user", "content": text}


def run_parts_desk(address, runners):
    catalogue = system_message(CATALOGUE, 160)
    rules = {"role": "system", "content": "Franchise rules of Recife: discounts, freight, returns. " * 40}
    estimators, counter = "demo-key-estimators", "demo-key-counter-north"
    succeeded = [
        chat(address, estimators, "hull-review", [catalogue, rules, user_message("Review hull spec 41, composite.")]),
        chat(address, estimators, "hull-review", [catalogue, rules, user_message("Review hull spec 42, timber.")]),
        chat(address, estimators, "hull-review", [catalogue, rules, user_message("Review hull spec 43.")]),
        chat(address, counter, "catalogue-chat:part-codes", [catalogue, user_message("Part code of a 12 mm cleat?")]),
        chat(address, counter, "catalogue-chat:part-codes", [catalogue, user_message("Part code of a keel bolt?")]),
    ]
    first = run_operation(address, counter, "place_order", "order-1001", {"part": "keel bolt", "count": 8})
    repeated = run_operation(address, counter, "place_order", "order-1001", {"part": "keel bolt", "count": 8})
    count = count_executions(runners, "order-1001")
    ran_once = first is not None and first == repeated and count == 1
    print(f"  the order was sent twice; the runners executed it {count} time(s)")
    return all(succeeded) and ran_once


def run_tallow_creek(address):
    policy = system_message(POLICY, 120)
    history = {"role": "system", "content": "Alvarez family: arrived late, pad 12, dispute about a refund. " * 60}
    portal = "demo-key-public-portal"
    succeeded = [
        chat(address, portal, "caller-answers:park-policy", [policy, user_message("Are dogs allowed?")]),
        chat(address, portal, "caller-answers:park-policy", [policy, user_message("May we light a fire?")]),
        chat(address, portal, "caller-answers:park-policy", [policy, user_message("Is there a hookup at pad 7?")]),
    ]
    clerk = "demo-key-dispute-review"
    succeeded += [
        chat(address, clerk, "history-summary", [policy, history, user_message("Summarize the dispute.")]),
        chat(address, clerk, "history-summary", [policy, history, user_message("List the dates only.")]),
    ]
    booking = run_operation(address, portal, "book_site", "booking-77", {"pad": 12, "nights": 2})
    return all(succeeded) and booking is not None


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--parts-desk", required=True, help="IP:port of the sidecar")
    parser.add_argument("--tallow-creek", required=True, help="IP:port of the sidecar")
    parser.add_argument("--runners", required=True, help="IP:port,... of the parts desk's application runners")
    parser.add_argument("--id-file", required=True, help="output file for the id of the last chat request")
    arguments = parser.parse_args()
    print(" parts desk:")
    succeeded = run_parts_desk(arguments.parts_desk, arguments.runners.split(","))
    print(" Tallow Creek:")
    succeeded = run_tallow_creek(arguments.tallow_creek) and succeeded
    with open(arguments.id_file, "w", encoding="ascii") as file:
        file.write(last_request_id or "")
    sys.exit(0 if succeeded else 1)


if __name__ == "__main__":
    main()
