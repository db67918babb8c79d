"""Node state exchanged by gossip, and the membership view built from it.

Counters in a state only grow within one incarnation of a process. A lost, late or duplicated
message therefore does no harm, and peers still hold a node's counts after it has gone.
"""

from enum import IntEnum

import msgspec

from moledale.core.rollout_evidence import Evidence
from moledale.core.rollouts import RolloutNews
from moledale.gateway.brittle import BrittleNews
from moledale.gateway.server_list import ListHead
from moledale.gateway.server_model import Speed
from moledale.gateway.stated_limit import LimitNews
from moledale.gateway.store_era import UNKNOWN_ERA, EraNews, EraVersion

ALIVE_TIMEOUT_S = 1.0
"""A node that was silent for this long is left out of decisions, while gossip is full mesh."""

ALIVE_TIMEOUT_LARGE_S = 2.5
"""The same in a large cluster, where nodes in reserve get states of others once a second."""

MAX_MESH_MEMBERS = 16
"""Up to this many other nodes, gossip is full mesh (see `neighbours.MAX_MESH_PEERS`)."""

NEVER = -1e9
"""Monotonic time of something that did not happen."""

MEMBER_RETENTION_S = 40.0
"""A node's last state is kept for this long after its last message."""


Loads = dict[str, tuple[int, int]]
"""By server: requests that a node has running there, and their prompt tokens left to prefill."""


class Standing(IntEnum):
    """Life cycle of a node."""

    STARTING = 0
    READY = 1
    LEAVING = 2


class LeaseNews(msgspec.Struct, array_like=True):
    """The lease as its holder last wrote it; `age_s` counts from before the write was sent.

    `era` is the store era of `version`, unknown in messages of earlier builds. `former` has the
    seconds since the end of each recent tenure of another holder, None if some may be missing.
    """

    fence: int
    version: int
    age_s: float
    era: int = UNKNOWN_ERA
    former: dict[str, float] | None = None

    @property
    def at(self) -> EraVersion:
        """Return the version with its era."""
        return EraVersion(self.era, self.version)


class HeldLease(msgspec.Struct, array_like=True):
    """A lease that another node holds, as received from its holder."""

    holder: str
    news: LeaseNews


class TrialCounts(msgspec.Struct, array_like=True):
    """A node's evidence on a new version: its requests for the service since the trial began, those
    that it sent to the new version, and the outcomes of the answers."""

    revision: int
    requests: int = 0
    tried: int = 0
    seen: Evidence = msgspec.field(default_factory=Evidence)


