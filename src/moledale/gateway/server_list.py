"""The list of backend servers as a node holds it, and how it follows the store's.

One node reads the list and broadcasts the delta from the previous one: servers that are leaving or
gone by their ids, the others whole. A digest over the whole list lets a node detect that it missed
a change, whichever it was. Departures take effect at once, even if other parts of a change are
missing: the servers are marked until a list arrives that is at least as new.
"""

from collections.abc import Iterable

import msgspec
import xxhash

from moledale.decoding import decode_msgpack
from moledale.gateway.ended_servers import Departure, DepartureLog
from moledale.gateway.messages import Server
from moledale.gateway.store_era import UNKNOWN_ERA, EraVersion

MAX_PACKET_BYTES = 1_200
"""Maximum size of an encoded change. It fits one Ethernet packet (1,500 bytes) with all headers,
since a fragmented datagram is lost with any one of its fragments."""

MAX_PACKETS = 4
"""A change of more packets is fetched instead; departures are always broadcast."""

NEVER_S = -1e9
"""Placeholder for a time that never came; it is before any that is sent."""


class ListHead(msgspec.Struct, frozen=True, array_like=True):
    """Identifies a node's list: its version and digest, and when it was last read from the store.

    `read_s` is that time, and `returned_s` is when the store last came back from an outage. Both
    are on the store's steady clock: an age would lose the transit time of each message, so a list
    that nobody reads any more would seem fresh among nodes that pass it to each other. `era` is the
    era of the version, unknown in heads from earlier builds.
    """

    version: int
    digest: int
    read_s: float
    returned_s: float = NEVER_S
    era: int = UNKNOWN_ERA

    @property
    def era_version(self) -> EraVersion:
        """Return the version with its era."""
        return EraVersion(self.era, self.version)


class Leaving(msgspec.Struct, frozen=True, array_like=True):
    """A server that is leaving, and the time it has left if known."""

    id: str
    leaves_s: float | None = None


class ServerChange(msgspec.Struct, frozen=True, array_like=True, tag="servers"):
    """One part of the delta from the list with the digest `base` to the list `head`.

    `source` is the control address of a node that has the new list. `part` numbers the parts of a
    change. Without any servers and with the list's own digest as `base`, it confirms that nothing
    changed.
    """

    head: ListHead
    base: int
    source: str
    part: int = 0
    last: bool = True
    leaving: list[Leaving] = []
    gone: list[str] = []
    changed: list[Server] = []

    @property
    def empty(self) -> bool:
        """Return whether this part contains no servers."""
        return not (self.leaving or self.gone or self.changed)


class ServerDelta(msgspec.Struct):
    """Servers that are leaving, that are gone, and that are new or changed otherwise."""

    leaving: list[Leaving] = msgspec.field(default_factory=list)
    gone: list[str] = msgspec.field(default_factory=list)
    changed: list[Server] = msgspec.field(default_factory=list)

    def add(self, part: ServerChange) -> None:
        """Add a part of a change."""
        self.leaving += part.leaving
        self.gone += part.gone
        self.changed += part.changed

    def append(self, item: Leaving | str | Server) -> None:
        """Add a server that is leaving, the id of one that is gone, or one that changed."""
        if isinstance(item, Leaving):
            self.leaving.append(item)
        elif isinstance(item, str):
            self.gone.append(item)
        else:
            self.changed.append(item)

    def applied_to(self, servers: dict[str, Server]) -> dict[str, Server]:
        """Return the list that results from applying the delta to `servers`."""
        result = {name: server for name, server in servers.items() if name not in self.gone}
        for each in self.leaving:
            known = result.get(each.id)
            if known is not None:
                result[each.id] = _as_leaving(known, each)
        result.update((server.id, server) for server in self.changed)
        return result


class ChangeResult(msgspec.Struct):
    """The effect of one part of a change.

    `is_new`: the part was not received before. `confirmed`: this node now has the list that the
    change leads to. `servers_differ`: the usable servers changed. `needs_fetch`: the list has to be
    fetched.
    """

    is_new: bool = False
    confirmed: bool = False
    servers_differ: bool = False
    needs_fetch: bool = False


class _DepartureMark(msgspec.Struct, frozen=True):
    """A server's departure as of a version; `leaving` is None if the server is gone."""

    version: EraVersion
    leaving: Leaving | None


