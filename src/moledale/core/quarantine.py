"""Blocks requests that crash servers, as opposed to those that merely ran on a crashed one.

A request that crashes each server which starts to run it (a "query of death") is retried by its
caller, at any node, under a new id. It is recognised by its fingerprint, so the state here outlives
a single attempt. Each crash counts against all requests that ran on the server, since the one that
caused it isn't known. A second crash under the same request points to it, unless other servers
crashed at the same moment, as they do when a hall is lost. A request that a server answers is
cleared.
"""

from collections import deque
from collections.abc import Iterable

import msgspec
import xxhash

MIN_STRIKES = 1.99
"""Crashes that a request must explain before it is blocked: two that nothing else explains."""

UNCONDITIONAL_BLOCK_CRASHES = 4
"""Crashes under one request that get it blocked whatever else crashed at the same moments, as
another such request may be sent in step with it; more than the loss of several halls causes."""

COINCIDENCE_S = 0.25
"""Servers that crash within this time may have a common cause: those of a hall become silent within
milliseconds, and nodes learn of each other's crashes 0.02 to 0.1 s later."""

SAME_CRASH_S = 2.0
"""Reports of one server's crash arrive within this time, and no crashed server restarts sooner."""

CRASH_RETENTION_S = 600.0
"""Crashes are remembered for this long. Callers who retry by hand do so within minutes."""

INITIAL_BLOCK_S = 600.0
MAX_BLOCK_S = 86_400.0
"""Duration of a request's first block, and the maximum. After a block the request is let through
once, as its servers may have been repaired. If it crashes another one, the duration doubles."""

MAX_DOUBLINGS = 8
"""Doublings of a block's duration; the maximum is reached before."""

MAX_TIMES = 2**32 - 1
"""Blocks of a request that count; other nodes may state any number."""

MAX_CRASHES = 256
"""Crashes that are remembered, with up to 64 requests each: 0.3 MB."""

MAX_BLOCKS = 128
"""Blocked requests at a time. If more seem to crash servers, the servers are at fault."""


class ServerCrash(msgspec.Struct, eq=False):
    """A server that crashed and the requests known to have run there; `at` is monotonic."""

    server: str
    at: float
    requests: set[bytes]


class Block(msgspec.Struct):
    """A request that is sent to no server before `until`; `times` is how often it was blocked."""

    fingerprint: bytes
    until: float
    times: int = 1

    @property
    def started_at(self) -> float:
        """Return when the block began."""
        return self.until - _block_duration_s(self.times)

    def is_expired(self, now: float) -> bool:
        """Return whether the block has no effect any more: it ended as long ago as it lasted."""
        return self.until + _block_duration_s(self.times) < now


