"""The server list of every node follows the store's, whichever messages are lost."""

import asyncio
import unittest
from collections.abc import Callable

import msgspec
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from result import Err, Ok

from moledale.gateway.fleet_watch import (
    MAX_LIST_AGE_SHARE,
    REFRESH_WAIT_S,
    RESERVE_READ_DELAY_S,
    FleetWatch,
)
from moledale.gateway.messages import Server
from moledale.gateway.outside import Failure
from moledale.gateway.outside import ServerList as StoredList
from moledale.gateway.server_list import (
    MAX_PACKET_BYTES,
    MAX_PACKETS,
    ChangeResult,
    Leaving,
    ListHead,
    ServerChange,
    ServerDelta,
    ServerList,
    split_into_packets,
)
from moledale.gateway.store_era import EraVersion
from moledale.gateway.usage import TrueTime
from tests.gateway_world import run_quietly
from tests.list_world import HALLS, ListWorld, make_server, run_to_completion, unfreeze

TARGET_NODES = 390
TARGET_SERVERS = 1_100
DATAGRAM_BYTES = 65_507
MAX_PROPAGATION_S = 1.0
MAX_READ_DELAY_S = 1.0
"""Reads are 0.8 s apart; a read by another node takes its turn and a gossip round more."""

LEAVE_S = 4.0
MAX_RELAY_S = 0.1
"""Time of a few relays. By the next state of another node it would take a second."""


def era_version(number: int, era: int = 1) -> EraVersion:
    """Return a version of the store's list."""
    return EraVersion(era, number)


def encoded_size(change: ServerChange) -> int:
    return len(msgspec.msgpack.encode(change))


def changes_for(before: ServerList, servers: list[Server], version: int) -> list[ServerChange]:
    """Update a node's list from the store; return the changes that it broadcasts."""
    base = before.digest
    difference = before.update_from_store(servers, era_version(version))
    head = ListHead(before.version, before.digest, 0.0, era=before.era_version.era)
    return split_into_packets(head, base, "n1:3", difference or ServerDelta())


class PacketsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.servers = [make_server(number) for number in range(TARGET_SERVERS)]
        self.list = ServerList()
        self.list.update_from_store(self.servers, era_version(1))

    def list_after_departure(self, gone: bool, hall: str) -> list[Server]:
        result = []
        for server in self.servers:
            if server.hall != hall:
                result.append(server)
            elif not gone:
                result.append(msgspec.structs.replace(server, leaving=True, leaves_s=4.0))
        return result

    def test_full_list_at_target_size_exceeds_a_datagram(self) -> None:
        self.assertGreater(len(self.list.raw), DATAGRAM_BYTES)

    def test_departure_of_a_hall_fits_few_packets(self) -> None:
        for gone in (False, True):
            with self.subTest(gone=gone):
                self.setUp()
                parts = changes_for(self.list, self.list_after_departure(gone, "hall-3"), 2)
                self.assertLessEqual(len(parts), MAX_PACKETS)
                self.assertLessEqual(max(map(encoded_size, parts)), MAX_PACKET_BYTES)
                other = ServerList()
                other.update_from_store(self.servers, era_version(1))
                for part in reversed(parts):
                    other.apply_change(part)
                self.assertEqual(other.raw, self.list.raw)

    def test_departures_are_sent_though_the_whole_change_is_too_large(self) -> None:
        new = [make_server(number) for number in range(5_000, 5_400)]
        listed = [*self.list_after_departure(False, "hall-3"), *new]
        parts = changes_for(self.list, listed, 2)
        self.assertLessEqual(max(map(encoded_size, parts)), MAX_PACKET_BYTES)
        other = ServerList()
        other.update_from_store(self.servers, era_version(1))
        results = [other.apply_change(part) for part in parts]
        self.assertTrue(results[-1].needs_fetch)
        left = {server.id for server in listed if server.leaving}
        self.assertEqual({server.id for server in other.usable() if server.leaving}, left)


