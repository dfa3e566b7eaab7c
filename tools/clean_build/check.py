#!/usr/bin/env python3
"""Fails when the deployment's build uses a file that a clean machine with the listed packages does not have, or would end
because another compiler warns where this one does not.

Runs the build command of deploy/system.toml in a new clone of HEAD, as an unprivileged user without a home directory,
and compares all files and programs that it uses with the closure of the listed packages. Exit status: 0 no findings,
1 findings or a failed build, 2 the check itself could not run.

Usage: tools/clean_build/check.py [--show-packages]
"""

from __future__ import annotations

import argparse
import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

from build_trace import Usage, chown_to_unprivileged_user, run_traced
from debian_packages import PackageError, installed_versions, owners_of, require_package_lists, resolve_closure
from deployment import Deployment, DeploymentError, read_deployment

DEPLOYMENT_FILE = "deploy/system.toml"
#: The platform's limits for a build and for a settings template.
BUILD_LIMIT_SECONDS = 15 * 60
TEMPLATE_LIMIT_BYTES = 64 * 1024
START_LIMIT_SECONDS = 10
#: Files that belong to no package: kernel interfaces and files generated on the machine.
UNPACKAGED_PREFIXES = ("/proc/", "/sys/", "/dev/", "/etc/")
#: Time zones and translations: programs read them if present and work the same without them.
OPTIONAL_DATA_PREFIXES = ("/usr/share/zoneinfo/", "/usr/share/locale/", "/usr/lib/locale/")
#: Maximum number of files of one package named in a finding.
MAX_EXAMPLES = 3
#: Maximum number of errors of a failed build that are printed.
MAX_ERROR_LINES = 5


def check_checkout(checkout: Path, deployment: Deployment, closure: dict[str, str], show_packages: bool = False) -> list[str]:
    """Builds a checkout under strace and returns the findings that would break the build on a clean machine."""
    usage = Usage()
    failures = run_build(checkout, deployment, usage)
    owners = owners_of(system_files(usage, checkout))
    findings = failures + find_unlisted_files(usage, checkout, owners, closure)
    findings += [f"the build calls another host or service: {call}" for call in sorted(usage.connections)]
    findings += [f"the build runs the compiler with {option}; another compiler or processor has other warnings, which must "
                 "not end the build" for option in sorted(usage.warnings_as_errors)]
    used = set().union(*owners.values())
    if not failures:
        findings += [f"{name} is listed and not used by the build; take it off the list"
                     for name in deployment.packages if name not in used]
    report_versions(used & set(deployment.packages), closure)
    if show_packages:
        print_packages(owners)
    return findings


def run_build(checkout: Path, deployment: Deployment, usage: Usage) -> list[str]:
    """Runs the build command and starts each program that it must produce."""
    outcome = run_traced(["sh", "-c", deployment.build], checkout, usage, BUILD_LIMIT_SECONDS)
    print(f"build: status {outcome.status}, {outcome.wall_seconds:.0f} s, {outcome.processor_seconds:.0f} s of processor"
          " time, tracing included", flush=True)
    if outcome.status != 0:
        return ["the build failed as an ordinary user without a home; its errors and last lines:\n"
                + "\n".join(error_lines(outcome.output)) + "\n" + last_lines(outcome.output)]
    findings = []
    for program in deployment.programs:
        findings += check_program(checkout, program, usage)
    for template in deployment.templates:
        path = checkout / template
        if not path.is_file() or path.stat().st_size >= TEMPLATE_LIMIT_BYTES:
            findings.append(f"{template}: no settings template of less than {TEMPLATE_LIMIT_BYTES} bytes found")
    return findings


def check_program(checkout: Path, program: str, usage: Usage) -> list[str]:
    """Runs `program --version` to record the shared libraries that the program loads."""
    if not os.access(checkout / program, os.X_OK):
        return [f"{program}: the build leaves no such program"]
    outcome = run_traced([str(checkout / program), "--version"], checkout, usage, START_LIMIT_SECONDS)
    if outcome.status != 0:
        return [f"{program} --version ends with status {outcome.status}:\n{last_lines(outcome.output)}"]
    return []


