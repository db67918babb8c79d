"""Sources of an earlier commit, for soaks in which two builds serve side by side."""

import subprocess
from pathlib import Path

from tests.soak.process import ROOT

FORMER_COMMIT = "c96abaf"
"""The landing before this code: its nodes may still run while this one's are started."""


class CommitNotFound(Exception):
    """The repository's history lacks a commit."""


def extract_sources(commit: str, folder: Path) -> Path:
    """Put the sources of a commit into a folder; they come out of this repository's history."""
    archive = subprocess.run(["git", "archive", commit], cwd=ROOT, capture_output=True, check=False)
    if archive.returncode:
        raise CommitNotFound(f"no sources of {commit} here: {archive.stderr.decode().strip()}")
    subprocess.run(["tar", "-x", "-C", str(folder)], input=archive.stdout, check=True)
    return folder
