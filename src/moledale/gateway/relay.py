"""Relays requests through a peer that reaches servers which this node does not reach.

A node keeps its callers when it loses its links to the servers of a service: they know only its
address, and may use that for seconds after the directory leaves it out. A relayed request is the
caller's own one with the time that is left. The peer handles it like any other, except that it does
not charge the account again and does not relay it further. Its answer is passed on as it comes.
"""

import random
from collections.abc import Callable, Iterable
from enum import Enum, auto

from moledale.gateway.dialect import Dialect
from moledale.gateway.events import EventTooLong
from moledale.gateway.job import Job
from moledale.gateway.messages import AnswerHead
from moledale.gateway.peers import NodeState, Standing
from moledale.gateway.plan import Kind
from moledale.gateway.upstream import AnswerCut, ConnectFailed, Cut, UpstreamConnection, connect
from moledale.log import Event, emit

UNREACHABLE_HEADER = b"X-Moledale-Unreachable"
"""Set in a peer's answer to a relayed request that it could not send to any server either."""

MAX_PEERS = 3
"""Maximum peers that one request is sent to."""

PEER_CONNECT_TIMEOUT_S = 0.15
"""Peers answer within a round trip between regions, so a silent one costs a request little time."""


class RelayOutcome(Enum):
    """How a relayed request ended.

    `ANSWERED`: the caller has its final response. `NOT_RUN`: no peer sent it to a server. `BROKEN`:
    the peer's answer broke off, so the request may have run.
    """

    ANSWERED = auto()
    NOT_RUN = auto()
    BROKEN = auto()


def relay_peers(service: str, alive: Iterable[NodeState], rng: random.Random) -> list[NodeState]:
    """Return the peers that may reach a service's servers, those most likely to come first."""
    peers = [
        each
        for each in alive
        if each.relays and each.standing == Standing.READY and service not in each.unreachable
    ]
    rng.shuffle(peers)
    return sorted(peers, key=lambda each: (service not in each.reached, not each.serving))


class Relay:
    """Sends requests to peers; `alive` returns the states of the live ones."""

    def __init__(
        self,
        dialect: Dialect,
        alive: Callable[[], list[NodeState]],
        now: Callable[[], float],
    ) -> None:
        self._dialect = dialect
        self._alive = alive
        self._now = now
        self._rng = random.Random()
        self.relayed = 0

    def is_possible(self, service: str) -> bool:
        """Return whether any peer may reach the service's servers."""
        return bool(relay_peers(service, self._alive(), self._rng))

    async def relay(self, job: Job) -> RelayOutcome:
        """Send a request to peers, one after the other, until one answers it."""
        for peer in relay_peers(job.service, self._alive(), self._rng)[:MAX_PEERS]:
            outcome = await self._relay_to(peer, job)
            if outcome is RelayOutcome.ANSWERED:
                return outcome
            if outcome is RelayOutcome.BROKEN and (job.reply.started or not job.route.repeatable):
                return outcome
        return RelayOutcome.BROKEN if job.may_have_run else RelayOutcome.NOT_RUN

    async def _relay_to(self, peer: NodeState, job: Job) -> RelayOutcome:
        """Send a request to one peer and pass its answer on."""
        started_at = self._now()
        outcome, why = RelayOutcome.BROKEN, ""
        connection: UpstreamConnection | None = None
        try:
            connection = await connect(peer.peer, PEER_CONNECT_TIMEOUT_S)
            outcome = await self._exchange(connection, job)
            if outcome is RelayOutcome.ANSWERED:
                self.relayed += 1
            else:
                why = "the peer reaches no server"
        except ConnectFailed as error:
            outcome, why = RelayOutcome.NOT_RUN, str(error)
        except AnswerCut as error:
            job.may_have_run = True
            why = error.cut.value
        finally:
            if connection is not None:
                connection.abort()
        emit(
            Event.RELAYED,
            request=job.facts.id,
            service=job.service,
            peer=peer.id,
            outcome=outcome.name.lower(),
            status=job.reply.status,
            framing=connection.framing if connection is not None else None,
            why=why,
            ms=round((self._now() - started_at) * 1000),
        )
        return outcome

    async def _exchange(self, connection: UpstreamConnection, job: Job) -> RelayOutcome:
        request = job.request
        was_sent = job.was_sent
        job.was_sent = True
        remaining_s = job.left_s(self._now())
        head = self._dialect.relay_head(request.head, remaining_s, len(request.body))
        connection.send(head + request.body, bodiless=request.head.bodiless)
        answer = await connection.head()
        is_servers = self._dialect.read_answer(answer).stamped
        if not is_servers and answer.get(UNREACHABLE_HEADER.lower()) is not None:
            job.was_sent = was_sent
            return RelayOutcome.NOT_RUN
        await self._pass_on(connection, job, answer)
        return RelayOutcome.ANSWERED

    async def _pass_on(self, connection: UpstreamConnection, job: Job, answer: AnswerHead) -> None:
        """Pass an answer on as it arrives, with the framing that it has.

        Of a stream, whole events are passed on. Peers of former builds frame one that broke off
        inside an event as complete.
        """
        length = int(answer.get(b"content-length") or b"0")
        is_stream = job.route.kind is Kind.STREAM and answer.status < 300 and answer.may_be_events
        headers = self._dialect.answer_headers(answer)
        job.reply.start(answer.status, headers, answer.framing, length)
        while (data := await connection.chunk()) is not None:
            job.reply.send(self._whole_events(job, data) if is_stream else data)
            await job.reply.drain()
        if job.splitter.partial_bytes:
            raise AnswerCut(Cut.CLOSED)
        await job.reply.finish()

    def _whole_events(self, job: Job, data: bytes) -> bytes:
        """Return the events of a stream that are complete with some data."""
        try:
            return job.splitter.feed(data)
        except EventTooLong:
            raise AnswerCut(Cut.GARBLED) from None
