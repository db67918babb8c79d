"""Holds back requests with a part of a prompt that crashes servers, and lets single ones probe it.

Blocks of parts lie beside those of whole requests, so nodes exchange and store both in the same way
(see `core.quarantine`). A block may be wrong, and a part may be mended: from time to time one
request with the part is sent to a server, by one node only. If the server survives it, the part is
cleared at all nodes, else the time until the next probe grows.
"""

from collections.abc import Callable, Iterable, Sequence

import msgspec
from cachetools import LRUCache

from moledale.core.quarantine import Block, Quarantine
from moledale.core.suspect_parts import Accusation, SuspectParts
from moledale.log import Event, emit

SUSPECT_CRASHES = 2
"""A request with a part under which this many servers crashed is sent to no further server."""

FIRST_PROBE_S = 20.0
PROBE_GROWTH = 4.0
MAX_PROBE_S = 3_600.0
"""Time from the begin of a block to the probe, its growth with each further one, and the maximum.
Each probe may crash one more server."""

AMBIGUOUS_PROBE_S = 1.0
"""Time to the first probe if another part was there in all crashes too: one of them is innocent."""

MIN_PROBE_INTERVAL_S = FIRST_PROBE_S
"""A probe without a known outcome is followed by another one after this time: its caller may have
left, or this node may not reach the server any more, whether it crashed or not."""

MIN_WAIT_S = 1.0
"""Shortest time that callers of a blocked request are told."""

MAX_NAMED_PARTS = 512
"""Digests whose part id is remembered for log lines: 0.1 MB."""

MAX_LOGGED_SERVERS = 8


class NamedPart(msgspec.Struct, frozen=True):
    """A part of a prompt: its digest, and its id for log lines."""

    digest: bytes
    id: str


def _always(_part: bytes) -> bool:
    """Let this node probe every part."""
    return True


def _ignore(_: object) -> None:
    """Ignore the notification."""


