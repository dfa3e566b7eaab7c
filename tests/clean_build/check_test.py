"""Tests that the clean build check finds what ends a build on other machines only.

Guards against builds that fail only on clean machines, as happened when two names under `packages` were unknown to apt
and a third provided another version of a library than the build required: earlier builds had run on machines with other
packages installed. Each test builds a small project under strace with its own list of packages.
"""

import shutil
import sys
import tempfile
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools/clean_build"))

from build_trace import chown_to_unprivileged_user  # noqa: E402
from check import check_checkout  # noqa: E402
from debian_packages import PackageError, require_package_lists, resolve_closure  # noqa: E402
from deployment import Deployment, DeploymentError, read_deployment  # noqa: E402

TOOLCHAIN = ("g++", "cmake", "make")
CMAKE_BUILD = "cmake -S . -B target && cmake --build target"
HELLO = "int main() { return 0; }\n"


class CheckTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        require_package_lists()

    def setUp(self):
        self.checkout = Path(tempfile.mkdtemp(prefix="clean-build-test-"))
        self.addCleanup(shutil.rmtree, self.checkout, ignore_errors=True)

    def write(self, name, text):
        (self.checkout / name).write_text(text, encoding="utf-8")

    def findings(self, packages, build, programs=(), templates=()):
        chown_to_unprivileged_user(self.checkout)
        deployment = Deployment(build, tuple(packages), tuple(programs), tuple(templates))
        return check_checkout(self.checkout, deployment, resolve_closure(packages))

    def cmake_findings(self, packages, commands="", source=HELLO, build=CMAKE_BUILD):
        self.write("CMakeLists.txt", "cmake_minimum_required(VERSION 3.25)\nproject(hello LANGUAGES CXX)\n"
                   f"{commands}\nadd_executable(hello hello.cc)\n")
        self.write("hello.cc", source)
        return self.findings(packages, build)

    def assert_only(self, findings, *parts):
        self.assertEqual(len(findings), 1, findings)
        for part in parts:
            self.assertIn(part, findings[0])

    def test_a_build_of_listed_packages_has_no_findings(self):
        self.assertEqual(self.cmake_findings(TOOLCHAIN), [])

    def test_a_name_unknown_to_apt(self):
        with self.assertRaisesRegex(PackageError, "Unable to locate package libprometheus-cpp-dev"):
            resolve_closure([*TOOLCHAIN, "libprometheus-cpp-dev"])

    def test_a_header_of_a_package_that_is_not_listed(self):
        self.assert_only(self.cmake_findings(TOOLCHAIN, source="#include <zlib.h>\n" + HELLO),
                         "zlib1g-dev is used", "/usr/include/zlib.h")

    def test_a_header_of_a_dependency_of_a_listed_package(self):
        found = self.cmake_findings([*TOOLCHAIN, "prometheus-cpp-dev"],
                                    source="#include <prometheus/counter.h>\n#include <zlib.h>\n" + HELLO)
        self.assertEqual(found, [])

    def test_a_cmake_file_of_a_package_that_is_not_listed(self):
        self.assert_only(self.cmake_findings(TOOLCHAIN, "find_package(fmt REQUIRED)"), "libfmt-dev is used")

    def test_a_library_of_a_package_that_is_not_listed(self):
        found = self.cmake_findings(TOOLCHAIN, "link_libraries(xxhash)",
                                    "extern \"C\" unsigned XXH_versionNumber();\nint main() { return XXH_versionNumber() == 0; }\n")
        self.assertTrue(any(finding.startswith("libxxhash-dev is used") for finding in found), found)

    def test_a_library_in_another_version_than_the_listed_one(self):
        found = self.cmake_findings([*TOOLCHAIN, "libboost-dev"], "find_package(Boost 1.81 REQUIRED)",
                                    "#include <boost/version.hpp>\n" + HELLO)
        self.assertTrue(any(finding.startswith("libboost1.81-dev is used") for finding in found), found)

    def test_an_unused_listed_package(self):
        self.assert_only(self.cmake_findings([*TOOLCHAIN, "libfmt-dev"]), "libfmt-dev is listed and not used")

    def test_a_program_of_a_recommended_package(self):
        # cmake recommends make but does not depend on it.
        self.assert_only(self.cmake_findings(["g++", "cmake"]), "make is used", "/usr/bin/gmake")

    def test_a_compiler_launcher_of_the_host(self):
        found = self.cmake_findings(TOOLCHAIN, build=f"CCACHE_DIR=$PWD/target/cache CMAKE_CXX_COMPILER_LAUNCHER=ccache; "
                                    "export CCACHE_DIR CMAKE_CXX_COMPILER_LAUNCHER; " + CMAKE_BUILD)
        self.assertTrue(any(finding.startswith("ccache is used") for finding in found), found)

    def test_a_code_generator_of_the_host(self):
        found = self.findings([], "curl --version > version.txt")
        self.assertTrue(any(finding.startswith("curl is used") for finding in found), found)

    def test_a_file_that_no_package_owns(self):
        with tempfile.TemporaryDirectory() as folder:
            header = Path(folder) / "local.h"
            header.write_text("", encoding="utf-8")
            chown_to_unprivileged_user(Path(folder))
            self.assert_only(self.findings([], f"cat {header}"), f"{header} is used and belongs to no package")

    # Guards against reports of a failed build without its error: the other jobs write on after it.
    def test_the_error_of_a_build_that_writes_on(self):
        found = self.findings([], "echo a.cc:1: error: unknown; seq 100; false")
        self.assert_only(found, "a.cc:1: error: unknown", "100")

    # Guards against builds that end on the machines of users alone: a compiler of another version or for another processor
    # warns about a source that it compiles correctly.
    def test_warnings_that_end_the_build(self):
        self.assert_only(self.cmake_findings(TOOLCHAIN, "add_compile_options(-Wall -Werror)"), "with -Werror;")
        self.assert_only(self.cmake_findings(TOOLCHAIN, "add_compile_options(-Werror=restrict)"), "with -Werror=restrict;")

    def test_warnings_that_do_not_end_the_build(self):
        self.assertEqual(self.cmake_findings(TOOLCHAIN, "add_compile_options(-Wall -Wextra -Wno-error=restrict)"), [])

    def test_a_download(self):
        self.assert_only(self.findings([], "bash -c 'echo > /dev/tcp/127.0.0.1/9' || true"), "calls another host")

    def test_a_write_to_the_home_directory(self):
        found = self.findings([], 'mkdir -p "$HOME/.cache"')
        self.assert_only(found, "the build failed as an ordinary user without a home", "/nonexistent")

    def test_a_program_that_the_build_does_not_produce(self):
        self.assert_only(self.findings([], "true", programs=["target/hello"]), "target/hello: the build leaves no such program")

    def test_a_program_that_cannot_start(self):
        self.assert_only(self.findings([], "printf '#!/bin/sh\\nexit 3\\n' > hello; chmod +x hello", programs=["hello"]),
                         "hello --version ends with status 3")

    def test_a_settings_template_that_is_missing_or_too_large(self):
        self.write("large.toml", "#" * 65536)
        found = self.findings([], "true", templates=["large.toml", "missing.toml"])
        self.assertEqual([finding.partition(":")[0] for finding in found], ["large.toml", "missing.toml"])

    def test_a_machine_without_package_lists(self):
        with tempfile.TemporaryDirectory() as lists:
            # Without sources, so that no lists can be fetched.
            options = ["-o", f"Dir::State::lists={lists}", "-o", "Dir::Cache::srcpkgcache=",
                       "-o", "Dir::Etc::sourcelist=/dev/null", "-o", "Dir::Etc::sourceparts=/dev/null"]
            with self.assertRaisesRegex(PackageError, "apt has no package lists"):
                require_package_lists(options)