class ServerListTest(unittest.TestCase):
    def setUp(self) -> None:
        self.servers = {each.id: each for each in map(make_server, range(8))}
        self.reader = ServerList()
        self.reader.update_from_store(self.servers.values(), era_version(1))
        self.other = ServerList()
        self.other.update_from_store(self.servers.values(), era_version(1))

    def mark_leaving(self, number: int) -> None:
        server = make_server(number)
        self.servers[server.id] = msgspec.structs.replace(server, leaving=True, leaves_s=3.0)

    def test_time_left_stays_as_first_reported(self) -> None:
        self.mark_leaving(1)
        self.reader.update_from_store(self.servers.values(), era_version(2))
        before = self.reader.digest
        name = make_server(1).id
        self.servers[name] = msgspec.structs.replace(self.servers[name], leaves_s=1.0)
        self.assertIsNone(self.reader.update_from_store(self.servers.values(), era_version(3)))
        self.assertEqual((self.reader.digest, self.reader.version), (before, 3))

    def test_marked_server_counts_as_leaving_until_a_list_at_least_as_new(self) -> None:
        lost = changes_for(self.reader, list(self.servers.values())[1:], 2)
        self.mark_leaving(2)
        result = self.other.apply_change(
            changes_for(self.reader, list(self.servers.values())[1:], 3)[0]
        )
        self.assertTrue(result.servers_differ and result.needs_fetch)
        self.assertIn(make_server(0).id, {server.id for server in self.other.usable()})
        self.assertTrue(
            self.other.apply_change(lost[0]).is_new is False, "an older change has no effect"
        )
        leaving = [server.id for server in self.other.usable() if server.leaving]
        self.assertEqual(leaving, [make_server(2).id])
        self.assertTrue(self.other.update_from_peer(self.reader.raw, self.reader.era_version))
        self.assertEqual(self.other.usable(), self.reader.usable())

    def test_older_list_is_not_adopted(self) -> None:
        raw, version = self.reader.raw, self.reader.era_version
        self.mark_leaving(1)
        self.reader.update_from_store(self.servers.values(), era_version(5))
        self.assertFalse(self.reader.update_from_peer(raw, version))
        self.assertTrue(any(server.leaving for server in self.reader.usable()))

    def test_unreadable_list_is_refused(self) -> None:
        with self.assertRaises(ValueError):
            self.other.update_from_peer(b"\x91\x01", era_version(9))

    # `tools.without` runs a test several times in one process, each time in a new TestCase.
    @settings(
        derandomize=True,
        max_examples=200,
        deadline=None,
        suppress_health_check=[HealthCheck.differing_executors],
    )
    @given(st.data())
    def test_lost_duplicated_or_late_changes_never_revert_a_list(self, data: st.DataObject) -> None:
        servers = {each.id: each for each in map(make_server, range(12))}
        reader, other = ServerList(), ServerList()
        reader.update_from_store(servers.values(), era_version(1))
        other.update_from_store(servers.values(), era_version(1))
        pending: list[ServerChange] = []
        left: dict[str, int] = {}
        for version in range(2, 12):
            for name in data.draw(st.lists(st.sampled_from(sorted(servers)), max_size=3)):
                if name in servers and servers[name].leaving:
                    del servers[name]
                elif name in servers:
                    servers[name] = msgspec.structs.replace(servers[name], leaving=True)
                    left[name] = version
            pending += changes_for(reader, list(servers.values()), version)
            order = data.draw(st.permutations(range(len(pending))))
            for index in order[: data.draw(st.integers(0, len(pending)))]:
                before = other.version
                change = pending[index]
                other.apply_change(change)
                self.assertGreaterEqual(other.version, before)
                for server in other.usable():
                    known = left.get(server.id, 99)
                    self.assertFalse(not server.leaving and known <= other.version)
            if data.draw(st.booleans()):
                other.update_from_peer(reader.raw, reader.era_version)
                self.assertEqual(other.usable(), reader.usable())


