"""What one node knows of a server's readiness, from its own requests and from other nodes.

This module uses no clock and no socket. A deprioritized server gets requests only if no other one
may. Each statement expires by itself, and none overrides another:

| statement | source | effect | ends |
|---|---|---|---|
| leaving | list, answer, other nodes | no new requests | with the server's incarnation |
| retry later | rejection that states a time | no requests of this node | at the stated time |
| declined | rejection | deprioritized | after a pause, or at the stated time |
| declined to peers | other nodes | deprioritized | half a second after theirs |
| rate limit | answers, other nodes | a permit for each send | with a later answer without it |
| no permit | the grantor | no requests of this node | when it may be asked again |
| silence, failure | connections | deprioritized | after a pause, longer each time |

A request that the server accepts clears earlier declines. That a server is leaving is kept with its
list entry (`ServerNotices`). Another incarnation of the server, which has another id or address,
starts with none of these. If a server's entry lapses, only its short-lived statements are dropped:
the time to retry and the rate limit are kept, since the server stated them itself.
"""

import msgspec

from moledale.gateway.stated_limit import StatedLimit

FAILURE_PAUSE_INITIAL_S = 0.5
FAILURE_PAUSE_MAX_S = 3.0
"""A silent server is deprioritized for the initial pause, which doubles with each further failure
up to the maximum."""

DECLINE_PAUSE_INITIAL_S = 0.25
DECLINE_PAUSE_MAX_S = 3.0
"""A server that rejected a request without a time to retry is deprioritized for the initial pause,
which doubles with each further rejection up to the maximum. A server that rejects everything looks
idle and would otherwise attract requests."""

MAX_DOUBLINGS = 32
"""Maximum doublings of a pause, which has reached its maximum by then."""

DECLINE_STREAK_GAP_S = 1.0
"""A server counts as declining until it accepts a request, or until it was not tried for this long:
a node's requests to a service come more often than that."""


def exponential_pause_s(initial_s: float, attempt: int, max_s: float) -> float:
    """Return a pause that doubles each time up to `max_s`; `attempt` is any number from 1."""
    # A power of two beyond the range of a float raises an error, and a server may fail for hours.
    return min(initial_s * 2.0 ** min(attempt - 1, MAX_DOUBLINGS), max_s)


class ServerStanding(msgspec.Struct):
    """Statements about a server, as times until which they hold; all are monotonic seconds."""

    failures: int = 0
    paused_until: float = 0.0
    retry_at: float = 0.0
    decline_streak: int = 0
    declined_at: float = 0.0
    declined_since: float = 0.0
    declined_until: float = 0.0
    peers_declined_until: float = 0.0
    limit: StatedLimit = msgspec.field(default_factory=StatedLimit)
    held_until: float = 0.0

    def pause(self, until: float) -> None:
        """Deprioritize the server as a silent one until the given time."""
        self.paused_until = max(self.paused_until, until)

    def record_failure(self, now: float) -> None:
        """Record that the server can't be reached or broke off an answer, and pause it.

        The pause gets longer each time.
        """
        self.failures += 1
        self.paused_until = now + exponential_pause_s(
            FAILURE_PAUSE_INITIAL_S, self.failures, FAILURE_PAUSE_MAX_S
        )

    def record_decline(self, now: float, retry_after_s: float | None) -> None:
        """Record that the server rejected a request, maybe with a time to retry."""
        self._update_streak_start(now)
        self.decline_streak += 1
        self.declined_at = now
        if retry_after_s is None:
            pause_s = exponential_pause_s(
                DECLINE_PAUSE_INITIAL_S, self.decline_streak, DECLINE_PAUSE_MAX_S
            )
            self.declined_until = max(self.declined_until, now + pause_s)
        else:
            self.retry_at = max(self.retry_at, now + retry_after_s)
            self.declined_until = max(self.declined_until, self.retry_at)

    def record_accepted(self, sent_at: float) -> bool:
        """Record that the server accepted a request; return whether that changed anything.

        A request that was sent before the server last declined is ignored.
        """
        if not self.decline_streak or sent_at <= self.declined_at:
            return False
        self.decline_streak = 0
        self.declined_until = self.peers_declined_until = 0.0
        return True

    def record_peer_decline(self, now: float, until: float) -> None:
        """Record that the server rejected requests of other nodes."""
        self._update_streak_start(now)
        self.peers_declined_until = max(self.peers_declined_until, until)

    def _update_streak_start(self, now: float) -> None:
        if now - self.combined_declined_until() > DECLINE_STREAK_GAP_S:
            self.declined_since = now

    def combined_declined_until(self) -> float:
        """Return until when rejected requests of any node deprioritize the server."""
        return max(self.declined_until, self.peers_declined_until)

    def is_deprioritized(self, now: float) -> bool:
        """Return whether the server gets requests only if no other one may."""
        return max(self.paused_until, self.combined_declined_until()) > now

    def is_held(self, now: float) -> bool:
        """Return whether the server is on hold, for lack of a permit."""
        return self.held_until > now

    def opens_in_s(self, now: float) -> float:
        """Return for how many seconds the server gets no requests of this node."""
        return max(0.0, self.retry_at - now, self.held_until - now)

    def lasting_statements(self) -> "ServerStanding | None":
        """Return the statements that outlast a lapse of the server's entry, or None."""
        if not self.retry_at and not self.limit.is_known:
            return None
        return ServerStanding(
            retry_at=self.retry_at, declined_until=self.retry_at, limit=self.limit
        )
