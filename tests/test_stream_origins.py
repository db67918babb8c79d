"""Which versions may have begun a stream, and who is told of it."""

import unittest

import msgspec

from moledale.gateway.peers import Membership, NodeState, Standing
from moledale.streams.origins import (
    DIGEST_BYTES,
    KEEPERS,
    OriginAnswer,
    OriginAsk,
    OriginMessage,
    OriginNews,
    StreamOrigins,
    digest_of,
    keepers_of,
)
from moledale.streams.version_history import VersionHistory

LIFETIME_S = 20.0
SERVICE = "model"


def state(number: int, **changes: object) -> NodeState:
    """Return the state of a serving node that reads versions of streams."""
    name = f"n{number}"
    made = NodeState(
        name, 1, 1, "hall-a", f"{name}:1", f"{name}:2", f"{name}:3", Standing.READY, 1,
        {}, {}, {}, {}, {}, serving=True, origins=True,
    )  # fmt: skip
    return msgspec.structs.replace(made, **changes)


class VersionHistoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0

    def history(self, complete: bool) -> VersionHistory:
        return VersionHistory(complete, lambda: LIFETIME_S, lambda: self.now)

    def observe(self, history: VersionHistory, *versions: str) -> set[str]:
        return history.observe((SERVICE, version) for version in versions)

    def test_only_version_is_known_from_the_first_start_on(self) -> None:
        history = self.history(complete=True)
        self.observe(history, "v1", "v1")
        self.assertEqual(history.sole_version(SERVICE), "v1")

    def test_restarted_node_knows_the_only_version_after_the_life_of_a_stream(self) -> None:
        history = self.history(complete=False)
        self.observe(history, "v1")
        self.now += LIFETIME_S - 1.0
        self.assertIsNone(history.sole_version(SERVICE))
        self.now += 1.0
        self.assertEqual(history.sole_version(SERVICE), "v1")

    def test_version_that_is_gone_counts_for_the_life_of_a_stream(self) -> None:
        history = self.history(complete=True)
        self.observe(history, "v1")
        self.assertEqual(self.observe(history, "v1", "v2"), {SERVICE})
        self.now += 50.0
        self.observe(history, "v2")
        self.now += LIFETIME_S - 1.0
        self.assertIsNone(history.sole_version(SERVICE))
        self.assertTrue(history.is_mixed(SERVICE))
        self.now += 1.5
        self.assertEqual(history.sole_version(SERVICE), "v2")
        self.assertFalse(history.is_mixed(SERVICE))

    def test_version_is_reported_as_mixed_once(self) -> None:
        history = self.history(complete=True)
        self.assertEqual(self.observe(history, "v1"), set())
        self.assertEqual(self.observe(history, "v1", "v2"), {SERVICE})
        self.assertEqual(self.observe(history, "v1", "v2"), set())
        self.assertEqual(self.observe(history, "v3"), {SERVICE})

    def test_service_that_was_never_listed_has_no_version(self) -> None:
        self.assertIsNone(self.history(complete=True).sole_version(SERVICE))


class KeepersTest(unittest.TestCase):
    def test_all_nodes_are_told_in_a_small_cluster(self) -> None:
        alive = [state(number, serving=number < 4) for number in range(9)]
        self.assertEqual(len(keepers_of(digest_of("r1"), alive)), 9)

    def test_nodes_of_former_builds_are_not_told(self) -> None:
        alive = [state(1), state(2, origins=False)]
        self.assertEqual(keepers_of(digest_of("r1"), alive), ["n1:2"])

    def test_nodes_of_a_large_cluster_agree_on_a_few(self) -> None:
        nodes = [state(number, serving=number % 3 == 0) for number in range(390)]
        counts: dict[str, int] = {}
        for number in range(1_000):
            stream = digest_of(f"r{number}")
            keepers = keepers_of(stream, nodes)
            self.assertEqual(len(keepers), KEEPERS)
            without_one = [each for each in nodes if each.id != f"n{number % 390}"]
            self.assertGreaterEqual(len(set(keepers) & set(keepers_of(stream, without_one))), 2)
            for each in keepers:
                counts[each] = counts.get(each, 0) + 1
        self.assertLess(max(counts.values()), 3 * 1_000 * KEEPERS / 130)


class MessagesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.sent: list[tuple[OriginMessage, list[str]]] = []
        self.current = True
        self.history = VersionHistory(True, lambda: LIFETIME_S)
        self.origins = StreamOrigins(
            "own:1",
            self.history,
            Membership("n0", 1),
            lambda message, addresses: self.sent.append((message, addresses)),
            lambda: self.current,
            lambda _: {},
        )

    def answer_to(self, request: str) -> OriginAnswer:
        self.origins.on_message(OriginAsk(7, "n9:2", SERVICE, digest_of(request)))
        message, addresses = self.sent.pop()
        assert isinstance(message, OriginAnswer)
        self.assertEqual((message.number, addresses), (7, ["n9:2"]))
        return message

    def test_what_others_told_is_answered(self) -> None:
        self.history.observe([(SERVICE, "v1"), (SERVICE, "v2")])
        self.origins.on_message(OriginNews({"v2": digest_of("r1") + digest_of("r2")}))
        self.assertEqual(self.answer_to("r2").version, "v2")
        self.assertEqual(self.answer_to("r3"), OriginAnswer(7))

    def test_message_that_is_cut_inside_a_digest_tells_the_whole_ones(self) -> None:
        self.history.observe([(SERVICE, "v1"), (SERVICE, "v2")])
        self.origins.on_message(OriginNews({"v1": digest_of("r1") + digest_of("r2")[:-1]}))
        self.assertEqual(self.answer_to("r1").version, "v1")
        self.assertIsNone(self.answer_to("r2").version)

    def test_only_version_is_told_while_the_list_can_be_relied_on(self) -> None:
        self.history.observe([(SERVICE, "v1")])
        self.assertEqual(self.answer_to("r1"), OriginAnswer(7, None, "v1"))
        self.current = False
        self.assertEqual(self.answer_to("r1"), OriginAnswer(7))

    def test_nothing_is_told_while_there_is_one_version(self) -> None:
        self.history.observe([(SERVICE, "v1")])
        self.origins.record("r1", SERVICE, "v1")
        self.assertEqual(self.origins._untold, {})

    def test_digest_has_the_size_that_messages_are_split_at(self) -> None:
        self.assertEqual(len(digest_of("r1")), DIGEST_BYTES)


if __name__ == "__main__":
    unittest.main()