class RestoredStoreTest(unittest.TestCase):
    """The store was restored from an older copy, so versions restart in a new era."""

    def setUp(self) -> None:
        self.servers = {each.id: each for each in map(make_server, range(4))}
        self.list = ServerList()
        self.list.update_from_store(self.servers.values(), era_version(100))

    def make_leaving_server(self, number: int) -> Server:
        return msgspec.structs.replace(make_server(number), leaving=True, leaves_s=3.0)

    def usable(self) -> dict[str, bool]:
        return {server.id: server.leaving for server in self.list.usable()}

    def test_list_of_the_new_era_is_adopted_though_its_version_is_lower(self) -> None:
        difference = self.list.update_from_store(
            [make_server(0), self.make_leaving_server(1)], era_version(60, era=2)
        )
        assert difference is not None
        self.assertEqual([each.id for each in difference.leaving], [make_server(1).id])
        self.assertEqual(self.list.era_version, era_version(60, era=2))

    def test_list_of_the_former_era_is_dropped_though_its_version_is_higher(self) -> None:
        former = ServerList()
        former.update_from_store([self.make_leaving_server(0)], era_version(200))
        self.list.update_from_store(self.servers.values(), era_version(60, era=2))
        self.assertFalse(self.list.update_from_peer(former.raw, former.era_version))
        change = changes_for(former, [], 201)[0]
        self.assertEqual(self.list.apply_change(change), ChangeResult())
        self.assertFalse(self.list.confirm_head(ListHead(99, self.list.digest, 0.0, era=1)))
        self.assertEqual(set(self.usable()), set(self.servers))

    def test_departed_server_stays_departed_until_entries_lapse(self) -> None:
        self.list.update_from_store(
            [self.make_leaving_server(1), make_server(2), make_server(3)], era_version(101)
        )
        self.list.update_from_store(self.servers.values(), era_version(60, era=2))
        gone, leaving = make_server(0).id, make_server(1).id
        self.assertNotIn(gone, self.usable())
        self.assertTrue(self.usable()[leaving])
        self.assertTrue(self.list.trust_entries())
        self.assertEqual(self.usable(), dict.fromkeys(self.servers, False))

    def test_marked_departures_outlast_a_store_restore(self) -> None:
        head = ListHead(101, 1, 0.0, era=1)
        marked = [Leaving(make_server(1).id, 2.0)]
        self.list.apply_change(
            ServerChange(head, 0, "n2:3", gone=[make_server(0).id], leaving=marked)
        )
        self.list.update_from_store(self.servers.values(), era_version(60, era=2))
        self.assertNotIn(make_server(0).id, self.usable())
        self.assertTrue(self.usable()[make_server(1).id])

    def test_server_that_was_back_before_a_store_restore_is_used(self) -> None:
        self.list.update_from_store([make_server(0)], era_version(101))
        self.list.update_from_store(self.servers.values(), era_version(102))
        self.list.update_from_store(self.servers.values(), era_version(60, era=2))
        self.assertEqual(set(self.usable()), set(self.servers))

    def test_changes_without_an_era_apply_but_set_no_version(self) -> None:
        former = ServerList()
        former.update_from_store(self.servers.values(), EraVersion(0, 100))
        head = ListHead(101, 0, 0.0)
        listed = [make_server(0), make_server(2), make_server(3)]
        difference = former.update_from_store(listed, EraVersion(0, 101))
        assert difference is not None
        head = ListHead(101, former.digest, 0.0)
        base = self.list.digest
        result = self.list.apply_change(split_into_packets(head, base, "n2:3", difference)[0])
        self.assertTrue(result.confirmed)
        self.assertEqual(set(self.usable()), {each.id for each in listed})
        self.assertEqual(self.list.era_version, era_version(100))

    def former_change(self, former: ServerList, listed: list[Server], version: int) -> ServerChange:
        """Return the change that a node of a build without eras sends after a read."""
        base = former.digest
        difference = former.update_from_store(listed, EraVersion(0, version))
        assert difference is not None
        (change,) = split_into_packets(
            ListHead(version, former.digest, 0.0), base, "n2:3", difference
        )
        return change

    def test_server_that_is_listed_again_by_a_build_without_eras_is_used(self) -> None:
        former = ServerList()
        former.update_from_store(self.servers.values(), EraVersion(0, 100))
        listed = [make_server(0), make_server(2), make_server(3)]
        self.list.apply_change(self.former_change(former, listed, 101))
        back = self.former_change(former, list(self.servers.values()), 102)
        self.assertTrue(self.list.apply_change(back).servers_differ)
        self.assertEqual(set(self.usable()), set(self.servers))

    def test_confirmation_of_a_build_without_eras_covers_marks(self) -> None:
        marks = ServerChange(ListHead(101, 1, 0.0), 0, "n2:3", gone=[make_server(0).id])
        self.list.apply_change(marks)
        self.assertNotIn(make_server(0).id, self.usable())
        self.assertTrue(self.list.confirm_head(ListHead(100, self.list.digest, 0.0)))
        self.assertNotIn(make_server(0).id, self.usable())
        self.assertTrue(self.list.confirm_head(ListHead(102, self.list.digest, 0.0)))
        self.assertEqual(set(self.usable()), set(self.servers))

    def test_list_without_an_era_does_not_replace_one_with_an_era(self) -> None:
        result = self.list.apply_change(ServerChange(ListHead(900, 5, 0.0), 4, "n2:3"))
        self.assertFalse(result.needs_fetch)
        former = ServerList()
        former.update_from_store([make_server(9)], EraVersion(0, 900))
        self.assertFalse(self.list.update_from_peer(former.raw, former.era_version))


