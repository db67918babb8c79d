"""What servers state about themselves in their answers, and how it affects later choices.

A server's answer is the newest information about it: it is leaving, it asks for a later retry, or
it is not the server that the request was meant for. The server list may lag behind by seconds, or
by as long as the store is down, so it never overrides what a server stated. Only another
incarnation of the server does, which has another id or another address.
"""

from collections.abc import Callable, Iterable

import msgspec
from cachetools import LRUCache

from moledale.gateway.brittle import BrittleServices
from moledale.gateway.messages import Server, ServerStatement
from moledale.gateway.server_group import ServerGroup
from moledale.gateway.server_standing import ServerStanding
from moledale.gateway.server_view import ServerView
from moledale.gateway.stated_limit import LimitNews
from moledale.log import Event, emit

SERVICE_UNAVAILABLE = 503
"""Status of a server that accepts no more requests for now."""

MISDIRECTED_REQUEST = 421
"""Status of a server that a request was not meant for: that one is gone from its address."""

MISDIRECTED_PAUSE_S = 4.0
"""A server that is gone from its address gets no requests for this long: until its entry has lapsed
(three heartbeats of 1.2 s) and the list was read."""

MAX_REMEMBERED_SERVERS = 2_048
"""Maximum servers remembered as leaving: about twice as many as a large deployment has, 0.2 MB."""

MAX_BROADCAST_SERVERS = 32
"""Maximum servers of each kind in a state that is broadcast: 0.6 KB at most."""

PEER_RETRY_DELAY_S = 0.5
"""A server that rejected a peer's requests is retried this much later than by that peer: two gossip
rounds, in which the peer reports how the server answered."""


