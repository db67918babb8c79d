"""Decides whether a node may accept new requests, by how recently it confirmed its bundle."""

from dataclasses import dataclass
from enum import StrEnum


class Verdict(StrEnum):
    """Whether a node accepts new requests, and if not, why.

    `UNCONFIRMED`: it has not confirmed its bundle as the newest. `ISOLATED`: it has reached neither
    the table nor any peer for too long.
    """

    SERVE = "serve"
    UNCONFIRMED = "unconfirmed"
    ISOLATED = "isolated"


@dataclass(frozen=True, slots=True)
class Freshness:
    """What a node knows about the bundle's head and its own connectivity.

    Fields ending in `_ago_s` are seconds since the event; None means that it never happened.
    `peer_count` is the number of other nodes in the instance list.
    """

    version: int
    confirmed_ago_s: float | None
    peer_contact_ago_s: float | None
    peer_count: int
    newest_version_seen: int


def decide_verdict(view: Freshness, grace_s: float) -> Verdict:
    """Decide whether to accept new requests.

    A node serves nothing before it has confirmed a head. After that, an outage of the table stops
    no node, since no new bundle can become the head during it. But a node that reaches neither the
    table nor any peer may be the only one that is cut off, so it accepts no new work after a grace
    period of `grace_s`. A node that knows of a newer version than its own accepts no requests until
    it has adopted that version.
    """
    if view.version == 0 or view.confirmed_ago_s is None:
        return Verdict.UNCONFIRMED
    if view.newest_version_seen > view.version:
        return Verdict.UNCONFIRMED
    if view.confirmed_ago_s <= grace_s:
        return Verdict.SERVE
    if view.peer_count == 0:
        return Verdict.SERVE
    if view.peer_contact_ago_s is not None and view.peer_contact_ago_s <= grace_s:
        return Verdict.SERVE
    return Verdict.ISOLATED
