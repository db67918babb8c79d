"""The build of the deploy file replaces a folder of requirements that no process could start with.

The build runs in a copy of deploy/, with a stand-in for pip that installs one file or fails.
"""

import json
import os
import shutil
import subprocess
import sys
import tempfile
import tomllib
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent

PIP = """
import os, pathlib, sys
target = pathlib.Path(sys.argv[sys.argv.index("--target") + 1])
(target / "package").mkdir(parents=True)
(target / "package" / "first.py").write_text("first = 1")
with open(os.environ["CALLS"], "a") as calls:
    calls.write("call\\n")
if os.environ.get("BROKEN"):
    sys.exit(1)
(target / "package" / "second.py").write_text("second = 2")
"""


class BuildTest(unittest.TestCase):
    def setUp(self) -> None:
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.root = Path(temporary.name)
        (self.root / "deploy").mkdir()
        for path in (ROOT / "deploy").iterdir():
            if path.is_file():
                shutil.copy(path, self.root / "deploy")
        modules = self.root / "modules" / "pip"
        modules.mkdir(parents=True)
        (modules / "__init__.py").touch()
        (modules / "__main__.py").write_text(PIP)
        self.deps = self.root / "target" / "deps"
        self.calls = self.root / "calls"

    def build(self, **variables: str) -> int:
        """Run the build command of the deploy file; return its exit code."""
        command = tomllib.loads((self.root / "deploy" / "system.toml").read_text())["build"]
        path = f"{Path(sys.executable).parent}:{os.environ['PATH']}"
        modules = str(self.root / "modules")
        given = {"PATH": path, "PYTHONPATH": modules, "CALLS": str(self.calls), **variables}
        return subprocess.run(
            command, shell=True, cwd=self.root, env=given, stderr=subprocess.DEVNULL
        ).returncode

    def installs(self) -> int:
        return len(self.calls.read_text().splitlines()) if self.calls.exists() else 0

    def assert_whole(self) -> None:
        self.assertTrue((self.deps / "package" / "second.py").exists())

    def change_record(self, name: str, value: str) -> None:
        path = self.deps / "installed.json"
        path.write_text(json.dumps({**json.loads(path.read_text()), name: value}))

    def test_current_folder_is_not_installed_again(self) -> None:
        self.assertEqual(self.build(), 0)
        (self.deps / "package" / "__pycache__").mkdir()
        (self.deps / "package" / "__pycache__" / "first.pyc").write_text("compiled")
        self.assertEqual(self.build(), 0)
        self.assertEqual(self.installs(), 1)
        self.assert_whole()

    def test_half_made_folder_without_a_record_is_replaced(self) -> None:
        (self.deps / "package").mkdir(parents=True)
        (self.deps / "package" / "stray.py").touch()
        self.assertEqual(self.build(), 0)
        self.assert_whole()
        self.assertFalse((self.deps / "package" / "stray.py").exists())

    def test_folder_of_another_machine_python_or_requirements_is_replaced(self) -> None:
        self.assertEqual(self.build(), 0)
        for number, name in enumerate(("platform", "python", "requirements", "files"), 2):
            with self.subTest(name):
                self.change_record(name, "other")
                self.assertEqual(self.build(), 0)
                self.assertEqual(self.installs(), number)
                self.assert_whole()

    def test_folder_that_lost_a_file_is_replaced(self) -> None:
        self.assertEqual(self.build(), 0)
        (self.deps / "package" / "second.py").unlink()
        self.assertEqual(self.build(), 0)
        self.assert_whole()

    def test_unreadable_record_and_a_file_in_place_of_the_folder_are_replaced(self) -> None:
        self.assertEqual(self.build(), 0)
        for text in ("", "[]", '{"platform"', "\0", "[" * 100_000):
            (self.deps / "installed.json").write_text(text)
            self.assertEqual(self.build(), 0)
            self.assert_whole()
        shutil.rmtree(self.deps)
        self.deps.touch()
        self.assertEqual(self.build(), 0)
        self.assert_whole()

    def test_failed_install_fails_the_build_and_leaves_no_folder(self) -> None:
        self.assertNotEqual(self.build(BROKEN="1"), 0)
        self.assertFalse(self.deps.exists())
        self.assertEqual(self.build(), 0)
        self.assert_whole()

    def test_folder_left_by_an_interrupted_install_does_not_get_into_the_next(self) -> None:
        partial = self.deps.with_name("deps.partial")
        partial.mkdir(parents=True)
        (partial / "stray.py").touch()
        self.assertEqual(self.build(), 0)
        self.assert_whole()
        self.assertFalse((self.deps / "stray.py").exists())
        self.assertFalse(partial.exists())


if __name__ == "__main__":
    unittest.main()
