"""Tests that each check of the soak detects a violation of its guarantee, and accepts sound records."""

import signal
import socket
import subprocess
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
for folder in ("platform/standin", "tools/soak"):
    sys.path.insert(0, str(ROOT / folder))

from checks import (find_cut_requests, find_endless_reads, find_excess_repeats, find_falls,  # noqa: E402
                    find_repeated_crashes, find_starved_requests, find_stream_violations, find_streams_that_stop, find_unneeded_refusals, find_violations,
                    mark_streams_of_gone_builds)
from client import Attempt, Kind  # noqa: E402
from process_faults import MEMORY_LIMIT_MB, HeldBytes, ObstructedStarts, handles, hold_port  # noqa: E402
from floods import KINDS as FLOODS  # noqa: E402
from floods import flood_parts  # noqa: E402
from runner import Brittleness, End, EndlessResponse, Notices, Run  # noqa: E402
from stop_faults import Stop  # noqa: E402

ORDER = Kind("/order/", streaming=False, repeatable=False)
LOOK = Kind("/look/", streaming=False, repeatable=True)
REVIEW = Kind("/review/", streaming=True, repeatable=True, answer_events=3)
ANSWER = Kind("/answer/", streaming=True, repeatable=False, answer_events=3)


def make_attempt(kind, name="a", **changes):
    attempt = Attempt(name, kind, "key", "tenant", "127.0.0.1:1", 10.0, status=200, sealed=True, whole=True)
    if kind.streaming:
        attempt.event_ids = [1, 2, 3]
        attempt.texts = [{"attempt": name, "run": "r1", "last": 3} for _ in range(3)]
    else:
        attempt.texts = [{"attempt": name}]
    for field, value in changes.items():
        setattr(attempt, field, value)
    return attempt


def make_run(name="a", runner="r1", **changes):
    run = Run(name, runner, 10.1, "tenant", False, 1, "w1")
    for field, value in changes.items():
        setattr(run, field, value)
    return run


def check(attempts, runs, revoked=None):
    return find_violations(attempts, runs, revoked or {}, 5.0, 1000.0, 2)


def make_part(ids, build="v1", **changes):
    """Returns an attempt that brought some events of a stream."""
    texts = [{"attempt": "a", "run": "r1", "last": 3, "build": build} for _ in ids]
    return make_attempt(REVIEW, event_ids=ids, texts=texts, **changes)


class FakeGateway:
    name = "gateway-0"

    def __init__(self, process):
        self.process = process


class ProcessChecksTest(unittest.TestCase):
    def test_memory_over_the_limit(self):
        problems = []
        code = f"text = b'x' * {(MEMORY_LIMIT_MB + 20) * 1_000_000}; print(len(text), flush=True); input()"
        with subprocess.Popen([sys.executable, "-c", code], stdin=subprocess.PIPE, stdout=subprocess.PIPE) as process:
            process.stdout.readline()
            process.returncode = None
            checks = HeldBytes([FakeGateway(process)], None, lambda text: None, problems)
            checks.check_memory()
            checks.check_memory()
            process.communicate(b"\n")
        self.assertEqual(len(problems), 1, problems)
        self.assertIn("gateway-0 uses", problems[0])

    def test_memory_within_the_limit(self):
        problems = []
        with subprocess.Popen([sys.executable, "-c", "input()"], stdin=subprocess.PIPE) as process:
            HeldBytes([FakeGateway(process)], None, lambda text: None, problems).check_memory()
            process.communicate(b"\n")
        self.assertEqual(problems, [])

    def test_starts_that_end_early(self):
        starts = ObstructedStarts([], lambda text: None, [])
        starts.starts, starts.ended_before_code = 20, 1
        self.assertEqual(starts.find_early_ends(), [])
        starts.ended_before_code = 2
        self.assertIn("2 of 20 starts", starts.find_early_ends()[0])

    def test_handled_signals_are_seen(self):
        code = "import signal; signal.signal(signal.SIGHUP, lambda *_: None); print('set', flush=True); input()"
        with subprocess.Popen([sys.executable, "-c", code], stdin=subprocess.PIPE, stdout=subprocess.PIPE) as process:
            process.stdout.readline()
            self.assertTrue(handles(process.pid, signal.SIGHUP))
            self.assertFalse(handles(process.pid, signal.SIGUSR2))
            process.communicate(b"\n")

    def test_a_held_port_cannot_be_bound(self):
        holder = hold_port("127.0.0.1", 0, socket.SOCK_STREAM)
        self.assertIsNone(hold_port("127.0.0.1", holder.getsockname()[1], socket.SOCK_STREAM))
        holder.close()


