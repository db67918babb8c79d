"""Fuzz tests: for any external input a decoder returns a valid value or the error it documents."""

import asyncio
import base64
import contextlib
import json
import math
import sys
import tempfile
import unittest
from collections.abc import Callable, Iterator
from pathlib import Path
from unittest import mock

import logbook
import msgspec
import uvloop
import zstandard
from hypothesis import given, settings
from hypothesis import strategies as st

from moledale import settings as daemon_settings
from moledale.bundle import schema
from moledale.clock import monotonic
from moledale.core.leases import MAX_EPOCH, Lease, LeaseRow
from moledale.core.quarantine import Block, Quarantine
from moledale.core.rollouts import RolloutNews
from moledale.decoding import decode_json, decode_msgpack, decode_toml
from moledale.gateway import settings as gateway_settings
from moledale.gateway.document_archive import DocumentArchive, DocumentPiece
from moledale.gateway.document_fetch import DocumentFetch
from moledale.gateway.duties import WindowRow
from moledale.gateway.gossip import (
    NO_KIND,
    GossipSocket,
    Message,
    PackedState,
    PlanCheck,
    StateNews,
    claimed_kind,
    open_gossip,
)
from moledale.gateway.messages import AnswerHead, RequestHead, Server
from moledale.gateway.outside import StateRow
from moledale.gateway.peers import LeaseNews
from moledale.gateway.quarantine_store import StoredBlock
from moledale.gateway.server_list import ServerList
from moledale.gateway.state_packing import NO_BASE, StatePacker, StateUnpacker, pack_snapshot
from moledale.gateway.state_rows import decode_row
from moledale.gateway.store_era import MAX_ERA, EraVersion, StoreEra
from moledale.host_port import split_address
from moledale.http_fields import first_count, retry_after_s
from moledale.platform.entries import EntryReader
from moledale.platform.headers import PlatformHeaders
from moledale.platform.records import RowRecord, read_config, read_phase, read_rollout
from moledale.platform.store import ERA_HEADER
from moledale.streams.origin_log import OriginRow
from moledale.streams.version_register import VersionRow
from tests.gateway_states import make_state
from tests.gateway_world import run_quietly
from tests.test_gateway_lease import SingleRowStore, make_keeper
from tests.test_gateway_nodes import random_loopback_address

FUZZ = settings(max_examples=400, deadline=None, derandomize=True)
HEADER_NAMES = (
    "Retry-After", "Server-Leaving", "Request-Id", "Keep-Alive", "Connection", "Date",
    "Not-Executed", "Server-Stamp", "Token-Count", "Prompt-Prefix", "Deadline-Ms",
    "Authorization", "Last-Event-Id", "Server-Limit", "Server-Brittle", "Length-Hint",
)  # fmt: skip
HEADERS = st.lists(
    st.tuples(
        st.sampled_from([name.encode() for name in HEADER_NAMES]),
        st.one_of(
            st.binary(max_size=40),
            st.floats().map(lambda number: str(number).encode()),
            st.integers().map(lambda number: str(number).encode()),
            st.sampled_from([b"1", b"timeout=5", b"close", b"Wed, 21 Oct 2026 07:28:00 GMT"]),
        ),
    ),
    max_size=8,
)
JSON = st.recursive(
    st.none() | st.booleans() | st.floats(allow_nan=False) | st.integers() | st.text(max_size=20),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=10), inner),
    max_leaves=12,
)
ENTRY = {
    "service": "plain", "address": "10.0.0.1:80", "zone": "a", "version": "v1", "slots": 4,
    "state": "ready", "seq": 1, "born": 1_700_000_000_000,
}  # fmt: skip
STORED_ROWS = (LeaseRow, RolloutNews, StoredBlock, WindowRow, OriginRow, VersionRow)
"""Types of the rows that nodes write themselves."""

DEPTH = 5_000
"""Nested lists; decoders give up at a depth of about a thousand."""

JSON_LISTS = b"[" * DEPTH + b"]" * DEPTH
MSGPACK_LISTS = b"\x91" * DEPTH + b"\x90"


def encode_json(value: object) -> bytes:
    """Encode JSON with whole numbers of any size."""
    with whole_numbers_of_any_size():
        return json.dumps(value).encode()


