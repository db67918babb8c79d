"""Installs the requirements of the processes into target/deps, unless they are installed already.

A folder is current if its record names these requirements, this Python and this kind of machine,
and if its files are those that were installed. Any other folder is replaced.
"""

import fcntl
import hashlib
import json
import os
import shutil
import subprocess
import sys
import sysconfig
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
REQUIREMENTS = ROOT / "deploy" / "requirements.txt"
RECORD_NAME = "installed.json"

BYTECODE_FOLDER = "__pycache__"
"""Left out of the record, since Python may write into such folders at any time."""


def describe_target() -> dict[str, str]:
    """Return what an installation depends on."""
    return {
        "requirements": hashlib.sha256(REQUIREMENTS.read_bytes()).hexdigest(),
        "python": f"{sys.implementation.name} {sys.version_info[0]}.{sys.version_info[1]}",
        "platform": f"{sysconfig.get_platform()} {sysconfig.get_config_var('SOABI')}",
    }


def hash_listing(folder: Path) -> str:
    """Return a hash of the names and sizes of all files but the record and compiled bytecode."""
    lines = []
    for parent, folders, names in os.walk(folder):
        folders[:] = [name for name in folders if name != BYTECODE_FOLDER]
        for path in (Path(parent, name) for name in names if name != RECORD_NAME):
            lines.append(f"{path.relative_to(folder)} {path.lstat().st_size}")
    return hashlib.sha256("\n".join(sorted(lines)).encode()).hexdigest()


def why_stale(folder: Path) -> str | None:
    """Return why a folder can't be used, or None if it is current."""
    try:
        record = json.loads((folder / RECORD_NAME).read_text("utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        return f"no record of a whole installation: {type(error).__name__}"
    if not isinstance(record, dict):
        return "its record is no table"
    expected = {**describe_target(), "files": hash_listing(folder)}
    other = [name for name, value in expected.items() if record.get(name) != value]
    return f"it has other {', '.join(other)}" if other else None


def remove(path: Path) -> None:
    """Remove a folder, a file or a link, whichever is there."""
    if path.is_dir() and not path.is_symlink():
        shutil.rmtree(path)
    else:
        path.unlink(missing_ok=True)


def install(folder: Path) -> int:
    """Install into an empty folder beside `folder`, which is replaced once all is there."""
    partial = folder.with_name(f"{folder.name}.partial")
    for path in (folder, partial):
        remove(path)
    pip = [sys.executable, "-m", "pip", "install", "-q", "--target", str(partial)]
    code = subprocess.run([*pip, "-r", str(REQUIREMENTS)], check=False).returncode
    if code:
        remove(partial)
        print(f"build: pip ended with exit code {code}", file=sys.stderr)
        return 1
    record = {**describe_target(), "files": hash_listing(partial)}
    (partial / RECORD_NAME).write_text(json.dumps(record, indent=1) + "\n", "utf-8")
    partial.rename(folder)
    return 0


def main() -> int:
    """Install if necessary, one build of this checkout at a time; return the exit code."""
    folder = ROOT / "target" / "deps"
    folder.parent.mkdir(exist_ok=True)
    with open(folder.parent / "build.lock", "w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        reason = why_stale(folder)
        if reason is None:
            return 0
        if folder.exists() or folder.is_symlink():
            print(f"build: target/deps is replaced: {reason}", file=sys.stderr)
        return install(folder)


if __name__ == "__main__":
    sys.exit(main())
