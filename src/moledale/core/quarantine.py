"""Telling requests that end servers from those that merely ran beside them, and blocking the first.

A request that ends each server which begins to run it (a "query of death") comes again: from its
caller, at any node, under a new id. It is known by its fingerprint, so what is remembered here
outlives an arrival. Each end of a server counts against all requests that ran there, since nobody
can tell which of them it was; a second end under the same request points at it, unless other
servers ended at the same moment, as they do when a hall goes. What a server answers clears its
request.
"""

from collections import deque
from collections.abc import Iterable

import msgspec
import xxhash

MIN_STRIKES = 1.99
"""Ends that a request must explain before it is blocked: two that nothing else explains."""

UNCONDITIONAL_BLOCK_CRASHES = 4
"""Ends under one request that get it blocked whatever else ended at the same moments, as another
such request may come in step with it; more than the loss of several halls brings about."""

COINCIDENCE_S = 0.25
"""Servers that end within this time may have ended together: those of a hall fall silent within
milliseconds, and nodes hear of each other's ends 0.02 to 0.1 s later."""

SAME_CRASH_S = 2.0
"""Words of one server's end come within this time, and none that ends starts again sooner."""

CRASH_RETENTION_S = 600.0
"""Ends are remembered for this long. Callers who ask again by hand do so within minutes."""

INITIAL_BLOCK_S = 600.0
MAX_BLOCK_S = 86_400.0
"""A blocked request is let through again after the first time, once, as its servers may have been
mended. If it ends another one, the time doubles, up to the second."""

MAX_CRASHES = 256
"""Ends that are remembered, with up to 64 requests each: 0.3 MB."""

MAX_BLOCKS = 128
"""Blocked requests at a time. If more seem to end servers, the servers are to blame."""


class ServerCrash(msgspec.Struct):
    """A server that ended, and what ran there, as far as it was told; times are monotonic."""

    server: str
    at: float
    requests: set[bytes]


class Block(msgspec.Struct):
    """A request that gets no server until some time; `times` is how often it was blocked."""

    fingerprint: bytes
    until: float
    times: int = 1

    def is_expired(self, now: float) -> bool:
        """Say whether nothing follows from it any more: it was let through for as long again."""
        return self.until + _block_duration_s(self.times) < now