@contextlib.contextmanager
def whole_numbers_of_any_size() -> Iterator[None]:
    """Lift the limit on the digits of whole numbers that are written."""
    before = sys.get_int_max_str_digits()
    sys.set_int_max_str_digits(0)
    try:
        yield
    finally:
        sys.set_int_max_str_digits(before)


def make_row(value: bytes) -> RowRecord:
    """Return a row of the server table with a value."""
    return RowRecord("servers", "s1", base64.b64encode(value).decode(), 3)


class HeadersTest(unittest.TestCase):
    @FUZZ
    @given(HEADERS, st.sampled_from([200, 421, 429, 500, 503]))
    def test_answers(self, headers: list[tuple[bytes, bytes]], status: int) -> None:
        with logbook.NullHandler().applicationbound():
            facts = PlatformHeaders().read_answer(AnswerHead(status, headers))
        stated = facts.statement
        for seconds in (stated.retry_after_s, stated.limit_per_s, facts.keep_alive_s):
            self.assertTrue(seconds is None or math.isfinite(seconds), seconds)
        self.assertTrue(stated.retry_after_s is None or stated.retry_after_s >= 0)
        self.assertTrue(stated.limit_per_s is None or stated.limit_per_s >= 0)

    @FUZZ
    @given(HEADERS)
    def test_requests(self, headers: list[tuple[bytes, bytes]]) -> None:
        try:
            facts = PlatformHeaders().read_request(RequestHead(b"POST", b"/x", headers))
        except ValueError:
            return
        self.assertTrue(facts.deadline_s is None or not math.isnan(facts.deadline_s))

    def test_invalid_numbers_of_callers_are_rejected(self) -> None:
        """A negative token count would refill an account's limit instead of using it."""
        for name, value in (
            ("Deadline-Ms", "nan"),
            ("Deadline-Ms", "inf"),
            ("Token-Count", "-500000,10"),
            ("Token-Count", "10,-500000"),
            ("Prompt-Prefix", "a1:-5"),
        ):
            with self.subTest(name=name, value=value), self.assertRaises(ValueError):
                head = RequestHead(b"POST", b"/x", [(name.encode(), value.encode())])
                PlatformHeaders().read_request(head)

    def test_counts_that_fail_later_are_rejected(self) -> None:
        """Limits are computed with fractions, and sums of tokens are sent to peers in 64 bits."""
        for name, value in (
            ("Token-Count", "9" * 400),
            ("Token-Count", "10," + "9" * 400),
            ("Token-Count", "9" * 5_000),
            ("Token-Count", str(2**62)),
            ("Prompt-Prefix", "a1:" + "9" * 400),
            ("Prompt-Prefix", f"a1:{2**62}"),
        ):
            with self.subTest(name=name, digits=len(value)), self.assertRaises(ValueError):
                head = RequestHead(b"POST", b"/x", [(name.encode(), value.encode())])
                PlatformHeaders().read_request(head)

    def test_huge_numbers_of_servers_can_be_sent_to_peers(self) -> None:
        for value in (b"1e308", b"9" * 300, b"9" * 5_000, str(2**70).encode()):
            headers = [
                (name, value)
                for name in (b"Server-Limit", b"Server-Brittle", b"Retry-After", b"Length-Hint")
            ]
            with logbook.NullHandler().applicationbound():
                facts = PlatformHeaders().read_answer(AnswerHead(503, headers))
            msgspec.msgpack.encode(facts)

    def test_dates_with_huge_numbers_are_ignored(self) -> None:
        for date in (
            f"Wed, 21 Oct {10**20} 07:28:00 GMT",
            f"Wed, {10**20} Oct 2026 07:28:00 GMT",
            f"Wed, 21 Oct 2026 07:{10**20}:00 GMT",
            f"Wed, 21 Oct 2026 07:28:00 +{10**20}",
        ):
            with self.subTest(date), logbook.NullHandler().applicationbound():
                self.assertIsNone(retry_after_s([date], "Wed, 21 Oct 2026 07:28:00 GMT"))
                self.assertIsNone(retry_after_s(["Wed, 21 Oct 2026 07:28:00 GMT"], date))

    def test_era_of_the_store_that_peers_cannot_be_sent_is_ignored(self) -> None:
        with logbook.NullHandler().applicationbound():
            self.assertIsNone(
                first_count([(b"Store-Era", str(2**64).encode())], ERA_HEADER, MAX_ERA)
            )

    def test_era_of_a_peer_beyond_all_eras_of_the_store_is_ignored(self) -> None:
        era = StoreEra()
        era.observe(3)
        for number in (MAX_ERA + 1, 2**63, 2**64 - 1):
            era.observe(number)
        self.assertEqual(era.number, 3)
        self.assertLessEqual(MAX_ERA << 20, MAX_EPOCH)

    @FUZZ
    @given(st.lists(st.text(max_size=40), max_size=3), st.one_of(st.none(), st.text(max_size=40)))
    def test_times_to_retry(self, values: list[str], date: str | None) -> None:
        with logbook.NullHandler().applicationbound():
            seconds = retry_after_s(values, date)
        self.assertTrue(seconds is None or (math.isfinite(seconds) and seconds >= 0))