class ChecksTest(unittest.TestCase):
    def assert_violation(self, text, attempts, runs, revoked=None):
        problems = check(attempts, runs, revoked)
        self.assertEqual(len(problems), 1, problems)
        self.assertIn(text, problems[0])

    def test_sound_responses(self):
        attempts = [make_attempt(kind, kind.route) for kind in (ORDER, LOOK, REVIEW, ANSWER)]
        self.assertEqual(check(attempts, [make_run(kind.route) for kind in (ORDER, LOOK, REVIEW, ANSWER)]), [])

    def test_second_run_of_a_non_repeatable_request(self):
        self.assert_violation("ran 2 times", [make_attempt(ORDER)], [make_run(), make_run(runner="r2")])
        self.assertEqual(check([make_attempt(LOOK)], [make_run(), make_run(runner="r2")]), [])

    def assert_stream_violation(self, text, *attempts):
        problems = find_stream_violations([list(attempts)])
        self.assertEqual(len(problems), 1, problems)
        self.assertIn(text, problems[0])

    def test_streams_over_several_attempts(self):
        self.assertEqual(find_stream_violations([[], [make_part([1, 2]), make_part([]), make_part([3], after=2)]]), [])
        self.assert_stream_violation("joins the builds", make_part([1, 2]), make_part([3], "v2", after=2))
        self.assert_stream_violation("pieces [1, 3]", make_part([1]), make_part([3], after=1))
        self.assert_stream_violation("pieces [1, 2, 2, 3]", make_part([1, 2]), make_part([2, 3], after=2))
        self.assert_stream_violation("pieces [1, 2, 1]", make_part([1, 2]), make_part([1], after=2))

    def test_end_and_gap_of_a_resumed_stream(self):
        sound = make_part([3], name="a", after=2)
        self.assertEqual(check([sound], [make_run()]), [])
        self.assert_violation("not in order", [make_part([3], after=1)], [make_run()])
        self.assert_violation("ends as complete after 2 of 3", [make_part([2], after=1)], [make_run()])

    def test_refusals_of_streams_whose_build_is_gone(self):
        first = make_part([1], whole=False)
        refused = make_part([], name="b", after=1, status=503, sealed=False, ended_at=21.0)
        mark_streams_of_gone_builds([[], [first, refused]], {"v1": [(0.0, 100.0)]})
        self.assert_violation("no time to come back", [refused], [])
        mark_streams_of_gone_builds([[first, refused]], {"v1": [(0.0, 20.0)]})
        self.assertEqual(check([refused], []), [])

    def test_streams_that_are_not_continued(self):
        def streams_of(later):
            return [[make_part([1]), later] for _ in range(10)]

        served = {"v1": [(0.0, 100.0)], "v2": []}
        went_on = make_part([2, 3], sent_at=20.0, ended_at=21.0, after=1)
        refused = make_part([], sent_at=20.0, ended_at=21.0, after=1, status=503)
        self.assertEqual(find_streams_that_stop(streams_of(went_on), served), [])
        self.assertEqual(len(find_streams_that_stop(streams_of(refused), served)), 1)
        self.assertEqual(find_streams_that_stop(streams_of(refused), {"v1": [(0.0, 20.5)]}), [])

    def test_falls_of_brittle_runners(self):
        gateway_of = {"a": "g1", "b": "g2"}
        falls = [(10.0 + number, f"r{number}", ["a", "a", "b"]) for number in range(3)]
        brittleness = Brittleness(falls=falls, periods=[(5.0, 20.0)])
        self.assertEqual(len(find_falls(brittleness, 6, gateway_of, {})), 1)
        self.assertEqual(find_falls(brittleness, 10, gateway_of, {}), [])
        self.assertEqual(find_falls(brittleness, 6, gateway_of, {"g1": [9.0]}), [])

    def test_repeats_beyond_the_budget(self):
        attempts = [make_attempt(REVIEW, f"a{number}") for number in range(40)]
        first = [(10.0, "r1", attempt.id) for attempt in attempts]
        repeats = [(11.0, "r2", attempt.id) for attempt in attempts]
        self.assertEqual(find_excess_repeats(Notices(arrivals=first + repeats[:28]), attempts), [])
        self.assertEqual(len(find_excess_repeats(Notices(arrivals=first + repeats[:29]), attempts)), 1)

    def test_response_without_end_that_is_read_for_long(self):
        closed, open_ = EndlessResponse("a", 10.0, 12.0), EndlessResponse("a", 10.0)
        self.assertEqual(find_endless_reads([closed], {"a": "g1"}, {}, 20.0), [])
        self.assertEqual(len(find_endless_reads([closed, open_], {"a": "g1"}, {}, 20.0)), 1)
        self.assertEqual(find_endless_reads([open_], {"a": "g1"}, {"g1": [11.0]}, 20.0), [])

    def test_request_that_keeps_crashing_runners(self):
        first_crashes = [End(7, f"r{number}", float(number), number + 0.1) for number in range(3)]
        repeats = [End(7, f"s{number}", 5.2 + number, 5.3 + number) for number in range(4)]
        self.assertEqual(find_repeated_crashes(first_crashes + repeats[:3]), [])
        self.assertEqual(len(find_repeated_crashes(first_crashes + repeats)), 1)
        other_crashes = [End(8, "s", 9.0, 9.1) for _ in range(2)]
        self.assertEqual(find_repeated_crashes(first_crashes + repeats[:3] + other_crashes), [])

    def test_rejection_while_new_connections_work(self):
        rejected = make_attempt(LOOK, status=503, sealed=False, retry_after="0.1", texts=[])
        self.assertEqual(len(find_unneeded_refusals([rejected])), 1)
        # A rejection by the runner is not the gateway's, and an attempt without a response was not rejected.
        self.assertEqual(find_unneeded_refusals(
            [make_attempt(LOOK), make_attempt(LOOK, status=0), make_attempt(LOOK, status=503)]), [])

    def test_rejection_of_a_request_that_ran(self):
        rejected = make_attempt(ORDER, status=503, sealed=False, retry_after="0.1", texts=[])
        self.assert_violation("not run", [rejected], [make_run()])
        self.assertEqual(check([rejected], []), [])

    def test_rejection_without_retry_after(self):
        self.assert_violation("time to come back", [make_attempt(LOOK, status=503, sealed=False, texts=[])], [])

    def test_response_to_another_request(self):
        self.assert_violation("another request", [make_attempt(LOOK, texts=[{"attempt": "b"}])], [make_run()])

    def test_success_without_a_runner(self):
        self.assert_violation("mark", [make_attempt(LOOK, sealed=False)], [make_run()])

    def test_streams_out_of_order_incomplete_or_joined(self):
        self.assert_violation("not in order", [make_attempt(REVIEW, event_ids=[1, 3, 3])], [make_run()])
        self.assert_violation("complete after", [make_attempt(REVIEW, event_ids=[1, 2])], [make_run()])
        joined = make_attempt(ANSWER)
        joined.texts[2] = {"attempt": "a", "run": "r2", "last": 3}
        self.assert_violation("joins", [joined], [make_run()])

    def test_cut_stream_not_marked_complete_is_allowed(self):
        self.assertEqual(check([make_attempt(REVIEW, event_ids=[1, 2], whole=False)], [make_run()]), [])

    def test_wrong_tenant_and_disclosed_key(self):
        self.assert_violation("the key is tenant's", [make_attempt(LOOK)], [make_run(tenant="other")])
        self.assert_violation("shown the key", [make_attempt(LOOK)], [make_run(showed_key=True)])

    def test_revoked_key(self):
        self.assert_violation("taken away", [make_attempt(LOOK, sent_at=20.0)], [make_run()], {"key": 14.0})
        self.assertEqual(check([make_attempt(LOOK, sent_at=18.0)], [make_run()], {"key": 14.0}), [])

    def test_too_many_back_ends(self):
        self.assert_violation("back ends", [make_attempt(LOOK)], [make_run(runner=f"r{number}") for number in range(3)])

    def test_run_of_an_unknown_request(self):
        self.assert_violation("no client sent", [], [make_run()])

    def test_no_recovery(self):
        attempts = [make_attempt(LOOK, str(number), sent_at=2000.0, status=0, texts=[]) for number in range(10)]
        self.assert_violation("after the faults", attempts, [])


