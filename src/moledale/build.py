"""Identifies the running build, since nodes of two builds coexist during a rolling replacement."""

from functools import cache
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path

import xxhash

PACKAGE = "moledale"
UNINSTALLED_VERSION = "unpacked"
"""Version reported when the sources run without an installed package."""

DIGEST_HEX_DIGITS = 8
"""Length of the source digest shown to operators: enough to distinguish a handful of builds."""


@cache
def build_id() -> str:
    """Return the package version and a digest of the running sources, as `VERSION+DIGEST`."""
    root = Path(__file__).resolve().parent
    digest = xxhash.xxh3_64()
    for path in sorted(root.rglob("*.py")):
        digest.update(str(path.relative_to(root)).encode())
        digest.update(path.read_bytes())
    return f"{_version()}+{digest.hexdigest()[:DIGEST_HEX_DIGITS]}"


def _version() -> str:
    try:
        return version(PACKAGE)
    except PackageNotFoundError:
        return UNINSTALLED_VERSION
