"""Checks the guarantees of a gateway against the responses that clients received and the runs that runners recorded."""

from collections import defaultdict

NOT_RUN_STATUSES = {408, 421, 429, 503}
MAX_REPORTED = 20
MIN_SERVED_SHARE_WHEN_QUIET = 0.9
CRASHES_UNTIL_CLASSIFIED = 3  # Runners that a request crashes before it is classified as a crashing request.
PROPAGATION_S = 3.0  # Time until all gateways have received this classification.
PAUSE_TOLERANCE_S = 0.5  # Requests that were on their way when a runner asked for a pause.
MAX_REQUESTS_IN_PAUSE = 2
DEPARTURE_LIMIT_S = 2.05  # The limit, and the way of the response to the client.
CONTACT_S = 3.0  # Time without a fault after which a gateway knows the state of the runners.
MAX_FALLS, RUNNERS_PER_FALL = 2, 10  # Tolerated in one brittle period.
BUDGET_WINDOW_S, BUDGET_RATIO, BUDGET_SLACK = 10.0, 0.2, 20
MAX_ENDLESS_S = 4.0  # Time for which a response without end is read, and some for the machine.
MIN_RESUMED, MIN_RESUMED_SHARE = 10, 0.3  # Resumed streams that are judged, and the share that has to go on.
GRACE_S = 8.0  # Of a planned stop.
STOP_NOTICE_S = 3.0  # From SIGTERM: by then clients have noticed it, and a gateway refuses what it can't finish.
LAST_PART_S = GRACE_S * 5 / 6  # From SIGTERM to the last sixth of the grace period, in which runs may be cut.
STOP_TOLERANCE_S = 0.25  # From the end of a process until its parent notices.
CLOSE_RACE_S = 0.05  # A request that was sent so shortly before the close may have met a closed connection.
MIN_SERVED_SHARE_BESIDE_FLOODS = 0.95
FLOOD_AFTERMATH_S = 4.0  # From the end of a flood until its connections are closed.
MAX_REPEATS = 3  # Repeats that may still reach runners after that.


def _stream_problem(attempt):
    """Returns the problem with the events of a stream, or an empty string."""
    expected = list(range(attempt.after + 1, attempt.after + len(attempt.event_ids) + 1))
    if attempt.event_ids != expected:
        return f"events {attempt.event_ids} are not in order"
    runs = {text["run"] for text in attempt.texts}
    if len(runs) > 1 and not attempt.kind.repeatable:
        return f"joins the runs {sorted(runs)}"
    last = attempt.after + len(attempt.event_ids)
    if attempt.whole and last != attempt.kind.answer_events:
        return f"ends as complete after {last} of {attempt.kind.answer_events} events"
    return ""


def _response_problem(attempt):
    if any(text["attempt"] != attempt.id for text in attempt.texts):
        return "got the answer to another request"
    if attempt.status == 200 and not attempt.sealed:
        return "a success without a runner's mark"
    if attempt.kind.streaming and attempt.status == 200:
        return _stream_problem(attempt)
    refused = attempt.status in (429, 503) and not attempt.sealed
    if refused and not attempt.retry_after and not attempt.build_left:
        return f"refused with {attempt.status} and no time to come back"
    return ""


def _run_problem(attempt, runs, revoked, key_validity_s, max_back_ends):
    """Returns the problem with the runs of an attempt, or an empty string."""
    if not attempt.kind.repeatable and len(runs) > 1:
        return f"ran {len(runs)} times: {[run.runner for run in runs]}"
    if not attempt.kind.repeatable and attempt.status in NOT_RUN_STATUSES and runs:
        return f"answered {attempt.status} (not run) and ran at {runs[0].runner}"
    if len({run.runner for run in runs}) > max_back_ends:
        return f"ran at {len({run.runner for run in runs})} back ends"
    for run in runs:
        if run.showed_key:
            return f"{run.runner} was shown the key"
        if attempt.tenant and run.tenant != attempt.tenant:
            return f"ran for {run.tenant}, the key is {attempt.tenant}'s"
    revoked_at = revoked.get(attempt.key)
    if runs and revoked_at is not None and attempt.sent_at > revoked_at + key_validity_s:
        return f"ran {attempt.sent_at - revoked_at:.1f} s after its key was taken away"
    return ""