class PlannedStopTest(unittest.TestCase):
    """SIGTERM is at 100, the end at 107.5."""

    def check(self, runs=(), stop_status=0, stop_ended_at=107.5, **changes):
        kind = changes.pop("kind", LOOK)
        stop = Stop("127.0.0.1:1", 100.0, stop_ended_at, stop_status)
        stop.attempts = [make_attempt(kind, **({"whole_at": 104.0, "ended_at": 107.0} | changes))]
        return find_cut_requests([stop], list(runs))

    def assert_violation(self, expected, *arguments, **changes):
        problems = self.check(*arguments, **changes)
        self.assertEqual(len(problems), 1, problems)
        self.assertIn(expected, problems[0])

    def test_end_of_the_process(self):
        self.assertEqual(self.check(), [])
        self.assertEqual(self.check(stop_ended_at=108.0), [])
        self.assert_violation("ended after 9.00 s", stop_ended_at=109.0)
        self.assert_violation("with 1", stop_status=1)
        self.assert_violation("with None", stop_status=None)

    def test_response_of_the_gateway_to_a_late_request_that_a_runner_had(self):
        failed = {"status": 502, "sealed": False}
        self.assert_violation("ended with 502", [make_run()], **failed)
        self.assertEqual(self.check([make_run()], whole_at=102.9, **failed), [])
        self.assertEqual(self.check([], **failed), [])
        self.assert_violation("ended with 503", [make_run()], status=503, sealed=False)
        self.assertEqual(self.check([make_run()], status=503, sealed=False, not_run=True), [])
        self.assertEqual(self.check([make_run()], status=500), [])  # Of the runner.

    def test_cut_of_a_request_that_a_runner_had(self):
        run = make_run(ended_at=107.0)
        for kind in (ORDER, LOOK):
            self.assert_violation("with a runner", [run], kind=kind, status=0, sealed=False, whole=False)
        for kind in (REVIEW, ANSWER):
            self.assert_violation("with a runner", [run], kind=kind, whole=False)

    def test_cut_of_an_early_request_in_the_last_sixth_is_allowed(self):
        early = {"whole": False, "whole_at": 103.0}
        self.assertEqual(self.check([make_run(ended_at=106.7)], **early), [])
        self.assertEqual(self.check([make_run()], **early), [])  # The runner works on.
        self.assert_violation("with a runner", [make_run(ended_at=106.6)], **early)
        self.assert_violation("with a runner", [make_run(ended_at=106.7)], **(early | {"whole_at": 103.01}))
        self.assert_violation("with a runner", [make_run(ended_at=107.0)], **early, ended_at=105.0)

    def test_request_without_response(self):
        silent = {"status": 0, "sealed": False, "whole": False}
        self.assert_violation("no response", **silent)
        self.assert_violation("no response", **silent, whole_at=99.0)
        self.assertEqual(self.check(**silent, ended_at=104.04), [])  # Sent as the connection was closed.
        self.assertEqual(self.check(**silent, whole_at=0.0), [])  # Never sent whole.


