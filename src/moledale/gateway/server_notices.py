"""What servers say of themselves in their answers, and how it reaches all later choices.

A server's answer is the newest word of it: it leaves, it asks for a later retry, or it is not the
server that was meant. The list of servers may be older by seconds, or by as long as the store
is away, so it never takes back what a server said; only another life of the server does, which has
another id or another address.
"""

from collections.abc import Callable, Iterable

import msgspec
from cachetools import LRUCache

from moledale.gateway.messages import Server, ServerStatement
from moledale.gateway.server_group import ServerGroup
from moledale.gateway.server_standing import ServerStanding
from moledale.gateway.server_view import ServerView
from moledale.gateway.stated_limit import LimitNews
from moledale.log import Event, emit

SERVICE_UNAVAILABLE = 503
"""Status of a server that takes no more requests for now."""

MISDIRECTED_REQUEST = 421
"""Status of a server that is not the one that was meant: that one is gone from its address."""

MISDIRECTED_PAUSE_S = 4.0
"""A server that is gone from its address gets no requests for this long, until its entry has lapsed
(three heartbeats of 1.2 s) and the list was read."""

MAX_REMEMBERED_SERVERS = 2_048
"""Servers that said that they leave, about twice as many as a large deployment has: 0.2 MB."""

MAX_BROADCAST_SERVERS = 32
"""Servers that one state tells other nodes of, of each kind: 0.6 KB at most."""

PEER_RETRY_DELAY_S = 0.5
"""A server that turned another node's requests away is asked this much later than by that node: two
rounds of news, in which it tells how the server answered."""


class ServerNotices:
    """What servers said of themselves, kept apart from the list.

    `views` are the servers that are known, `group` tells the servers of a service.
    """

    def __init__(self, views: dict[str, ServerView], group: Callable[[str], ServerGroup]) -> None:
        self._views = views
        self._group = group
        self._leaving_addresses: LRUCache[str, str] = LRUCache(MAX_REMEMBERED_SERVERS)
        self._leaving_ahead_of_list: set[str] = set()
        self._lasting_statements: LRUCache[tuple[str, str], ServerStanding] = LRUCache(
            MAX_REMEMBERED_SERVERS
        )

    def applied_to(self, servers: Iterable[Server]) -> list[Server]:
        """Return a list of servers with those marked that said that they leave."""
        self._leaving_ahead_of_list = set()
        return [self._with_leaving_statement(server) for server in servers]

    def _with_leaving_statement(self, server: Server) -> Server:
        # A server under the same id at another address is another life of it.
        if server.leaving or self._leaving_addresses.get(server.id) != server.address:
            return server
        self._leaving_ahead_of_list.add(server.id)
        return msgspec.structs.replace(server, leaving=True)

    def retain_statements(self, view: ServerView) -> None:
        """Remember what a server asked for whose entry is gone: it may be back in a moment."""
        lasting_statements = view.standing.lasting_statements()
        if lasting_statements is not None:
            self._lasting_statements[view.server.id, view.server.address] = lasting_statements

    def restore_statements(self, view: ServerView) -> None:
        """Hold what a server that is listed again asked for before its entry was gone."""
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
        """Take over what an answer says of its server, but for its word that it leaves."""
        if status == MISDIRECTED_REQUEST:
            self._back_off(view, MISDIRECTED_PAUSE_S, now)
            # Another server at the address says nothing of the one that was meant.
            return
        if status == SERVICE_UNAVAILABLE and (not_run or stated.retry_after_s is not None):
            self._back_off(view, stated.retry_after_s, now)
        elif not not_run:
            view.record_accepted(sent_at)
        limit = view.standing.limit
        if not stated.limit_unreadable and limit.update_from_answer(
            stated.limit_per_s, sent_at, now
        ):
            self._on_limit_change(view, "answer")

    def _back_off(self, view: ServerView, retry_after_s: float | None, now: float) -> None:
        view.record_decline(now, retry_after_s)
        if retry_after_s is not None:
            emit(Event.SERVER_BACKOFF, server=view.server.id, retry_after_s=retry_after_s)

    def _on_limit_change(self, view: ServerView, source: str) -> None:
        # A time that was told for another limit may be long past what this one asks for.
        view.hold_until(0.0)
        emit(Event.SERVER_LIMIT, server=view.server.id, limit_per_s=view.limit_per_s, source=source)

    def limits_to_broadcast(
        self, groups: Iterable[ServerGroup], now: float
    ) -> dict[str, LimitNews]:
        """Return the limits that servers named in answers to this node, for other nodes.

        Those that were heard last come first, where there are more than one state tells.
        """
        views = [view for group in groups for view in group.limited.servers_to_broadcast(now)]
        views.sort(key=lambda view: -view.standing.limit.observed_at)
        told = (
            (view.server.id, view.standing.limit.to_broadcast(now))
            for view in views[:MAX_BROADCAST_SERVERS]
        )
        return {name: news for name, news in told if news is not None}

    def merge_peer_limits(self, limits: dict[str, LimitNews], source: str, now: float) -> None:
        """Take over the limits that another node heard."""
        for name, news in limits.items():
            view = self._views.get(name)
            if view is not None and view.standing.limit.update_from_peer(news, now):
                self._on_limit_change(view, source)

    def record_leaving(self, name: str) -> Server | None:
        """Take over a server's word that it leaves; return the server if that is news here."""
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
        """Return the servers that said that they leave while the list doesn't, for other nodes."""
        return sorted(self._leaving_ahead_of_list)[:MAX_BROADCAST_SERVERS]

    def declines_to_broadcast(self, groups: Iterable[ServerGroup], now: float) -> dict[str, float]:
        """Return the servers that turned this node's requests away, with the seconds for which they
        are set aside, for other nodes."""
        declined = [view for group in groups for view in group.declined(now)]
        return {
            view.server.id: round(view.standing.declined_until - now, 2)
            for view in declined[:MAX_BROADCAST_SERVERS]
        }

    def merge_peer_declines(self, declined: dict[str, float], now: float) -> None:
        """Take over which servers turned another node's requests away.

        That node asks them again first, so that others learn how it went before they do.
        """
        for name, wait_s in declined.items():
            view = self._views.get(name)
            if view is not None:
                view.record_peer_decline(now, now + wait_s + PEER_RETRY_DELAY_S)