class Quarantine:
    """Records crashes of servers and decides which requests are blocked, at one node."""

    def __init__(self, min_strikes: float = MIN_STRIKES) -> None:
        self.blocks: dict[bytes, Block] = {}
        self._min_strikes = min_strikes
        self._crashes: deque[ServerCrash] = deque()
        self._crashes_by_request: dict[bytes, list[ServerCrash]] = {}
        self._undecided: set[bytes] = set()

    @property
    def has_suspects(self) -> bool:
        """Return whether any request is suspected or blocked; else no fingerprints are needed."""
        return bool(self._crashes_by_request or self.blocks)

    def record_crash(self, server: str, requests: Iterable[bytes], at: float) -> None:
        """Record a crash and the requests that ran there; other nodes may report more of them."""
        crash = self._find_or_add_crash(server, at)
        crash.at = min(crash.at, at)
        for fingerprint in set(requests) - crash.requests:
            crash.requests.add(fingerprint)
            self._crashes_by_request.setdefault(fingerprint, []).append(crash)
            self._undecided.add(fingerprint)

    def record_served(self, fingerprint: bytes) -> bool:
        """Record that a server survived a request; return whether it was suspected."""
        for crash in self._crashes_by_request.get(fingerprint, ()):
            crash.requests.discard(fingerprint)
        self._undecided.discard(fingerprint)
        suspected = self._crashes_by_request.pop(fingerprint, None) is not None
        return self.blocks.pop(fingerprint, None) is not None or suspected

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Return whether a server crashed under a request that none has survived since."""
        return fingerprint in self._crashes_by_request

    def strikes(self, fingerprint: bytes) -> float:
        """Return the number of crashes that a request explains, which may be a fraction.

        Of servers that crashed at the same time it explains only the share that it ran on.
        """
        crashes = self._unexplained(fingerprint)
        return sum(self._strike_share(crash, crashes) for crash in crashes)

    def _unexplained(self, fingerprint: bytes) -> list[ServerCrash]:
        """Return the crashes under a request that no blocked request explains."""
        return [
            crash
            for crash in self._crashes_by_request.get(fingerprint, ())
            if not any(each in self.blocks for each in crash.requests if each != fingerprint)
        ]

    def _strike_share(self, crash: ServerCrash, crashes: list[ServerCrash]) -> float:
        coinciding = sum(1 for each in self._crashes if abs(each.at - crash.at) <= COINCIDENCE_S)
        explained = sum(1 for each in crashes if abs(each.at - crash.at) <= COINCIDENCE_S)
        return explained / coinciding

    def block_guilty(self, now: float) -> list[Block]:
        """Block the requests that crash servers; return the new blocks.

        Crashes so recent that others may still coincide with them are left for a later call.
        """
        self._expire(now)
        decided = [
            each for each in self._undecided if self._last_crash_at(each) + COINCIDENCE_S <= now
        ]
        self._undecided.difference_update(decided)
        # Judged before any is blocked, as the first block would explain the crashes of the others.
        guilty = [each for each in decided if self._is_guilty(each)]
        blocked = (self._block_again(each, now) for each in guilty)
        return [block for block in blocked if block is not None]

    def wait_s(self, fingerprint: bytes, now: float) -> float:
        """Return the seconds for which a request may not run; 0.0 if it may run now."""
        block = self.blocks.get(fingerprint)
        if block is not None and block.until > now:
            return block.until - now
        if fingerprint in self._undecided and self._is_guilty(fingerprint):
            return max(0.0, self._last_crash_at(fingerprint) + COINCIDENCE_S - now)
        return 0.0

    def block(self, fingerprint: bytes, now: float) -> Block | None:
        """Block what is known to crash servers, each time for longer; None if it can't be."""
        previous = self.blocks.get(fingerprint)
        times = previous.times + 1 if previous is not None else 1
        block = Block(fingerprint, now + _block_duration_s(times), times)
        return block if self._add_block(block) else None

    def discount_crash(self, server: str, at: float) -> list[bytes]:
        """Forget a crash that none of its requests caused; return those no longer blocked."""
        crash = self._find_crash(server, at)
        if crash is None:
            return []
        self._crashes.remove(crash)
        self._unlink(crash)
        released = [each for each in crash.requests if self._is_blocked_in_vain(each)]
        for each in released:
            del self.blocks[each]
        return released

    def _is_blocked_in_vain(self, fingerprint: bytes) -> bool:
        """Return whether a first block rests on fewer crashes than it takes."""
        block = self.blocks.get(fingerprint)
        return block is not None and block.times == 1 and not self._explains_enough(fingerprint)

    def merge_block(self, block: Block) -> bool:
        """Merge a block that another node decided on; return whether it was adopted."""
        known = self.blocks.get(block.fingerprint)
        if known is not None and known.times >= block.times:
            return False
        return self._add_block(block)

    def digest(self) -> int:
        """Return a number that is the same on nodes with the same blocks (64 bits)."""
        total = 0
        for block in self.blocks.values():
            total ^= xxhash.xxh3_64_intdigest(block.fingerprint + block.times.to_bytes(4, "big"))
        return total

    def _find_crash(self, server: str, at: float) -> ServerCrash | None:
        for crash in reversed(self._crashes):
            if crash.server == server and abs(crash.at - at) <= SAME_CRASH_S:
                return crash
        return None

    def _find_or_add_crash(self, server: str, at: float) -> ServerCrash:
        crash = self._find_crash(server, at)
        if crash is not None:
            return crash
        crash = ServerCrash(server, at, set())
        self._crashes.append(crash)
        if len(self._crashes) > MAX_CRASHES:
            self._drop_oldest_crash()
        return crash

    def _drop_oldest_crash(self) -> None:
        self._unlink(self._crashes.popleft())

    def _unlink(self, crash: ServerCrash) -> None:
        """Stop counting a crash against its requests."""
        for fingerprint in crash.requests:
            left = [each for each in self._crashes_by_request[fingerprint] if each is not crash]
            if left:
                self._crashes_by_request[fingerprint] = left
            else:
                del self._crashes_by_request[fingerprint]
                self._undecided.discard(fingerprint)

    def _last_crash_at(self, fingerprint: bytes) -> float:
        return max(
            (crash.at for crash in self._crashes_by_request.get(fingerprint, ())), default=0.0
        )

    def _is_guilty(self, fingerprint: bytes) -> bool:
        """Return whether a request explains enough crashes; after a block one more is enough."""
        previous = self.blocks.get(fingerprint)
        if previous is not None:
            return self._last_crash_at(fingerprint) > previous.started_at + SAME_CRASH_S
        return self._explains_enough(fingerprint)

    def _explains_enough(self, fingerprint: bytes) -> bool:
        if len(self._unexplained(fingerprint)) >= UNCONDITIONAL_BLOCK_CRASHES:
            return True
        return self.strikes(fingerprint) >= self._min_strikes

    def _block_again(self, fingerprint: bytes, now: float) -> Block | None:
        """Block a request, unless it is blocked now."""
        previous = self.blocks.get(fingerprint)
        if previous is not None and previous.until > now:
            return None
        return self.block(fingerprint, now)

    def _add_block(self, block: Block) -> bool:
        if not 0 < block.times <= MAX_TIMES:
            return False
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
    """Return the duration of a request's n-th block."""
    doublings = min(max(0, times - 1), MAX_DOUBLINGS)
    return min(INITIAL_BLOCK_S * 2.0**doublings, MAX_BLOCK_S)
