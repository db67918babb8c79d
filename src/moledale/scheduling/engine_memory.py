"""What requests take of model engines: memory, slots, and what a new request takes from them.

An engine whose slots are all taken admits a more urgent request all the same: the newest of the
least urgent requests is displaced, waits for a slot again and prefills its prompt again. An engine
that runs out of memory does the same. Either pauses a stream for longer than its caller allows, so
a request goes to a server where it does neither if one can take it in time.

Each request claims the memory of its prompt, of its output so far and of the further output that is
expected. A caller's estimate of the output is right in the median but often far off, so its error
is learned for each route. Nodes send each other what their requests
claim at each server, with the number of requests of each urgency.
"""

import struct
from collections import deque
from collections.abc import Collection, Iterable
from itertools import islice
from math import exp, log

import msgspec

BLOCK_TOKENS = 64
"""Unit in which claimed memory is sent to other nodes."""

MAX_BLOCKS = 0xFFFF
"""Largest claim at one server that can be sent: 4.2 million tokens, several times the memory of an
engine."""

URGENCIES = 10
"""Number of priorities that an engine knows."""

MAX_URGENCY_COUNT = 0xF
"""Largest count in one byte of a report; more requests of an urgency take several bytes."""

MAX_REPORTED_SERVERS = 48
"""Maximum servers in a report, at about 4 bytes each. A node with requests at more servers has few
at each, and what is not reported counts as usual requests that are not displaced."""

MAX_LENGTHS = 64
"""Observed lengths kept for each route: the mean of as many is certain to a tenth of the spread."""

MIN_LENGTHS = 8
"""Observed lengths of a route below which the prior applies."""

PRIOR_ERRORS = (0.5, 1.0, 2.0)
"""Assumed ratios of actual to estimated lengths: the median is right, but single estimates are far
off in both directions."""

IN_TIME_SHARE = 0.8
"""Share of what is left of a target within which a first event is expected to be in time. The rest
is for the error of the estimate."""

MAX_SLOT_MARGIN = 2
SLOTS_PER_MARGIN = 4
"""Slots of a server that may have been taken without this node having heard: placements of nodes in
other halls are heard up to a gossip round (0.2 s) late, in which a busy server gets one or two. At
most one in four slots is left out, so that small servers are still used."""

_ENTRY = struct.Struct("<HB")


class Demand(msgspec.Struct, frozen=True):
    """What a request asks of an engine.

    `urgency` is its engine priority (0 is the most urgent), and `in_time_s` what is left of its
    target. `hint_tokens` is its caller's estimate of the output, 0 without one. A stream that is
    `resumed` by its caller tells nothing of the whole length.
    """

    route: str
    urgency: int
    in_time_s: float
    prompt_tokens: int
    max_tokens: int
    hint_tokens: int = 0
    resumed: bool = False

    @property
    def estimate_tokens(self) -> int:
        """Return the estimated output, which is the maximum without an estimate."""
        return min(self.hint_tokens, self.max_tokens) or self.max_tokens


class LengthModel(msgspec.Struct, frozen=True):
    """Output lengths of a route: exp(`offset`) * estimate ** `slope`, times one of the `errors`.

    With a slope of 1, lengths are proportional to the estimates; with 0, estimates tell nothing.
    """

    slope: float
    offset: float
    errors: tuple[float, ...]

    def lengths(self, estimate: int) -> list[float]:
        """Return equally likely lengths for an estimate."""
        base = exp(self.offset + self.slope * log(estimate))
        return [base * error for error in self.errors]


PRIOR_MODEL = LengthModel(1.0, 0.0, PRIOR_ERRORS)
PRIOR_MAX_MODEL = LengthModel(1.0, 0.0, (1.0,))
"""Models before enough lengths were observed. Without an estimate, memory for the maximum length is
assumed to be needed."""


