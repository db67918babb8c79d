"""Which versions may have begun a stream, and who is told of it."""

import asyncio
import itertools
import unittest

import msgspec

from moledale.clock import monotonic
from moledale.gateway.peers import Membership, NodeState, Standing
from moledale.streams.origin_log import DIGEST_BYTES
from moledale.streams.origins import (
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
from tests.test_gateway_nodes import wait_until

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


class MessagesTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.sent: list[tuple[OriginMessage, list[str]]] = []
        self.stored: frozenset[str] | None = frozenset({"v1"})
        self.history = VersionHistory(True, lambda: LIFETIME_S)
        self.members = Membership("n0", 1)
        self.numbers = itertools.count(1)
        self.origins = StreamOrigins(
            "own:1", self.history, self.members, self.send, self.read_recent, lambda _: {}
        )

    def send(self, message: OriginMessage, addresses: list[str]) -> None:
        self.sent.append((message, addresses))

    async def read_recent(self, _: str) -> frozenset[str] | None:
        return self.stored

    async def answer_to(self, request: str) -> OriginAnswer:
        self.origins.on_message(OriginAsk(7, "n9:2", SERVICE, digest_of(request)))
        await asyncio.gather(*self.origins._answering)
        message, addresses = self.sent.pop()
        assert isinstance(message, OriginAnswer)
        self.assertEqual((message.number, addresses), (7, ["n9:2"]))
        return message

    async def find(self, *answers: OriginAnswer) -> str | None:
        """Return the version found for a stream if nodes n1, n2... give these answers."""
        for number in range(1, len(answers) + 1):
            self.members.merge(state(number, registers=True), monotonic())
        finding = asyncio.create_task(self.origins.find(f"r{next(self.numbers)}", SERVICE))
        await wait_until(lambda: finding.done() or bool(self.sent))
        if self.sent:
            ask, _ = self.sent.pop()
            assert isinstance(ask, OriginAsk)
            for answer in answers:
                self.origins.on_message(msgspec.structs.replace(answer, number=ask.number))
        return (await finding).version

    async def test_what_others_told_is_answered(self) -> None:
        self.history.observe([(SERVICE, "v1"), (SERVICE, "v2")])
        self.origins.on_message(OriginNews({"v2": digest_of("r1") + digest_of("r2")}))
        self.assertEqual((await self.answer_to("r2")).version, "v2")
        self.assertEqual(
            await self.answer_to("r3"), OriginAnswer(7, recent=["v1", "v2"], complete=True)
        )

    async def test_message_that_is_cut_inside_a_digest_tells_the_whole_ones(self) -> None:
        self.history.observe([(SERVICE, "v1"), (SERVICE, "v2")])
        self.origins.on_message(OriginNews({"v1": digest_of("r1") + digest_of("r2")[:-1]}))
        self.assertEqual((await self.answer_to("r1")).version, "v1")
        self.assertIsNone((await self.answer_to("r2")).version)

    async def test_only_version_is_told_if_the_store_names_no_other(self) -> None:
        self.history.observe([(SERVICE, "v1")])
        self.assertEqual((await self.answer_to("r1")).sole, "v1")
        for stored in (None, frozenset({"v1", "v2"})):
            self.stored = stored
            self.assertIsNone((await self.answer_to("r1")).sole)

    async def test_only_version_of_the_store_is_found_without_questions(self) -> None:
        self.history.observe([(SERVICE, "v1")])
        self.assertEqual(await self.find(), "v1")
        self.assertEqual(self.sent, [])

    async def test_version_that_only_the_store_names_is_not_ruled_out(self) -> None:
        self.history.observe([(SERVICE, "v1")])
        self.stored = frozenset({"v1", "v2"})
        self.assertIsNone(await self.find())
        self.assertEqual(await self.find(OriginAnswer(0, "v2")), "v2")

    async def test_without_the_store_all_nodes_have_to_know_one_version_only(self) -> None:
        self.history.observe([(SERVICE, "v1")])
        self.stored = None
        knows_one = OriginAnswer(0, recent=["v1"], complete=True)
        knows_two = OriginAnswer(0, recent=["v1", "v2"], complete=True)
        self.assertEqual(await self.find(knows_one, knows_one), "v1")
        self.assertIsNone(await self.find(knows_one, knows_two))

    async def test_without_the_store_a_silent_node_may_know_another_version(self) -> None:
        self.history.observe([(SERVICE, "v1")])
        self.stored = None
        self.members.merge(state(9, registers=True), monotonic() - 3.0)
        self.assertIsNone(await self.find(OriginAnswer(0, recent=["v1"], complete=True)))

    async def test_node_without_a_history_relies_on_that_of_another(self) -> None:
        self.history = self.origins._history = VersionHistory(False, lambda: LIFETIME_S)
        self.history.observe([(SERVICE, "v1")])
        self.stored = None
        self.assertIsNone(await self.find(OriginAnswer(0, recent=["v1"])))
        self.assertEqual(await self.find(OriginAnswer(0, recent=["v1"], complete=True)), "v1")

    async def test_nodes_of_former_builds_are_asked_for_versions_the_store_does_not_name(
        self,
    ) -> None:
        self.history.observe([(SERVICE, "v1")])
        self.members.merge(state(1), monotonic())
        finding = asyncio.create_task(self.origins.find("r1", SERVICE))
        await wait_until(lambda: bool(self.sent))
        ask, _ = self.sent.pop()
        assert isinstance(ask, OriginAsk)
        self.origins.on_message(OriginAnswer(ask.number, "v2"))
        self.assertEqual((await finding).version, "v2")

    async def test_nothing_is_told_while_there_is_one_version(self) -> None:
        self.history.observe([(SERVICE, "v1")])
        self.origins.record("r1", SERVICE, "v1")
        self.assertEqual(self.origins._untold, {})

    def test_digest_has_the_size_that_messages_are_split_at(self) -> None:
        self.assertEqual(len(digest_of("r1")), DIGEST_BYTES)


if __name__ == "__main__":
    unittest.main()