class NodeState(msgspec.Struct, array_like=True):
    """The state that a node sends to others; `life` is new at each start of its process.

    `peer` is the node's gossip address and `control` its address for control requests.
    `plan_version` is -1 without a plan. `started` counts started requests by usage window and
    account, `spent` what the node granted of each account's limit, `sends` requests and retries
    within the retry window by service, and `work` the prefill work placed by service. `power` is
    the node's capacity (see `directory.power_of`), `offset_s` how far its time of day is ahead of
    the store's clock, and `speeds` are its estimates by service. A `brief` state lacks most counts.
    `age_s` is the time since the process started. `store_age_s` is the time since the store last
    answered its watch, and grows without bound while it does not.
    `lease_heard` is the lease as received from its holder, relayed to nodes that have no contact
    with the holder. `servers` identifies the list of backend servers that the node has. `rollouts`
    are the version roll-outs that it knows, and `trials` its evidence on the undecided ones, by
    service. `blocks` is a digest of the requests that get no server there, None before it received
    any. `leaving` are servers that announced in answers that they leave, until the list marks them
    as leaving, and `declined` those that rejected requests of this node, with the seconds left of
    their backoff. `limits` are those that servers stated to this node, None from builds without
    limits. `formats` is a digest of the formats that its build sends, empty from builds without
    one. `era` is that of the store, None from builds without eras. `shares` is the work of client
    accounts at this node (see `fair_shares.Report`), None in states that do not tell it.
    `performance` is what the node itself observed of the speed of some servers (see
    `scheduling.speed_reports`), empty in states that do not tell it. `claims` is what its requests
    take at the servers in `loads`, in their order (see
    `scheduling.engine_memory.EngineClaims.report`). `relays` is set if the node takes requests from
    peers on connections to `peer`. `unreachable` are the services of which it reaches no server,
    and `reached` those of which it reached one recently. `cut_off` is set if it does not reach a
    service that other nodes reach. `brittle` are the statements of brittle servers that it received
    itself, by service. `origins` is set if the node reads which versions began streams (see
    `streams.origins`), and `part_news` if it reads which parts of prompts may crash servers.
    `server_checks` is set if it answers whether a server takes connections, and `registers` if it
    begins streams only at versions that the store names (see `streams.version_register`).
    Two builds exchange states during a rolling replacement, so new fields are added last with a
    default, and none is ever removed.
    """

    id: str
    life: int
    sequence: int
    hall: str
    address: str
    peer: str
    control: str
    standing: int
    plan_version: int
    started: dict[int, dict[str, int]]
    spent: dict[str, float]
    loads: Loads
    sends: dict[str, tuple[int, int]]
    work: dict[str, int]
    serving: bool = False
    power: float = 0.0
    store_age_s: float = 1e9
    offset_s: float | None = None
    lease: LeaseNews | None = None
    brief: bool = False
    lease_heard: HeldLease | None = None
    requests_per_s: float = 0.0
    speeds: dict[str, Speed] = {}
    age_s: float = 1e9
    servers: ListHead | None = None
    rollouts: list[RolloutNews] = []
    trials: dict[str, TrialCounts] = {}
    blocks: int | None = None
    leaving: list[str] = []
    declined: dict[str, float] = {}
    limits: dict[str, LimitNews] | None = None
    formats: str = ""
    era: EraNews | None = None
    shares: dict[str, tuple[int, int]] | None = None
    performance: bytes = b""
    claims: bytes = b""
    relays: bool = False
    unreachable: list[str] = []
    reached: list[str] = []
    cut_off: bool = False
    brittle: dict[str, BrittleNews] = {}
    origins: bool = False
    part_news: bool = False
    server_checks: bool = False
    registers: bool = False

    def without_counts(self) -> "NodeState":
        """Return a brief state without most counts, for nodes that only need the membership.

        What accounts spent is kept: callers may connect to any node at any time, and a node that
        does not know it would grant the limits a second time.
        """
        return msgspec.structs.replace(
            self,
            started={},
            loads={},
            sends={},
            work={},
            trials={},
            shares=None,
            performance=b"",
            claims=b"",
            brief=True,
        )

    def with_counts_of(self, earlier: "NodeState") -> "NodeState":
        """Return a brief state with the counts of an earlier one of the same incarnation."""
        return msgspec.structs.replace(
            self,
            started=earlier.started,
            loads=earlier.loads,
            sends=earlier.sends,
            work=earlier.work,
            trials=earlier.trials,
            performance=earlier.performance,
            claims=earlier.claims,
            brief=earlier.brief,
        )


def serves(state: NodeState) -> bool:
    """Return whether a node serves callers and is not leaving."""
    return state.serving and state.standing != Standing.LEAVING


def _counted_at(state: NodeState, now: float) -> float:
    """Return when the counts of a node's first known state arrived."""
    return NEVER if state.brief else now


class Member(msgspec.Struct):
    """The last state of another node and when it was last heard from.

    `received_at` is when the state arrived; later ones may not have been readable. `counted_at` is
    when its counts arrived; brief states since then have none. `check_told_at` is when the store
    last answered the node's watch, by a message of its own.
    """

    state: NodeState
    last_seen_at: float
    received_at: float = 0.0
    counted_at: float = NEVER
    check_told_at: float = NEVER

    @property
    def store_answered_at(self) -> float:
        """Return when the store last answered the node's watch."""
        return max(self.received_at - self.state.store_age_s, self.check_told_at)