class RowsTest(unittest.TestCase):
    @FUZZ
    @given(st.binary(max_size=80))
    def test_entries_of_any_bytes(self, value: bytes) -> None:
        self.assert_server_or_none(make_row(value))

    @FUZZ
    @given(st.sampled_from(sorted(ENTRY)), JSON)
    def test_entries_with_a_field_of_any_kind(self, field: str, value: object) -> None:
        self.assert_server_or_none(make_row(msgspec.json.encode({**ENTRY, field: value})))

    def assert_server_or_none(self, entry: RowRecord) -> None:
        with logbook.NullHandler().applicationbound():
            server = EntryReader().read(entry)
        self.assertTrue(server is None or isinstance(server, Server))
        if server is not None:
            self.assertGreaterEqual(server.slots, 1)
            self.assertTrue(server.leaves_s is None or math.isfinite(server.leaves_s))

    def test_entries_with_values_that_fail_later(self) -> None:
        """Encoding the list for peers, connecting, or sending the id in a header would fail."""
        for field, value in (
            ("slots", 2**70),
            ("slots", 10**400),
            ("seq", 10**4_500),
            ("born", 2**63),
            ("leaves_ms", 1e300),
            ("address", "10.0.0.1:99999"),
            ("address", "10.0.0.1:65536"),
            ("address", "10.0.0.1:80\n"),
            ("address", "a\0b:80"),
            ("address", "a..b:80"),
            ("address", "a" * 300 + ":80"),
            ("version", "v1\r\nX: 1"),
            ("version", "v\0"),
            ("version", "v\u2603"),
            ("version", "v" * 100_000),
            ("zone", "a\n"),
            ("zone", "a" * 100_000),
            ("service", "s" * 100_000),
            ("service", ""),
        ):
            with self.subTest(entry=encode_json({field: value})[:40]):
                self.assert_refused(make_row(encode_json({**ENTRY, field: value})))

    def test_entries_with_keys_that_are_no_ids(self) -> None:
        for key in ("", "s1#7", "s\r\n1", "s\0", "s\u2603", "s" * 100_000):
            with self.subTest(key=key[:20]):
                row = make_row(encode_json(ENTRY))
                self.assert_refused(msgspec.structs.replace(row, key=key))

    def assert_refused(self, entry: RowRecord) -> None:
        """Check that an entry is skipped, and logged once however often it is read."""
        reader = EntryReader()
        with logbook.TestHandler().applicationbound() as log:
            self.assertIsNone(reader.read(entry))
            self.assertIsNone(reader.read(entry))
        self.assertEqual(len(log.records), 1)

    @FUZZ
    @given(
        st.fixed_dictionaries(
            {},
            optional={
                "slots": st.integers(1, 2**70) | st.integers(1, 100),
                "born": st.integers(0, 2**70),
                "leaves_ms": st.floats(allow_nan=False, allow_infinity=False),
                "zone": st.text(),
                "version": st.text(),
                "address": st.text(max_size=20).map(lambda host: f"{host}:80"),
            },
        )
    )
    def test_accepted_entries_can_be_sent_to_peers(self, fields: dict[str, object]) -> None:
        with logbook.NullHandler().applicationbound():
            server = EntryReader().read(make_row(encode_json({**ENTRY, **fields})))
        if server is not None:
            servers = ServerList()
            servers.update_from_store([server], EraVersion(1, 1))
            split_address(server.address)
            f"{server.id} {server.version}".encode("latin-1")

    @FUZZ
    @given(JSON)
    def test_plans_and_orders(self, value: object) -> None:
        raw = msgspec.json.encode(value)
        for read in (lambda: read_config(raw), lambda: read_rollout(make_row(raw), 1.0, 1)):
            with contextlib.suppress(ValueError):
                read()

    def test_plans_with_values_that_fail_later(self) -> None:
        """Times are computed with, and names and numbers are sent to servers and peers."""
        route = {
            "name": "r", "host": "h", "pathPrefix": "/", "kind": "safe", "timeoutMs": 1000,
            "service": "s",
        }  # fmt: skip
        tenant, service = {"name": "north", "apiKeys": ["k"]}, {"name": "s"}
        engine, scaling = {"slots": 4}, {"min": 1, "max": 2}
        plan = {"version": 1, "routes": [route], "services": [service], "tenants": [tenant]}
        read_config(encode_json(plan))
        for change in (
            {"version": 2**70},
            {"version": -1},
            {"routes": [{**route, "timeoutMs": 1e300}]},
            {"routes": [{**route, "priority": 2**70}]},
            {"routes": [{**route, "maxAttempts": 2**70}]},
            {"routes": [{**route, "name": "r" * 100_000}]},
            {"routes": [{**route, "split": [{"service": "s", "weight": 1e308}] * 2}]},
            {"routes": [{**route, "split": [{"service": "s", "weight": -1.0}]}]},
            {"tenants": [{**tenant, "name": "north\r\nX: 1"}]},
            {"tenants": [{**tenant, "name": "\u2603"}]},
            {"tenants": [{**tenant, "ratePerS": 1e308}]},
            {"tenants": [{**tenant, "priority": 2**70}]},
            {"services": [{**service, "maxConns": 2**70}]},
            {"services": [{**service, "engine": {**engine, "slots": 2**70}}]},
            {"services": [{**service, "engine": {**engine, "kvTokenBytes": 1e308}}]},
            {"services": [{**service, "scaling": {**scaling, "max": 2**70}}]},
            {"services": [{**service, "scaling": {**scaling, "bootS": 1e300}}]},
            {"limits": {"maxBodyBytes": 2**70}},
            {"limits": {"idleTimeoutMs": 1e300}},
        ):
            with self.subTest(encode_json(change)[:80]), self.assertRaises(ValueError):
                read_config(encode_json({**plan, **change}))

    def test_engines_without_slots_or_stride_count_as_one(self) -> None:
        """Waiting times and numbers of events are divided by both."""
        engine = {"slots": 0, "stride": 0}
        raw = encode_json({"version": 1, "services": [{"name": "s", "engine": engine}]})
        read = read_config(raw).services[0].engine
        assert read is not None
        self.assertEqual((read.slots, read.event_tokens), (1, 1))

    def test_rollout_orders_with_values_that_fail_later(self) -> None:
        order = {"service": "s", "targetVersion": "v2", "durationS": 8.0}
        for field, value in (
            ("service", "s" * 100_000),
            ("targetVersion", "v2\r\n"),
            ("targetVersion", "v" * 100_000),
            ("durationS", 1e300),
            ("durationS", -1.0),
        ):
            row = make_row(encode_json({**order, field: value}))
            with self.subTest(field), self.assertRaises(ValueError):
                read_rollout(row, 1.0, 1)

    @FUZZ
    @given(JSON)
    def test_rollout_phases(self, value: object) -> None:
        body = {"service": "s", "targetVersion": "v2", "durationS": 8.0}
        order = read_rollout(make_row(msgspec.json.encode(body)), 1.0, 1)
        with contextlib.suppress(ValueError):
            read_phase(make_row(msgspec.json.encode(value)), order)

    def test_rows_with_numbers_that_peers_cannot_be_sent(self) -> None:
        lease = {"holder": "n1", "epoch": 1, "operation": "x"}
        order = ["s", 2**70, "v2", 8.0, 1.0]
        for row_type, value in (
            (LeaseRow, {**lease, "epoch": 2**63}),
            (LeaseRow, {**lease, "epoch": 2**64 - 1}),
            (LeaseRow, {**lease, "epoch": 10**400}),
            (LeaseRow, {**lease, "epoch": -1}),
            (LeaseRow, {**lease, "era": 2**70}),
            (StoredBlock, {"until_s": 1.0, "times": 2**70}),
            (WindowRow, {"window": 2**70, "counts": {}}),
            (WindowRow, {"window": 1, "counts": {"a": 2**70}}),
            (RolloutNews, [order]),
        ):
            with self.subTest(row_type.__name__), logbook.NullHandler().applicationbound():
                row = StateRow("k", encode_json(value), 1)
                self.assertIsNone(decode_row("table", row, row_type))

    def test_lease_with_the_largest_epoch_is_acquired(self) -> None:
        lease = Lease("duties", "n1", 1.0)
        lease.record_read(LeaseRow("n9", MAX_EPOCH, "x"), 7, 0.0)
        self.assertEqual(lease.next_row("y", 2**64).epoch, MAX_EPOCH)

    def test_renewals_of_peers_with_any_fence_are_applied(self) -> None:
        async def work() -> None:
            for fence in (2**64 - 1, -1):
                keeper = make_keeper(SingleRowStore(), "n1")
                keeper.on_renewal("n9", LeaseNews(fence, 3, 0.0), monotonic())
                self.assertEqual(keeper.holder, "n9")
                keeper.lease.next_row("x", keeper._highest_fence + 1)

        run_quietly(work())

    def test_blocks_with_any_count_fail_nothing(self) -> None:
        quarantine = Quarantine()
        for times in (-(2**40), -1, 0, 1, 1_100, 2**32 - 1, 2**32, 2**63):
            with self.subTest(times=times):
                block = Block(b"f" * 16, 1.0, times)
                self.assertTrue(block.is_expired(1e9))
                quarantine.merge_block(block)
                quarantine.digest()
                quarantine.block(b"f" * 16, 1.0)