def system_files(usage: Usage, checkout: Path) -> set[str]:
    """Returns the used files that must come from a package."""
    excluded = (f"{checkout}/", *UNPACKAGED_PREFIXES, *OPTIONAL_DATA_PREFIXES)
    return {path for path in usage.paths if not path.startswith(excluded) and os.path.isfile(path)}


def find_unlisted_files(usage: Usage, checkout: Path, owners: dict[str, set[str]], closure: dict[str, str]) -> list[str]:
    """Returns findings for used packages that a clean machine does not have and for files that no package owns."""
    by_package: dict[str, list[str]] = {}
    findings = []
    for path in sorted(system_files(usage, checkout)):
        if path not in owners:
            # Links of the alternatives system belong to no package; their targets do.
            if not (os.path.islink(path) and os.readlink(path).startswith("/etc/alternatives/")):
                findings.append(f"{path} is used and belongs to no package")
        elif not owners[path] & closure.keys():
            by_package.setdefault(" or ".join(sorted(owners[path])), []).append(path)
    for package, paths in by_package.items():
        findings.append(f"{package} is used and neither listed nor brought by a listed package, as for "
                        f"{', '.join(paths[:MAX_EXAMPLES])} ({len(paths)} files); list it or drop the dependency")
    return findings


def report_versions(packages: set[str], closure: dict[str, str]) -> None:
    """Prints listed packages whose installed version differs from the version on a clean machine."""
    for package, version in sorted(installed_versions(packages).items()):
        if version != closure[package]:
            print(f"note: {package} is {version} here and {closure[package]} on a clean machine")


def print_packages(owners: dict[str, set[str]]) -> None:
    """Prints each package that the build used, with the number of files and an example."""
    files: dict[str, list[str]] = {}
    for path, names in owners.items():
        for name in names:
            files.setdefault(name, []).append(path)
    for name, paths in sorted(files.items()):
        print(f"{name}: {len(paths)} files, as {min(paths)}")


def error_lines(text: str) -> list[str]:
    """Returns the first lines that a compiler or linker marks as errors: parallel jobs write on after them."""
    return [line for line in text.splitlines() if "error:" in line][:MAX_ERROR_LINES]


def last_lines(text: str, count: int = 20) -> str:
    return "\n".join(text.splitlines()[-count:])


def fresh_clone(repository: Path, folder: Path) -> Path:
    """Clones HEAD into a folder owned by the unprivileged user."""
    checkout = folder / "checkout"
    subprocess.run(["git", "clone", "--quiet", "--depth=1", repository.as_uri(), str(checkout)], check=True)
    chown_to_unprivileged_user(folder)
    return checkout


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--show-packages", action="store_true", help="print all packages that the build used")
    arguments = parser.parse_args()
    repository = Path(__file__).resolve().parents[2]
    folder = Path(tempfile.mkdtemp(prefix="clean-build-"))
    try:
        if shutil.which("strace") is None:
            raise PackageError("strace is missing; install it with tools/install_packages.sh")
        checkout = fresh_clone(repository, folder)
        deployment = read_deployment(checkout / DEPLOYMENT_FILE)
        require_package_lists()
        closure = resolve_closure(deployment.packages)
        findings = check_checkout(checkout, deployment, closure, arguments.show_packages)
    except (DeploymentError, PackageError) as error:
        print(f"clean build check: {error}")
        return 1
    except (OSError, subprocess.SubprocessError) as error:
        print(f"clean build check could not run: {error}")
        return 2
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    for finding in findings:
        print(f"clean build check: {finding}")
    if not findings:
        print(f"clean build check: {len(deployment.packages)} listed packages hold all that the build uses")
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
