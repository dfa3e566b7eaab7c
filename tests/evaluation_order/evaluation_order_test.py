"""Tests that no call has two arguments that draw from a random generator.

Guards against seeds that play another run on another processor: the order in which the arguments of a call are evaluated is
unspecified, and g++ evaluates them from the right on x86-64 and from the left on arm64. A draw becomes a constant before the call.
"""

import re
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
FOLDERS = ("src", "platform", "sim", "standins", "apps", "tools", "bench", "tests")
LITERAL_OR_COMMENT = re.compile(r'//[^\n]*|/\*.*?\*/|R"\((?:.*?)\)"|"(?:\\.|[^"\\\n])*"|\'(?:\\.|[^\'\\\n])\'', re.DOTALL)
CALL = re.compile(r"\b\w+(?:<[\w:, ]*>)?\(")
#: Draws of RandomSource, and functions that are named after what they draw.
DRAW = re.compile(r"(?:\.|->)(?:unit|uniform|chance|bits|exponential)\(|\b(?:draw|random)[A-Z]\w*\(")


def arguments_of(text, begin):
    """Returns the arguments of the call whose first argument begins at an offset."""
    arguments, depth, start = [], 0, begin
    for position in range(begin, len(text)):
        character = text[position]
        if character in "([{":
            depth += 1
        elif character in ")]}":
            if depth == 0:
                return [*arguments, text[start:position]]
            depth -= 1
        elif character == "," and depth == 0:
            arguments.append(text[start:position])
            start = position + 1
    return arguments


def unordered_draws(source):
    """Returns the line numbers of calls of which two arguments draw."""
    text = LITERAL_OR_COMMENT.sub(lambda match: '""' + "\n" * match[0].count("\n"), source)
    return [text.count("\n", 0, call.start()) + 1 for call in CALL.finditer(text)
            if sum(bool(DRAW.search(argument)) for argument in arguments_of(text, call.end())) > 1]


class EvaluationOrderTest(unittest.TestCase):
    def test_draws_in_two_arguments_are_found(self):
        for source in ("f(random_.uniform(1, 2), random_.unit());", "at(drawDelay(0, 1), [late = random.chance(0.5)] { g(late); });",
                       "f(\n    1, randomIndex(2),\n    when + randomBetween(a, b));", "std::string(r->bits(), r->chance(0.5));"):
            with self.subTest(source):
                self.assertEqual(unordered_draws(source), [1])

    def test_draws_in_a_given_order_are_not_found(self):
        for source in ("const auto a = random_.unit();\nf(a, random_.unit());", "f(random_.chance(0.5) ? 1 : random_.unit(), 2);",
                       "engines[random_.uniform(0, 1)]->leave(random_.chance(0.5));", 'f("random.unit()", random.unit());',
                       "f(random.unit());  // g(random.unit(), random.unit())"):
            with self.subTest(source):
                self.assertEqual(unordered_draws(source), [])

    def test_the_project(self):
        sources = [path for folder in FOLDERS for path in sorted((ROOT / folder).rglob("*")) if path.suffix in (".cc", ".h")]
        self.assertGreater(len(sources), 0)
        found = [f"{path.relative_to(ROOT)}:{line}" for path in sources for line in unordered_draws(path.read_text(encoding="utf-8"))]
        self.assertEqual(found, [])


if __name__ == "__main__":
    unittest.main()