class DatagramsTest(unittest.TestCase):
    """Messages between nodes: unreadable datagrams are counted and otherwise ignored."""

    def setUp(self) -> None:
        self.received: list[Message] = []
        self.socket = GossipSocket(self.received.append)

    def test_valid_datagram_is_delivered(self) -> None:
        packed = pack_snapshot(StateNews(make_state("n1"), []))
        self.socket.datagram_received(msgspec.msgpack.encode(packed), ("", 0))
        self.assertEqual((len(self.received), self.socket.unreadable.total()), (1, 0))

    def test_numbers_that_are_not_finite_are_refused(self) -> None:
        """A clock that is off by NaN would count usage in no window, and stop the duties."""
        for number in (math.nan, math.inf, -math.inf):
            state = make_state("n1")
            state.offset_s = number
            packed = pack_snapshot(StateNews(state, []))
            self.assertIsNone(StateUnpacker().unpack(packed))
            raw = msgspec.msgpack.encode(PlanCheck("n1", 1, number))
            self.socket.datagram_received(raw, ("", 0))
        self.assertEqual((self.received, self.socket.unreadable.total()), ([], 3))

    def test_texts_with_the_bytes_of_such_numbers_are_delivered(self) -> None:
        frame = PackedState("n1", 1, 1, b"\xcb\x7f\xf8\0\0\0\0\0\0")
        self.socket.datagram_received(msgspec.msgpack.encode(frame), ("", 0))
        self.assertEqual(self.received, [frame])

    def test_frames_that_state_a_huge_size_are_not_unpacked(self) -> None:
        frame = zstandard.ZstdCompressor().compress(b"\0" * 2**24)
        with mock.patch("moledale.gateway.state_packing._decompressor") as decompressor:
            self.assertIsNone(StateUnpacker().unpack(PackedState("n1", 1, NO_BASE, frame)))
        decompressor.assert_not_called()

    @FUZZ
    @given(st.binary(max_size=120))
    def test_any_bytes(self, data: bytes) -> None:
        self.received.clear()
        before = self.socket.unreadable.total()
        self.socket.datagram_received(data, ("", 0))
        self.assertEqual(len(self.received) + self.socket.unreadable.total() - before, 1)


