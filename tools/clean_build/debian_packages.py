"""What a clean Debian machine holds with a list of packages, and which installed package owns a file.

The first is resolved from apt's lists against an empty package database, so it does not depend on what this machine
has installed.
"""

from __future__ import annotations

import os
import re
import subprocess
from collections.abc import Iterable, Sequence

INSTALL_LINE = re.compile(r"^Inst (\S+) \((\S+)")
#: Paths in one call of dpkg-query.
OWNER_BATCH = 500
# No package is installed; the cache of this other database must not replace the machine's own.
_EMPTY_DATABASE = ("-o", "Dir::State::status=/dev/null", "-o", "Dir::Cache::pkgcache=")


class PackageError(Exception):
    """apt or dpkg could not answer; the text says why and what to do."""


def _run(command: Sequence[str]) -> subprocess.CompletedProcess[str]:
    environment = dict(os.environ, LC_ALL="C")
    return subprocess.run(command, env=environment, capture_output=True, text=True, check=False)


def require_package_lists(apt_options: Sequence[str] = ()) -> None:
    """Makes sure that apt has package lists: fetches them as root, raises PackageError for other users."""
    if _has_package_lists(apt_options):
        return
    if os.geteuid() != 0:
        raise PackageError("apt has no package lists; run `apt-get update` as root and repeat the check")
    update = _run(["apt-get", *apt_options, "update", "-qq"])
    if update.returncode != 0 or not _has_package_lists(apt_options):
        raise PackageError(f"apt has no package lists and cannot fetch them; check its sources\n{update.stderr.strip()}")


def resolve_closure(packages: Iterable[str], apt_options: Sequence[str] = ()) -> dict[str, str]:
    """Returns the version of each package that a clean machine holds: the listed ones, what they depend on and
    Debian's essential packages, without recommended ones. Raises PackageError if apt does not know a name."""
    result = _run(["apt-get", *apt_options, *_EMPTY_DATABASE, "--simulate", "--no-install-recommends", "install",
                   "?essential", *packages])
    if result.returncode != 0:
        errors = [line for line in result.stderr.splitlines() if line.startswith("E:")]
        raise PackageError("apt cannot install the listed packages on a clean machine:\n" + "\n".join(errors))
    matches = (INSTALL_LINE.match(line) for line in result.stdout.splitlines())
    return {_without_architecture(match[1]): match[2] for match in matches if match}


def owners_of(paths: Iterable[str]) -> dict[str, set[str]]:
    """Returns the installed packages that own each path; a path that none owns is left out."""
    owners: dict[str, set[str]] = {}
    paths_of_alias: dict[str, set[str]] = {}
    for path in paths:
        for alias in _merged_aliases(path):
            paths_of_alias.setdefault(alias, set()).add(path)
    candidates = sorted(paths_of_alias)
    for start in range(0, len(candidates), OWNER_BATCH):
        batch = [re.sub(r"([\[\]*?\\])", r"\\\1", path) for path in candidates[start : start + OWNER_BATCH]]
        # Status 1 says that some path has no owner.
        result = _run(["dpkg-query", "--search", *batch])
        if result.returncode not in (0, 1):
            raise PackageError(f"dpkg-query cannot name owners of files:\n{result.stderr.strip()}")
        for line in result.stdout.splitlines():
            names, separator, path = line.partition(": ")
            if not separator or line.startswith("diversion by "):
                continue
            for used in paths_of_alias.get(path, ()):
                owners.setdefault(used, set()).update(_without_architecture(name) for name in names.split(", "))
    return owners


def installed_versions(packages: Iterable[str]) -> dict[str, str]:
    """Returns the version of each of these packages that is installed here."""
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


def _merged_aliases(path: str) -> tuple[str, ...]:
    """Packages still name files below /bin, /sbin and /lib that stand below /usr on a merged system."""
    other = path.removeprefix("/usr") if path.startswith("/usr/") else "/usr" + path
    return (path, other)
