"""Prints what news between gateway nodes cost at several sizes: the real choice and encoding.

Nodes, halls and servers are made up; nothing is sent. Bytes are those of datagrams without the
headers of UDP and IP (28 bytes each).
"""

import argparse
import random
import time

import msgspec

from moledale.gateway.directory import should_serve
from moledale.gateway.gossip import StateNews
from moledale.gateway.neighbours import ROUND_S, Neighbours
from moledale.gateway.peers import LeaseNews, Membership, NodeState, Standing
from moledale.gateway.server_list import ListHead, ServerChange
from moledale.gateway.state_packing import KEY_EVERY, StatePacker, pack_alone

SIZES = ((9, 4), (91, 4), (390, 7))
ROUNDS = 50
ACCOUNTS = 16
SERVERS_FOLLOWED = 32
READ_EVERY_S = 0.8
CHANGED_LOADS = 0.5
"""Part of the servers whose load differs from one state to the next."""

CONTROL = "10.1.0.14:8229"


def a_state(number: int, halls: int, busy: bool) -> NodeState:
    """Return what a node tells, with counts and loads where it serves."""
    accounts = {f"account{n}": 1_000 + n for n in range(ACCOUNTS)} if busy else {}
    return NodeState(
        f"front-hall-{number % halls}-{number}",
        7 * 10**13 + number,
        1_000,
        f"hall-{number % halls}",
        "10.1.0.14:8221",
        f"10.1.{number // 250}.{number % 250}:7600",
        CONTROL,
        int(Standing.READY),
        7,
        {353445120 + n: accounts for n in range(6)} if busy else {},
        {name: float(value) for name, value in accounts.items()},
        {f"i-{n:010x}": (3, 9_000) for n in range(SERVERS_FOLLOWED)} if busy else {},
        {"model": (400, 3), "plain": (200, 9)} if busy else {},
        {"model": 10**8} if busy else {},
        False,
        10.0,
        0.5,
        1e9,
        None,
    )


def serving_among(states: list[NodeState]) -> list[NodeState]:
    """Return the states once each node has decided whether it serves."""
    for _ in range(3):
        states = [
            msgspec.structs.replace(
                state,
                serving=should_serve(
                    state, [each for each in states if each.hall == state.hall and each != state]
                ),
            )
            for state in states
        ]
    return states


def on_the_wire(own: NodeState, few: bool) -> float:
    """Return the mean size of a state as sent, with counts that change from round to round."""
    if few:
        return len(msgspec.msgpack.encode(StateNews(own, [])))
    packer = StatePacker()
    sizes = []
    for number in range(KEY_EVERY):
        chance = random.Random(number)
        changed = msgspec.structs.replace(
            own,
            sequence=own.sequence + number,
            spent={name: value + 97.0 * number for name, value in own.spent.items()},
            loads={
                name: (chance.randrange(6), chance.randrange(20_000))
                if chance.random() < CHANGED_LOADS
                else load
                for name, load in own.loads.items()
            },
        )
        sizes.append(len(msgspec.msgpack.encode(packer.pack(StateNews(changed, []), []))))
    return sum(sizes) / len(sizes)


def cost_of(own: NodeState, states: list[NodeState]) -> tuple[float, float]:
    """Return datagrams and bytes a second that a node sends."""
    members = Membership(own.id, own.life)
    neighbours = Neighbours(members, own.peer, 0.0)
    for state in states:
        members.heard(state, 10.0)
        neighbours.addresses.add(state.peer, 10.0)
    neighbours.serving = own.serving
    size = on_the_wire(own, not neighbours.many(10.0))
    short = len(msgspec.msgpack.encode(pack_alone(StateNews(own.shortened(), []))))
    whole = brief = 0
    for number in range(ROUNDS):
        now = 10.0 + number * ROUND_S / 100
        targets = neighbours.targets(own, now)
        whole += len(targets)
        brief += len(neighbours.reserves(targets, now))
    seconds = ROUNDS * ROUND_S
    return (whole + brief) / seconds, (whole * size + brief * short) / seconds


def main() -> None:
    """Print the table."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    print("| nodes, halls | role | sent/s | bytes/s | a state | received bytes/s of a reserve |")
    print("|---|---|---|---|---|---|")
    for nodes, halls in SIZES:
        states = serving_among([a_state(n, halls, False) for n in range(nodes)])
        serving = [state for state in states if state.serving]
        busy = [
            msgspec.structs.replace(a_state(states.index(state), halls, True), serving=True)
            for state in serving
        ]
        reserve = next(state for state in states if not state.serving)
        few = nodes <= 17
        sizes = [on_the_wire(state, few) for state in (busy[0], reserve)]
        short = len(msgspec.msgpack.encode(pack_alone(StateNews(busy[0].shortened(), []))))
        heard = len(serving) * (sizes[0] / ROUND_S if few else short)
        for name, own, size in (("serving", busy[0], sizes[0]), ("reserve", reserve, sizes[1])):
            rate, volume = cost_of(own, states)
            sent = f"{rate:.1f} | {volume:.0f} | {size:.0f}"
            print(f"| {nodes}, {halls} | {name} | {sent} | {heard:.0f} |")
        same = len(msgspec.msgpack.encode(ServerChange(ListHead(1, 2**63, 0.1), 2**63, CONTROL)))
        told = nodes if few else len(serving)
        print(f"| {nodes}, {halls} | reader, list unchanged | {told / READ_EVERY_S:.0f} |"
              f" {told * same / READ_EVERY_S:.0f} | {same} | |")  # fmt: skip
    began = time.perf_counter()
    data = msgspec.msgpack.encode(StateNews(a_state(1, 4, True), []))
    for _ in range(2_000):
        msgspec.msgpack.decode(data, type=StateNews)
    took = (time.perf_counter() - began) / 2_000
    lease = LeaseNews(1, 1, 0.0)
    print(f"\nreading one state: {took * 1e6:.0f} us; a lease's news: "
          f"{len(msgspec.msgpack.encode(lease))} bytes")  # fmt: skip


if __name__ == "__main__":
    main()
