"""Tests that the gateway accepts the settings that a platform creates by expanding deploy/node.toml.

No other test expands the template: unit tests use their own settings, so a misspelt placeholder would fail only on the
machines of users.
"""

import os
import re
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
GATEWAY = Path(sys.argv.pop()).resolve()

MACHINE_FIELDS = {
    "nodeName": "front-a-1",
    "zone": "hall-a",
    "region": "north",
    "ip": "10.1.0.30",
    "listen": {"front": "10.1.0.30:8782", "ready": "10.1.0.30:8789", "directory": "10.1.0.30:8780"},
    "internalPorts": [7340, 7355],
    "seeds": ["10.1.0.30:8783", "10.2.0.22:8783"],
    "limits": {"cpuShare": 0.25, "cpuCores": 1, "linkMbps": 1000.0},
    "bounds": {
        "drainTimeoutMs": 2000, "gracePeriodS": 8, "failClosed": True, "revokeMs": 5000, "retryBudgetRatio": 0.2,
        "budgetWindowS": 10, "retrySlack": 54, "leaseMs": 3000, "versionMs": 8000, "quotaWindowS": 8,
        "quotaOvershoot": 0.1, "quotaSlack": 110000,
    },
    "platform": {"address": "10.200.1.7:8784"},
}

SECTION_PATTERN = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
PLACEHOLDER = re.compile(r"\{\{([\w.,]+)\}\}")


def find_field(fields, name):
    """Returns the value of a dotted field name, or None."""
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        else:
            value = value.get(part) if isinstance(value, dict) else None
    return value


def expand(template, fields):
    """Expands sections (once, or once per list entry) and placeholders, as a platform does."""

    def section(match):
        kind, name, body = match.groups()
        value = find_field(fields, name)
        if kind == "^":
            return "" if value else expand(body, fields)
        if isinstance(value, list):
            last = len(value) - 1
            expanded = (body.replace("{{.}}", str(entry)).replace("{{,}}", "" if number == last else ",")
                      for number, entry in enumerate(value))
            return "".join(expand(text, fields) for text in expanded)
        return expand(body, fields) if value not in (None, False) else ""

    def placeholder(match):
        value = find_field(fields, match[1])
        return "" if value is None else str(value)

    return PLACEHOLDER.sub(placeholder, SECTION_PATTERN.sub(section, template))


def without(fields, *names):
    return {name: value for name, value in fields.items() if name not in names}


class SettingsTemplateTest(unittest.TestCase):
    template = (ROOT / "deploy/node.toml").read_text(encoding="utf-8")

    def check(self, fields):
        """Runs the gateway's settings check on the expanded template. Returns its exit status and output."""
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as settings:
            settings.write(expand(self.template, fields))
            settings.flush()
            environment = {"PATH": os.environ["PATH"], "CRANKSPUR_CONFIG": settings.name}
            completed = subprocess.run([GATEWAY, "--check"], env=environment, capture_output=True, text=True, timeout=20,
                                     check=False)
        return completed.returncode, completed.stdout + completed.stderr

    def assert_accepted(self, fields):
        status, output = self.check(fields)
        self.assertEqual(status, 0, output)

    def test_all_fields(self):
        self.assert_accepted(MACHINE_FIELDS)

    def test_first_machine_has_no_seeds(self):
        self.assert_accepted(MACHINE_FIELDS | {"seeds": []})

    def test_bounds_of_inactive_contracts_are_omitted(self):
        self.assert_accepted(MACHINE_FIELDS | {"bounds": {}})

    def test_keys_not_failing_closed(self):
        self.assert_accepted(MACHINE_FIELDS | {"bounds": MACHINE_FIELDS["bounds"] | {"failClosed": False}})

    def test_missing_limits(self):
        self.assert_accepted(MACHINE_FIELDS | {"limits": {}})

    def test_missing_directory_and_readiness_addresses(self):
        self.assert_accepted(MACHINE_FIELDS | {"listen": without(MACHINE_FIELDS["listen"], "ready", "directory")})

    def test_missing_name_is_rejected(self):
        status, output = self.check(without(MACHINE_FIELDS, "nodeName"))
        self.assertEqual(status, 2, output)
        self.assertIn("name", output)


if __name__ == "__main__":
    unittest.main()
