"""Which software version began a stream, as nodes tell each other while several versions serve.

A caller resumes a stream at any node and names the request that brought its first event. What two
versions write does not fit together, so that stream may go on only at the version that began it.
While a service has one version, nothing is sent: the store names it (`version_register`). While it
has several, the node where a stream begins tells the version to others, so that it is known after
the node is gone. A node that does not know a version asks those that were told.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from itertools import count

import msgspec
import xxhash
from cachetools import TTLCache

from moledale.clock import monotonic
from moledale.core.hashing import ranked
from moledale.gateway.peers import MAX_MESH_MEMBERS, Membership, NodeState
from moledale.log import Event, emit
from moledale.streams.origin_log import Streams, by_version, digests_in
from moledale.streams.version_history import VersionHistory

MAX_KNOWN = 32_768
"""Maximum streams whose version is kept: a large deployment begins some thousands a second, of
which a node is told a small part."""

KNOWN_TTL_S = 60.0
"""Time for which a stream's version is kept: longer than streams live."""

KEEPERS = 3
"""Nodes that are told of a stream in a larger cluster, drawn by a hash of its request."""

BATCH_S = 0.02
"""Streams that begin within this time are told together."""

MAX_STREAMS_PER_MESSAGE = 128
"""Streams in one message: 1 KB, which fits a datagram."""

ASK_TIMEOUT_S = 0.15
"""A node that asks waits this long for answers: several round trips between nodes that are slow."""


class OriginNews(msgspec.Struct, array_like=True, tag="origins"):
    """Streams that began, by version: the digests of their requests, eight bytes each."""

    streams: Streams


class OriginAsk(msgspec.Struct, array_like=True, tag="ask-origin"):
    """A question which version began a stream of a service; `peer` is the address that asks."""

    number: int
    peer: str
    service: str
    stream: bytes


class OriginAnswer(msgspec.Struct, array_like=True, tag="origin"):
    """What a node knows of a stream: its version, or else the only one that may have begun it.

    `recent` are the versions that the node has seen listed within the life of a stream; `complete`
    is set if it has seen all that were.
    """

    number: int
    version: str | None = None
    sole: str | None = None
    recent: list[str] = []
    complete: bool = False


OriginMessage = OriginNews | OriginAsk | OriginAnswer


class Origin(msgspec.Struct, frozen=True):
    """The version that began a stream, None if it is not known; `retry` if it may be known soon."""

    version: str | None
    retry: bool = False


class _Question(msgspec.Struct, eq=False):
    """A question in progress: how many answers are due, and what they say.

    `recent` and `complete` are those of the answers and of the node that asks.
    """

    due: int
    found: asyncio.Future[str | None]
    recent: set[str]
    complete: bool
    sole: set[str] = msgspec.field(default_factory=set)


async def _never_read(_service: str) -> frozenset[str] | None:
    """Answer as a store that can't be read."""
    return None


async def _read_nothing() -> None:
    """Find no stream that other processes wrote down."""


def _log_nothing(_: dict[bytes, str]) -> None:
    """Write down no streams."""


def standalone_origins(
    history: VersionHistory, members: Membership, now: Callable[[], float]
) -> "StreamOrigins":
    """Return origins for a forwarder that runs without a node."""
    return StreamOrigins("", history, members, lambda *_: None, _never_read, lambda _: {}, now)


def digest_of(request: str) -> bytes:
    """Return the digest by which nodes name a request."""
    return xxhash.xxh3_64_digest(request.encode())


def keepers_of(stream: bytes, alive: Iterable[NodeState]) -> list[str]:
    """Return the addresses of the nodes that are told of a stream and asked about it."""
    peers = {each.id: each for each in alive if each.origins}
    if len(peers) <= MAX_MESH_MEMBERS:
        return [each.peer for each in peers.values()]
    serving = [name for name, each in peers.items() if each.serving]
    return [peers[name].peer for name in ranked(stream.hex(), serving)[:KEEPERS]]


