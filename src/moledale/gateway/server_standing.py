"""What one node believes of a server's readiness, by all that it and others said.

Pure: it knows no clock and no socket. Each statement has its own time to live, and none takes back
what another one said:

| statement | comes by | while it holds | it ends |
|---|---|---|---|
| it leaves | list, answer, other nodes | no new work | with the server's life |
| retry later | answer that turns a request away | no requests of this node | at the stated time |
| it took none now | answer that turns a request away | asked last | after a pause |
| it turned others away | other nodes | asked last | half a second after theirs |
| it takes few | answers, other nodes | a permit for each send | with a later answer without it |
| no permit | the node that grants | no requests of this node | when it may be asked again |
| silence, failure | connections | asked last | after a pause, longer each time |

A request that the server takes ends what it declined before. That it leaves is kept with the
list's entry (`ServerNotices`). Another life of the server, which has another id or address, begins
with none of them. A lapse of its entry ends only what is short: what it asked for itself, a later
retry and a limit, outlasts it.
"""

import msgspec

from moledale.gateway.stated_limit import StatedLimit

FAILURE_PAUSE_INITIAL_S = 0.5
FAILURE_PAUSE_MAX_S = 3.0
"""A server that is silent gets no work for the first time, and at most for the second."""

DECLINE_PAUSE_INITIAL_S = 0.25
DECLINE_PAUSE_MAX_S = 3.0
"""A server that turned a request away without a time to come back is asked last for the first time,
twice as long with each further one, and at most for the second. A server that turns everything away
looks idle, so without this it draws requests."""

MAX_DOUBLINGS = 32
"""Pauses double so many times at most: no pause gets longer after that, whatever its first is."""

DECLINE_STREAK_GAP_S = 1.0
"""A server that turned requests away is taken to go on with it until it takes one, or until it was
not asked for this long: the time between two requests of a node to a service is less."""


def exponential_pause_s(first_s: float, times: int, most_s: float) -> float:
    """Return a pause that doubles each time, up to a most; `times` may be any number from 1."""
    # A power of two beyond a float's range raises an error, and a server may fail for hours.
    return min(first_s * 2.0 ** min(times - 1, MAX_DOUBLINGS), most_s)


class ServerStanding(msgspec.Struct):
    """Statements on a server, as times until which they hold; all are monotonic seconds."""

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
        """Take the server for silent until some time."""
        self.paused_until = max(self.paused_until, until)

    def record_failure(self, now: float) -> None:
        """Learn that the server can't be reached or broke off: pause it, longer each time."""
        self.failures += 1
        self.paused_until = now + exponential_pause_s(
            FAILURE_PAUSE_INITIAL_S, self.failures, FAILURE_PAUSE_MAX_S
        )

    def record_decline(self, now: float, retry_after_s: float | None) -> None:
        """Learn that the server turned a request away; it may say when to retry."""
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
        """Learn that the server took a request; one from before it declined says nothing.

        Return whether that changed anything.
        """
        if not self.decline_streak or sent_at <= self.declined_at:
            return False
        self.decline_streak = 0
        self.declined_until = self.peers_declined_until = 0.0
        return True

    def record_peer_decline(self, now: float, until: float) -> None:
        """Learn that the server turned requests of other nodes away."""
        self._update_streak_start(now)
        self.peers_declined_until = max(self.peers_declined_until, until)

    def _update_streak_start(self, now: float) -> None:
        if now - self.combined_declined_until() > DECLINE_STREAK_GAP_S:
            self.declined_since = now

    def combined_declined_until(self) -> float:
        """Return until when the server is set aside since it turned requests of any node away."""
        return max(self.declined_until, self.peers_declined_until)

    def is_deprioritized(self, now: float) -> bool:
        """Say whether the server gets requests only if no other one may."""
        return max(self.paused_until, self.combined_declined_until()) > now

    def is_held(self, now: float) -> bool:
        """Say whether no permit is to be had for the server yet."""
        return self.held_until > now

    def opens_in_s(self, now: float) -> float:
        """Return how long the server gets no requests of this node."""
        return max(0.0, self.retry_at - now, self.held_until - now)

    def lasting_statements(self) -> "ServerStanding | None":
        """Return what outlasts a lapse of the server's entry, None if it asked for nothing."""
        if not self.retry_at and not self.limit.is_known:
            return None
        return ServerStanding(
            retry_at=self.retry_at, declined_until=self.retry_at, limit=self.limit
        )
