"""Makes a clone in which half of the nodes run an earlier commit, to test mixed builds.

`python -m tools.mixed_builds FOLDER COMMIT`, then play days in FOLDER and compare them with plays
of a single build. The name of a node determines its build, so the nodes that run it are the same in
each play.
"""

import argparse
import subprocess
import zlib
from pathlib import Path

from moledale.platform.start import SETTINGS_VARIABLE

ROOT = Path(__file__).resolve().parent.parent
FORMER_DIR = "former"
"""Folder in the clone for the sources of the earlier commit."""

SOURCES_EXPRESSION = 'str(Path(__file__).resolve().parent.parent / "src")'
"""The launcher's expression for the folder of the sources that it runs."""

BUILD_CHOICE_CODE = '''
import os
import re
import zlib


def sources() -> str:
    """Return the sources of this node's build, by the name in its settings."""
    text = Path(os.environ["VARIABLE"]).read_text("utf-8")
    name = re.search(r'^id = "([^"]+)"', text, re.MULTILINE).group(1)
    root = Path(__file__).resolve().parent.parent
    return str(root / ("former/src" if zlib.crc32(name.encode()) % 2 == 0 else "src"))


'''


def runs_earlier_build(name: str) -> bool:
    """Return whether the node of this name runs the earlier commit."""
    return zlib.crc32(name.encode()) % 2 == 0


def mixed_launcher(launcher: str) -> str:
    """Return a launcher that selects the build; raise ValueError if it has no line to replace."""
    line = f"sys.path.insert(0, {SOURCES_EXPRESSION})"
    if launcher.count(line) != 1:
        raise ValueError("the launcher lacks the expected line that adds its sources to sys.path")
    choice = BUILD_CHOICE_CODE.replace("VARIABLE", SETTINGS_VARIABLE)
    return launcher.replace(line, f"{choice}sys.path.insert(0, sources())")


def make_clone(folder: Path, commit: str) -> None:
    """Clone the last commit into a folder, and add the earlier one's sources and the launcher."""
    subprocess.run(["git", "clone", "--quiet", str(ROOT), str(folder)], check=True)
    (folder / FORMER_DIR).mkdir()
    archive = subprocess.run(
        ["git", "archive", commit, "src"], cwd=ROOT, capture_output=True, check=True
    )
    subprocess.run(["tar", "-x", "-C", str(folder / FORMER_DIR)], input=archive.stdout, check=True)
    launcher = folder / "deploy" / "launch.py"
    launcher.write_text(mixed_launcher(launcher.read_text("utf-8")), "utf-8")
    subprocess.run(["git", "add", "--all"], cwd=folder, check=True)


def main() -> None:
    """Run the tool."""
    parser = argparse.ArgumentParser(prog="python -m tools.mixed_builds", description=__doc__)
    parser.add_argument("folder", type=Path, help="folder for the clone; it must not exist")
    parser.add_argument("commit", help="the earlier commit")
    options = parser.parse_args()
    make_clone(options.folder, options.commit)


if __name__ == "__main__":
    main()