class ServerList(msgspec.Struct):
    """The newest known list, and known departures that it does not contain."""

    era_version: EraVersion = EraVersion()
    digest: int = 0
    raw: bytes = b""
    servers: dict[str, Server] = msgspec.field(default_factory=dict)
    _departure_marks: dict[str, _DepartureMark] = msgspec.field(default_factory=dict)
    _departure_log: DepartureLog = msgspec.field(default_factory=DepartureLog)
    _parts: dict[int, ServerChange] = msgspec.field(default_factory=dict)
    _parts_key: tuple[int, int] = (0, 0)
    _parts_version: EraVersion = EraVersion()

    @property
    def version(self) -> int:
        """Return the version within its era, or -1 while there is no list."""
        return self.era_version.number

    def usable(self) -> list[Server]:
        """Return the servers that are not gone, with those that are leaving marked so."""
        result = []
        for name, server in self.servers.items():
            departure = self._departure_of(name)
            if departure is None:
                result.append(server)
            elif not departure.gone:
                result.append(_as_leaving(server, Leaving(name, departure.leaves_s)))
        return result

    def _departure_of(self, server: str) -> Departure | None:
        """Return a server's known departure that the list does not contain, if any."""
        mark = self._departure_marks.get(server)
        if mark is None:
            return self._departure_log.contradicted_departure(server)
        return _to_departure(mark)

    def update_from_store(
        self, servers: Iterable[Server], era_version: EraVersion
    ) -> ServerDelta | None:
        """Adopt the list as read from the store; return the delta from the one before, if any.

        A server's time left is kept as first reported, since it counts down by itself.
        """
        if era_version < self.era_version:
            return None
        before = self.servers
        listed = {server.id: self._with_first_leaves_s(server) for server in servers}
        if not self._replace(listed, era_version):
            return None
        return _delta_between(before, listed)

    @property
    def marks(self) -> int:
        """Return the number of departures that the list does not contain."""
        return len(self._departure_marks)

    def confirm_version(self, era_version: EraVersion) -> bool:
        """Adopt the version of an unchanged list; return whether that removed any marks."""
        marks_before = self.marks
        self._advance_to(max(era_version, self.era_version))
        return self.marks < marks_before

    def update_from_peer(self, raw: bytes, era_version: EraVersion) -> bool:
        """Adopt a peer's encoded list; return whether it differs.

        Raise ValueError if it can't be decoded.
        """
        servers = decode_msgpack(raw, list[Server])
        if era_version < self.era_version:
            return False
        return self._replace({server.id: server for server in servers}, era_version)

    def trust_entries(self) -> bool:
        """Trust entries of a restored store that contradict departures seen before.

        Return whether that changes anything.
        """
        return self._departure_log.trust_entries()

    def is_from_older_era(self, head: ListHead) -> bool:
        """Return whether a head is of an era before that of this list."""
        return UNKNOWN_ERA < head.era < self.era_version.era

    def confirm_head(self, head: ListHead) -> bool:
        """Return whether a head is of this list; if so, adopt its version where that is newer."""
        if head.digest != self.digest or self.version < 0 or self.is_from_older_era(head):
            return False
        self._advance_to(max(self.era_version, head.era_version))
        # Heads of former builds have no era and advance no version, but cover marks all the same.
        self._drop_marks(self._comparable_version(head))
        return True

    def apply_change(self, change: ServerChange) -> ChangeResult:
        """Apply a part of a change."""
        head = change.head
        if self.confirm_head(head):
            return ChangeResult(confirmed=True)
        version = self._comparable_version(head)
        if version <= self.era_version:
            return ChangeResult()
        # A list of an unknown era can't replace one whose era is known.
        can_fetch = head.era_version > self.era_version
        if change.empty:
            return ChangeResult(needs_fetch=can_fetch)
        if not self._store_part(change):
            return ChangeResult()
        servers_differ = self._mark_departures(change, version)
        if change.base == self.digest and self._assemble(head):
            return ChangeResult(is_new=True, confirmed=True, servers_differ=True)
        return ChangeResult(
            is_new=True, servers_differ=servers_differ, needs_fetch=change.last and can_fetch
        )

    def _comparable_version(self, head: ListHead) -> EraVersion:
        """Return a head's version; without an era it counts as of the era of this list."""
        return EraVersion(head.era or self.era_version.era, head.version)

    def _store_part(self, change: ServerChange) -> bool:
        """Keep a part with the others of its change; return False if it is known or outdated."""
        key = (change.head.digest, change.base)
        if key != self._parts_key:
            version = self._comparable_version(change.head)
            if version < self._parts_version:
                return False
            self._parts_key, self._parts_version, self._parts = key, version, {}
        if change.part in self._parts:
            return False
        self._parts[change.part] = change
        return True

    def _assemble(self, head: ListHead) -> bool:
        """Adopt the list that results from the received parts; return False if any is missing."""
        delta = ServerDelta()
        for part in self._parts.values():
            delta.add(part)
        servers = delta.applied_to(self.servers)
        if digest_of(_encode(servers)) != head.digest:
            return False
        self._replace(servers, max(self.era_version, head.era_version))
        self._drop_marks(self._comparable_version(head))
        return True

    def _mark_departures(self, change: ServerChange, version: EraVersion) -> bool:
        """Mark servers that are leaving or gone; return whether any mark is new."""
        marks = {each.id: _DepartureMark(version, each) for each in change.leaving}
        marks.update((name, _DepartureMark(version, None)) for name in change.gone)
        any_new = False
        for name, mark in marks.items():
            known = self._departure_marks.get(name)
            if known is None or known.version < version:
                self._departure_marks[name] = mark
                self._departure_log.record(name, _to_departure(mark))
                any_new = True
        return any_new

    def _with_first_leaves_s(self, server: Server) -> Server:
        """Return a server with the time left that was first reported if it was leaving already."""
        known = self.servers.get(server.id)
        mark = self._departure_marks.get(server.id)
        if server.leaving and known is not None and known.leaving:
            return msgspec.structs.replace(server, leaves_s=known.leaves_s)
        if server.leaving and mark is not None and mark.leaving is not None:
            return msgspec.structs.replace(server, leaves_s=mark.leaving.leaves_s)
        return server

    def _replace(self, servers: dict[str, Server], era_version: EraVersion) -> bool:
        """Replace the list; return whether the usable servers may have changed."""
        raw = _encode(servers)
        digest = digest_of(raw)
        differs = digest != self.digest or self.version < 0 or bool(self._departure_marks)
        if era_version.era == self.era_version.era:
            self._departure_log.observe(self.servers, servers)
        self.servers, self.raw, self.digest = servers, raw, digest
        self._advance_to(era_version)
        return differs

    def _advance_to(self, era_version: EraVersion) -> None:
        """Adopt a version, and drop the marks that it covers."""
        if era_version.is_restored_since(self.era_version):
            self._departure_log.on_store_restored(self.servers)
        self.era_version = era_version
        self._drop_marks(era_version)

    def _drop_marks(self, covered: EraVersion) -> None:
        """Drop the departure marks that a list of a version contains or contradicts."""
        self._departure_marks = {
            name: mark for name, mark in self._departure_marks.items() if mark.version > covered
        }


