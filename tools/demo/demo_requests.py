#!/usr/bin/env python3
"""Sends the demo's requests as a stock HTTP client would and prints what each caller got.

Exit status 0 only if every answer was whole and the repeated order ran once.
"""

import argparse
import http.client
import json
import sys
import time

CATALOGUE = "Parts catalogue 2026, section A: cleats, fairleads, rudder bearings, keel bolts, sheaves. "
POLICY = "Park policy for Tallow Creek: pets on a leash, fires in rings only, hookups at pads 1 to 40. "

last_request_id = None  # Of the newest answer, for `crankspurctl explain`.


def connect(address):
    host, port = address.rsplit(":", 1)
    return http.client.HTTPConnection(host, int(port), timeout=60)


def post(address, path, key, body, headers):
    connection = connect(address)
    all_headers = {"Authorization": "Bearer " + key, "Content-Type": "application/json", **headers}
    connection.request("POST", path, json.dumps(body), all_headers)
    return connection.getresponse()


def read_stream(response):
    """Returns (text, usage, whole) of a server-sent event stream of chat chunks."""
    text, usage, whole = "", {}, False
    for line in response:
        line = line.strip()
        if not line.startswith(b"data: "):
            continue
        data = line[len(b"data: "):]
        if data == b"[DONE]":
            whole = True
            continue
        chunk = json.loads(data)
        if "error" in chunk:
            print("   error:", chunk["error"])
            return text, usage, False
        usage = chunk.get("usage") or usage
        for choice in chunk["choices"]:
            text += choice["delta"].get("content", "")
    return text, usage, whole


def chat(address, key, model, messages, max_tokens=24):
    """Sends one streamed chat request. Returns whether its answer was whole."""
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
    text, usage, whole = read_stream(response)
    cached = usage.get("prompt_tokens_details", {}).get("cached_tokens", 0)
    prompt = usage.get("prompt_tokens", 0)
    print(f"  {model:24} engine {response.getheader('x-crankspur-engine', '?'):26} prompt {prompt:6} tokens: "
          f"{cached:6} cached {prompt - cached:6} recomputed; first token {first_token_ms:7.1f} ms; "
          f"{usage.get('completion_tokens', 0)} tokens {text[:24]!r}...{' WHOLE' if whole else ' CUT'}")
    return whole


def operation(address, key, name, idempotency_key, body):
    """Runs one operation. Returns its result, or None."""
    response = post(address, "/v1/operations/" + name, key, body, {"Idempotency-Key": idempotency_key})
    answer = json.loads(response.read())
    print(f"  {name:24} key {idempotency_key}: status {response.status}: "
          f"{json.dumps(answer.get('result', answer.get('error')))}")
    return answer.get("result") if response.status == 200 else None


def executions(runners, idempotency_key):
    """Returns how often the runners executed work under the key, by their own count."""
    count = 0
    for address in runners:
        connection = connect(address)
        connection.request("GET", "/v1/executions")
        entries = json.loads(connection.getresponse().read())["executions"]
        count += sum(entry["count"] for entry in entries if entry["idempotency_key"] == idempotency_key)
    return count


def system(text, count):
    return {"role": "system", "content": text * count}


def user(text):
    return {"role": "user", "content": text}


def parts_desk(address, runners):
    catalogue = system(CATALOGUE, 160)
    rules = {"role": "system", "content": "Franchise rules of Recife: discounts, freight, returns. " * 40}
    estimators, counter = "demo-key-estimators", "demo-key-counter-north"
    good = [
        chat(address, estimators, "hull-review", [catalogue, rules, user("Review hull spec 41, composite.")]),
        chat(address, estimators, "hull-review", [catalogue, rules, user("Review hull spec 42, timber.")]),
        chat(address, estimators, "hull-review", [catalogue, rules, user("Review hull spec 43.")]),
        chat(address, counter, "catalogue-chat:part-codes", [catalogue, user("Part code of a 12 mm cleat?")]),
        chat(address, counter, "catalogue-chat:part-codes", [catalogue, user("Part code of a keel bolt?")]),
    ]
    first = operation(address, counter, "place_order", "order-1001", {"part": "keel bolt", "count": 8})
    again = operation(address, counter, "place_order", "order-1001", {"part": "keel bolt", "count": 8})
    count = executions(runners, "order-1001")
    once = first is not None and first == again and count == 1
    print(f"  the order was sent twice; the runners executed it {count} time(s)")
    return all(good) and once


def tallow_creek(address):
    policy = system(POLICY, 120)
    history = {"role": "system", "content": "Alvarez family: arrived late, pad 12, dispute about a refund. " * 60}
    portal = "demo-key-public-portal"
    good = [
        chat(address, portal, "caller-answers:park-policy", [policy, user("Are dogs allowed?")]),
        chat(address, portal, "caller-answers:park-policy", [policy, user("May we light a fire?")]),
        chat(address, portal, "caller-answers:park-policy", [policy, user("Is there a hookup at pad 7?")]),
    ]
    clerk = "demo-key-dispute-review"
    good += [
        chat(address, clerk, "history-summary", [policy, history, user("Summarize the dispute.")]),
        chat(address, clerk, "history-summary", [policy, history, user("List the dates only.")]),
    ]
    booking = operation(address, portal, "book_site", "booking-77", {"pad": 12, "nights": 2})
    return all(good) and booking is not None


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--parts-desk", required=True, help="IP:port of the sidecar")
    parser.add_argument("--tallow-creek", required=True, help="IP:port of the sidecar")
    parser.add_argument("--runners", required=True, help="IP:port,... of the parts desk's application runners")
    parser.add_argument("--id-file", required=True, help="file that gets the id of the last chat request")
    arguments = parser.parse_args()
    print(" parts desk:")
    good = parts_desk(arguments.parts_desk, arguments.runners.split(","))
    print(" Tallow Creek:")
    good = tallow_creek(arguments.tallow_creek) and good
    with open(arguments.id_file, "w", encoding="ascii") as file:
        file.write(last_request_id or "")
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    main()
