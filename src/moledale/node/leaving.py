"""What a node does for its sessions on a server that leaves: plan, copy caches, move streams."""

from collections.abc import Callable
from typing import Protocol

from result import Err, Ok

from moledale.bundle.schema import Bundle, Priority
from moledale.clock import Clock
from moledale.core import reclaim
from moledale.core.routing import LoadTracker, Need, Reservation, ServerView, pick
from moledale.node.background import BackgroundTasks
from moledale.node.needs import context_tokens, routing_need, routing_params
from moledale.node.streams import StreamRecord
from moledale.node.waiting import WaitingRoom
from moledale.servers.types import ModelServers

ASSUMED_LINK_BYTES_PER_S = 3.0e9
"""Assumed bandwidth out of a leaving server, shared by the nodes with streams on it."""


class RedirectStream(Protocol):
    """Ends a stream's attempt, if it still is the current one, and goes on at a target."""

    def __call__(
        self, record: StreamRecord, attempt: str, source: str, target: Reservation | None
    ) -> bool:
        """Return False if the stream had ended or moved on by itself."""
        ...


class Evacuator:
    """Moves streams and idle caches off servers that leave, as far as the notice allows."""

    def __init__(
        self,
        hall: str,
        servers: ModelServers,
        load_tracker: LoadTracker,
        waiting: WaitingRoom,
        bundle: Callable[[], Bundle | None],
        redirect: RedirectStream,
        clock: Clock,
    ) -> None:
        self._hall = hall
        self._servers = servers
        self._load_tracker = load_tracker
        self._waiting = waiting
        self._bundle = bundle
        self._redirect = redirect
        self._clock = clock
        self._background = BackgroundTasks("leaving")

    def evacuate(self, view: ServerView, records: list[StreamRecord], notice_s: float) -> None:
        """Plan for everything this node has on a server, and begin to carry it out."""
        bundle = self._bundle()
        if bundle is None:
            return
        held = self._held_sessions(bundle, view, records)
        by_id = {record.request.id: record for record in records}
        # The link is shared in proportion to streams; other nodes move theirs meanwhile.
        share = max(1, len(records)) / max(1, view.running, len(records))
        situation = reclaim.ReclaimView(
            notice_s, ASSUMED_LINK_BYTES_PER_S * share, view.speeds.prefill_tokens_per_s
        )
        courses = reclaim.plan(held, situation)
        for one in held:
            course = courses[one.id]
            if one.idle and course is reclaim.ReclaimAction.MOVE:
                self._background.start(self._move_cache(one.id, one.context_tokens, view))
            elif not one.idle and course is not reclaim.ReclaimAction.FINISH:
                self._background.start(self._move_stream(by_id[one.id], view, course))

    def _held_sessions(
        self, bundle: Bundle, view: ServerView, records: list[StreamRecord]
    ) -> list[reclaim.HeldSession]:
        token_s = view.speeds.slots / view.speeds.decode_tokens_per_s
        streams = [_stream_session(bundle, record, token_s) for record in records]
        busy = {record.request.session for record in records}
        each = max(model.kv_bytes_per_token for model in bundle.models)
        caches = [
            reclaim.HeldSession(session, tokens, tokens * each, 0.0, immediate=False, idle=True)
            for session, tokens in view.cached.items()
            if session not in busy
        ]
        return streams + caches

    async def _move_stream(
        self, record: StreamRecord, source: ServerView, course: reclaim.ReclaimAction
    ) -> None:
        """Take a stream off a leaving server; a failed transfer falls back to prefill."""
        attempt = record.attempt
        target: Reservation | None = None
        if course is reclaim.ReclaimAction.MOVE:
            target = await self._transfer(record, source, attempt)
        if not self._redirect(record, attempt, source.id, target) and target is not None:
            self._load_tracker.release(target, self._clock.monotonic())

    async def _transfer(
        self, record: StreamRecord, source: ServerView, attempt: str
    ) -> Reservation | None:
        """Copy the stream's KV cache to a server reserved for it."""
        need = routing_need(record.request, record.tokens, self._hall, frozenset({source.id}))
        target = self._waiting.reserve(need)
        if target is None:
            return None
        address = self._load_tracker.views[target.server].address
        if await self._copy_cache(record.request.session or attempt, source.address, address):
            return target
        self._load_tracker.release(target, self._clock.monotonic())
        return None

    async def _move_cache(self, session: str, tokens: int, source: ServerView) -> None:
        """Copy an idle session's KV cache to where its next turn should go."""
        models = sorted(source.models)
        need = Need(models[0] if models else "", tokens, 0, session, self._hall)
        chosen = pick(list(self._load_tracker.views.values()), need, routing_params(self._bundle()))
        if chosen is None:
            return
        address = self._load_tracker.views[chosen.server].address
        if not await self._copy_cache(session, source.address, address):
            return
        # A turn that came meanwhile knows better where the session is.
        if self._load_tracker.server_of(session) in (None, source.id):
            self._load_tracker.record_cache(session, chosen.server, tokens)

    async def _copy_cache(self, session: str, source: str, target: str) -> bool:
        exported = await self._servers.export_kv(source, session)
        if isinstance(exported, Err):
            return False
        return isinstance(await self._servers.import_kv(target, exported.ok_value), Ok)


def _stream_session(bundle: Bundle, record: StreamRecord, token_s: float) -> reclaim.HeldSession:
    request = record.request
    model = bundle.model(request.model)
    context = context_tokens(record)
    return reclaim.HeldSession(
        request.id,
        context,
        context * (model.kv_bytes_per_token if model is not None else 0),
        (request.max_tokens - len(record.tokens)) * token_s,
        request.priority is Priority.IMMEDIATE,
    )