class ServerNotices:
    """Holds what servers stated about themselves, independent of the list.

    `views` are the known servers by id, and `group` returns the servers of a service.
    """

    def __init__(self, views: dict[str, ServerView], group: Callable[[str], ServerGroup]) -> None:
        self.brittle = BrittleServices()
        self._views = views
        self._group = group
        self._leaving_addresses: LRUCache[str, str] = LRUCache(MAX_REMEMBERED_SERVERS)
        self._leaving_ahead_of_list: set[str] = set()
        self._lasting_statements: LRUCache[tuple[str, str], ServerStanding] = LRUCache(
            MAX_REMEMBERED_SERVERS
        )

    def applied_to(self, servers: Iterable[Server]) -> list[Server]:
        """Return the servers, with those marked as leaving that stated so themselves."""
        self._leaving_ahead_of_list = set()
        return [self._with_leaving_statement(server) for server in servers]

    def _with_leaving_statement(self, server: Server) -> Server:
        # The same id at another address is another incarnation of the server.
        if server.leaving or self._leaving_addresses.get(server.id) != server.address:
            return server
        self._leaving_ahead_of_list.add(server.id)
        return msgspec.structs.replace(server, leaving=True)

    def retain_statements(self, view: ServerView) -> None:
        """Keep the lasting statements of a server whose entry is gone, since it may come back."""
        lasting_statements = view.standing.lasting_statements()
        if lasting_statements is not None:
            self._lasting_statements[view.server.id, view.server.address] = lasting_statements

    def restore_statements(self, view: ServerView) -> None:
        """Restore the statements that a server made before its entry was gone, if it has any."""
        lasting_statements = self._lasting_statements.pop(
            (view.server.id, view.server.address), None
        )
        if lasting_statements is not None:
            view.standing = lasting_statements
            view.notify_change()

    def handle_answer(
        self,
        view: ServerView,
        status: int,
        not_run: bool,
        stated: ServerStatement,
        sent_at: float,
        now: float,
    ) -> None:
        """Apply what an answer states about its server, except that it is leaving.

        `not_run` is set if the request was not executed, `sent_at` is when it was sent.
        """
        if status == MISDIRECTED_REQUEST:
            self._back_off(view, MISDIRECTED_PAUSE_S, now)
            # Another server answered at this address, which states nothing about this server.
            return
        if stated.max_rejections is not None:
            self.brittle.record(view.server.service, stated.max_rejections, now)
        if status == SERVICE_UNAVAILABLE and (not_run or stated.retry_after_s is not None):
            self._back_off(view, self._retry_after_s(view, stated), now)
        elif not not_run:
            view.record_accepted(sent_at)
        limit = view.standing.limit
        if not stated.limit_unreadable and limit.update_from_answer(
            stated.limit_per_s, sent_at, now
        ):
            self._on_limit_change(view, "answer")

    def _retry_after_s(self, view: ServerView, stated: ServerStatement) -> float | None:
        """Return when a server that rejected a request is tried again, None if that is open."""
        if not self.brittle.is_brittle(view.server.service):
            return stated.retry_after_s
        return max(self.brittle.hold_s(view.server.service), stated.retry_after_s or 0.0)

    def _back_off(self, view: ServerView, retry_after_s: float | None, now: float) -> None:
        view.record_decline(now, retry_after_s)
        if retry_after_s is not None:
            emit(Event.SERVER_BACKOFF, server=view.server.id, retry_after_s=retry_after_s)

    def _on_limit_change(self, view: ServerView, source: str) -> None:
        # A hold that belongs to the former limit may be far longer than the new one requires.
        view.hold_until(0.0)
        emit(Event.SERVER_LIMIT, server=view.server.id, limit_per_s=view.limit_per_s, source=source)

    def limits_to_broadcast(
        self, groups: Iterable[ServerGroup], now: float
    ) -> dict[str, LimitNews]:
        """Return the limits that servers stated in answers to this node, for other nodes.

        The most recent come first, since a state holds `MAX_BROADCAST_SERVERS` at most.
        """
        views = [view for group in groups for view in group.limited.servers_to_broadcast(now)]
        views.sort(key=lambda view: -view.standing.limit.observed_at)
        updates = (
            (view.server.id, view.standing.limit.to_broadcast(now))
            for view in views[:MAX_BROADCAST_SERVERS]
        )
        return {name: update for name, update in updates if update is not None}

    def merge_peer_limits(self, limits: dict[str, LimitNews], source: str, now: float) -> None:
        """Merge the limits that another node observed itself."""
        for name, update in limits.items():
            view = self._views.get(name)
            if view is not None and view.standing.limit.update_from_peer(update, now):
                self._on_limit_change(view, source)

    def record_leaving(self, name: str) -> Server | None:
        """Record a server's statement that it is leaving; return the server if that is new here."""
        view = self._views.get(name)
        if view is None:
            return None
        self._leaving_addresses[name] = view.server.address
        if view.server.leaving:
            return None
        self._leaving_ahead_of_list.add(name)
        self._group(view.server.service).mark_leaving(name)
        return view.server

    def leaving_ahead_of_list(self) -> list[str]:
        """Return the servers that stated that they are leaving, while the list does not say so."""
        return sorted(self._leaving_ahead_of_list)[:MAX_BROADCAST_SERVERS]

    def declines_to_broadcast(self, groups: Iterable[ServerGroup], now: float) -> dict[str, float]:
        """Return the servers that rejected this node's requests, for other nodes.

        The values are the seconds for which they stay deprioritized.
        """
        declined = [view for group in groups for view in group.declined(now)]
        return {
            view.server.id: round(view.standing.declined_until - now, 2)
            for view in declined[:MAX_BROADCAST_SERVERS]
        }

    def merge_peer_declines(self, declined: dict[str, float], now: float) -> None:
        """Merge the servers that rejected another node's requests.

        That node retries them first, so that this node has the result before it retries them too.
        """
        for name, wait_s in declined.items():
            view = self._views.get(name)
            if view is not None:
                view.record_peer_decline(now, now + wait_s + PEER_RETRY_DELAY_S)
                if self.brittle.is_brittle(view.server.service):
                    view.hold_until(now + wait_s)