class Membership(msgspec.Struct):
    """All known nodes except this one; former incarnations are kept for their counts.

    `_lost` has the ids of forgotten nodes that fell silent without leaving.
    """

    own_id: str
    own_incarnation: int
    members: dict[str, Member] = msgspec.field(default_factory=dict)
    former: list[Member] = msgspec.field(default_factory=list)
    _lost: set[str] = msgspec.field(default_factory=set)

    def merge(self, state: NodeState, now: float) -> NodeState | None:
        """Merge a newer state; return the previous one of the same incarnation.

        Return the state itself if that incarnation was unknown, None if the state is outdated or
        belongs to this node.
        """
        if state.id == self.own_id:
            if state.life != self.own_incarnation:
                self._record_former(state, now)
            return None
        self._lost.discard(state.id)
        known = self.members.get(state.id)
        if known is None:
            self.members[state.id] = Member(state, now, now, _counted_at(state, now))
            return state
        before = known.state
        if before.life == state.life:
            if state.sequence <= before.sequence:
                return None
            counted_at = now
            if state.brief:
                state = state.with_counts_of(before)
                counted_at = known.counted_at
            elif not state.performance and before.performance:
                # Reports come in few states, and are read less often than states arrive.
                state = msgspec.structs.replace(state, performance=before.performance)
            self.members[state.id] = Member(state, now, now, counted_at)
            return before
        if any(each.state.life == state.life for each in self.former):
            return None
        self.former.append(known)
        self.members[state.id] = Member(state, now, now, _counted_at(state, now))
        return state

    def record_alive(self, node: str, incarnation: int, now: float) -> None:
        """Record that a node is alive although its state could not be unpacked."""
        known = self.members.get(node)
        if known is not None and known.state.life == incarnation:
            known.last_seen_at = now

    def record_store_check(self, node: str, incarnation: int, at: float) -> None:
        """Record when the store answered a node's watch, as the node told between its states."""
        known = self.members.get(node)
        if known is not None and known.state.life == incarnation:
            known.check_told_at = max(known.check_told_at, at)

    def answered_since(self, at: float, now: float) -> list[NodeState]:
        """Return the live nodes whose watch the store answered at a time or later."""
        alive = self._alive_members(now)
        return [each.state for each in alive if each.store_answered_at >= at]

    def state_of(self, node: str, incarnation: int, sequence: int) -> NodeState | None:
        """Return a node's state if it is of this incarnation and not newer than `sequence`."""
        known = self.members.get(node)
        if known is None or known.state.life != incarnation or known.state.sequence > sequence:
            return None
        return known.state

    def _record_former(self, state: NodeState, now: float) -> None:
        for each in self.former:
            if each.state.id == state.id and each.state.life == state.life:
                return
        self.former.append(Member(state, now, now, _counted_at(state, now)))

    def alive(self, now: float) -> list[NodeState]:
        """Return the states of nodes that were heard from recently."""
        return [each.state for each in self._alive_members(now)]

    def all_counted_since(self, at: float, now: float) -> bool:
        """Return whether the counts of all nodes that are alive arrived at a time or later."""
        return all(each.counted_at >= at for each in self._alive_members(now))

    def _alive_members(self, now: float) -> list[Member]:
        limit = ALIVE_TIMEOUT_S if len(self.members) <= MAX_MESH_MEMBERS else ALIVE_TIMEOUT_LARGE_S
        return [each for each in self.members.values() if now - each.last_seen_at < limit]

    def reachable_share(self, now: float) -> float:
        """Return the share of serving nodes that is reachable, this one included.

        A node that fell silent without leaving may be alive behind a network partition. Nodes in
        reserve are left out: in a large cluster those of other halls send little in any case.
        """
        known = sum(serves(each.state) for each in self.members.values())
        reachable = sum(serves(state) for state in self.alive(now))
        return (1 + reachable) / (1 + known)

    def any_silent(self, now: float) -> bool:
        """Return whether a node fell silent without leaving, a forgotten one included.

        It may be alive behind a network partition for longer than it is kept.
        """
        silent = self.members.keys() - {state.id for state in self.alive(now)}
        return bool(self._lost) or any(self._is_unexplained(name) for name in silent)

    def _is_unexplained(self, name: str) -> bool:
        """Return whether a silent node did not say that it leaves."""
        return self.members[name].state.standing != Standing.LEAVING

    def all_states(self) -> list[NodeState]:
        """Return the last state of each incarnation of each node that is still kept."""
        return [each.state for each in (*self.members.values(), *self.former)]

    def forget_old(self, now: float) -> None:
        """Drop nodes that were silent for longer than `MEMBER_RETENTION_S`."""
        self.former = [each for each in self.former if now - each.last_seen_at < MEMBER_RETENTION_S]
        gone = [
            name
            for name, each in self.members.items()
            if now - each.last_seen_at > MEMBER_RETENTION_S
        ]
        self._lost.update(filter(self._is_unexplained, gone))
        for name in gone:
            del self.members[name]