class LengthErrors:
    """Learned errors of callers' estimates of output lengths, by route.

    The error is mostly that of the estimate, so a large estimate tends to be too large. Therefore
    lengths are regressed on estimates (least squares of the logarithms) instead of multiplying
    estimates by the mean ratio. Requests without an estimate are told apart; for them, the maximum
    is the estimate.
    """

    def __init__(self) -> None:
        self._observed: dict[tuple[str, bool], deque[tuple[float, float]]] = {}
        self._models: dict[tuple[str, bool], LengthModel] = {}

    def record(self, demand: Demand, tokens: int) -> None:
        """Record the output length of a request that completed."""
        if demand.resumed or demand.estimate_tokens <= 0 or tokens <= 0:
            return
        key = _length_key(demand)
        observed = self._observed.setdefault(key, deque(maxlen=MAX_LENGTHS))
        observed.append((log(demand.estimate_tokens), log(tokens)))
        self._models.pop(key, None)

    def expected_tokens(self, demand: Demand, made: int = 0) -> int:
        """Return the expected output of a request of which `made` tokens were output so far.

        Only lengths beyond `made` count. The maximum is never exceeded.
        """
        if demand.estimate_tokens <= 0:
            return made
        lengths = self._model(demand).lengths(demand.estimate_tokens)
        longer = [min(demand.max_tokens, length) for length in lengths if length > made]
        expected = sum(longer) / len(longer) if longer else float(demand.max_tokens)
        return max(made, round(expected))

    def _model(self, demand: Demand) -> LengthModel:
        key = _length_key(demand)
        model = self._models.get(key)
        if model is not None:
            return model
        observed = self._observed.get(key, ())
        if len(observed) < MIN_LENGTHS:
            return PRIOR_MODEL if demand.hint_tokens else PRIOR_MAX_MODEL
        model = self._models[key] = fit_lengths(observed)
        return model


def fit_lengths(observed: Collection[tuple[float, float]]) -> LengthModel:
    """Return the model of observed logarithms of estimates and lengths."""
    number = len(observed)
    mean_estimate = sum(estimate for estimate, _ in observed) / number
    mean_length = sum(length for _, length in observed) / number
    spread = sum((estimate - mean_estimate) ** 2 for estimate, _ in observed)
    common = sum((each[0] - mean_estimate) * (each[1] - mean_length) for each in observed)
    slope = min(1.0, max(0.0, common / spread)) if spread > 0 else 0.0
    offset = mean_length - slope * mean_estimate
    errors = (exp(length - offset - slope * estimate) for estimate, length in observed)
    return LengthModel(slope, offset, tuple(errors))


def _length_key(demand: Demand) -> tuple[str, bool]:
    return demand.route, demand.hint_tokens > 0


class ServerClaims(msgspec.Struct):
    """What requests take at a server: memory, and the number of requests by urgency."""

    tokens: int = 0
    counts: list[int] = msgspec.field(default_factory=lambda: [0] * URGENCIES)

    def add(self, other: "ServerClaims", sign: int = 1) -> None:
        """Add other claims, or with a sign of -1 remove them."""
        self.tokens += sign * other.tokens
        self.counts = [
            own + sign * added for own, added in zip(self.counts, other.counts, strict=True)
        ]

    def add_one(self, urgency: int, tokens: int, sign: int = 1) -> None:
        """Add the claim of one request, or with a sign of -1 remove it."""
        self.tokens += sign * tokens
        self.counts[urgency] += sign

    @property
    def requests(self) -> int:
        """Return the number of requests."""
        return sum(self.counts)

    @property
    def mean_tokens(self) -> float:
        """Return the mean memory of a request."""
        return self.tokens / max(1, self.requests)

    def less_urgent(self, urgency: int) -> int:
        """Return the number of requests that are less urgent."""
        return sum(self.counts[urgency + 1 :])


NO_CLAIMS = ServerClaims()
"""Claims at a server without any."""