class SendingTest(unittest.TestCase):
    """Addresses and values that others stated must not end the task that sends to all."""

    def run_with_sockets(self, work: Callable[[GossipSocket, str], None]) -> None:
        """Run a test with a sending socket and another one's address, on both event loops."""

        async def run() -> None:
            received: list[Message] = []
            host = random_loopback_address()
            address = f"{host}:7100"
            receiver = await open_gossip(address, received.append)
            sender = await open_gossip(f"{host}:7101", lambda _: None)
            try:
                with logbook.NullHandler().applicationbound():
                    work(sender, address)
                    await asyncio.sleep(0.05)
                    sender.send(PlanCheck("last", 1, 0.0), [address])
                    await asyncio.sleep(0.05)
            finally:
                sender.close()
                receiver.close()
            self.assertEqual([each.id for each in received], ["last"])

        for runner in (asyncio.run, uvloop.run):
            runner(run())

    def test_addresses_that_cannot_be_sent_to(self) -> None:
        addresses = (
            "a",
            "a:b",
            "127.0.0.1:99999",
            f"127.0.0.1:{2**70}",
            "a\0b:7",
            "a..b:7",
            "::1:7",
        )

        def work(sender: GossipSocket, _: str) -> None:
            for address in addresses:
                sender.send(PlanCheck("n1", 1, 0.0), [address])

        self.run_with_sockets(work)

    def test_states_that_cannot_be_packed(self) -> None:
        state = make_state("n1")
        state.work["s"] = 2**70

        def work(sender: GossipSocket, address: str) -> None:
            for packed in (
                pack_snapshot(StateNews(state, [])),
                StatePacker().pack(StateNews(state, []), ()),
            ):
                sender.send(packed, [address])

        self.run_with_sockets(work)

    def test_messages_that_cannot_be_encoded(self) -> None:
        def work(sender: GossipSocket, address: str) -> None:
            sender.send(PlanCheck("n1", 2**70, 0.0), [address])
            sender.send(PlanCheck("\ud800", 1, 0.0), [address])
            sender.send(PlanCheck("n" * 70_000, 1, 0.0), [address])

        self.run_with_sockets(work)


