"""Evacuates a leaving server: plans for its sessions, copies KV caches and moves streams."""

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
from moledale.node.waiting import ReservationQueue
from moledale.servers.types import ModelServers

ASSUMED_LINK_BYTES_PER_S = 3.0e9
"""Assumed bandwidth out of a leaving server, shared by the nodes that have streams on it."""


class RedirectStream(Protocol):
    """Ends a stream's attempt on `source`, to resume it at `target`, or at any server if None."""

    def __call__(
        self, record: StreamRecord, attempt: str, source: str, target: Reservation | None
    ) -> bool:
        """Return False, without effect, if the stream has ended or started another attempt."""
        ...


class Evacuator:
    """Moves streams and idle KV caches off leaving servers, as far as the notice allows."""

    def __init__(
        self,
        hall: str,
        servers: ModelServers,
        load_tracker: LoadTracker,
        waiting: ReservationQueue,
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
        """Plan for this node's streams and caches on a server, and start the moves as tasks."""
        bundle = self._bundle()
        if bundle is None:
            return
        sessions = self._held_sessions(bundle, view, records)
        by_id = {record.request.id: record for record in records}
        # Other nodes move their streams at the same time, so the link is shared by stream count.
        share = max(1, len(records)) / max(1, view.running, len(records))
        reclaim_view = reclaim.ReclaimView(
            notice_s, ASSUMED_LINK_BYTES_PER_S * share, view.speeds.prefill_tokens_per_s
        )
        actions = reclaim.plan(sessions, reclaim_view)
        for session in sessions:
            action = actions[session.id]
            if session.idle and action is reclaim.ReclaimAction.MOVE:
                self._background.start(self._move_cache(session.id, session.context_tokens, view))
            elif not session.idle and action is not reclaim.ReclaimAction.FINISH:
                self._background.start(self._move_stream(by_id[session.id], view, action))

    def _held_sessions(
        self, bundle: Bundle, view: ServerView, records: list[StreamRecord]
    ) -> list[reclaim.HeldSession]:
        token_s = view.speeds.slots / view.speeds.decode_tokens_per_s
        streams = [_stream_session(bundle, record, token_s) for record in records]
        busy = {record.request.session for record in records}
        bytes_per_token = max(model.kv_bytes_per_token for model in bundle.models)
        caches = [
            reclaim.HeldSession(
                session, tokens, tokens * bytes_per_token, 0.0, immediate=False, idle=True
            )
            for session, tokens in view.cached.items()
            if session not in busy
        ]
        return streams + caches

    async def _move_stream(
        self, record: StreamRecord, source: ServerView, action: reclaim.ReclaimAction
    ) -> None:
        """Move a stream off a leaving server; without its KV cache it is prefilled again."""
        attempt = record.attempt
        target: Reservation | None = None
        if action is reclaim.ReclaimAction.MOVE:
            target = await self._transfer(record, source, attempt)
        if not self._redirect(record, attempt, source.id, target) and target is not None:
            self._load_tracker.release(target, self._clock.monotonic())

    async def _transfer(
        self, record: StreamRecord, source: ServerView, attempt: str
    ) -> Reservation | None:
        """Copy a stream's KV cache to a server and return the slot reserved there, or None."""
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
        """Copy an idle session's KV cache to the server where its next turn should run."""
        models = sorted(source.models)
        need = Need(models[0] if models else "", tokens, 0, session, self._hall)
        chosen = pick(list(self._load_tracker.views.values()), need, routing_params(self._bundle()))
        if chosen is None:
            return
        address = self._load_tracker.views[chosen.server].address
        if not await self._copy_cache(session, source.address, address):
            return
        # If a turn ran meanwhile, its server holds the newer cache.
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