def find_unneeded_refusals(attempts):
    """Returns a line for each rejection by a gateway. For schedules in which new connections always work."""
    return [f"attempt {attempt.id} ({attempt.kind.route}) refused with {attempt.status} at {attempt.sent_at:.3f}"
            for attempt in attempts if attempt.status in NOT_RUN_STATUSES and not attempt.sealed][:MAX_REPORTED]


def find_repeated_crashes(ends):
    """Returns a line for each request that kept crashing runners after it should have been classified."""
    ends_by_request = defaultdict(list)
    for end in ends:
        ends_by_request[end.part].append(end)
    problems = []
    for part, part_ends in ends_by_request.items():
        times = sorted(end.ended_at for end in part_ends)
        if len(times) < CRASHES_UNTIL_CLASSIFIED:
            continue
        classified_at = times[CRASHES_UNTIL_CLASSIFIED - 1] + PROPAGATION_S
        repeats = sum(1 for end in part_ends if end.began_at > classified_at)
        if repeats > MAX_REPEATS:
            problems.append(f"request {part:x} ended {len(times)} runners, {repeats} of them by repeats later than "
                            f"{PROPAGATION_S:.0f} s after the third")
    return problems


def _group_arrivals(notices, gateway_of):
    """Returns (time, attempt) of the requests that each runner received from each gateway."""
    arrivals = defaultdict(list)
    for at, runner, attempt in notices.arrivals:
        if attempt in gateway_of:
            arrivals[runner, gateway_of[attempt]].append((at, attempt))
    return arrivals


def _was_disturbed(disturbances, gateway, since, until):
    return any(since <= at <= until for at in disturbances.get(gateway, []))


def find_pause_violations(notices, gateway_of, disturbances):
    """Returns a line for each pause in which a runner received more requests of a gateway than may be under way.

    `gateway_of`: the gateway that sent each attempt to runners. `disturbances`: by gateway, times of restarts, freezes
    and faults of its connections, each of which excuses it."""
    arrivals = _group_arrivals(notices, gateway_of)
    problems = []
    for at, runner, attempt, seconds in notices.pauses:
        gateway = gateway_of.get(attempt)
        received = sum(1 for arrived, _ in arrivals[runner, gateway] if at + PAUSE_TOLERANCE_S < arrived <= at + seconds)
        if received > MAX_REQUESTS_IN_PAUSE and not _was_disturbed(disturbances, gateway, at, at + seconds):
            problems.append(f"{runner} asked {gateway} at {at:.3f} for a pause of {seconds:.1f} s and received {received} "
                            f"requests in it")
    return problems[:MAX_REPORTED]


def find_departure_violations(notices, gateway_of, disturbances, attempts):
    """Returns a line for each request of a client that a gateway sent too late to a runner that had stated in a response
    that it leaves."""
    stated_at = {}
    for at, runner, attempt in notices.departures:
        stated_at.setdefault((runner, gateway_of.get(attempt)), at)
    sent_at = {attempt.id: attempt.sent_at for attempt in attempts}
    problems = []
    for (runner, gateway), received in _group_arrivals(notices, gateway_of).items():
        stated = stated_at.get((runner, gateway))
        if stated is None:
            continue
        for at, attempt in received:
            late = sent_at[attempt] - stated - DEPARTURE_LIMIT_S
            if late > 0 and not _was_disturbed(disturbances, gateway, stated, at):
                problems.append(f"{runner} stated at {stated:.3f} that it leaves and received {attempt} of {gateway}, sent "
                                f"{late:.3f} s after the limit")
    return problems[:MAX_REPORTED]


def find_falls(brittleness, runner_count, gateway_of, disturbances):
    """Returns a line for each brittle period in which runners fell over too often. A fall counts if most of what the
    runner rejected came from gateways that were not disturbed."""
    problems = []
    for since, until in brittleness.periods:
        falls = 0
        for at, _, rejected in brittleness.falls:
            sound = sum(not _was_disturbed(disturbances, gateway_of.get(attempt), at - CONTACT_S, at) for attempt in rejected)
            falls += since <= at <= until and 2 * sound > len(rejected)
        if falls > MAX_FALLS + runner_count / RUNNERS_PER_FALL:
            problems.append(f"brittle runners fell over {falls} times from {since:.3f} to {until:.3f}")
    return problems


