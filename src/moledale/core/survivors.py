"""What servers survived recently, and is therefore not suspected of crashing them."""

TRUST_S = 15.0
"""What a server survived is not suspected for this long. When most servers are down, none may
survive sound requests for some time."""

MAX_SURVIVORS = 4096
"""Survivors that are remembered: 0.5 MB, and more than occur within `TRUST_S`."""


class Survivors:
    """Records requests or parts of prompts, given by digests, that servers survived."""

    def __init__(self) -> None:
        self._survived_at: dict[bytes, float] = {}

    def record(self, digest: bytes, now: float) -> None:
        """Record that a server survived a request or part."""
        self._survived_at.pop(digest, None)
        self._survived_at[digest] = now
        if len(self._survived_at) > MAX_SURVIVORS:
            del self._survived_at[next(iter(self._survived_at))]

    def is_trusted(self, digest: bytes, now: float) -> bool:
        """Return whether a server survived a request or part recently."""
        survived_at = self._survived_at.get(digest)
        return survived_at is not None and now - survived_at < TRUST_S
