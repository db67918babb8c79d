"""Fair shares of client accounts in the work of all nodes, by weighted max-min fairness.

Each node counts the tokens that its callers offered and those that it sent to servers, by account,
and reports both as rates. Every node adds up the last rates of all nodes. The work sent is what the
servers could take, so it is divided among the accounts by water-filling: an account that asks for
less than its share gets all it asks for, and the rest goes to the others by weight.

The result is advice on whom to refuse first when something has to be refused, and never a reason to
refuse: nobody is held back while there is room.
"""

from collections.abc import Iterable, Mapping
from itertools import accumulate, islice
from math import exp, sqrt

import msgspec

from moledale.gateway.plan import TOKENS, Account

WINDOW_S = 4.0
"""Time constant of the rates. Small accounts send one or two requests a second, so a shorter window
has too few of them."""

HOLD_S = 2.5
"""A node's last rates count in full for this long, as it counts as alive in a large cluster. They
are sent once a second, so one or two lost messages change nothing.
"""

FORGET_S = 10.0
"""Rates of a node that is not heard any more decay to zero by this time. Its callers have gone to
other nodes by then, which count them."""

MARGIN_DEVIATIONS = 1.5
"""Standard deviations of random arrivals by which an account may be above its share. Without a
margin, accounts that send what they always do would often be above it by chance."""

REFRESH_S = 0.2
REFRESH_PEERS = 100
"""Shares are computed at most once per `REFRESH_S`, the interval of gossip rounds, for up to
`REFRESH_PEERS` reports, and in proportion less often for more, since the time that it takes grows
with their number."""

SHORT_SHARE = 0.05
"""Capacity is reported as short if this much of the offered work is not sent. Less is the delay
between both counts of a request.
"""

UNIT_TOKENS_PER_S = 10.0
"""Unit of the reported rates. Rates below half of it are not reported, and larger ones take at most
3 bytes up to 655,000 tokens/s.
"""

MAX_REPORTED_ACCOUNTS = 32
"""Accounts in a node's report, those with the most work: 2 KB at names of 50 characters."""

NO_ACCOUNT = ""
"""Stands for all callers without an account, on public routes; they share one weight."""

Report = dict[str, tuple[int, int]]
"""By account: the work offered to a node and the work it sent, in `UNIT_TOKENS_PER_S`."""


class WorkRate(msgspec.Struct):
    """Tokens per second that one account offered and that were sent, over about `WINDOW_S`."""

    offered: float = 0.0
    placed: float = 0.0
    updated_at: float = 0.0

    def decay(self, now: float) -> None:
        """Reduce the rates by the time since the last update."""
        factor = exp(-max(0.0, now - self.updated_at) / WINDOW_S)
        self.offered *= factor
        self.placed *= factor
        self.updated_at = now


class RequestSizes(msgspec.Struct):
    """Sums over recent requests from which the random variation of a rate follows."""

    tokens: float = 0.0
    squares: float = 0.0
    updated_at: float = 0.0

    def add(self, tokens: float, now: float) -> None:
        """Count a request."""
        factor = exp(-max(0.0, now - self.updated_at) / WINDOW_S)
        self.tokens = self.tokens * factor + tokens
        self.squares = self.squares * factor + tokens * tokens
        self.updated_at = now

    def deviation(self, rate: float) -> float:
        """Return the standard deviation of a measured rate if requests arrive at random times.

        A rate with time constant T varies by `sqrt(rate * size / 2T)`, where `size` is the mean of
        the squared sizes divided by the mean size.
        """
        if not self.tokens:
            return 0.0
        return sqrt(rate * self.squares / self.tokens / (2 * WINDOW_S))


class NodeReport(msgspec.Struct, frozen=True):
    """The last report of another node and when it arrived."""

    report: Report
    heard_at: float

    def weight(self, now: float) -> float:
        """Return the part of the report that still counts, from 1.0 down to 0.0."""
        age_s = now - self.heard_at
        return min(1.0, max(0.0, (FORGET_S - age_s) / (FORGET_S - HOLD_S)))