def find_excess_repeats(notices, attempts):
    """Returns a line for each service that got more requests beyond the first of their attempt than the retry budget of
    all gateways allows, with its worst window."""
    problems = []
    for streaming in (False, True):
        sent = {attempt.id: attempt.sent_at for attempt in attempts if attempt.kind.streaming == streaming}
        seen, repeats = set(), []
        for at, _, attempt in sorted(notices.arrivals):
            if attempt in sent and attempt in seen:
                repeats.append(at)
            seen.add(attempt)

        def count(times, since):
            return sum(since <= at < since + BUDGET_WINDOW_S for at in times)

        worst = (0.0, 0, 0.0, 0.0)
        for since in repeats:
            requests = max(count(sent.values(), since - shift) for shift in (0, BUDGET_WINDOW_S / 2, BUDGET_WINDOW_S))
            allowed = BUDGET_RATIO * requests + BUDGET_SLACK
            found = count(repeats, since)
            worst = max(worst, (found - allowed, found, allowed, since))
        if worst[0] > 0:
            problems.append(f"{worst[1]} repeats from {worst[3]:.3f} on, {worst[2]:.0f} are allowed")
    return problems


def find_endless_reads(endless, gateway_of, disturbances, ended_at):
    """Returns a line for each response without end that a gateway read for too long."""
    problems = []
    for response in endless:
        lasted = (response.closed_at or ended_at) - response.began_at
        gateway = gateway_of.get(response.attempt)
        until = response.began_at + lasted
        if lasted > MAX_ENDLESS_S and not _was_disturbed(disturbances, gateway, response.began_at, until):
            problems.append(f"{gateway} read a response without end to {response.attempt} for {lasted:.1f} s")
    return problems[:MAX_REPORTED]


def find_violations(attempts, runs, revoked, key_validity_s, quiet_since, max_back_ends):
    """Returns a line for each violated guarantee."""
    runs_by_attempt = defaultdict(list)
    for run in runs:
        runs_by_attempt[run.attempt].append(run)
    problems = []
    sent = {attempt.id for attempt in attempts}
    for name in runs_by_attempt:
        if name not in sent:
            problems.append(f"a runner ran {name}, which no client sent")
    for attempt in attempts:
        run_problem = _run_problem(attempt, runs_by_attempt[attempt.id], revoked, key_validity_s, max_back_ends)
        found = [_response_problem(attempt), run_problem]
        problems += [f"{attempt.kind.route} {attempt.id} by {attempt.gateway}: {text}" for text in found if text]
    quiet = [attempt for attempt in attempts if attempt.sent_at >= quiet_since and attempt.key not in revoked]
    served = sum(1 for attempt in quiet if attempt.status == 200 and (attempt.whole or attempt.left))
    if quiet and served < MIN_SERVED_SHARE_WHEN_QUIET * len(quiet):
        problems.append(f"after the faults only {served} of {len(quiet)} requests are served")
    return problems


def find_stream_violations(streams):
    """Returns the streams, as lists of the attempts of one client, with pieces of several builds or pieces that are
    missing, repeated or out of order over all attempts."""
    violations = []
    for attempts in filter(None, streams):
        ids = [number for attempt in attempts for number in attempt.event_ids]
        builds = {text["build"] for attempt in attempts for text in attempt.texts}
        name = attempts[0].id
        if len(builds) > 1:
            violations.append(f"stream {name} joins the builds {sorted(builds)}: {[a.gateway for a in attempts]}")
        if ids != list(range(1, len(ids) + 1)):
            violations.append(f"stream {name}: pieces {ids} over {len(attempts)} attempts")
    return violations[:MAX_REPORTED]


def mark_streams_of_gone_builds(streams, builds_served):
    """Marks the attempts that resume a stream of which no runner can continue it, then or later: a refusal need not say
    when to come back. `builds_served`: as for find_streams_that_stop."""
    for attempts in filter(None, streams):
        build = attempts[0].texts[0]["build"]
        for attempt in attempts[1:]:
            attempt.build_left = all(until <= attempt.ended_at for _, until in builds_served.get(build, []))