def digest_of(raw: bytes) -> int:
    """Return the digest of an encoded list."""
    return xxhash.xxh3_64_intdigest(raw)


def split_into_packets(
    head: ListHead, base: int, source: str, delta: ServerDelta
) -> list[ServerChange]:
    """Split a delta into parts that fit a packet each, departures first.

    If it takes more than `MAX_PACKETS`, only the departures are included; receivers detect by the
    digest that they lack the rest.
    """
    empty = ServerChange(head, base, source)
    departures: list[Leaving | str | Server] = [*delta.leaving, *delta.gone]
    parts = _pack(empty, [*departures, *delta.changed])
    if len(parts) > MAX_PACKETS:
        parts = _pack(empty, departures)
    return [
        msgspec.structs.replace(part, part=number, last=number == len(parts) - 1)
        for number, part in enumerate(parts)
    ]


def _pack(empty: ServerChange, items: Iterable[Leaving | str | Server]) -> list[ServerChange]:
    """Distribute items over packets in order, each of which is a copy of `empty`."""
    capacity = MAX_PACKET_BYTES - len(msgspec.msgpack.encode(empty))
    parts = [ServerDelta()]
    free = capacity
    for item in items:
        size = len(msgspec.msgpack.encode(item))
        if size > free:
            parts.append(ServerDelta())
            free = capacity
        parts[-1].append(item)
        free -= size
    return [
        msgspec.structs.replace(empty, leaving=part.leaving, gone=part.gone, changed=part.changed)
        for part in parts
    ]


def _delta_between(before: dict[str, Server], after: dict[str, Server]) -> ServerDelta:
    """Return the delta that leads from one list to another."""
    result = ServerDelta(gone=[name for name in before if name not in after])
    for name, server in after.items():
        known = before.get(name)
        leaving = Leaving(name, server.leaves_s)
        if known == server:
            continue
        if known is not None and not known.leaving and _as_leaving(known, leaving) == server:
            result.leaving.append(leaving)
        else:
            result.changed.append(server)
    return result


def _as_leaving(server: Server, leaving: Leaving) -> Server:
    return msgspec.structs.replace(server, leaving=True, leaves_s=leaving.leaves_s)


def _to_departure(mark: _DepartureMark) -> Departure:
    if mark.leaving is None:
        return Departure(gone=True)
    return Departure(gone=False, leaves_s=mark.leaving.leaves_s)


def _encode(servers: dict[str, Server]) -> bytes:
    """Encode a list; the same servers give the same bytes on all nodes."""
    return msgspec.msgpack.encode([servers[name] for name in sorted(servers)])
