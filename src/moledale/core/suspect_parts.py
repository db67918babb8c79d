"""Finds parts of prompts that crash servers, among all parts that were there when servers crashed.

A part of a prompt may crash each server that begins to answer a request with it, whatever else the
request holds. No two such requests need be alike, so what they share has to be found: the part that
explains the most crashes and that no server survived since. Other parts, as that of an account, are
there in the same crashes, but servers survive them in other requests. This module uses no clock and
no socket.
"""

from collections import deque
from collections.abc import Callable, Iterable

import msgspec

from moledale.core.quarantine import COINCIDENCE_S, SAME_CRASH_S
from moledale.core.survivors import Survivors

MIN_STRIKES = 2.99
"""Crashes that a part must explain: three that nothing else explains. Any request may be on two
servers that crash, as it is sent to the second one after the first."""

CERTAIN_CRASHES = 5
"""Crashes under one part after which it is accused, whatever else crashed meanwhile and whichever
other parts explain as many."""

RIVAL_MARGIN = 0.99
"""Of parts whose strikes differ by no more than this, either may be guilty."""

SETTLE_S = 0.35
"""Reports of a crash from other nodes, also if the first copy is lost, arrive within this time."""

CRASH_RETENTION_S = 600.0

MAX_CRASHES = 128
MAX_PARTS_PER_CRASH = 256
"""Crashes that are remembered, and parts of each: 64 requests run there with few suspects each."""


class PartCrash(msgspec.Struct, eq=False):
    """A server that crashed at a monotonic time, and the suspected parts of requests there."""

    server: str
    at: float
    parts: set[bytes]


class Accusation(msgspec.Struct, frozen=True):
    """Parts that are taken to crash servers, and the crashes that they explain.

    Of several parts, one is guilty and the others were there each time.
    """

    parts: frozenset[bytes]
    crashes: list[PartCrash]

    @property
    def is_ambiguous(self) -> bool:
        """Return whether it is not known which one of the parts is guilty."""
        return len(self.parts) > 1


class SuspectParts:
    """Records under which parts of prompts servers crashed and which they survived, at one node.

    Parts are given by digests.
    """

    def __init__(self) -> None:
        self._crashes: deque[PartCrash] = deque()
        self._crashes_by_part: dict[bytes, list[PartCrash]] = {}
        self._survivors = Survivors()
        self._undecided_since: float | None = None

    def has_settled(self, now: float) -> bool:
        """Return whether a crash is settled that was reported since parts were last accused."""
        return self._undecided_since is not None and self._undecided_since + SETTLE_S <= now

    def parts_of(self, server: str, at: float) -> set[bytes]:
        """Return the suspected parts that were there when a server crashed."""
        crash = self._find_crash(server, at)
        return crash.parts if crash is not None else set()

    def crashes_under(self, part: bytes) -> list[PartCrash]:
        """Return the crashes under a part since a server survived it."""
        return list(self._crashes_by_part.get(part, ()))

    def is_trusted(self, part: bytes, now: float) -> bool:
        """Return whether a server survived a part recently."""
        return self._survivors.is_trusted(part, now)

    def crash_count(self, part: bytes) -> int:
        """Return how many servers crashed under a part since one survived it."""
        return len(self._crashes_by_part.get(part, ()))

    def suspects(self, parts: Iterable[bytes], now: float) -> list[bytes]:
        """Return those of the parts that no server survived recently."""
        return [part for part in dict.fromkeys(parts) if not self.is_trusted(part, now)]

    def record_crash(self, server: str, parts: Iterable[bytes], at: float) -> None:
        """Record a crash, also one without suspects; other nodes may report more of its parts."""
        crash = self._find_or_add_crash(server, at)
        crash.at = min(crash.at, at)
        if self._undecided_since is None:
            self._undecided_since = at
        for part in self.suspects(parts, at):
            if part not in crash.parts and len(crash.parts) < MAX_PARTS_PER_CRASH:
                crash.parts.add(part)
                self._crashes_by_part.setdefault(part, []).append(crash)

    def record_survived(self, parts: Iterable[bytes], now: float) -> list[bytes]:
        """Record that a server survived parts; return those that were suspected."""
        cleared = []
        for part in parts:
            self._survivors.record(part, now)
            crashes = self._crashes_by_part.pop(part, None)
            if crashes is not None:
                cleared.append(part)
            for crash in crashes or ():
                crash.parts.discard(part)
        return cleared

    def find_guilty(self, now: float, is_blocked: Callable[[bytes], bool]) -> list[Accusation]:
        """Return the parts to accuse now; crashes under blocked parts are explained already."""
        self._expire(now)
        self._undecided_since = min(
            (crash.at for crash in self._crashes if crash.at + SETTLE_S > now), default=None
        )
        unexplained = [
            crash
            for crash in self._crashes
            if crash.at + SETTLE_S <= now and not any(is_blocked(part) for part in crash.parts)
        ]
        accusations = []
        while (accusation := _accuse(unexplained)) is not None:
            accusations.append(accusation)
            unexplained = [crash for crash in unexplained if not crash.parts & accusation.parts]
        return accusations

    def last_crash_at(self, part: bytes) -> float | None:
        """Return when a server last crashed under a part, None if none did since it survived."""
        return max((crash.at for crash in self._crashes_by_part.get(part, ())), default=None)

    def _find_crash(self, server: str, at: float) -> PartCrash | None:
        for crash in reversed(self._crashes):
            if crash.server == server and abs(crash.at - at) <= SAME_CRASH_S:
                return crash
        return None

    def _find_or_add_crash(self, server: str, at: float) -> PartCrash:
        crash = self._find_crash(server, at)
        if crash is not None:
            return crash
        crash = PartCrash(server, at, set())
        self._crashes.append(crash)
        if len(self._crashes) > MAX_CRASHES:
            self._drop_oldest()
        return crash

    def _expire(self, now: float) -> None:
        while self._crashes and self._crashes[0].at < now - CRASH_RETENTION_S:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        dropped = self._crashes.popleft()
        for part in dropped.parts:
            left = [crash for crash in self._crashes_by_part[part] if crash is not dropped]
            if left:
                self._crashes_by_part[part] = left
            else:
                del self._crashes_by_part[part]


