"""Guards against test cases that CTest never runs: CMake splits a title at a semicolon, and Catch2 succeeds on each part
without running a test, because no title matches it."""

import re
import unittest
from pathlib import Path

TESTS = Path(__file__).resolve().parents[1]
# The title may consist of several adjacent literals.
TITLE = re.compile(r'\bTEST_CASE(?:_METHOD)?\(\s*((?:"(?:\\.|[^"\\])*"\s*)+)')


def titles():
    return [(path, match[1]) for path in sorted(TESTS.rglob("*.cc")) for match in TITLE.finditer(path.read_text())]


class TitlesTest(unittest.TestCase):
    def test_no_title_contains_a_semicolon(self):
        self.assertGreater(len(titles()), 0)
        self.assertEqual([f"{path.name}: {title}" for path, title in titles() if ";" in title], [])


if __name__ == "__main__":
    unittest.main()