class Shares(msgspec.Struct, frozen=True):
    """The work of all nodes in tokens per second, and the share that each unit of weight has.

    `level` is 0.0 if there is no work.
    """

    offered: dict[str, float] = {}
    placed: dict[str, float] = {}
    level: float = 0.0

    @property
    def is_short(self) -> bool:
        """Return whether noticeably less is sent than is offered."""
        return sum(self.placed.values()) < (1 - SHORT_SHARE) * sum(self.offered.values())


def water_level(
    demands: Mapping[str, float], weights: Mapping[str, float], capacity: float
) -> float:
    """Return the level at which shares of `min(demand, weight * level)` add up to the capacity.

    If the capacity suffices for all, return the lowest level at which all demands are met. Weights
    are positive.
    """
    ordered = sorted(demands, key=lambda name: demands[name] / weights[name])
    # Sums from the end: subtracting from a total would leave only rounding errors of small weights.
    weights_from = list(accumulate(weights[name] for name in reversed(ordered)))[::-1]
    remaining = max(0.0, capacity)
    level = 0.0
    for name, weight in zip(ordered, weights_from, strict=True):
        wanted_level = demands[name] / weights[name]
        if wanted_level * weight >= remaining:
            return remaining / weight
        level = wanted_level
        remaining -= demands[name]
    return level


def fair_shares(
    demands: Mapping[str, float], weights: Mapping[str, float], capacity: float
) -> dict[str, float]:
    """Return the max-min fair division of a capacity among accounts by weight."""
    level = water_level(demands, weights, capacity)
    return {name: min(demand, weights[name] * level) for name, demand in demands.items()}


def weights_of(accounts: Iterable[Account]) -> dict[str, float]:
    """Return the weight of each account: its limit if that is in tokens, else the mean of those."""
    accounts = list(accounts)
    granted = {each.name: each.rate_per_s for each in accounts if _has_token_limit(each)}
    mean = sum(granted.values()) / len(granted) if granted else 1.0
    return {NO_ACCOUNT: mean} | {each.name: granted.get(each.name, mean) for each in accounts}


def _has_token_limit(account: Account) -> bool:
    return account.unit == TOKENS and account.rate_per_s > 0