class FloodTest(unittest.TestCase):
    def test_floods_have_no_end(self):
        for kind in FLOODS:
            first, piece = flood_parts(kind, 200, {"Attempt-Id": "a"}, b"{}")
            self.assertTrue(first.startswith(b"HTTP/1.1 200 -\r\n"), kind)
            self.assertGreater(len(piece), 60000, kind)
            self.assertNotIn(b"\r\n\r\n", (first + piece + piece).split(b"\r\n\r\n", 1)[-1], kind)
            self.assertNotIn(b"\n\n", piece, kind)

    def test_starved_requests(self):
        served = [make_attempt(LOOK, str(number), ended_at=10.1) for number in range(90)]
        failed = [make_attempt(LOOK, f"f{number}", ended_at=10.1, status=503, sealed=False) for number in range(10)]
        self.assertIn("only 90 of 100", find_starved_requests(served + failed, [], [])[0])
        self.assertEqual(find_starved_requests(served * 10 + failed, [], []), [])
        self.assertEqual(find_starved_requests(served + failed, [("app", 5.0, 6.1)], []), [])
        self.assertEqual(find_starved_requests(served + failed, [], [("127.0.0.1:1", 9.0, 10.0)]), [])
        others = [("engines", 5.0, 11.0)], [("127.0.0.1:2", 5.0, 11.0)]
        self.assertEqual(len(find_starved_requests(served + failed, *others)), 1)
        self.assertEqual(len(find_starved_requests(served + failed, [("app", 1.0, 5.9)], [])), 1)


if __name__ == "__main__":
    unittest.main()