class Quarantine:
    """What one node knows of requests and the servers that ended under them."""

    def __init__(self, min_strikes: float = MIN_STRIKES) -> None:
        self.blocks: dict[bytes, Block] = {}
        self._min_strikes = min_strikes
        self._crashes: deque[ServerCrash] = deque()
        self._crashes_by_request: dict[bytes, list[ServerCrash]] = {}
        self._undecided: set[bytes] = set()

    @property
    def has_suspects(self) -> bool:
        """Say whether any request is suspected; if none is, nobody needs fingerprints."""
        return bool(self._crashes_by_request or self.blocks)

    def record_crash(self, server: str, requests: Iterable[bytes], at: float) -> None:
        """Note that a server ended while requests ran there; other nodes may add more of them."""
        end = self._find_or_add_crash(server, at)
        end.at = min(end.at, at)
        for fingerprint in set(requests) - end.requests:
            end.requests.add(fingerprint)
            self._crashes_by_request.setdefault(fingerprint, []).append(end)
            self._undecided.add(fingerprint)

    def record_served(self, fingerprint: bytes) -> bool:
        """Note that a server survived a request; say whether it was suspected."""
        for end in self._crashes_by_request.get(fingerprint, ()):
            end.requests.discard(fingerprint)
        self._undecided.discard(fingerprint)
        suspected = self._crashes_by_request.pop(fingerprint, None) is not None
        return self.blocks.pop(fingerprint, None) is not None or suspected

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Say whether a server ended under a request that none has survived since."""
        return fingerprint in self._crashes_by_request

    def strikes(self, fingerprint: bytes) -> float:
        """Return how many ends of servers a request explains.

        Of servers that ended together it explains only the part that it ran on.
        """
        under = self._crashes_by_request.get(fingerprint, [])
        return sum(self._strike_share(end, under) for end in under)

    def _strike_share(self, end: ServerCrash, under: list[ServerCrash]) -> float:
        together = sum(1 for each in self._crashes if abs(each.at - end.at) <= COINCIDENCE_S)
        explained = sum(1 for each in under if abs(each.at - end.at) <= COINCIDENCE_S)
        return explained / together

    def block_guilty(self, now: float) -> list[Block]:
        """Block what ends servers; return what is blocked anew.

        Ends that are so new that others may have come with them wait.
        """
        self._expire(now)
        decided = [
            each for each in self._undecided if self._last_crash_at(each) + COINCIDENCE_S <= now
        ]
        self._undecided.difference_update(decided)
        blocked = (self._block_if_guilty(each, now) for each in decided)
        return [block for block in blocked if block is not None]

    def wait_s(self, fingerprint: bytes, now: float) -> float:
        """Return how long a request may not run, 0.0 if it may now."""
        block = self.blocks.get(fingerprint)
        if block is not None and block.until > now:
            return block.until - now
        if fingerprint in self._undecided and self._is_guilty(fingerprint):
            return max(0.0, self._last_crash_at(fingerprint) + COINCIDENCE_S - now)
        return 0.0

    def merge_block(self, block: Block) -> bool:
        """Take over a block that another node decided on; say whether it was news."""
        known = self.blocks.get(block.fingerprint)
        if known is not None and known.times >= block.times:
            return False
        return self._add_block(block)

    def digest(self) -> int:
        """Return a number that two nodes share if they have the same blocks (64 bits)."""
        total = 0
        for block in self.blocks.values():
            total ^= xxhash.xxh3_64_intdigest(block.fingerprint + block.times.to_bytes(4, "big"))
        return total

    def _find_or_add_crash(self, server: str, at: float) -> ServerCrash:
        for end in reversed(self._crashes):
            if end.server == server and abs(end.at - at) <= SAME_CRASH_S:
                return end
        end = ServerCrash(server, at, set())
        self._crashes.append(end)
        if len(self._crashes) > MAX_CRASHES:
            self._drop_oldest_crash()
        return end

    def _drop_oldest_crash(self) -> None:
        end = self._crashes.popleft()
        for fingerprint in end.requests:
            left = [each for each in self._crashes_by_request[fingerprint] if each is not end]
            if left:
                self._crashes_by_request[fingerprint] = left
            else:
                del self._crashes_by_request[fingerprint]
                self._undecided.discard(fingerprint)

    def _last_crash_at(self, fingerprint: bytes) -> float:
        return max((end.at for end in self._crashes_by_request.get(fingerprint, ())), default=0.0)

    def _is_guilty(self, fingerprint: bytes) -> bool:
        """Say whether a request explains enough ends; after a block one more is enough."""
        before = self.blocks.get(fingerprint)
        if before is not None:
            begun = before.until - _block_duration_s(before.times)
            return self._last_crash_at(fingerprint) > begun + SAME_CRASH_S
        if len(self._crashes_by_request.get(fingerprint, ())) >= UNCONDITIONAL_BLOCK_CRASHES:
            return True
        return self.strikes(fingerprint) >= self._min_strikes

    def _block_if_guilty(self, fingerprint: bytes, now: float) -> Block | None:
        if not self._is_guilty(fingerprint):
            return None
        before = self.blocks.get(fingerprint)
        if before is not None and before.until > now:
            return None
        times = before.times + 1 if before is not None else 1
        block = Block(fingerprint, now + _block_duration_s(times), times)
        return block if self._add_block(block) else None

    def _add_block(self, block: Block) -> bool:
        if block.fingerprint not in self.blocks and len(self.blocks) >= MAX_BLOCKS:
            return False
        self.blocks[block.fingerprint] = block
        return True

    def _expire(self, now: float) -> None:
        while self._crashes and self._crashes[0].at < now - CRASH_RETENTION_S:
            self._drop_oldest_crash()
        for block in [each for each in self.blocks.values() if each.is_expired(now)]:
            del self.blocks[block.fingerprint]


def _block_duration_s(times: int) -> float:
    """Return how long the n-th block of a request lasts."""
    return min(INITIAL_BLOCK_S * 2.0 ** (times - 1), MAX_BLOCK_S)