class SpreadTest(unittest.TestCase):
    """Propagation at the target size, over links of 10 Mbit/s."""

    def world(self, loss_rate: float = 0.0, nodes: int = TARGET_NODES) -> ListWorld:
        world = ListWorld(nodes, TARGET_SERVERS, loss_rate)
        world.run(1.0)
        return world

    def test_leaving_server_is_known_everywhere_within_a_second_of_the_read(self) -> None:
        for nodes in (9, 77, 195, TARGET_NODES):
            with self.subTest(nodes=nodes):
                world = self.world(0.05, nodes)
                before = [node.sent_bytes for node in world.nodes]
                name = make_server(5).id
                world.store.mark_leaving(name, 4.0)
                reads = world.store.reads
                world.run(1.0 + MAX_READ_DELAY_S + MAX_PROPAGATION_S)
                first = min(node.leaving_learned_at[name] for node in world.nodes)
                self.assertLess(world.last_learned_at(name) - first, MAX_PROPAGATION_S)
                sent = [
                    node.sent_bytes - sent_before
                    for node, sent_before in zip(world.nodes, before, strict=True)
                ]
                self.assertLess(max(sent) / 2.0, 125_000, "a tenth of the slowest link")
                self.assertLess(world.store.reads - reads, 6)

    def test_whole_hall_that_leaves_is_known_everywhere_within_a_second(self) -> None:
        world = self.world(0.05)
        names = [server.id for server in world.store.servers.values() if server.hall == "hall-2"]
        for name in names:
            world.store.mark_leaving(name, 4.0)
        world.run(1.0 + MAX_READ_DELAY_S + MAX_PROPAGATION_S)
        first = min(node.leaving_learned_at[names[0]] for node in world.nodes)
        for name in names:
            self.assertLess(world.last_learned_at(name) - first, MAX_PROPAGATION_S)

    def test_crash_of_the_reader_while_it_broadcasts_delays_nobody(self) -> None:
        world = self.world()
        reader = world.nodes[0]
        only = {"n11", "n12"}
        world.is_partitioned = lambda a, b: a == reader.name and b not in only
        name = make_server(5).id
        world.store.mark_leaving(name, 4.0)
        world.run(2.0)
        reader.alive = False
        world.run(4.0)
        alive = [node for node in world.nodes if node.alive]
        first = min(node.leaving_learned_at[name] for node in alive)
        self.assertLess(world.last_learned_at(name, alive) - first, MAX_PROPAGATION_S)

    def test_node_partitioned_from_store_and_serving_nodes_learns_of_departures(self) -> None:
        world = self.world()
        lone = world.nodes[200]
        serving = {node.name for node in world.nodes if node.neighbours.serving}
        world.nodes_without_store = {lone.name}
        world.is_partitioned = lambda a, b: lone.name in (a, b) and bool({a, b} & serving)
        world.run(2.0)
        name = make_server(5).id
        world.store.mark_leaving(name, 4.0)
        world.run(2.0 + MAX_READ_DELAY_S + MAX_PROPAGATION_S)
        first = min(node.leaving_learned_at[name] for node in world.nodes)
        self.assertLess(lone.leaving_learned_at[name] - first, MAX_RELAY_S)

    def test_lists_converge_after_concurrent_reads(self) -> None:
        world = self.world(0.05)
        world.duplicate_rate = 0.3
        one, two = make_server(5).id, make_server(6).id
        world.store.mark_leaving(one, 4.0)
        run_to_completion(world.nodes[0].watch._read())
        world.store.mark_leaving(two, 4.0)
        run_to_completion(world.nodes[1].watch._read())
        run_to_completion(world.nodes[0].watch._read())
        world.run(1.0 + MAX_PROPAGATION_S)
        self.assertLess(
            max(world.last_learned_at(one), world.last_learned_at(two)), 1.0 + MAX_PROPAGATION_S
        )
        world.run(1.0 + MAX_READ_DELAY_S + MAX_PROPAGATION_S)
        self.assertEqual(len({node.watch.list.digest for node in world.nodes}), 1)

    def test_frozen_reader_resumes_with_the_newest_list(self) -> None:
        world = self.world(nodes=77)
        reader = world.nodes[0]
        reader.frozen = True
        name = make_server(5).id
        world.store.mark_leaving(name, 4.0)
        world.run(5.0)
        others = [node for node in world.nodes if node is not reader]
        self.assertLess(world.last_learned_at(name, others), 1.0 + 2 * MAX_READ_DELAY_S)
        versions = []
        unfreeze(reader)
        for step in range(20):
            world.run(5.0 + step * 0.1)
            versions.append(reader.watch.list.version)
        self.assertEqual(versions, sorted(versions))
        self.assertIn(name, reader.leaving_learned_at)
        self.assertEqual(len({node.watch.list.digest for node in world.nodes}), 1)

    def test_another_node_reads_for_one_without_the_store(self) -> None:
        world = self.world()
        world.nodes_without_store = {"n0"}
        name = make_server(5).id
        world.store.mark_leaving(name, 4.0)
        world.run(1.0 + 2 * MAX_READ_DELAY_S + MAX_PROPAGATION_S)
        self.assertLess(world.last_learned_at(name), 1.0 + 2 * MAX_READ_DELAY_S + MAX_PROPAGATION_S)

    def test_unread_list_does_not_seem_fresh_over_slow_links(self) -> None:
        world = self.world(nodes=9)
        world.store.is_down = True
        world.extra_latency_s = 0.25
        world.run(6.0)
        ages = [world.now - node.watch._fresh_at for node in world.nodes]
        self.assertGreater(min(ages), 4.9)

    def test_nodes_in_reserve_do_not_read_at_once_after_all_serving_nodes_crash(self) -> None:
        world = self.world()
        for node in world.nodes[:HALLS]:
            node.alive = False
        reads = world.store.reads
        max_reads = 0
        for step in range(60):
            before = world.store.reads
            world.run(1.0 + (step + 1) * 0.1)
            max_reads = max(max_reads, world.store.reads - before)
        self.assertGreater(world.store.reads, reads)
        self.assertLess(max_reads, 15)


