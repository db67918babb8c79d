"""Bytes that nodes send to tell each other which software version began a stream.

Run with `python -m bench.stream_origins`. While a service has several versions, each serving node
tells of the streams that begin there, with the product's own code; streams begin at random times.
Bytes are those of the encoded messages and their IP and UDP headers. Received bytes are means: a
small cluster tells all nodes, a large one only those that serve.
"""

import asyncio
import random
import sys
from dataclasses import dataclass

import msgspec

from moledale.gateway.peers import Membership, NodeState, Standing
from moledale.streams.origins import BATCH_S, OriginMessage, StreamOrigins, digest_of
from moledale.streams.version_history import VersionHistory

RUN_DURATION_S = 20.0
DATAGRAM_HEADER_BYTES = 28
SERVICE = "model"
VERSIONS = ("v1.1", "v1.2")


@dataclass(frozen=True, slots=True)
class Scenario:
    """The nodes, how many of them serve, and the streams that begin in a second at all of them."""

    nodes: int
    serving: int
    streams_per_s: float


SCENARIOS = (
    Scenario(9, 4, 31.0),
    Scenario(81, 20, 300.0),
    Scenario(195, 60, 1_500.0),
    Scenario(390, 120, 5_000.0),
)


def state_of(number: int, scenario: Scenario) -> NodeState:
    """Return the state of a node; the first ones serve."""
    name = f"n{number}"
    return NodeState(
        name, 1, 1, "hall-a", f"{name}:1", f"{name}:2", f"{name}:3", Standing.READY, 1,
        {}, {}, {}, {}, {}, serving=number < scenario.serving, origins=True,
    )  # fmt: skip


class Meter:
    """Counts the bytes and datagrams of sent messages."""

    def __init__(self) -> None:
        self.bytes = 0
        self.datagrams = 0

    def send(self, message: OriginMessage, addresses: list[str]) -> None:
        """Count a message to some addresses."""
        size = len(msgspec.msgpack.encode(message)) + DATAGRAM_HEADER_BYTES
        self.bytes += size * len(addresses)
        self.datagrams += len(addresses)


async def _read_recent(_service: str) -> frozenset[str]:
    """Return the versions as a store does that names them all."""
    return frozenset(VERSIONS)


async def measure(scenario: Scenario, seed: int = 1) -> Meter:
    """Return what one serving node sends while streams begin there."""
    rng = random.Random(seed)
    history = VersionHistory()
    history.observe((SERVICE, version) for version in VERSIONS)
    members = Membership("n0", 1)
    for number in range(1, scenario.nodes):
        members.merge(state_of(number, scenario), 0.0)
    meter = Meter()
    origins = StreamOrigins(
        "n0:2", history, members, meter.send, _read_recent, lambda _: {}, lambda: 0.0
    )
    expected = scenario.streams_per_s / scenario.serving * BATCH_S
    for batch in range(round(RUN_DURATION_S / BATCH_S)):
        began = int(expected) + (rng.random() < expected % 1.0)
        streams = {digest_of(f"{batch}-{number}"): rng.choice(VERSIONS) for number in range(began)}
        origins._untold.update(streams)
        origins._send_untold()
    return meter


def main() -> int:
    """Print a table of all scenarios; return the exit code."""
    print("nodes  serving  streams/s  sent by a serving node  received by one told  datagrams/s")
    for scenario in SCENARIOS:
        meter = asyncio.run(measure(scenario))
        sent = meter.bytes / RUN_DURATION_S
        told = scenario.nodes if scenario.nodes < 18 else scenario.serving
        received = sent * scenario.serving / told
        print(
            f"{scenario.nodes:5}  {scenario.serving:7}  {scenario.streams_per_s:9.0f}"
            f"  {sent:18.0f} B/s  {received:16.0f} B/s  {meter.datagrams / RUN_DURATION_S:11.0f}"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