class DeploymentFileTest(unittest.TestCase):
    def read(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "system.toml"
            path.write_text(text, encoding="utf-8")
            return read_deployment(path)

    def test_complete_file(self):
        deployment = self.read('build = "make"\npackages = ["g++"]\n[roles.a]\nrun = "target/a --x"\ntemplate = "a.toml"\n')
        self.assertEqual(deployment, Deployment("make", ("g++",), ("target/a",), ("a.toml",)))

    def test_errors_name_the_invalid_input(self):
        for text, error in (
            ("build = ", "cannot be read"),
            ("packages = []", "build: a command line is required"),
            ('build = "make"', "packages: a list of names is required"),
            ('build = "make"\npackages = ["g++ make"]', "'g\\+\\+ make' is not the name of a Debian package"),
            ('build = "make"\npackages = ["-o=x"]', "'-o=x' is not the name"),
            ('build = "make"\npackages = []\nroles = 3', "roles: a table"),
            ('build = "make"\npackages = []\n[roles.a]\nrun = ""', "roles.a.run: a program is required"),
        ):
            with self.subTest(text), self.assertRaisesRegex(DeploymentError, error):
                self.read(text)

    def test_a_missing_file(self):
        with self.assertRaisesRegex(DeploymentError, "cannot be read"):
            read_deployment(Path("/nonexistent/system.toml"))


if __name__ == "__main__":
    unittest.main()
