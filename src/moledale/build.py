"""Which build runs: nodes of two builds serve side by side while machines are replaced."""

from functools import cache
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path

import xxhash

PACKAGE = "moledale"
UNINSTALLED_VERSION = "unpacked"
"""Version of sources that run without being installed."""

DIGEST_HEX_DIGITS = 8
"""Letters of the sources' digest that operators see: enough to tell a handful of builds apart."""


@cache
def build_id() -> str:
    """Return the version, and a digest of the sources that run."""
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