GATEWAY_SETTINGS = """
cores = 1.0
[outside]
store = "127.0.0.1:6"
cloud = "127.0.0.1:7"
[bounds]
lease_s = 1.0
"""


class SettingsTest(unittest.TestCase):
    """Settings that can't be used are findings, at the start and when they are read again."""

    def make_text(self, old: str = "", new: str = "") -> str:
        """Return valid settings with one part replaced."""
        names = ("callers", "control", "directory", "readiness", "peers")
        addresses = (f'{name} = "127.0.0.1:{port}"' for port, name in enumerate(names))
        node = ("[node]", 'id = "n1"', 'hall = "a"', 'region = "r"', *addresses)
        text = "\n".join(node) + GATEWAY_SETTINGS
        self.assertIn(old, text)
        return text.replace(old, new, 1)

    def test_values_that_fail_later_are_findings(self) -> None:
        self.assertTrue(gateway_settings.parse("file", self.make_text()).is_ok())
        for old, new in (
            ("127.0.0.1:1", "127.0.0.1:\u00b2"),
            ("127.0.0.1:1", "127.0.0.1:65536"),
            ("127.0.0.1:1", "127.0.0.1:" + "9" * DEPTH),
            ("127.0.0.1:1", "a\\u0000b:1"),
            ("127.0.0.1:6", "a..b:6"),
            ("127.0.0.1:7", "127.0.0.1:99999"),
            ('"n1"', '"n1\\r\\nX: 1"'),
            ('"n1"', '"' + "n" * 100_000 + '"'),
            ("lease_s = 1.0", "lease_s = nan"),
            ("lease_s = 1.0", "lease_s = inf"),
            ("lease_s = 1.0", "lease_s = -1.0"),
            ("lease_s = 1.0", "lease_s = " + "9" * 400),
            ("lease_s = 1.0", "lease_s = " + "9" * DEPTH),
            ("lease_s = 1.0", "lease_s = [[[[1]]]]"),
            ("cores = 1.0", "cores = nan"),
            ("lease_s = 1.0", "lease_s = 1.0\nusage_window_s = 0.0"),
            ("lease_s = 1.0", "lease_s = 1.0\nretry_window_s = 0.0"),
            ("lease_s = 1.0", "lease_s = 1.0\napply_s = 0.0"),
        ):
            with self.subTest(old=old, new=new[:40]):
                self.assertTrue(gateway_settings.parse("file", self.make_text(old, new)).is_err())

    def test_files_that_cannot_be_read_are_findings(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            unreadable = Path(folder, "unreadable")
            unreadable.write_bytes(b"\xff\xfe\x00")
            for path in (Path(folder), Path(folder, "absent"), unreadable, Path("a\0b")):
                with self.subTest(str(path)[-12:]):
                    self.assertTrue(gateway_settings.load(path).is_err())
                    self.assertTrue(daemon_settings.load(path).is_err())
                    self.assertTrue(daemon_settings.SecretSource(file=str(path)).read().is_err())

    def test_limits_of_the_daemon_are_finite(self) -> None:
        for number in (math.nan, math.inf):
            with self.subTest(number), self.assertRaises(ValueError):
                daemon_settings.TimesSection(lease_ttl_s=number)


class DeepNestingTest(unittest.TestCase):
    """Values that are nested deeply make decoders raise errors that end the reading task."""

    def setUp(self) -> None:
        handler = logbook.NullHandler()
        handler.push_application()
        self.addCleanup(handler.pop_application)

    def assert_unreadable_everywhere(self, value: bytes) -> None:
        """Check that each seam refuses a JSON value with its documented error."""
        row = make_row(value)
        body = {"service": "s", "targetVersion": "v2", "durationS": 8.0}
        order = read_rollout(make_row(msgspec.json.encode(body)), 1.0, 1)
        self.assertIsNone(EntryReader().read(row))
        for name, read in (
            ("plan", lambda: read_config(value)),
            ("order", lambda: read_rollout(row, 1.0, 1)),
            ("status", lambda: read_phase(row, order)),
            ("answer", lambda: decode_json(value, dict[str, object])),
        ):
            with self.subTest(name), self.assertRaises(ValueError):
                read()
        for stored in STORED_ROWS:
            with self.subTest(stored.__name__):
                self.assertIsNone(decode_row("table", StateRow("k", value, 1), stored))

    def test_json_of_lists(self) -> None:
        self.assert_unreadable_everywhere(JSON_LISTS)

    def test_json_that_is_nested_in_an_unknown_field(self) -> None:
        self.assert_unreadable_everywhere(
            msgspec.json.encode(ENTRY)[:-1] + b',"x":' + JSON_LISTS + b"}"
        )

    def test_json_of_objects(self) -> None:
        self.assert_unreadable_everywhere(b'{"x":' * DEPTH + b"1" + b"}" * DEPTH)

    def test_datagrams(self) -> None:
        received: list[Message] = []
        socket = GossipSocket(received.append)
        socket.datagram_received(MSGPACK_LISTS, ("", 0))
        socket.datagram_received(b"\x92\xa5state" + MSGPACK_LISTS, ("", 0))
        self.assertEqual((received, socket.unreadable.total()), ([], 2))
        self.assertEqual(claimed_kind(MSGPACK_LISTS), NO_KIND)

    def test_compressed_states_of_peers(self) -> None:
        frame = zstandard.ZstdCompressor().compress(MSGPACK_LISTS)
        self.assertIsNone(StateUnpacker().unpack(PackedState("n1", 1, NO_BASE, frame)))

    def test_documents_of_peers(self) -> None:
        with self.assertRaises(ValueError):
            ServerList().update_from_peer(MSGPACK_LISTS, EraVersion(1, 1))
        with self.assertRaises(msgspec.DecodeError):
            decode_msgpack(MSGPACK_LISTS, DocumentPiece)

    def test_sources_of_documents_may_state_any_capacity(self) -> None:
        async def read_store() -> bool:
            return True

        for powers in ((0.0, 0.0), (1e308, 1e308), (-1.0, 1.0), (-1.0, -1.0)):
            archive = DocumentArchive(1.0, monotonic)
            fetch = DocumentFetch("/x", archive, EraVersion, lambda *_: None, read_store)
            for name, power in zip("ab", powers, strict=True):
                fetch.add_source(name, EraVersion(1, 1), power, 0.0)
            with self.subTest(powers):
                self.assertIn(fetch._choose(fetch._newer_sources(), 1.0), ("a", "b"))

    def test_settings_and_bundles(self) -> None:
        for text in ("a = " + "[" * DEPTH + "]" * DEPTH, "a = " + "9" * DEPTH):
            with self.subTest(text[:8]):
                self.assertTrue(gateway_settings.parse("file", text).is_err())
                self.assertTrue(daemon_settings.parse("file", text).is_err())
                self.assertTrue(schema.parse("file", text.encode()).is_err())
                with self.assertRaises(ValueError):
                    decode_toml(text)