class FairShares:
    """Counts the work of this node's callers, and compares that of all nodes with fair shares."""

    def __init__(self) -> None:
        self._weights = weights_of(())
        self._default_tokens: dict[str, float] = {}
        self._own: dict[str, WorkRate] = {}
        self._sizes = RequestSizes()
        self._peers: dict[str, NodeReport] = {}
        self._shares = Shares()
        self._computed_at: float | None = None

    def configure(self, accounts: Iterable[Account]) -> None:
        """Take weights from the accounts of a plan."""
        accounts = list(accounts)
        self._weights = weights_of(accounts)
        self._default_tokens = {
            each.name: each.default_tokens for each in accounts if each.unit == TOKENS
        }
        self._computed_at = None

    def count_offered(self, account: str | None, tokens: int, now: float) -> None:
        """Count a request that was admitted within its account's limit."""
        name = account or NO_ACCOUNT
        work = self._work(name, tokens)
        self._rate(name, now).offered += work / WINDOW_S
        self._sizes.add(work, now)

    def count_placed(self, account: str | None, tokens: int, now: float) -> None:
        """Count a request that was sent to a server for the first time."""
        name = account or NO_ACCOUNT
        self._rate(name, now).placed += self._work(name, tokens) / WINDOW_S

    def _work(self, account: str, tokens: int) -> float:
        return float(tokens) if tokens else self._default_tokens.get(account, 1.0)

    def _rate(self, account: str, now: float) -> WorkRate:
        rate = self._own.get(account)
        if rate is None:
            rate = self._own[account] = WorkRate(updated_at=now)
        rate.decay(now)
        return rate

    def report(self, now: float) -> Report:
        """Return the work of this node's callers, to send to other nodes."""
        self._decay_own(now)
        units = {
            name: (
                round(rate.offered / UNIT_TOKENS_PER_S),
                round(rate.placed / UNIT_TOKENS_PER_S),
            )
            for name, rate in self._own.items()
        }
        busy = [name for name, pair in units.items() if any(pair)]
        if len(busy) > MAX_REPORTED_ACCOUNTS:
            busy = sorted(busy, key=lambda name: -sum(units[name]))[:MAX_REPORTED_ACCOUNTS]
        return {name: units[name] for name in busy}

    def _decay_own(self, now: float) -> None:
        """Decay this node's rates, and drop those of accounts without work."""
        for rate in self._own.values():
            rate.decay(now)
        least = UNIT_TOKENS_PER_S / 2
        self._own = {
            name: rate
            for name, rate in self._own.items()
            if rate.offered >= least or rate.placed >= least
        }

    def record_peer(self, node: str, report: Report, now: float) -> None:
        """Replace the report of another node."""
        if report:
            kept = dict(islice(report.items(), MAX_REPORTED_ACCOUNTS))
            self._peers[node] = NodeReport(kept, now)
        else:
            self._peers.pop(node, None)

    def excess(self, account: str | None, now: float) -> float:
        """Return an account's recent work relative to its fair share; 1.0 is at its share.

        The share includes a margin for random arrivals, which matters for small accounts only. The
        result is 0.0 for an account without recent work, and 1.0 while there is no work at all.
        """
        shares = self.shares(now)
        if not shares.level:
            return 1.0
        name = account or NO_ACCOUNT
        share = self._weight(name) * shares.level
        margin = MARGIN_DEVIATIONS * self._sizes.deviation(share)
        return shares.placed.get(name, 0.0) / (share + margin)

    def above_share(self, now: float) -> dict[str, float]:
        """Return the excess of the accounts above their share, the largest first."""
        found = {name: self.excess(name, now) for name in self.shares(now).placed}
        above = {name: value for name, value in found.items() if value > 1}
        return dict(sorted(above.items(), key=lambda item: -item[1]))

    def shares(self, now: float) -> Shares:
        """Return the current shares, computed again when they are due (see `REFRESH_S`)."""
        due_s = REFRESH_S * max(1.0, len(self._peers) / REFRESH_PEERS)
        if self._computed_at is None or not 0 <= now - self._computed_at < due_s:
            self._shares = self._compute(now)
            self._computed_at = now
        return self._shares

    def _compute(self, now: float) -> Shares:
        self._decay_own(now)
        offered = {name: rate.offered for name, rate in self._own.items()}
        placed = {name: rate.placed for name, rate in self._own.items()}
        self._peers = {name: peer for name, peer in self._peers.items() if peer.weight(now)}
        for peer in self._peers.values():
            unit = UNIT_TOKENS_PER_S * peer.weight(now)
            for name, (peer_offered, peer_placed) in peer.report.items():
                offered[name] = offered.get(name, 0.0) + unit * max(0, peer_offered)
                placed[name] = placed.get(name, 0.0) + unit * max(0, peer_placed)
        if not any(placed.values()):
            return Shares(offered, placed)
        return Shares(offered, placed, self._level(offered, placed))

    def _level(self, offered: dict[str, float], placed: dict[str, float]) -> float:
        """Return the share of each unit of weight, from the work of all nodes."""
        # Requests are counted as placed a moment after they are counted as offered, so the decayed
        # rate of placed ones may be higher.
        demands = {name: max(offered[name], placed[name]) for name in offered}
        weights = {name: self._weight(name) for name in demands}
        return water_level(demands, weights, sum(placed.values()))

    def _weight(self, account: str) -> float:
        """Return an account's weight; one that is not in this node's plan has the usual one."""
        return self._weights.get(account, self._weights[NO_ACCOUNT])
