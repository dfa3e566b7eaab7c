"""Runs commands under strace and tells which files and programs they used and whom they called."""

from __future__ import annotations

import os
import re
import resource
import subprocess
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

OPENED = re.compile(r'^open(?:at2?)?\((?:AT_FDCWD<(?P<folder>[^>]*)>, )?"(?P<path>[^"]*)", .* = \d+<(?P<real>[^>]*)>')
EXECUTED = re.compile(r'^execve(?:at)?\((?:AT_FDCWD<[^>]*>, )?"(?P<path>[^"]*)", .* = 0$')
CONNECTED = re.compile(r"^connect\(.*sin6?_addr|^connect\(.*inet_addr|^connect\(.*inet_pton")
#: An unprivileged account that owns nothing; used where the check itself runs as root.
UNPRIVILEGED_USER = "nobody"
UNPRIVILEGED_GROUP = "nogroup"


@dataclass
class Usage:
    """What commands used of the machine."""

    #: Absolute paths of files opened and programs executed, with each symbolic link on the way.
    paths: set[str] = field(default_factory=set)
    #: System calls that addressed another process by IP.
    connections: set[str] = field(default_factory=set)


@dataclass(frozen=True)
class Outcome:
    """How a traced command ended."""

    status: int
    output: str
    wall_seconds: float
    processor_seconds: float


def run_traced(command: Sequence[str], folder: Path, usage: Usage, timeout_seconds: float) -> Outcome:
    """Runs a command as an ordinary user without a home and adds what it used to `usage`.

    Raises subprocess.TimeoutExpired if it takes longer than `timeout_seconds`.
    """
    identity = {"user": UNPRIVILEGED_USER, "group": UNPRIVILEGED_GROUP, "extra_groups": []} if os.geteuid() == 0 else {}
    environment = {"PATH": "/usr/bin:/bin", "HOME": "/nonexistent", "LANG": "C.UTF-8"}
    with tempfile.TemporaryDirectory() as logs, tempfile.TemporaryFile("w+", errors="replace") as output:
        give_to_unprivileged_user(Path(logs))
        tracer = ["strace", "--follow-forks", "--output-separately", "--seccomp-bpf", "--quiet=all", "--decode-fds=path",
                  "--string-limit=4096", "--signal=none", "--trace=execve,execveat,open,openat,openat2,connect",
                  f"--output={logs}/calls"]
        started = time.monotonic()
        before = resource.getrusage(resource.RUSAGE_CHILDREN)
        ended = subprocess.run([*tracer, *command], cwd=folder, env=environment, stdin=subprocess.DEVNULL, stdout=output,
                               stderr=subprocess.STDOUT, timeout=timeout_seconds, check=False, **identity)
        after = resource.getrusage(resource.RUSAGE_CHILDREN)
        wall_seconds = time.monotonic() - started
        for log in Path(logs).iterdir():
            read_calls(log.read_text(errors="replace"), usage)
        output.seek(0)
        return Outcome(
            status=ended.returncode,
            output=output.read(),
            wall_seconds=wall_seconds,
            processor_seconds=after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime,
        )


def give_to_unprivileged_user(folder: Path) -> None:
    """Makes a folder usable by the account that traced commands run under."""
    if os.geteuid() == 0:
        subprocess.run(["chown", "--recursive", f"{UNPRIVILEGED_USER}:{UNPRIVILEGED_GROUP}", str(folder)], check=True)


def read_calls(log: str, usage: Usage) -> None:
    """Adds the successful opens and executions, and all attempts to connect, of one process's log."""
    for line in log.splitlines():
        if opened := OPENED.match(line):
            named = os.path.join(opened["folder"] or "/", opened["path"])
            usage.paths.update(_links_on_the_way(named))
            usage.paths.add(opened["real"])
        elif executed := EXECUTED.match(line):
            if executed["path"].startswith("/"):
                usage.paths.update(_links_on_the_way(executed["path"]))
        elif CONNECTED.match(line):
            usage.connections.add(line)


def _links_on_the_way(path: str) -> set[str]:
    """Returns a path, the target of each symbolic link it leads through, and the file at the end."""
    found: set[str] = set()
    path = os.path.normpath(path) if ".." not in path else os.path.join(
        os.path.realpath(os.path.dirname(path)), os.path.basename(path))
    while path not in found:
        found.add(path)
        if not os.path.islink(path):
            break
        target = os.path.join(os.path.dirname(path), os.readlink(path))
        path = os.path.join(os.path.realpath(os.path.dirname(target)), os.path.basename(target))
    return found
