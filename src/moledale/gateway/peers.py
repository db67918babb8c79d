"""What nodes tell each other: each node's own state, newest first, and who is there.

A state holds counters that only grow within one life of a process, so a message that is lost,
late or doubled changes nothing, and what a node counted outlives it at its peers.
"""

from enum import IntEnum

import msgspec

from moledale.core.rollout_evidence import Evidence
from moledale.core.rollouts import RolloutNews
from moledale.gateway.server_list import ListHead
from moledale.gateway.server_model import Speed
from moledale.gateway.stated_limit import LimitNews
from moledale.gateway.store_era import UNKNOWN_ERA, EraNews, EraVersion

ALIVE_TIMEOUT_S = 1.0
"""A node not heard of for this long takes no part in choices, while all hear all each round."""

ALIVE_TIMEOUT_LARGE_S = 2.5
"""The same where nodes are many, and those in reserve hear of others each second."""

MAX_MESH_MEMBERS = 16
"""Up to so many others, all tell all each round (see `neighbours.MAX_MESH_PEERS`)."""

MEMBER_RETENTION_S = 40.0
"""A node's last counts are kept this long after it was last heard of."""


Loads = dict[str, tuple[int, int]]
"""Requests that a node has running, and prompt tokens of them still to be read, by server."""


class Standing(IntEnum):
    """Life cycle of a node."""

    STARTING = 0
    READY = 1
    LEAVING = 2


class LeaseNews(msgspec.Struct, array_like=True):
    """The lease as its holder last wrote it; `age_s` counts from before the write was sent.

    `era` is that of the version, unknown from earlier builds.
    """

    fence: int
    version: int
    age_s: float
    era: int = UNKNOWN_ERA

    @property
    def at(self) -> EraVersion:
        """Return the version with its era."""
        return EraVersion(self.era, self.version)


class HeldLease(msgspec.Struct, array_like=True):
    """A lease that another node holds, as its holder told it."""

    holder: str
    news: LeaseNews


class TrialCounts(msgspec.Struct, array_like=True):
    """What a node saw of a new version: its requests for the service since the trial began, those
    that it sent to the new version, and how the answers came."""

    revision: int
    requests: int = 0
    tried: int = 0
    seen: Evidence = msgspec.field(default_factory=Evidence)


class NodeState(msgspec.Struct, array_like=True):
    """All that a node tells of itself; `life` is new at each start of its process.

    `age_s` is the time since this life began. `store_age_s` is the time since the store answered
    its watch, endless while it does not.
    `lease_heard` is the lease that its holder told this node, for nodes that don't hear the holder.
    `servers` is the list of backend servers that it has. `rollouts` are the roll-outs of versions
    that it knows, and `trials` what it saw of those that are not decided on, by service. `blocks`
    is a digest of the requests that get no server there, None while it was not told of any.
    `leaving` are servers that said in answers that they leave, while the list does not say so, and
    `declined` those that turned requests of this node away, with the seconds that are left.
    `limits` are those that servers named to this node, None from builds that know of none.
    `formats` is a digest of what its build tells others, empty from builds that tell none.
    `era` is that of the store, None from builds that know of none.
    Builds of two versions hear each other while nodes are replaced one by one, so new fields come
    last, with a default, and none is ever taken out.
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

    def without_counts(self) -> "NodeState":
        """Return the state without most counts, for nodes that only need to know who is there.

        What accounts spent stays: callers may come to any node at any moment, and one that did not
        hear of it would grant the limits anew.
        """
        return msgspec.structs.replace(
            self, started={}, loads={}, sends={}, work={}, trials={}, brief=True
        )

    def with_counts_of(self, earlier: "NodeState") -> "NodeState":
        """Return a shortened state with the counts that were told before in the same life."""
        return msgspec.structs.replace(
            self,
            started=earlier.started,
            loads=earlier.loads,
            sends=earlier.sends,
            work=earlier.work,
            trials=earlier.trials,
            brief=earlier.brief,
        )


def _serves(state: NodeState) -> bool:
    return state.serving and state.standing != Standing.LEAVING


class Member(msgspec.Struct):
    """A node as this one knows it."""

    state: NodeState
    last_seen_at: float


class Membership(msgspec.Struct):
    """Every node heard of, this one left out; earlier lives are kept for their counts."""

    own_id: str
    own_incarnation: int
    members: dict[str, Member] = msgspec.field(default_factory=dict)
    former: list[Member] = msgspec.field(default_factory=list)

    def merge(self, state: NodeState, now: float) -> NodeState | None:
        """Take over a newer state; return the one before it of the same life.

        The state itself is returned where nothing was known of that life.
        """
        if state.id == self.own_id:
            if state.life != self.own_incarnation:
                self._record_former(state, now)
            return None
        known = self.members.get(state.id)
        if known is None:
            self.members[state.id] = Member(state, now)
            return state
        before = known.state
        if before.life == state.life:
            if state.sequence <= before.sequence:
                return None
            if state.brief:
                state = state.with_counts_of(before)
            self.members[state.id] = Member(state, now)
            return before
        if any(each.state.life == state.life for each in self.former):
            return None
        self.former.append(known)
        self.members[state.id] = Member(state, now)
        return state

    def record_alive(self, node: str, life: int, now: float) -> None:
        """Note that a node lives whose state could not be read."""
        known = self.members.get(node)
        if known is not None and known.state.life == life:
            known.last_seen_at = now

    def state_of(self, node: str, life: int, sequence: int) -> NodeState | None:
        """Return a node's state if it is of this life and not newer than `sequence`."""
        known = self.members.get(node)
        if known is None or known.state.life != life or known.state.sequence > sequence:
            return None
        return known.state

    def _record_former(self, state: NodeState, now: float) -> None:
        for each in self.former:
            if each.state.id == state.id and each.state.life == state.life:
                return
        self.former.append(Member(state, now))

    def alive(self, now: float) -> list[NodeState]:
        """Return the nodes heard of lately."""
        limit = ALIVE_TIMEOUT_S if len(self.members) <= MAX_MESH_MEMBERS else ALIVE_TIMEOUT_LARGE_S
        return [each.state for each in self.members.values() if now - each.last_seen_at < limit]

    def reachable_share(self, now: float) -> float:
        """Return the part of the nodes that serve which is heard, this one with them.

        One that fell silent without saying that it leaves may live behind a cut. Nodes in reserve
        are left out: where nodes are many, those of other halls are hardly heard in any case.
        """
        known = sum(_serves(each.state) for each in self.members.values())
        heard = sum(_serves(state) for state in self.alive(now))
        return (1 + heard) / (1 + known)

    def all_states(self) -> list[NodeState]:
        """Return the last state of each life of each node still remembered."""
        return [each.state for each in (*self.members.values(), *self.former)]

    def forget_old(self, now: float) -> None:
        """Forget nodes that were not heard of for long."""
        self.former = [each for each in self.former if now - each.last_seen_at < MEMBER_RETENTION_S]
        gone = [
            name
            for name, each in self.members.items()
            if now - each.last_seen_at > MEMBER_RETENTION_S
        ]
        for name in gone:
            del self.members[name]