class _Candidate(msgspec.Struct, eq=False):
    """Parts that were there in the same crashes, given by their places in a list.

    `strikes` is the number of crashes that they explain: of servers that crashed at the same time,
    as those of a hall, the share that they were on.
    """

    parts: set[bytes]
    crashes: frozenset[int]
    strikes: float

    @property
    def is_certain(self) -> bool:
        return len(self.crashes) >= CERTAIN_CRASHES


def _accuse(crashes: list[PartCrash]) -> Accusation | None:
    """Return the accusation of the part that explains the most of some crashes, if it is clear."""
    coinciding = _coinciding(crashes)
    candidates = _candidates(crashes, coinciding)
    for candidate in candidates:
        rivals = _rivals(candidate, candidates)
        is_only_one = len(candidate.parts) == 1 and not rivals
        is_clear = is_only_one and _explains_most(candidate, crashes, coinciding)
        if is_clear or candidate.is_certain:
            also = (each.parts for each in rivals if each.is_certain)
            own = [crashes[place] for place in sorted(candidate.crashes)]
            return Accusation(frozenset(candidate.parts.union(*also)), own)
    return None


def _candidates(crashes: list[PartCrash], coinciding: list[set[int]]) -> list[_Candidate]:
    """Return the parts with enough crashes, those that explain the most first."""
    places: dict[bytes, list[int]] = {}
    for place, crash in enumerate(crashes):
        for part in crash.parts:
            places.setdefault(part, []).append(place)
    parts: dict[frozenset[int], set[bytes]] = {}
    for part, own in places.items():
        if len(own) >= MIN_STRIKES:
            parts.setdefault(frozenset(own), set()).add(part)
    candidates = [_Candidate(same, own, _strikes(own, coinciding)) for own, same in parts.items()]
    candidates.sort(key=lambda each: (each.strikes, len(each.crashes)), reverse=True)
    return candidates


def _rivals(candidate: _Candidate, candidates: list[_Candidate]) -> list[_Candidate]:
    """Return the other candidates that explain about as many crashes, some of them the same."""
    return [
        each
        for each in candidates
        if each is not candidate
        and each.strikes > candidate.strikes - RIVAL_MARGIN
        and each.crashes & candidate.crashes
    ]


def _explains_most(
    candidate: _Candidate, crashes: list[PartCrash], coinciding: list[set[int]]
) -> bool:
    """Return whether a part explains two thirds of what crashed from its first crash to its last.

    Where servers crash again and again for other reasons, a part may be there by chance. Servers
    that crash at the same time count once.
    """
    if candidate.strikes < MIN_STRIKES:
        return False
    times = [crashes[place].at for place in candidate.crashes]
    others = sum(
        1 / len(coinciding[place])
        for place, crash in enumerate(crashes)
        if place not in candidate.crashes and min(times) <= crash.at <= max(times)
    )
    return candidate.strikes >= 2 * others


def _coinciding(crashes: list[PartCrash]) -> list[set[int]]:
    """Return for each crash the places of those at its time, which is one of them."""
    return [
        {place for place, each in enumerate(crashes) if abs(each.at - crash.at) <= COINCIDENCE_S}
        for crash in crashes
    ]


def _strikes(own: frozenset[int], coinciding: list[set[int]]) -> float:
    """Return the number of crashes that parts explain which were there in some of them."""
    return sum(len(own & coinciding[place]) / len(coinciding[place]) for place in own)
