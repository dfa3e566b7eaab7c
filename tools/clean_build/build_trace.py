"""Runs commands under strace and records the files and programs that they use, their network connections and the options
that turn a compiler's warnings into errors."""

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
# Also -Werror=NAME, but not -Wno-error=NAME.
WARNING_AS_ERROR = re.compile(r'"(-Werror(?:=[^"]*)?)"')
#: Unprivileged account that owns no files; used when the check runs as root.
UNPRIVILEGED_USER = "nobody"
UNPRIVILEGED_GROUP = "nogroup"


@dataclass
class Usage:
    """Files, network connections and compiler options that commands used."""

    #: Absolute paths of opened files and executed programs, including the symbolic links that led to them.
    paths: set[str] = field(default_factory=set)
    #: connect() calls to IP addresses.
    connections: set[str] = field(default_factory=set)
    #: Options with which a warning ends the build.
    warnings_as_errors: set[str] = field(default_factory=set)


@dataclass(frozen=True)
class Outcome:
    """Result of a traced command."""

    status: int
    output: str
    wall_seconds: float
    processor_seconds: float


def run_traced(command: Sequence[str], folder: Path, usage: Usage, timeout_seconds: float) -> Outcome:
    """Runs a command as an unprivileged user without a home directory and adds the files it used to `usage`.

    Raises subprocess.TimeoutExpired if the command takes longer than `timeout_seconds`.
    """
    identity = {"user": UNPRIVILEGED_USER, "group": UNPRIVILEGED_GROUP, "extra_groups": []} if os.geteuid() == 0 else {}
    environment = {"PATH": "/usr/bin:/bin", "HOME": "/nonexistent", "LANG": "C.UTF-8"}
    with tempfile.TemporaryDirectory() as logs, tempfile.TemporaryFile("w+", errors="replace") as output:
        chown_to_unprivileged_user(Path(logs))
        tracer = ["strace", "--follow-forks", "--output-separately", "--seccomp-bpf", "--quiet=all", "--decode-fds=path",
                  "--string-limit=4096", "--signal=none", "--trace=execve,execveat,open,openat,openat2,connect",
                  f"--output={logs}/calls"]
        started = time.monotonic()
        before = resource.getrusage(resource.RUSAGE_CHILDREN)
        completed = subprocess.run([*tracer, *command], cwd=folder, env=environment, stdin=subprocess.DEVNULL, stdout=output,
                               stderr=subprocess.STDOUT, timeout=timeout_seconds, check=False, **identity)
        after = resource.getrusage(resource.RUSAGE_CHILDREN)
        wall_seconds = time.monotonic() - started
        for log in Path(logs).iterdir():
            parse_strace_log(log.read_text(errors="replace"), usage)
        output.seek(0)
        return Outcome(
            status=completed.returncode,
            output=output.read(),
            wall_seconds=wall_seconds,
            processor_seconds=after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime,
        )


def chown_to_unprivileged_user(folder: Path) -> None:
    """Makes a folder accessible to the account that runs traced commands."""
    if os.geteuid() == 0:
        subprocess.run(["chown", "--recursive", f"{UNPRIVILEGED_USER}:{UNPRIVILEGED_GROUP}", str(folder)], check=True)


def parse_strace_log(log: str, usage: Usage) -> None:
    """Adds what the strace log of one process shows: successful opens and executions, attempts to connect, options."""
    for line in log.splitlines():
        if opened := OPENED.match(line):
            requested = os.path.join(opened["folder"] or "/", opened["path"])
            usage.paths.update(_resolve_links(requested))
            usage.paths.add(opened["real"])
        elif executed := EXECUTED.match(line):
            if executed["path"].startswith("/"):
                usage.paths.update(_resolve_links(executed["path"]))
            usage.warnings_as_errors.update(WARNING_AS_ERROR.findall(line))
        elif CONNECTED.match(line):
            usage.connections.add(line)


def _resolve_links(path: str) -> set[str]:
    """Returns the path, the path of each symbolic link that it resolves through, and the final file."""
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