class PartGuard:
    """Blocks parts of prompts that crash servers, by crashes seen by this node and its peers.

    `is_prober` returns whether this node is the one that probes a blocked part. `on_block` is
    called for blocks that rest on crashes seen by this node, `on_cleared` for parts that a server
    survived here though they were suspected or blocked, and `on_explained` with the server and the
    time of each crash that a blocked part explains.
    """

    def __init__(self, quarantine: Quarantine, now: Callable[[], float]) -> None:
        self.suspects = SuspectParts()
        self.is_prober: Callable[[bytes], bool] = _always
        self.on_block: Callable[[Block], None] = _ignore
        self.on_cleared: Callable[[list[bytes]], None] = _ignore
        self.on_explained: Callable[[str, float], None] = lambda _server, _at: None
        self._quarantine = quarantine
        self._now = now
        self._ambiguous: dict[bytes, frozenset[bytes]] = {}
        self._probed_at: dict[bytes, float] = {}
        self._seen_locally: LRUCache[bytes, str] = LRUCache(MAX_NAMED_PARTS)

    def is_blocked(self, part: bytes) -> bool:
        """Return whether requests with a part are held back."""
        return part in self._quarantine.blocks

    def wait_s(self, parts: Sequence[bytes]) -> float:
        """Return how long a request with these parts is blocked; 0.0 if it may run or probe now."""
        blocks = self._blocks(parts)
        if not blocks or self._may_probe(blocks):
            return 0.0
        return max(MIN_WAIT_S, max(block.until for block in blocks) - self._now())

    def may_retry(self, parts: Sequence[bytes]) -> bool:
        """Return whether a request that broke off may be sent to another server."""
        return not self._blocks(parts) and not any(
            self.suspects.crash_count(part) >= SUSPECT_CRASHES for part in parts
        )

    def take_send(self, parts: Sequence[bytes]) -> bool:
        """Return whether a request may be sent now; the send of a blocked part is its probe."""
        blocks = self._blocks(parts)
        if not blocks:
            return True
        if not self._may_probe(blocks):
            return False
        block = blocks[0]
        self._probed_at[block.fingerprint] = self._now()
        emit(Event.PART_PROBED, digest=block.fingerprint.hex(), times=block.times)
        return True

    def record_crash(self, server: str, parts: Iterable[bytes], at: float) -> None:
        """Record a crash that this node or a peer has seen, with the parts of requests there."""
        self.suspects.record_crash(server, parts, at)
        if self.explains(server, at):
            self.on_explained(server, at)

    def is_suspect(self, part: NamedPart) -> bool:
        """Return whether a server crashed under a part that none has survived since."""
        return self.suspects.crash_count(part.digest) > 0 or self.is_blocked(part.digest)

    def record_seen_locally(self, parts: Iterable[NamedPart]) -> None:
        """Record parts of requests that broke off at this node."""
        for part in parts:
            self._seen_locally[part.digest] = part.id

    def record_survived(self, parts: Sequence[bytes]) -> None:
        """Record that a server survived a request with these parts."""
        cleared = self._clear(parts, "survived")
        if cleared:
            self.on_cleared(cleared)

    def record_peer_survived(self, parts: Sequence[bytes]) -> None:
        """Record that a server survived parts at a peer."""
        self._clear(parts, "peer")

    def record_adopted(self, part: bytes) -> None:
        """Take the crashes under a part that a peer blocked for explained."""
        for crash in self.suspects.crashes_under(part):
            self.on_explained(crash.server, crash.at)

    def refuses(self, block: Block) -> bool:
        """Return whether a peer's block is of a part that a server survived here recently."""
        return self.suspects.is_trusted(block.fingerprint, self._now())

    def explains(self, server: str, at: float) -> bool:
        """Return whether a blocked part explains the crash of a server."""
        return any(self.is_blocked(part) for part in self.suspects.parts_of(server, at))

    def block_guilty(self) -> None:
        """Block the parts that turn out to crash servers, and those that did so in a probe."""
        now = self._now()
        if not self.suspects.has_settled(now):
            return
        for part in [each for each in self._probed_at if self._has_failed(each)]:
            self._extend(part)
        for accusation in self.suspects.find_guilty(now, self.is_blocked):
            self._block(accusation)

    def _block(self, accusation: Accusation) -> None:
        for part in sorted(accusation.parts):
            block = self._quarantine.block(part, self._now())
            if block is None:
                continue
            if accusation.is_ambiguous:
                self._ambiguous[part] = accusation.parts
            self._announce(block, accusation)
        for crash in accusation.crashes:
            self.on_explained(crash.server, crash.at)

    def _extend(self, part: bytes) -> None:
        """Block a part for longer that crashed a server in a probe; clear those that did not."""
        del self._probed_at[part]
        block = self._quarantine.block(part, self._now())
        if block is not None:
            self._announce(block)
        others = self._ambiguous.pop(part, frozenset()) - {part}
        if cleared := self._clear(sorted(others), "explained"):
            self.on_cleared(cleared)

    def _announce(self, block: Block, accusation: Accusation | None = None) -> None:
        part = block.fingerprint
        crashes = accusation.crashes if accusation is not None else []
        emit(
            Event.PART_BLOCKED,
            part=self._seen_locally.get(part),
            digest=part.hex(),
            times=block.times,
            crashes=len(crashes),
            servers=[crash.server for crash in crashes[:MAX_LOGGED_SERVERS]],
            ambiguous=part in self._ambiguous,
            next_probe_s=round(self._probe_delay_s(block)),
            seen_here=part in self._seen_locally,
        )
        if part in self._seen_locally:
            self.on_block(block)

    def _clear(self, parts: Sequence[bytes], reason: str) -> list[bytes]:
        """Clear parts; return those that were suspected or blocked."""
        suspected = set(self.suspects.record_survived(parts, self._now()))
        for part in parts:
            if self._quarantine.blocks.pop(part, None) is not None:
                suspected.add(part)
                emit(Event.PART_CLEARED, digest=part.hex(), reason=reason)
            self._probed_at.pop(part, None)
            self._remove_alternative(part)
        return sorted(suspected)

    def _remove_alternative(self, cleared: bytes) -> None:
        """Stop counting a part among those of which one is guilty; the last one left is it."""
        for part in self._ambiguous.pop(cleared, ()):
            left = self._ambiguous.get(part, frozenset()) - {cleared}
            if len(left) > 1:
                self._ambiguous[part] = left
            else:
                self._ambiguous.pop(part, None)

    def _blocks(self, parts: Sequence[bytes]) -> list[Block]:
        blocks = self._quarantine.blocks
        return [blocks[part] for part in parts if part in blocks] if blocks else []

    def _may_probe(self, blocks: list[Block]) -> bool:
        """Return whether a request with these blocked parts may be sent as a probe.

        With several of them, a crash would not tell which one caused it.
        """
        if len(blocks) != 1:
            return False
        block = blocks[0]
        now = self._now()
        probed_at = self._probed_at.get(block.fingerprint)
        if probed_at is not None and now - probed_at < MIN_PROBE_INTERVAL_S:
            return False
        return self._probe_delay_s(block) <= 0.0 and self.is_prober(block.fingerprint)

    def _probe_delay_s(self, block: Block) -> float:
        """Return the time until a blocked part may be probed."""
        if block.fingerprint in self._ambiguous and block.times == 1:
            after_s = AMBIGUOUS_PROBE_S
        else:
            after_s = min(FIRST_PROBE_S * PROBE_GROWTH ** (block.times - 1), MAX_PROBE_S)
        return block.started_at + after_s - self._now()

    def _has_failed(self, part: bytes) -> bool:
        """Return whether a server crashed under a part after this node began to probe it."""
        crashed_at = self.suspects.last_crash_at(part)
        block = self._quarantine.blocks.get(part)
        if crashed_at is None or block is None:
            return False
        return crashed_at > max(self._probed_at[part], block.started_at)