class StreamOrigins:
    """Keeps, tells and finds the versions that began streams.

    `history` knows the versions of the list. `read_recent` reads from the store which versions may
    have begun the streams of a service, None if it does not answer. `send` sends a message to
    addresses, of which `own_peer` is this node's. `running` returns the streams of a service that
    run at this node, by the request that began them, with their versions. `log` writes streams down
    on behalf of all nodes, and `read_log` hands what was written down to `keep`. `is_mixed` returns
    whether resumed streams of a service may have begun at several versions; without it, `history`
    tells.
    """

    def __init__(
        self,
        own_peer: str,
        history: VersionHistory,
        members: Membership,
        send: Callable[[OriginMessage, list[str]], None],
        read_recent: Callable[[str], Awaitable[frozenset[str] | None]],
        running: Callable[[str], dict[str, str]],
        now: Callable[[], float] = monotonic,
        log: Callable[[dict[bytes, str]], None] = _log_nothing,
        read_log: Callable[[], Awaitable[None]] = _read_nothing,
        is_mixed: Callable[[str], bool] | None = None,
    ) -> None:
        self._own_peer = own_peer
        self._history = history
        self._members = members
        self._send = send
        self._read_recent = read_recent
        self._running = running
        self._now = now
        self._log = log
        self._read_log = read_log
        self._is_mixed = is_mixed or history.is_mixed
        self._known: TTLCache[bytes, str] = TTLCache(MAX_KNOWN, KNOWN_TTL_S, timer=now)
        self._untold: dict[bytes, str] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._questions: dict[int, _Question] = {}
        self._numbers = count(1)
        self._answering: set[asyncio.Task[None]] = set()

    def record(self, request: str, service: str, version: str) -> None:
        """Record the version that began a stream, and tell others while there are several."""
        stream = digest_of(request)
        self._known[stream] = version
        if self._is_mixed(service):
            self._tell({stream: version})

    def on_versions_mixed(self, service: str) -> None:
        """Tell others of the streams that run here, as the service has got another version."""
        running = {digest_of(name): version for name, version in self._running(service).items()}
        self._known.update(running)
        self._tell(running)

    async def find(self, request: str, service: str) -> Origin:
        """Return the version that began a stream.

        Other nodes are asked if several versions may have, or if the store does not answer. So they
        are while some of them are of a former build, which begins streams at versions that the
        store does not name yet.
        """
        stream = digest_of(request)
        version = self._known.get(stream) if request else None
        if version is not None:
            return Origin(version)
        stored = await self._read_recent(service)
        sole = self._sole_version(service, stored)
        if sole is not None and self._all_register():
            return Origin(sole)
        origin = await self._ask(stream, service, stored)
        if origin.version is None and sole is None and request:
            await self._read_log()
            origin = Origin(self._known.get(stream), origin.retry)
        if origin.version is not None and request:
            self._known[stream] = origin.version
        emit(
            Event.ORIGIN_ASKED,
            resumes=request,
            service=service,
            version=origin.version,
            sole=sole,
            versions=sorted(self._history.recent(service)),
        )
        return origin if sole is None or origin.version is not None else Origin(sole)

    def on_message(self, message: OriginMessage) -> None:
        """Handle a message of another node."""
        if isinstance(message, OriginNews):
            self.keep(message.streams)
            self._log(_by_digest(message.streams))
        elif isinstance(message, OriginAsk):
            task = asyncio.create_task(self._answer(message))
            self._answering.add(task)
            task.add_done_callback(self._answering.discard)
        else:
            self._on_answer(message)

    async def _answer(self, ask: OriginAsk) -> None:
        """Answer a question of another node."""
        version = self._known.get(ask.stream)
        stored = await self._read_recent(ask.service) if version is None else None
        answer = OriginAnswer(
            ask.number,
            version,
            self._sole_version(ask.service, stored),
            sorted(self._seen(ask.service, stored)),
            self._history.covers_lifetime(),
        )
        self._send(answer, [ask.peer])

    def _seen(self, service: str, stored: frozenset[str] | None) -> frozenset[str]:
        """Return the versions that the list or the store named lately."""
        return self._history.recent(service) | (stored or frozenset())

    def _sole_version(self, service: str, stored: frozenset[str] | None) -> str | None:
        """Return the only version that may have begun a stream, by what the store names.

        None means that several may, or that the store did not answer.
        """
        versions = self._seen(service, stored)
        return next(iter(versions)) if stored is not None and len(versions) == 1 else None

    def _all_register(self) -> bool:
        """Return whether all nodes in touch have the store name a version before they use it."""
        return all(each.registers for each in self._members.alive(self._now()))

    def keep(self, streams: Streams) -> None:
        """Keep the versions that began streams, as others know them."""
        self._known.update(_by_digest(streams))

    def _tell(self, streams: dict[bytes, str]) -> None:
        """Tell the keepers of streams after a short while, together with others."""
        self._untold.update(streams)
        self._log(streams)
        if self._timer is None and self._untold:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(BATCH_S, self._send_untold)

    def _send_untold(self) -> None:
        self._timer = None
        untold, self._untold = self._untold, {}
        alive = self._members.alive(self._now())
        by_target: dict[str, list[bytes]] = {}
        for stream in untold:
            for target in keepers_of(stream, alive):
                by_target.setdefault(target, []).append(stream)
        for target, streams in by_target.items():
            for start in range(0, len(streams), MAX_STREAMS_PER_MESSAGE):
                part = streams[start : start + MAX_STREAMS_PER_MESSAGE]
                self._send(_news_of(part, untold), [target])

    async def _ask(self, stream: bytes, service: str, stored: frozenset[str] | None) -> Origin:
        """Ask the nodes that may know a stream; the first that does decides."""
        targets = keepers_of(stream, self._members.alive(self._now()))
        question = _Question(
            len(targets),
            asyncio.get_running_loop().create_future(),
            set(self._seen(service, stored)),
            self._history.covers_lifetime(),
        )
        if not targets:
            return Origin(self._agreed_version(question))
        number = next(self._numbers)
        self._questions[number] = question
        self._send(OriginAsk(number, self._own_peer, service, stream), targets)
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                found = await question.found
            return Origin(found or self._agreed_version(question))
        except TimeoutError:
            version = self._agreed_version(question)
            return Origin(version, retry=version is None)
        finally:
            del self._questions[number]

    def _on_answer(self, answer: OriginAnswer) -> None:
        question = self._questions.get(answer.number)
        if question is None or question.found.done():
            return
        question.due -= 1
        question.recent.update(answer.recent)
        question.complete = question.complete or answer.complete
        if answer.sole is not None:
            question.sole.add(answer.sole)
        if answer.version is not None:
            question.found.set_result(answer.version)
        elif question.due <= 0:
            question.found.set_result(None)

    def _agreed_version(self, question: _Question) -> str | None:
        """Return the only version that may have begun a stream by all answers and the own list.

        It is one that another node learnt from the store, or else the only one that any node has
        seen: a silent node may be alive behind a network partition, and know another one.
        """
        versions = question.sole | question.recent
        unanimous = question.complete and self._is_answered_by_all(question)
        return next(iter(versions)) if len(versions) == 1 and (question.sole or unanimous) else None

    def _is_answered_by_all(self, question: _Question) -> bool:
        """Return whether each node that may begin streams has answered."""
        now = self._now()
        asked_all = len(self._members.alive(now)) <= MAX_MESH_MEMBERS
        return question.due <= 0 and asked_all and not self._members.any_silent(now)


def _news_of(part: Iterable[bytes], versions: dict[bytes, str]) -> OriginNews:
    """Return the news of some streams, by version."""
    return OriginNews(by_version({stream: versions[stream] for stream in part}))


def _by_digest(streams: Streams) -> dict[bytes, str]:
    """Return the versions that began streams, by digest."""
    return {stream: version for version, packed in streams.items() for stream in digests_in(packed)}
