"""Reads the build section of a deployment file: the build command, the packages and the programs to produce."""

from __future__ import annotations

import re
import tomllib
from dataclasses import dataclass
from pathlib import Path

# Debian Policy, section 5.6.1.
PACKAGE_NAME = re.compile(r"[a-z0-9][a-z0-9+.-]+")


class DeploymentError(Exception):
    """The deployment file is invalid; the message names the file and the key."""


@dataclass(frozen=True)
class Deployment:
    """How a platform builds the product on a machine that has only the listed packages."""

    build: str
    packages: tuple[str, ...]
    #: Programs of the roles, relative to the checkout.
    programs: tuple[str, ...]
    #: Settings templates, relative to the checkout.
    templates: tuple[str, ...]


def read_deployment(path: Path) -> Deployment:
    """Reads a deployment file; raises DeploymentError if it cannot be read or is invalid."""
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise DeploymentError(f"{path}: cannot be read: {error}") from error
    build = document.get("build")
    if not isinstance(build, str) or not build.strip():
        raise DeploymentError(f"{path}: build: a command line is required")
    packages = document.get("packages")
    if not isinstance(packages, list) or not all(isinstance(name, str) for name in packages):
        raise DeploymentError(f"{path}: packages: a list of names is required")
    for name in packages:
        if not PACKAGE_NAME.fullmatch(name):
            raise DeploymentError(f"{path}: packages: {name!r} is not the name of a Debian package")
    roles = document.get("roles", {})
    if not isinstance(roles, dict) or not all(isinstance(role, dict) for role in roles.values()):
        raise DeploymentError(f"{path}: roles: a table for each role is required")
    for name, role in roles.items():
        if not isinstance(role.get("run"), str) or not role["run"].split():
            raise DeploymentError(f"{path}: roles.{name}.run: a program is required")
        if not isinstance(role.get("template", ""), str):
            raise DeploymentError(f"{path}: roles.{name}.template: a path is required")
    return Deployment(
        build=build,
        packages=tuple(packages),
        programs=tuple(sorted({role["run"].split()[0] for role in roles.values()})),
        templates=tuple(sorted({role["template"] for role in roles.values() if "template" in role})),
    )