class SpreadAfterRestoreTest(unittest.TestCase):
    """The store is restored from a copy that is 50 versions older, with up to 390 nodes."""

    def make_restored_world(self, nodes: int) -> ListWorld:
        world = ListWorld(nodes, 100, 0.05)
        copy = dict(world.store.servers)
        world.store.version = 500
        world.run(3.0)
        world.store.is_down = True
        world.run(3.6)
        world.store.is_down = False
        world.store.restore(copy, 450)
        return world

    def test_leaving_server_is_known_everywhere_before_it_stops(self) -> None:
        for nodes in (9, 77, TARGET_NODES):
            with self.subTest(nodes=nodes):
                world = self.make_restored_world(nodes)
                world.run(4.0)
                name = make_server(5).id
                world.store.mark_leaving(name, 4.0)
                world.run(4.0 + MAX_READ_DELAY_S + MAX_PROPAGATION_S)
                self.assertLess(
                    world.last_learned_at(name), 4.0 + MAX_READ_DELAY_S + MAX_PROPAGATION_S
                )

    def test_nodes_do_not_read_a_restored_store_at_once(self) -> None:
        for nodes in (9, 77, TARGET_NODES):
            with self.subTest(nodes=nodes):
                world = self.make_restored_world(nodes)
                reads = world.store.reads
                world.run(4.6)
                self.assertLess(world.store.reads - reads, 30)
                self.assertEqual(len({node.watch.list.digest for node in world.nodes}), 1)


class FakeStore:
    """A store with one server; its version grows by `version_step` with each read."""

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.is_down = False
        self.reads = 0
        self.version = 1
        self.version_step = 1

    async def servers(self, _: float, _before: object = None) -> object:
        self.reads += 1
        if self.is_down:
            await asyncio.sleep(0.01)
            return Err(Failure("away"))
        self.version += self.version_step
        return Ok(StoredList((make_server(1),), self.version, self.now(), era=1))


