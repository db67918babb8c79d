"""Whether a node may take new requests, given how long ago it confirmed its bundle."""

from dataclasses import dataclass
from enum import StrEnum


class Verdict(StrEnum):
    """Whether new requests are taken."""

    SERVE = "serve"
    UNCONFIRMED = "unconfirmed"
    ISOLATED = "isolated"


@dataclass(frozen=True, slots=True)
class Freshness:
    """What a node knows about the head; times are seconds ago, None meaning never."""

    version: int
    confirmed_ago_s: float | None
    peer_contact_ago_s: float | None
    peer_count: int
    newest_version_seen: int


def decide_verdict(view: Freshness, grace_s: float) -> Verdict:
    """Decide whether to take new requests.

    A node serves nothing before it has confirmed a head. After that, an outage of the table
    stops nobody, since no bundle can be accepted during it; but a node that hears neither the
    table nor any peer may be the only one that is cut off, and after a grace takes no new work.
    A node that knows of a newer version than its own doesn't serve by the old one.
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
