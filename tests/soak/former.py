"""Extracts the sources of an earlier commit, for soaks in which two builds serve concurrently."""

import subprocess
from pathlib import Path

from tests.soak.process import ROOT

FORMER_COMMIT = "c96abaf"
"""The commit deployed before this code. Its nodes may still run while those of this code start."""


class CommitNotFound(Exception):
    """The commit is not in the repository's history, such as in a shallow clone."""


def extract_sources(commit: str, folder: Path) -> Path:
    """Extract the sources of a commit of this repository into `folder`; return the folder."""
    archive = subprocess.run(["git", "archive", commit], cwd=ROOT, capture_output=True, check=False)
    if archive.returncode:
        raise CommitNotFound(
            f"cannot extract the sources of {commit}: {archive.stderr.decode().strip()}"
        )
    subprocess.run(["tar", "-x", "-C", str(folder)], input=archive.stdout, check=True)
    return folder
