"""Asks peers whether a server takes connections that this node does not reach.

When most servers of a service are down at once, a node can't tell by itself whether they crashed or
its own links are lost. Peers that reached the service a moment ago try the server in question.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from itertools import count

import msgspec

from moledale.gateway.messages import Server
from moledale.gateway.peers import NodeState
from moledale.node.background import BackgroundTasks

MAX_PEERS = 3
"""Peers that are asked about one server; each may open a connection to it."""

ANSWER_TIMEOUT_S = 0.5
"""Peers answer within this time, with the time to connect to a server that does not react."""


class ServerAsk(msgspec.Struct, array_like=True, tag="ask-server"):
    """A question whether a server takes connections; only nodes with `server_checks` read it."""

    sender: str
    number: int
    server: str
    address: str


class ServerAnswer(msgspec.Struct, array_like=True, tag="server-answer"):
    """Whether a server took a connection of the node that was asked."""

    number: int
    accepts: bool


ServerCheckMessage = ServerAsk | ServerAnswer


class _Question(msgspec.Struct, eq=False):
    """A question in progress: how many answers are due, and the outcome once it is known."""

    due: int
    ended: asyncio.Future[bool]


class ServerChecks:
    """Asks peers about servers, and answers their questions.

    `peers` returns the live peers, `send` sends a message to an address, and `probe` returns
    whether a server takes a connection of this node.
    """

    def __init__(
        self,
        own_peer: str,
        peers: Callable[[], list[NodeState]],
        send: Callable[[ServerCheckMessage, str], None],
        probe: Callable[[str, str], Awaitable[bool]],
    ) -> None:
        self._own_peer = own_peer
        self._peers = peers
        self._send = send
        self._probe = probe
        self._rng = random.Random()
        self._numbers = count(1)
        self._questions: dict[int, _Question] = {}
        self._background = BackgroundTasks("server checks")

    async def has_ended(self, server: Server) -> bool:
        """Return whether peers that reach its service find that a server takes no connection."""
        able = [
            each for each in self._peers() if each.server_checks and server.service in each.reached
        ]
        asked = self._rng.sample(able, min(MAX_PEERS, len(able)))
        if not asked:
            return False
        number = next(self._numbers)
        ended: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        question = self._questions[number] = _Question(len(asked), ended)
        for peer in asked:
            self._send(ServerAsk(self._own_peer, number, server.id, server.address), peer.peer)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                return await ended
        except TimeoutError:
            return question.due < len(asked)
        finally:
            del self._questions[number]

    def on_message(self, message: ServerCheckMessage) -> None:
        """Handle a peer's question or answer."""
        if isinstance(message, ServerAsk):
            self._background.start(self._answer(message))
            return
        question = self._questions.get(message.number)
        if question is None or question.ended.done():
            return
        question.due -= 1
        if message.accepts:
            question.ended.set_result(False)
        elif not question.due:
            question.ended.set_result(True)

    async def _answer(self, ask: ServerAsk) -> None:
        accepts = await self._probe(ask.server, ask.address)
        self._send(ServerAnswer(ask.number, accepts), ask.sender)
