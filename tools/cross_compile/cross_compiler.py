"""Compiles the sources of a build folder for the other supported processor, with Debian's cross compilers."""

from __future__ import annotations

import json
import os
import platform
import shlex
import shutil
import subprocess
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

#: Supported processors, as uname names them, with the prefix of their compilers and header folders in Debian.
TRIPLETS = {"x86_64": "x86_64-linux-gnu", "aarch64": "aarch64-linux-gnu"}
#: Compilers for this processor that CMake finds in a build folder, with the suffix of the cross compiler.
COMPILER_SUFFIXES = {"c++": "g++", "g++": "g++", "cc": "gcc", "gcc": "gcc"}
#: Folders of headers that Debian keeps for each processor. The headers of these libraries are the same for both.
LIBRARY_HEADERS = ("openssl",)
INCLUDE = Path("/usr/include")


class CrossCompileError(Exception):
    """Nothing can be compiled; the message states the reason and a remedy."""


@dataclass(frozen=True)
class CompileCommand:
    """How a build folder compiles one source."""

    source: str
    folder: Path
    arguments: tuple[str, ...]

    @property
    def is_handwritten(self) -> bool:
        """Generated code is compiled without the project's warnings."""
        return "-Wall" in self.arguments

    @property
    def has_warnings_as_errors(self) -> bool:
        return "-Werror" in self.arguments

    @property
    def is_optimized(self) -> bool:
        levels = [argument for argument in self.arguments if argument.startswith("-O")]
        return bool(levels) and levels[-1] not in ("-O0", "-Og")


@dataclass(frozen=True)
class Outcome:
    """What the compiler said of one source."""

    source: str
    succeeded: bool
    diagnostics: str


def other_processor() -> str:
    """Returns the supported processor that this machine does not have."""
    others = [name for name in TRIPLETS if name != platform.machine()]
    if len(others) != 1:
        raise CrossCompileError(f"{platform.machine()} is not a supported processor: {', '.join(TRIPLETS)}")
    return others[0]


def read_commands(build: Path) -> list[CompileCommand]:
    """Reads a build folder's compile commands. Raises CrossCompileError if there are none."""
    path = build / "compile_commands.json"
    try:
        entries = json.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise CrossCompileError(f"{path}: cannot be read; configure the build folder first: {error}") from error
    commands = [CompileCommand(entry["file"], Path(entry["directory"]), tuple(shlex.split(entry["command"])))
                for entry in entries]
    if not any(command.is_handwritten for command in commands):
        raise CrossCompileError(f"{path}: holds no source that is compiled with -Wall")
    return commands


def read_strict_commands(build: Path) -> list[CompileCommand]:
    """Like read_commands(). Raises CrossCompileError unless the commands are optimized, since many warnings come from the
    optimizer, and end at warnings."""
    commands = read_commands(build)
    for command in commands:
        if not command.is_handwritten:
            continue
        if not command.is_optimized:
            raise CrossCompileError(f"{build}: {command.source} is not optimized; use a build of type Release")
        if not command.has_warnings_as_errors:
            raise CrossCompileError(f"{build}: {command.source} is compiled without -Werror; "
                                    "configure with -DCMAKE_COMPILE_WARNING_AS_ERROR=ON")
    return commands


class CrossCompiler:
    """Compiles for one processor. Objects go into a folder of the caller's; links to headers go into the build folder, so
    that the command is the same each time and a compiler cache finds it."""

    def __init__(self, processor: str, build: Path, objects: Path) -> None:
        """Raises CrossCompileError if a compiler for the processor is not installed."""
        self._triplet = TRIPLETS[processor]
        self._objects = objects
        for suffix in sorted(set(COMPILER_SUFFIXES.values())):
            if shutil.which(f"{self._triplet}-{suffix}") is None:
                raise CrossCompileError(f"{self._triplet}-{suffix} is missing; install it with tools/install_packages.sh")
        self._headers = self._link_library_headers(build.resolve() / f"headers-for-{processor}")

    def compile_all(self, commands: Sequence[CompileCommand]) -> list[Outcome]:
        """Compiles on all cores of this machine and returns an outcome for each command, in their order."""
        with ThreadPoolExecutor(max_workers=os.cpu_count()) as workers:
            return list(workers.map(self.compile, commands, range(len(commands))))

    def compile(self, command: CompileCommand, number: int = 0) -> Outcome:
        """Compiles one source into an object that the number names."""
        completed = subprocess.run(self.arguments_for(command, self._objects / f"{number}.o"), cwd=command.folder,
                                   stdin=subprocess.DEVNULL, capture_output=True, text=True, errors="replace", check=False)
        return Outcome(command.source, completed.returncode == 0, completed.stderr)

    def arguments_for(self, command: CompileCommand, output: Path) -> list[str]:
        """Returns the command with the compiler and the output replaced, through ccache where it is installed."""
        arguments = list(command.arguments)
        position = next((index for index, argument in enumerate(arguments[:2])
                         if os.path.basename(argument) in COMPILER_SUFFIXES), None)
        if position is None or "-o" not in arguments:
            raise CrossCompileError(f"{command.source}: not compiled by g++ into a file: {shlex.join(arguments[:3])} ...")
        arguments[position] = f"{self._triplet}-{COMPILER_SUFFIXES[os.path.basename(arguments[position])]}"
        arguments[arguments.index("-o") + 1] = str(output)
        # CMake leaves the launcher of a build folder out of its compile commands.
        cache = shutil.which("ccache")
        launcher = [cache] if cache and position == 0 else []
        return [*launcher, *arguments, "-idirafter", str(self._headers)]

    @staticmethod
    def _link_library_headers(folder: Path) -> Path:
        """Fills a folder with the headers of libraries that are installed for this machine's processor alone. The folder
        they lie in cannot be searched itself: it has the C library of this machine's processor too."""
        folder.mkdir(parents=True, exist_ok=True)
        native = INCLUDE / TRIPLETS.get(platform.machine(), "")
        for name in LIBRARY_HEADERS:
            link = folder / name
            if not link.is_symlink() and (native / name).is_dir():
                link.symlink_to(native / name)
        return folder
