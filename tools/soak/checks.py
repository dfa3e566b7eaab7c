"""The promises of a gateway, judged from what clients got and runners ran."""

from collections import defaultdict

PROMISES_NOT_RUN = {408, 421, 429, 503}
MOST_PROBLEMS = 20
LEAST_SERVED_WHEN_QUIET = 0.9
MOST_BACK_ENDS = 2
ENDS_UNTIL_KNOWN = 3  # Runners that a request ends before it counts as one that ends each.
NEWS_S = 3.0  # From then on until every gateway knows.
MOST_REPEATS = 3  # That reach runners later than that.


def _stream_problem(attempt):
    """Returns what is wrong with the events of a stream, or an empty text."""
    expected = list(range(1, len(attempt.event_ids) + 1))
    if attempt.event_ids != expected:
        return f"events {attempt.event_ids} are not in order"
    runs = {text["run"] for text in attempt.texts}
    if len(runs) > 1 and not attempt.kind.repeatable:
        return f"joins the runs {sorted(runs)}"
    if attempt.whole and len(attempt.event_ids) != attempt.kind.answer_events:
        return f"ends as complete after {len(attempt.event_ids)} of {attempt.kind.answer_events} events"
    return ""


def _answer_problem(attempt):
    if any(text["attempt"] != attempt.id for text in attempt.texts):
        return "got the answer to another request"
    if attempt.status == 200 and not attempt.sealed:
        return "a success without a runner's mark"
    if attempt.kind.streaming and attempt.status == 200:
        return _stream_problem(attempt)
    if attempt.status in (429, 503) and not attempt.sealed and not attempt.retry_after:
        return f"refused with {attempt.status} and no time to come back"
    return ""


def _run_problem(attempt, runs, revoked, key_validity_s):
    """Returns what is wrong with the runs of an attempt, or an empty text."""
    if not attempt.kind.repeatable and len(runs) > 1:
        return f"ran {len(runs)} times: {[run.runner for run in runs]}"
    if not attempt.kind.repeatable and attempt.status in PROMISES_NOT_RUN and runs:
        return f"answered {attempt.status} (not run) and ran at {runs[0].runner}"
    if len({run.runner for run in runs}) > MOST_BACK_ENDS:
        return f"ran at {len({run.runner for run in runs})} back ends"
    for run in runs:
        if run.showed_key:
            return f"{run.runner} was shown the key"
        if attempt.tenant and run.tenant != attempt.tenant:
            return f"ran for {run.tenant}, the key is {attempt.tenant}'s"
    taken_at = revoked.get(attempt.key)
    if runs and taken_at is not None and attempt.sent_at > taken_at + key_validity_s:
        return f"ran {attempt.sent_at - taken_at:.1f} s after its key was taken away"
    return ""


def refused_without_need(attempts):
    """Returns a line for each refusal by a gateway, for schedules in which new connections always work."""
    return [f"attempt {attempt.id} ({attempt.kind.route}) refused with {attempt.status} at {attempt.sent_at:.3f}"
            for attempt in attempts if attempt.status in PROMISES_NOT_RUN and not attempt.sealed][:MOST_PROBLEMS]


def repeated_in_spite_of_ends(ends):
    """Returns a line for each request that ended runners again and again."""
    ends_of = defaultdict(list)
    for end in ends:
        ends_of[end.part].append(end)
    problems = []
    for part, known in ends_of.items():
        times = sorted(end.ended_at for end in known)
        if len(times) < ENDS_UNTIL_KNOWN:
            continue
        known_at = times[ENDS_UNTIL_KNOWN - 1] + NEWS_S
        repeats = sum(1 for end in known if end.began_at > known_at)
        if repeats > MOST_REPEATS:
            problems.append(f"request {part:x} ended {len(times)} runners, {repeats} of them by repeats later than "
                            f"{NEWS_S:.0f} s after the third")
    return problems


def broken_promises(attempts, runs, revoked, key_validity_s, quiet_from):
    """Returns a line for each promise that broke."""
    runs_of = defaultdict(list)
    for run in runs:
        runs_of[run.attempt].append(run)
    problems = []
    known = {attempt.id for attempt in attempts}
    for name in runs_of:
        if name not in known:
            problems.append(f"a runner ran {name}, which no client sent")
    for attempt in attempts:
        found = [_answer_problem(attempt), _run_problem(attempt, runs_of[attempt.id], revoked, key_validity_s)]
        problems += [f"{attempt.kind.route} {attempt.id} by {attempt.gateway}: {text}" for text in found if text]
    quiet = [attempt for attempt in attempts if attempt.sent_at >= quiet_from and attempt.key not in revoked]
    served = sum(1 for attempt in quiet if attempt.status == 200 and attempt.whole)
    if quiet and served < LEAST_SERVED_WHEN_QUIET * len(quiet):
        problems.append(f"after the faults only {served} of {len(quiet)} requests are served")
    return problems
