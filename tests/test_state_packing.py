"""Packed states unpack as they were sent or not at all, whichever ones were lost or corrupted."""

import unittest

import msgspec
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from moledale.gateway.gossip import PackedState, StateNews
from moledale.gateway.peers import ALIVE_TIMEOUT_LARGE_S, Membership
from moledale.gateway.state_packing import (
    ROUNDS_PER_SNAPSHOT,
    StatePacker,
    StateUnpacker,
    pack_snapshot,
)
from tests.gateway_states import make_state

ACCOUNTS = [f"account{number}" for number in range(19)]
SERVERS = [f"i-{number:010x}" for number in range(39)]
PEERS = ["n3:2", "n4:2"]
MAX_MEAN_STATE_BYTES = 700
"""Limit for the mean size of a packed state; unpacked it has 2.1 KB."""


def make_state_news(sequence: int, node: str = "n2", incarnation: int = 1) -> StateNews:
    """Return a state like that of a serving node after some rounds."""
    started = {window: dict.fromkeys(ACCOUNTS, 90 + window) for window in range(6)}
    started[5] = {name: sequence + index for index, name in enumerate(ACCOUNTS)}
    return StateNews(
        make_state(
            node,
            life=incarnation,
            sequence=sequence,
            serving=True,
            started=started,
            spent={name: 1_000.0 * index + sequence for index, name in enumerate(ACCOUNTS)},
            loads={
                name: (index * sequence % 6, index * sequence * 97 % 20_000)
                for index, name in enumerate(SERVERS)
            },
        ),
        [],
    )


class PackingTest(unittest.TestCase):
    def test_states_unpack_unchanged(self) -> None:
        packer, unpacker = StatePacker(), StateUnpacker()
        for sequence in range(1, 3 * ROUNDS_PER_SNAPSHOT):
            sent = make_state_news(sequence)
            self.assertEqual(unpacker.unpack(packer.pack(sent, PEERS)), sent)

    def test_deltas_are_small(self) -> None:
        packer = StatePacker()
        sizes = [
            len(msgspec.msgpack.encode(packer.pack(make_state_news(sequence), PEERS)))
            for sequence in range(1, 1 + 4 * ROUNDS_PER_SNAPSHOT)
        ]
        self.assertGreater(len(msgspec.msgpack.encode(make_state_news(1))), 2_000)
        self.assertLess(sum(sizes) / len(sizes), MAX_MEAN_STATE_BYTES)

    def test_node_that_missed_a_snapshot_waits_for_the_next_one(self) -> None:
        packer, unpacker = StatePacker(), StateUnpacker()
        unpacked = [
            unpacker.unpack(packer.pack(make_state_news(number), PEERS))
            for number in range(1, 3 * ROUNDS_PER_SNAPSHOT)
        ]
        self.assertNotIn(None, unpacked)
        late = StateUnpacker()
        packer = StatePacker()
        packer.pack(make_state_news(1), PEERS)
        unpacked = [
            late.unpack(packer.pack(make_state_news(number), PEERS))
            for number in range(2, 2 + 2 * ROUNDS_PER_SNAPSHOT)
        ]
        self.assertEqual(unpacked[: ROUNDS_PER_SNAPSHOT - 1], [None] * (ROUNDS_PER_SNAPSHOT - 1))
        self.assertNotIn(None, unpacked[ROUNDS_PER_SNAPSHOT - 1 :])

    def test_unreadable_state_shows_that_its_node_is_alive(self) -> None:
        members = Membership("n1", 1)
        members.merge(make_state("n2", life=7), 0.0)
        members.record_alive("n2", 7, 2.0)
        members.record_alive("n2", 8, 9.0)
        self.assertEqual([each.id for each in members.alive(2.5)], ["n2"])
        self.assertEqual(members.alive(2.0 + ALIVE_TIMEOUT_LARGE_S), [])

    def test_new_target_gets_a_snapshot_at_once(self) -> None:
        packer, newcomer = StatePacker(), StateUnpacker()
        packer.pack(make_state_news(1), PEERS)
        sent = make_state_news(2)
        self.assertEqual(newcomer.unpack(packer.pack(sent, [*PEERS, "n5:2"])), sent)
        self.assertEqual(
            newcomer.unpack(packer.pack(make_state_news(3), PEERS)), make_state_news(3)
        )

    def test_brief_state_is_no_base(self) -> None:
        packer, unpacker = StatePacker(), StateUnpacker()
        unpacker.unpack(packer.pack(make_state_news(1), PEERS))
        brief = StateNews(make_state_news(2).state.without_counts(), [])
        self.assertEqual(unpacker.unpack(pack_snapshot(brief)), brief)
        self.assertEqual(
            unpacker.unpack(packer.pack(make_state_news(3), PEERS)), make_state_news(3)
        )

    @settings(
        derandomize=True,
        max_examples=150,
        deadline=None,
        suppress_health_check=[HealthCheck.differing_executors],
    )
    @given(st.data())
    def test_lost_duplicate_late_and_corrupt_states_unpack_correctly_or_to_none(
        self, data: st.DataObject
    ) -> None:
        incarnations = [data.draw(st.integers(1, 3)) for _ in range(2)]
        sent: list[tuple[StateNews, PackedState]] = []
        for incarnation in incarnations:
            packer = StatePacker()
            for sequence in range(1, 2 * ROUNDS_PER_SNAPSHOT):
                each = make_state_news(sequence, incarnation=incarnation)
                sent.append((each, packer.pack(each, PEERS)))
        unpacker = StateUnpacker()
        picked = st.lists(st.sampled_from(range(len(sent))), max_size=30)
        for index in data.draw(picked):
            expected, packed = sent[index]
            if data.draw(st.integers(0, 9)) == 0:
                frame = bytearray(packed.frame)
                frame[data.draw(st.integers(0, len(frame) - 1))] ^= 1 << data.draw(
                    st.integers(0, 7)
                )
                packed = msgspec.structs.replace(packed, frame=bytes(frame))
            self.assertIn(unpacker.unpack(packed), (None, expected))


if __name__ == "__main__":
    unittest.main()
