"""Each check of the soak is shown able to fail: one planted violation for each promise."""

import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
for folder in ("platform/standin", "tools/soak"):
    sys.path.insert(0, str(ROOT / folder))

from checks import broken_promises, refused_without_need, repeated_in_spite_of_ends  # noqa: E402
from client import Attempt, Kind  # noqa: E402
from runner import End, Run  # noqa: E402

ORDER = Kind("/order/", streaming=False, repeatable=False)
LOOK = Kind("/look/", streaming=False, repeatable=True)
REVIEW = Kind("/review/", streaming=True, repeatable=True, answer_events=3)
ANSWER = Kind("/answer/", streaming=True, repeatable=False, answer_events=3)


def answered(kind, name="a", **changes):
    attempt = Attempt(name, kind, "key", "tenant", "127.0.0.1:1", 10.0, status=200, sealed=True, whole=True)
    if kind.streaming:
        attempt.event_ids = [1, 2, 3]
        attempt.texts = [{"attempt": name, "run": "r1", "last": 3} for _ in range(3)]
    else:
        attempt.texts = [{"attempt": name}]
    for field, value in changes.items():
        setattr(attempt, field, value)
    return attempt


def run(name="a", runner="r1", **changes):
    made = Run(name, runner, 10.1, "tenant", False, 1, "w1")
    for field, value in changes.items():
        setattr(made, field, value)
    return made


def judge(attempts, runs, revoked=None):
    return broken_promises(attempts, runs, revoked or {}, 5.0, 1000.0)


class ChecksTest(unittest.TestCase):
    def assert_broken(self, word, attempts, runs, revoked=None):
        problems = judge(attempts, runs, revoked)
        self.assertEqual(len(problems), 1, problems)
        self.assertIn(word, problems[0])

    def test_sound_answers_break_nothing(self):
        attempts = [answered(kind, kind.route) for kind in (ORDER, LOOK, REVIEW, ANSWER)]
        self.assertEqual(judge(attempts, [run(kind.route) for kind in (ORDER, LOOK, REVIEW, ANSWER)]), [])

    def test_a_second_run_of_an_order(self):
        self.assert_broken("ran 2 times", [answered(ORDER)], [run(), run(runner="r2")])
        self.assertEqual(judge([answered(LOOK)], [run(), run(runner="r2")]), [])

    def test_a_request_that_ends_runners_again_and_again(self):
        known = [End(7, f"r{number}", float(number), number + 0.1) for number in range(3)]
        repeats = [End(7, f"s{number}", 5.2 + number, 5.3 + number) for number in range(4)]
        self.assertEqual(repeated_in_spite_of_ends(known + repeats[:3]), [])
        self.assertEqual(len(repeated_in_spite_of_ends(known + repeats)), 1)
        others = [End(8, "s", 9.0, 9.1) for _ in range(2)]
        self.assertEqual(repeated_in_spite_of_ends(known + repeats[:3] + others), [])

    def test_a_refusal_while_new_connections_work(self):
        refused = answered(LOOK, status=503, sealed=False, retry_after="0.1", texts=[])
        self.assertEqual(len(refused_without_need([refused])), 1)
        # A runner's own refusal is not the gateway's, and what has no answer was not refused.
        self.assertEqual(refused_without_need([answered(LOOK), answered(LOOK, status=0), answered(LOOK, status=503)]), [])

    def test_a_refusal_of_what_ran(self):
        refused = answered(ORDER, status=503, sealed=False, retry_after="0.1", texts=[])
        self.assert_broken("not run", [refused], [run()])
        self.assertEqual(judge([refused], []), [])

    def test_a_refusal_without_a_time_to_come_back(self):
        self.assert_broken("time to come back", [answered(LOOK, status=503, sealed=False, texts=[])], [])

    def test_an_answer_to_another_request(self):
        self.assert_broken("another request", [answered(LOOK, texts=[{"attempt": "b"}])], [run()])

    def test_a_success_that_no_runner_gave(self):
        self.assert_broken("mark", [answered(LOOK, sealed=False)], [run()])

    def test_streams_out_of_order_short_or_joined(self):
        self.assert_broken("not in order", [answered(REVIEW, event_ids=[1, 3, 3])], [run()])
        self.assert_broken("complete after", [answered(REVIEW, event_ids=[1, 2])], [run()])
        joined = answered(ANSWER)
        joined.texts[2] = {"attempt": "a", "run": "r2", "last": 3}
        self.assert_broken("joins", [joined], [run()])

    def test_a_cut_stream_is_allowed_as_cut_only(self):
        self.assertEqual(judge([answered(REVIEW, event_ids=[1, 2], whole=False)], [run()]), [])

    def test_another_tenant_and_a_key_shown(self):
        self.assert_broken("the key is tenant's", [answered(LOOK)], [run(tenant="other")])
        self.assert_broken("shown the key", [answered(LOOK)], [run(showed_key=True)])

    def test_a_key_that_was_taken_away(self):
        self.assert_broken("taken away", [answered(LOOK, sent_at=20.0)], [run()], {"key": 14.0})
        self.assertEqual(judge([answered(LOOK, sent_at=18.0)], [run()], {"key": 14.0}), [])

    def test_more_back_ends_than_attempts_allow(self):
        self.assert_broken("back ends", [answered(LOOK)], [run(runner=f"r{number}") for number in range(3)])

    def test_a_request_that_no_client_sent(self):
        self.assert_broken("no client sent", [], [run()])

    def test_no_recovery(self):
        attempts = [answered(LOOK, str(number), sent_at=2000.0, status=0, texts=[]) for number in range(10)]
        self.assert_broken("after the faults", attempts, [])


if __name__ == "__main__":
    unittest.main()