class CurrentTest(unittest.TestCase):
    """No request is sent by a list that is too old while a newer one is available."""

    def setUp(self) -> None:
        self.now = 100.0
        self.store = FakeStore(lambda: self.now)
        self.applied_lists: list[list[Server]] = []
        self.true_time = TrueTime()
        self.watch = FleetWatch(
            self.store,  # type: ignore[arg-type]
            self.true_time,
            lambda: 0,
            self.applied_lists.append,
            lambda *_: None,
            lambda _: None,
            lambda: 12.0,
            leave_s=LEAVE_S,
            now=lambda: self.now,
        )

    def current(self) -> bool:
        result: list[bool] = []

        async def ask() -> None:
            result.append(await self.watch.ensure_current())

        run_quietly(ask())
        return result[0]

    def test_node_in_reserve_with_an_old_list_reads_before_it_sends(self) -> None:
        self.assertTrue(self.current())
        self.now += MAX_LIST_AGE_SHARE * LEAVE_S - 0.1
        self.assertTrue(self.current())
        self.assertEqual(self.store.reads, 1)
        self.now += 0.2
        self.assertTrue(self.current())
        self.assertEqual(self.store.reads, 2)
        self.assertLess(MAX_LIST_AGE_SHARE * LEAVE_S + REFRESH_WAIT_S, LEAVE_S - 1.0)

    def test_servers_that_a_confirmation_shows_to_be_back_are_used_at_once(self) -> None:
        self.true_time.record_store_clock(self.now, self.now, self.now)
        self.assertTrue(self.current())
        known, digest = self.applied_lists[-1], self.watch.list.digest
        version, era = self.watch.list.version, self.watch.list.era_version.era
        gone = ListHead(version + 1, 1, self.now, era=era)
        self.watch.on_change(ServerChange(gone, 0, "n2:3", gone=[known[0].id]))
        self.assertEqual(self.applied_lists[-1], known[1:])
        self.watch.on_head(ListHead(version + 2, digest, self.now, era=era), "n2:3", 1.0)
        self.assertEqual(self.applied_lists[-1], known)

    def test_first_list_from_a_peer_has_the_age_that_the_peer_reported(self) -> None:
        self.true_time.record_store_clock(self.now, self.now, self.now)
        self.store.version = 5
        peer = ServerList()
        peer.update_from_store([make_server(1)], era_version(5))
        self.watch.on_head(ListHead(5, peer.digest, self.now - 0.3, era=1), "n2:3", 1.0)
        self.watch._on_fetched(era_version(5), peer.raw)
        self.assertTrue(self.current())
        self.assertEqual(self.store.reads, 0)
        self.now += MAX_LIST_AGE_SHARE * LEAVE_S - 0.2
        self.assertTrue(self.current())
        self.assertEqual(self.store.reads, 1)

    def test_last_list_is_used_while_the_store_is_down_for_all(self) -> None:
        self.assertTrue(self.current())
        self.store.is_down = True
        self.now += 60.0
        self.assertTrue(self.current())
        reads = self.store.reads
        self.assertTrue(self.current())
        self.assertEqual(self.store.reads, reads, "an outage delays one request, not each")

    def test_node_that_cannot_get_a_newer_list_sends_nothing(self) -> None:
        self.assertTrue(self.current())
        self.store.is_down = True
        self.now += 60.0
        self.watch.on_head(ListHead(9, 9, self.now, era=1), "n2:3", 1.0)
        self.assertFalse(self.current())

    def test_reads_of_an_older_list_are_not_repeated_for_each_request(self) -> None:
        self.store.version = 90
        self.assertTrue(self.current())
        self.store.version, self.store.version_step = 50, 0
        self.now += 60.0
        reads = self.store.reads
        for _ in range(20):
            self.now += 0.01
            self.current()
        self.assertEqual(self.store.reads - reads, 1)

    def test_node_pauses_after_it_read_an_older_list(self) -> None:
        async def watch() -> None:
            self.store.version = 90
            await self.watch.ensure_current()
            self.store.version, self.store.version_step = 50, 0
            self.now += 60.0
            reads = self.store.reads
            task = asyncio.create_task(self.watch.watch())
            await asyncio.sleep(0.3)
            task.cancel()
            self.assertLess(self.store.reads - reads, 5)

        run_quietly(watch())

    def test_concurrent_requests_share_one_read(self) -> None:
        async def ask() -> None:
            await asyncio.gather(*(self.watch.ensure_current() for _ in range(20)))

        run_quietly(ask())
        self.assertEqual(self.store.reads, 1)

    def test_nodes_in_reserve_read_late_and_with_jitter(self) -> None:
        due = []
        for _ in range(40):
            self.now += 0.8
            self.watch._record_read(self.now, 0.0)
            due.append(self.watch.due_at() - self.now)
            self.watch._record_read(self.now, 0.0)
            self.assertEqual(self.watch.due_at() - self.now, due[-1], "the read is known already")
        self.assertGreaterEqual(min(due), RESERVE_READ_DELAY_S)
        self.assertGreater(max(due) - min(due), 2.0)


if __name__ == "__main__":
    unittest.main()
