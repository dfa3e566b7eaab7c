"""Tests how the project is configured in a build folder.

Guards against a build folder that is used on a machine with another processor: its objects are up to date for the build tool,
so that the build fails late, with errors of the linker that do not name the cause.
"""

import shutil
import subprocess
import tempfile
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PROCESSORS = {"x86_64": "aarch64", "aarch64": "x86_64"}


class BuildFolderTest(unittest.TestCase):
    def setUp(self):
        self.folder = Path(tempfile.mkdtemp(prefix="build-folder-test-"))
        self.addCleanup(shutil.rmtree, self.folder, ignore_errors=True)

    def configure(self):
        return subprocess.run(["cmake", "-S", ROOT, "-B", self.folder, "-DCRANKSPUR_GATEWAY_ONLY=ON"], capture_output=True,
                              text=True, check=False)

    def test_a_folder_of_another_processor_is_refused(self):
        self.assertEqual(self.configure().returncode, 0)
        self.assertEqual(self.configure().returncode, 0)
        system = next(self.folder.glob("CMakeFiles/*/CMakeSystem.cmake"))
        text = system.read_text(encoding="utf-8")
        native = next(name for name in PROCESSORS if f'PROCESSOR "{name}"' in text)
        system.write_text(text.replace(native, PROCESSORS[native]), encoding="utf-8")
        configured = self.configure()
        self.assertNotEqual(configured.returncode, 0)
        message = " ".join(configured.stderr.split())
        self.assertIn(f"{self.folder} was configured on {PROCESSORS[native]}, and this machine is {native}. Remove the folder",
                      message)


if __name__ == "__main__":
    unittest.main()
