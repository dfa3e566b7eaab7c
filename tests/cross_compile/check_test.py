"""Tests that the cross compile check finds sources that compile on one kind of machine only.

Guards against landings that build on the machine they were made on alone: after inlining, the optimizer of one processor
warned about a line that the other one compiled silently, and the warning ended the build of users.
Usage: check_test.py BUILD_FOLDER
"""

import json
import shutil
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools/cross_compile"))

from check import check_build  # noqa: E402
from cross_compiler import TRIPLETS, CrossCompileError, CrossCompiler, other_processor, read_commands  # noqa: E402

FLAGS = "-O2 -Wall -Werror"
# The warning appears once the arguments are known, so that it needs the function to be inlined.
OVERLAPPING_COPY = """#include <cstring>
static void copy(char* to, const char* from, unsigned long size) { std::memcpy(to, from, size); }
void shift(char* text) { copy(text, text + 1, 8); }
"""
WARNING_ON = """#ifdef __{}__
static int unused = 1;
#endif
int used = 2;
"""
build_folder = Path()


class CheckTest(unittest.TestCase):
    def setUp(self):
        self.build = Path(tempfile.mkdtemp(prefix="cross-compile-test-"))
        self.addCleanup(shutil.rmtree, self.build, ignore_errors=True)

    def write_build(self, sources, flags=FLAGS, compiler="/usr/bin/c++"):
        entries = []
        for name, text in sources.items():
            (self.build / name).write_text(text, encoding="utf-8")
            entries.append({"directory": str(self.build), "file": str(self.build / name),
                            "command": f"{compiler} {flags} -o {name}.o -c {self.build / name}"})
        (self.build / "compile_commands.json").write_text(json.dumps(entries), encoding="utf-8")

    def failures(self, processor=None):
        outcomes = check_build(self.build, processor or other_processor())
        return {Path(outcome.source).name: outcome.diagnostics for outcome in outcomes if not outcome.succeeded}

    def assert_cannot_run(self, message):
        with self.assertRaisesRegex(CrossCompileError, message):
            self.failures()

    def test_sources_without_warnings(self):
        self.write_build({"one.cc": "int one = 1;\n", "two.cc": "#include <string>\nstd::string two = \"2\";\n"})
        self.assertEqual(self.failures(), {})

    def test_a_warning_for_one_processor_alone(self):
        self.write_build({f"{processor}.cc": WARNING_ON.format(processor) for processor in TRIPLETS})
        for processor in TRIPLETS:
            found = self.failures(processor)
            self.assertEqual(list(found), [f"{processor}.cc"])
            self.assertIn("-Werror=unused-variable", found[f"{processor}.cc"])

    def test_a_warning_of_the_optimizer_after_inlining(self):
        self.write_build({"sound.cc": "int sound = 1;\n", "overlap.cc": OVERLAPPING_COPY})
        found = self.failures()
        self.assertEqual(list(found), ["overlap.cc"])
        self.assertIn("-Werror=restrict", found["overlap.cc"])

    def test_headers_that_are_installed_for_this_processor_alone(self):
        self.write_build({"digest.cc": "#include <cstdlib>\n#include <openssl/sha.h>\nint size = SHA256_DIGEST_LENGTH;\n"})
        self.assertEqual(self.failures(), {})

    def test_a_missing_compiler_is_no_pass(self):
        self.write_build({"one.cc": "int one = 1;\n"})
        with mock.patch.dict("os.environ", PATH="/nonexistent"):
            self.assert_cannot_run("is missing; install it with tools/install_packages.sh")
        check = [sys.executable, str(ROOT / "tools/cross_compile/check.py"), str(self.build)]
        completed = subprocess.run(check, env={"PATH": "/nonexistent"}, capture_output=True, text=True, check=False)
        self.assertEqual(completed.returncode, 2, completed.stdout)

    def test_a_build_folder_that_would_hide_warnings_is_no_pass(self):
        self.write_build({"one.cc": "int one = 1;\n"}, flags="-O0 -Wall -Werror")
        self.assert_cannot_run("is not optimized")
        self.write_build({"one.cc": "int one = 1;\n"}, flags="-Wall -Werror")
        self.assert_cannot_run("is not optimized")
        self.write_build({"one.cc": "int one = 1;\n"}, flags="-O2 -Wall")
        self.assert_cannot_run("without -Werror")
        self.write_build({"one.cc": "int one = 1;\n"}, flags="-O2")
        self.assert_cannot_run("holds no source")
        self.write_build({"one.cc": "int one = 1;\n"}, compiler="/usr/bin/clang++-14")
        self.assert_cannot_run("not compiled by g\\+\\+")

    def test_a_build_folder_that_is_not_configured_is_no_pass(self):
        self.assert_cannot_run("cannot be read")

    # A compiler cache finds a command that is the same each time.
    def test_a_launcher_and_its_command_stay_the_same(self):
        self.write_build({"one.cc": "int one = 1;\n"}, compiler="/usr/bin/ccache /usr/bin/c++")
        processor = other_processor()
        command = read_commands(self.build)[0]
        first, second = (CrossCompiler(processor, self.build, self.build / folder).arguments_for(command, Path("one.o"))
                         for folder in ("first", "second"))
        self.assertEqual(first[:2], ["/usr/bin/ccache", f"{TRIPLETS[processor]}-g++"])
        self.assertEqual(first, second)

    def test_the_compiler_cache_of_the_build_is_used(self):
        self.write_build({"one.cc": "int one = 1;\n"})
        processor = other_processor()
        with mock.patch("cross_compiler.shutil.which", side_effect=lambda name: f"/usr/bin/{name}"):
            compiler = CrossCompiler(processor, self.build, self.build)
            arguments = compiler.arguments_for(read_commands(self.build)[0], Path("one.o"))
        self.assertEqual(arguments[:2], ["/usr/bin/ccache", f"{TRIPLETS[processor]}-g++"])

    # Guards against seeds that play another simulation on another processor: of the two, only aarch64 has an instruction that
    # multiplies and adds with one rounding, and compilers use it by default.
    def test_products_are_rounded_before_they_are_added(self):
        source = self.build / "sum.cc"
        source.write_text("double sum(double a, double b, double c) { return a * b + c; }\n", encoding="utf-8")
        command = next(command for command in read_commands(build_folder) if "/src/" in command.source)
        arguments = CrossCompiler("aarch64", self.build, self.build).arguments_for(command, self.build / "sum.s")
        arguments[arguments.index("-c"):arguments.index("-c") + 2] = ["-S", str(source)]
        subprocess.run(arguments, cwd=command.folder, check=True)
        instructions = (self.build / "sum.s").read_text(encoding="utf-8")
        self.assertIn("fmul", instructions)
        self.assertNotIn("fmadd", instructions)

    def test_all_sources_of_the_project_are_commands(self):
        folders = ("src", "platform", "sim", "standins", "apps", "tests/unit", "tests/sim", "tests/integration")
        sources = {str(path) for folder in folders for path in (ROOT / folder).rglob("*.cc")}
        self.assertGreater(len(sources), 0)
        commands = json.loads((build_folder / "compile_commands.json").read_text(encoding="utf-8"))
        self.assertEqual(sorted(sources - {entry["file"] for entry in commands}), [])


if __name__ == "__main__":
    build_folder = Path(sys.argv.pop(1)).resolve()
    unittest.main()