def find_streams_that_stop(streams, builds_served):
    """Returns a violation if hardly any of the streams that clients resumed at a running gateway went on.

    `builds_served`: for each build, the periods (since, until) in which a runner of it served undisturbed."""
    resumed = went_on = 0
    for attempts in filter(None, streams):
        build = attempts[0].texts[0]["build"]
        for attempt in attempts[1:]:
            served = any(since < attempt.sent_at and attempt.ended_at < until for since, until in builds_served.get(build, []))
            if served and attempt.status in (200, 503):
                resumed += 1
                went_on += 1 if attempt.event_ids else 0
    if resumed < MIN_RESUMED or went_on >= resumed * MIN_RESUMED_SHARE:
        return []
    return [f"of {resumed} streams that clients resumed while their build served, {went_on} went on"]


def _overlaps(periods, name, since, until):
    return any(period == name and begin <= until and since <= end for period, begin, end in periods)


def find_starved_requests(attempts, service_periods, gateway_periods):
    """Returns a violation if too few requests are served of services of which no runner floods, by gateways that run.

    `service_periods`: (service, since, until) with floods. `gateway_periods`: (address, since, until) of gateways that are
    stopped, killed or starting."""
    sound = [attempt for attempt in attempts if not attempt.left
             and not _overlaps(service_periods, "engines" if attempt.kind.streaming else "app",
                               attempt.sent_at - FLOOD_AFTERMATH_S, attempt.ended_at)
             and not _overlaps(gateway_periods, attempt.gateway, attempt.sent_at, attempt.ended_at)]
    served = sum(attempt.status == 200 and attempt.whole for attempt in sound)
    if served >= MIN_SERVED_SHARE_BESIDE_FLOODS * len(sound):
        return []
    return [f"beside floods only {served} of {len(sound)} sound requests are served"]


def _was_cut_in_last_part(stop, attempt, runs):
    """Returns whether a request may have been cut: it was sent early, and its runner worked up to the last sixth."""
    last_part = stop.began_at + LAST_PART_S
    return (attempt.whole_at <= stop.began_at + STOP_NOTICE_S and attempt.ended_at >= last_part
            and any(run.ended_at == 0.0 or run.ended_at >= last_part for run in runs))


def _stopped_request_problem(stop, attempt, runs):
    """Returns the problem with a request that was sent whole to a gateway that stops, or an empty string."""
    refused = attempt.status == 503 and not attempt.sealed and attempt.not_run
    if attempt.whole and (attempt.sealed or refused):
        return ""
    is_late = attempt.whole_at > stop.began_at + STOP_NOTICE_S
    if attempt.whole:
        return f"ended with {attempt.status} of the gateway" if is_late and runs else ""
    if _was_cut_in_last_part(stop, attempt, runs):
        return ""
    if runs:
        return f"was cut {attempt.ended_at - stop.began_at:.2f} s after SIGTERM, with a runner"
    if attempt.ended_at - attempt.whole_at <= CLOSE_RACE_S:
        return ""
    return f"got no response and no refusal, until {attempt.ended_at - stop.began_at:.2f} s after SIGTERM"


def find_cut_requests(stops, runs):
    """Returns a line for each planned stop that did not end in time with status 0, and for each request that it cut."""
    runs_by_attempt = defaultdict(list)
    for run in runs:
        runs_by_attempt[run.attempt].append(run)
    ends, cuts = [], []
    for stop in stops:
        lasted = stop.ended_at - stop.began_at
        if stop.status != 0 or lasted > GRACE_S + STOP_TOLERANCE_S:
            ends.append(f"planned stop: {stop.gateway} ended after {lasted:.2f} s with {stop.status}")
        for attempt in stop.attempts:
            problem = attempt.whole_at and _stopped_request_problem(stop, attempt, runs_by_attempt[attempt.id])
            if problem:
                cuts.append(f"{attempt.kind.route} {attempt.id} by {stop.gateway}, whole "
                            f"{attempt.whole_at - stop.began_at:.2f} s after SIGTERM, {problem}")
    return ends + cuts