class Claim(msgspec.Struct, eq=False):
    """What one request of this node takes at a server until its end, in tokens.

    `output_tokens` is what was output so far and is expected to follow. `counted_in` are the sums
    that include the request.
    """

    demand: Demand
    lengths: LengthErrors
    output_tokens: int
    counted_in: tuple[ServerClaims, ...] = ()
    made_tokens: int = 0
    ended: bool = False

    @property
    def tokens(self) -> int:
        """Return the memory that the request takes by its expected end."""
        return self.demand.prompt_tokens + self.output_tokens

    def record_made(self, tokens: int) -> None:
        """Record the output so far; one that is longer than expected gets a new expectation."""
        self.made_tokens = tokens
        if self.ended or tokens < self.output_tokens:
            return
        before = self.output_tokens
        self.output_tokens = self.lengths.expected_tokens(self.demand, tokens)
        for sums in self.counted_in:
            sums.tokens += self.output_tokens - before

    def complete(self) -> None:
        """Learn from the length of a completed output."""
        self.lengths.record(self.demand, self.made_tokens)

    def end(self) -> None:
        """Stop counting the request; a second call changes nothing."""
        if self.ended:
            return
        self.ended = True
        for sums in self.counted_in:
            sums.add_one(self.demand.urgency, self.tokens, -1)


class Needs(msgspec.Struct, frozen=True):
    """What is compared with the room of servers for a request, with its expected memory."""

    urgency: int
    in_time_s: float
    tokens: int


class EngineClaims:
    """The claims of this node's requests, and those that other nodes report, by server."""

    def __init__(self) -> None:
        self.lengths = LengthErrors()
        self._own: dict[str, ServerClaims] = {}
        self._peers: dict[str, dict[str, ServerClaims]] = {}
        self._totals: dict[str, ServerClaims] = {}

    def needs(self, demand: Demand) -> Needs:
        """Return what a request needs of a server."""
        tokens = demand.prompt_tokens + self.lengths.expected_tokens(demand)
        return Needs(demand.urgency, demand.in_time_s, tokens)

    def open(self, server: str, demand: Demand) -> Claim:
        """Count a request of this node at a server until its claim is ended."""
        own = self._own.setdefault(server, ServerClaims())
        total = self._totals.setdefault(server, ServerClaims())
        claim = Claim(demand, self.lengths, self.lengths.expected_tokens(demand), (own, total))
        for sums in claim.counted_in:
            sums.add_one(demand.urgency, claim.tokens)
        return claim

    def at(self, server: str) -> ServerClaims:
        """Return what the known requests of all nodes take at a server, not to be changed."""
        return self._totals.get(server, NO_CLAIMS)

    def report(self, servers: Iterable[str]) -> bytes:
        """Return the claims of this node at the given servers, in their order, for other nodes.

        It is empty without any claim. It ends with the last server that has one, and after
        `MAX_REPORTED_SERVERS` at the latest.
        """
        packed = bytearray()
        length = 0
        for server in islice(servers, MAX_REPORTED_SERVERS):
            claims = self._own.get(server, NO_CLAIMS)
            packed += _pack(claims)
            if claims.requests:
                length = len(packed)
        return bytes(packed[:length])

    def apply_peer(self, node: str, servers: Iterable[str], report: bytes) -> None:
        """Replace the claims of a peer by those of its report on the given servers."""
        for server, claims in self._peers.pop(node, {}).items():
            if server in self._totals:
                self._totals[server].add(claims, -1)
        for server, claims in zip(servers, _unpack(report), strict=False):
            self._add_peer(node, server, claims)

    def add_peer_placed(self, node: str, server: str, packed: int) -> None:
        """Add a request that a peer placed since its last report, from `pack_placed`."""
        if packed <= 0:
            return
        blocks, urgency = divmod(packed, URGENCIES)
        claims = ServerClaims()
        claims.add_one(urgency, blocks * BLOCK_TOKENS)
        self._add_peer(node, server, claims)

    def _add_peer(self, node: str, server: str, claims: ServerClaims) -> None:
        if not claims.requests:
            return
        self._peers.setdefault(node, {}).setdefault(server, ServerClaims()).add(claims)
        self._totals.setdefault(server, ServerClaims()).add(claims)

    def forget(self, server: str) -> None:
        """Drop all claims at a server that is gone."""
        self._own.pop(server, None)
        self._totals.pop(server, None)
        for claims in self._peers.values():
            claims.pop(server, None)


def pack_placed(claim: Claim) -> int:
    """Return the memory and the urgency of a request in one number, for other nodes."""
    return _blocks(claim.tokens) * URGENCIES + claim.demand.urgency


