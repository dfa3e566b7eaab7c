"""Queries Debian packages: the closure of a list of packages on a clean machine, and the owners of installed files.

The closure is resolved from apt's lists against an empty package database, so it does not depend on the packages
installed on this machine.
"""

from __future__ import annotations

import os
import re
import subprocess
from collections.abc import Iterable, Sequence

INSTALL_LINE = re.compile(r"^Inst (\S+) \((\S+)")
#: Maximum number of paths in one call of dpkg-query.
OWNER_BATCH_SIZE = 500
# A database without installed packages. Its cache must not overwrite the machine's own cache.
_EMPTY_DATABASE = ("-o", "Dir::State::status=/dev/null", "-o", "Dir::Cache::pkgcache=")


class PackageError(Exception):
    """A query of apt or dpkg failed; the message states the reason and a remedy."""


def _run(command: Sequence[str]) -> subprocess.CompletedProcess[str]:
    environment = dict(os.environ, LC_ALL="C")
    return subprocess.run(command, env=environment, capture_output=True, text=True, check=False)


def require_package_lists(apt_options: Sequence[str] = ()) -> None:
    """Ensures that apt has package lists: fetches them if run as root, raises PackageError otherwise."""
    if _has_package_lists(apt_options):
        return
    if os.geteuid() != 0:
        raise PackageError("apt has no package lists; run `apt-get update` as root and repeat the check")
    update = _run(["apt-get", *apt_options, "update", "-qq"])
    if update.returncode != 0 or not _has_package_lists(apt_options):
        raise PackageError(f"apt has no package lists and cannot fetch them; check its sources\n{update.stderr.strip()}")


def resolve_closure(packages: Iterable[str], apt_options: Sequence[str] = ()) -> dict[str, str]:
    """Returns the version of each package on a clean machine: the listed packages, their dependencies and Debian's
    essential packages, without recommended packages. Raises PackageError if a name is unknown to apt."""
    result = _run(["apt-get", *apt_options, *_EMPTY_DATABASE, "--simulate", "--no-install-recommends", "install",
                   "?essential", *packages])
    if result.returncode != 0:
        errors = [line for line in result.stderr.splitlines() if line.startswith("E:")]
        raise PackageError("apt cannot install the listed packages on a clean machine:\n" + "\n".join(errors))
    matches = (INSTALL_LINE.match(line) for line in result.stdout.splitlines())
    return {_without_architecture(match[1]): match[2] for match in matches if match}


def owners_of(paths: Iterable[str]) -> dict[str, set[str]]:
    """Returns the installed packages that own each path; paths without an owner are omitted."""
    owners: dict[str, set[str]] = {}
    paths_by_alias: dict[str, set[str]] = {}
    for path in paths:
        for alias in _usrmerge_aliases(path):
            paths_by_alias.setdefault(alias, set()).add(path)
    candidates = sorted(paths_by_alias)
    for start in range(0, len(candidates), OWNER_BATCH_SIZE):
        batch = [re.sub(r"([\[\]*?\\])", r"\\\1", path) for path in candidates[start : start + OWNER_BATCH_SIZE]]
        # Status 1: some path has no owner.
        result = _run(["dpkg-query", "--search", *batch])
        if result.returncode not in (0, 1):
            raise PackageError(f"dpkg-query cannot determine the owners of files:\n{result.stderr.strip()}")
        for line in result.stdout.splitlines():
            names, separator, path = line.partition(": ")
            if not separator or line.startswith("diversion by "):
                continue
            for used in paths_by_alias.get(path, ()):
                owners.setdefault(used, set()).update(_without_architecture(name) for name in names.split(", "))
    return owners


def installed_versions(packages: Iterable[str]) -> dict[str, str]:
    """Returns the installed version of each of the packages."""
    names = sorted(packages)
    if not names:
        return {}
    result = _run(["dpkg-query", "--show", "--showformat=${Package} ${Version}\n", *names])
    return dict(line.split(" ", 1) for line in result.stdout.splitlines())


def _has_package_lists(apt_options: Sequence[str]) -> bool:
    listed = _run(["apt-cache", *apt_options, *_EMPTY_DATABASE, "pkgnames"])
    return bool(listed.stdout.strip())


def _without_architecture(package: str) -> str:
    return package.partition(":")[0]


def _usrmerge_aliases(path: str) -> tuple[str, ...]:
    """Returns the path with and without /usr: on a merged-/usr system, packages may list /usr/bin/x as /bin/x."""
    alias = path.removeprefix("/usr") if path.startswith("/usr/") else "/usr" + path
    return (path, alias)