def _blocks(tokens: int) -> int:
    return min(MAX_BLOCKS, max(1, -(-tokens // BLOCK_TOKENS)))


def _pack(claims: ServerClaims) -> bytes:
    """Return claims as blocks, the number of bytes that follow, and bytes of urgency and count."""
    if not claims.requests:
        return _ENTRY.pack(0, 0)
    pairs = bytearray()
    for urgency, count in enumerate(claims.counts):
        while count > 0:
            part = min(count, MAX_URGENCY_COUNT)
            pairs.append(urgency << 4 | part)
            count -= part
    return _ENTRY.pack(_blocks(claims.tokens), len(pairs)) + pairs


def _unpack(report: bytes) -> list[ServerClaims]:
    """Return the claims of a report in order; what follows an unreadable part is left out."""
    found: list[ServerClaims] = []
    position = 0
    while position + _ENTRY.size <= len(report):
        blocks, length = _ENTRY.unpack_from(report, position)
        position += _ENTRY.size
        claims = ServerClaims(blocks * BLOCK_TOKENS)
        for pair in report[position : position + length]:
            if pair >> 4 >= URGENCIES:
                return found
            claims.counts[pair >> 4] += pair & MAX_URGENCY_COUNT
        position += length
        found.append(claims)
    return found


class ServerRoom(msgspec.Struct, frozen=True):
    """Size and load of a server: its slots, its memory in tokens, and the requests of all nodes."""

    running: int
    slots: int
    memory_tokens: int


class Fit(msgspec.Struct, frozen=True):
    """How a request fits on a server.

    `displaces` is set if the request would displace a less urgent one. `short_tokens` is the memory
    that the server lacks for it, and `wait_s` the time until that is released. `queues` is set if
    it waits for a slot behind requests that are no less urgent.
    """

    displaces: bool = False
    queues: bool = False
    short_tokens: int = 0
    wait_s: float = 0.0

    @property
    def harms(self) -> bool:
        """Return whether another request would be preempted."""
        return self.displaces or self.short_tokens > 0


def fit(needs: Needs, claims: ServerClaims, room: ServerRoom, hold_s: float) -> Fit:
    """Return how a request fits on a server with these claims.

    Requests with unknown claims are counted with the mean memory of the known ones, and as not
    displaced. Requests hold their slots and memory for `hold_s` on average. Memory of unknown size
    is never short.
    """
    displacing = displaces(needs.urgency, claims, room)
    queues = room.running >= room.slots and not displacing
    if room.memory_tokens <= 0:
        return Fit(displacing, queues)
    unknown = max(0, room.running - claims.requests)
    known_mean = claims.mean_tokens or float(needs.tokens)
    taken = claims.tokens + unknown * known_mean
    short = max(0, round(taken + needs.tokens - room.memory_tokens))
    wait_s = hold_s * min(1.0, short / taken) if taken > 0 else 0.0
    return Fit(displacing, queues, short if wait_s else 0, wait_s)


def displaces(urgency: int, claims: ServerClaims, room: ServerRoom) -> bool:
    """Return whether a request displaces a less urgent one, as far as known.

    If requests that are no less urgent take all slots, the less urgent ones only wait there.
    """
    less_urgent = claims.less_urgent(urgency)
    margin = min(MAX_SLOT_MARGIN, room.slots // SLOTS_PER_MARGIN)
    if not less_urgent or room.running < room.slots - margin:
        return False
    return room.running - less_urgent < room.slots


def weighed_s(first_event_s: float, needs: Needs, how: Fit, restart_s: float) -> float:
    """Return the cost by which servers are compared for a request.

    Where another request is preempted, that is the time until both have an event, and no less than
    the request may wait elsewhere. So any server that can take it in time without harm is better.
    A server is no such alternative if the request would wait for a slot there and be late.
    """
    in_time_s = IN_TIME_SHARE * needs.in_time_s
    if how.harms:
        return max(first_event_s + restart_s, in_time_s)
    if how.queues and first_event_s > in_time_s:
        return first_event_s + needs.in_time_s
    return first_event_s
