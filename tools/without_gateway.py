"""The gateway's mechanisms, each with a patch that removes it and the tests that must then fail."""

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from moledale import clock
from moledale.core import rollouts, suspect_parts
from moledale.core.pacing import Pacer
from moledale.core.quarantine import Quarantine
from moledale.core.rollouts import RolloutOrder
from moledale.core.survivors import Survivors
from moledale.core.suspect_parts import SuspectParts
from moledale.gateway import (
    answers,
    calls,
    directory,
    document_codec,
    document_fetch,
    duties,
    events,
    fleet_watch,
    lease_keeper,
    neighbours,
    quarantine_sharing,
    registration,
    renting,
    watch_turn,
)
from moledale.gateway.accounts import AccountLimits, RecentSpending
from moledale.gateway.admission import Admission
from moledale.gateway.answers import AnswerReader
from moledale.gateway.backoff import Backoff
from moledale.gateway.balance import LoadBalancer
from moledale.gateway.closed_servers import LimitedServers
from moledale.gateway.cold_start import ColdStart
from moledale.gateway.document_archive import DocumentArchive, DocumentPiece, UploadBudget
from moledale.gateway.document_fetch import DocumentFetch, Transfer
from moledale.gateway.duties import Duties
from moledale.gateway.ended_servers import DepartureLog
from moledale.gateway.engine_costs import EngineCosts
from moledale.gateway.evacuation import Evacuation
from moledale.gateway.events import EventSplitter
from moledale.gateway.fleet_watch import FleetWatch
from moledale.gateway.forwarder import Forwarder
from moledale.gateway.inbound import InboundConnection, Listener
from moledale.gateway.job import Job
from moledale.gateway.lease_history import LeaseHistory
from moledale.gateway.lease_keeper import LeaseKeeper
from moledale.gateway.messages import AnswerFacts, AnswerHead, Framing
from moledale.gateway.neighbours import Neighbours
from moledale.gateway.node import GatewayNode
from moledale.gateway.outside import StateRow
from moledale.gateway.peers import LeaseNews, Membership
from moledale.gateway.permits import GrantorSelector, PermitClient
from moledale.gateway.placing import Placer
from moledale.gateway.plan import PlanIndex
from moledale.gateway.quarantine_sharing import QuarantineSharing
from moledale.gateway.quarantine_store import QuarantineStore
from moledale.gateway.reach_probe import ReachProber
from moledale.gateway.refusals import Refusals
from moledale.gateway.reply import Reply
from moledale.gateway.request_guard import RequestGuard
from moledale.gateway.retries import RetryBudget
from moledale.gateway.rollouts import ServiceRollout
from moledale.gateway.server_ends import BrokenRequests, CrashDetector, Verdict
from moledale.gateway.server_group import ServerGroup
from moledale.gateway.server_list import ServerList
from moledale.gateway.server_model import Slowness, SpeedEstimator
from moledale.gateway.server_notices import ServerNotices
from moledale.gateway.server_stalls import ServerStalls
from moledale.gateway.server_standing import ServerStanding
from moledale.gateway.server_view import ServerView
from moledale.gateway.stated_limit import StatedLimit
from moledale.gateway.store_era import StoreEra
from moledale.gateway.upstream import UpstreamConnection
from moledale.gateway.work import WorkMeter
from moledale.http_overhead import OverheadMeter
from moledale.platform import entries, store
from moledale.platform.entries import EntryReader
from moledale.platform.headers import PlatformHeaders
from moledale.quarantine.part_guard import PartGuard
from moledale.quarantine.server_checks import ServerChecks
from moledale.streams.origin_log import OriginLog
from moledale.streams.origins import Origin, StreamOrigins
from moledale.streams.version_history import VersionHistory
from moledale.streams.version_register import VersionRegister

FORWARDING = "tests.test_gateway_forwarding"
CUT_ANSWERS = "tests.test_cut_answers"
STREAM_VERSIONS = "tests.test_server_versions tests.test_stream_origins"
OUT_OF_STEP = "tests.test_streams_out_of_step tests.test_streams_after_kills"
NODES = "tests.test_gateway_nodes"
RESTORED = "tests.test_store_restored tests.test_store_era"
LEASE = "tests.test_gateway_lease"
ROWS = "tests.test_rows_of_others"
STATE = "tests.test_gateway_state"
LIMITS = "tests.test_gateway_limits"
RENTING = "tests.test_gateway_renting"
MEMBERSHIP = "tests.test_gateway_membership"
PLAN_DISTRIBUTION = "tests.test_plan_spread"
SERVER_MODEL = "tests.test_server_model"
LISTS = "tests.test_server_list"
PLACEMENTS = "tests.test_gateway_placements"
BLOCKS = "tests.test_quarantine tests.test_quarantine_nodes"
PARTS = "tests.test_suspect_parts tests.test_part_guard"
ENDLESS = "tests.test_endless_answers"
PERMITS = "tests.test_permits"
SERVER_LIMITS = "tests.test_server_limits"
NOTICES = "tests.test_server_notices"
QUARANTINE_CORE = "tests.test_quarantine_core"
CUT_NODES = "tests.test_nodes_cut_from_servers"
BRITTLE = "tests.test_brittle_servers"
VERSIONS = "tests.test_rollouts.VersionsTest"

_finish_answer = UpstreamConnection.finish
_read_answer = PlatformHeaders.read_answer
_data_received = UpstreamConnection.data_received
_start_reply = Reply.start
CHUNKED_FOR = {Framing.CLOSE: Framing.CHUNKED}
_on_renewal = LeaseKeeper.on_renewal
_record_work = WorkMeter.record


async def _grant_always(*_: object) -> bool:
    """Grant every request a permit, whatever limit the server states."""
    return True


async def _skip_permit_wait(*_: object) -> None:
    """Send without waiting for a permit."""


def _always_reusable(self: UpstreamConnection, now: float) -> bool:
    """Mark a connection as reusable, whatever was received on it."""
    self.usable = True
    return _finish_answer(self, now)


async def _never_ended(*_: object) -> bool:
    """Learn nothing from peers about a server."""
    return False


async def _accept_any_list(_: FleetWatch) -> bool:
    """Treat a list of servers of any age as current."""
    return True


def _ignore_surplus(self: UpstreamConnection, data: bytes) -> None:
    """Ignore unexpected bytes instead of closing the connection."""
    if self._request_sent and not self._complete:
        _data_received(self, data)


def _drop_request_id(self: PlatformHeaders, head: AnswerHead) -> AnswerFacts:
    """Read an answer as if it had no request id."""
    return msgspec.structs.replace(_read_answer(self, head), request_id=None)


def _adopt_any_plan(self: Admission, plan: Any) -> bool:
    self.index = PlanIndex(plan)
    return True


def _pass_partial_events(self: EventSplitter, data: bytes) -> bytes:
    """Forward incomplete events."""
    self._record_events(data)
    return data


def _finish_as_complete(self: Reply) -> None:
    """End a truncated answer as if it were complete."""
    self._transport.write(b"0\r\n\r\n")
    self.complete = True


def _frame_as_chunked(self: Reply, *arguments: Any) -> None:
    """Frame an answer that only its connection ends in chunks."""
    status, headers, framing, *length = arguments
    _start_reply(self, status, headers, CHUNKED_FOR.get(framing, framing), *length)


async def _read_no_versions(_: VersionRegister, _service: str) -> None:
    """Read nothing from the store."""


async def _ask_nobody(_self: StreamOrigins, *_: object) -> Origin:
    """Find no version that other nodes know."""
    return Origin(None)


def _ignore_disconnect(self: InboundConnection, exc: Exception | None) -> None:
    """Continue the work for a caller that has disconnected."""
    self._listener.connections.discard(self)


async def _stop_without_drain(self: GatewayNode) -> None:
    for server in self._tcp_servers:
        server.close()
    for connection in list(self._caller_listener.connections):
        connection.close()
    await self.supervisor.stop()


def _all_candidates(self: ServerGroup, *_: Any, **__: Any) -> Any:
    return list(self.views.values())


async def _never_fetch(self: DocumentFetch) -> None:
    await asyncio.Event().wait()


def _restart_transfer(self: Transfer, piece: DocumentPiece) -> None:
    """Restart the transfer with each piece, so that only a first piece is kept."""
    self.base, self.frame, self.data = piece.base, piece.frame, bytearray()
    if piece.offset == 0:
        self.data += piece.data


def _read_unguarded(_table: str, _key: str, read: Callable[[], object]) -> object:
    """Raise the error of an unreadable row instead of logging it."""
    return read()


def _read_row_unguarded(_table: str, row: StateRow, kind: type) -> object:
    """Raise the error of an unreadable row instead of logging it."""
    return msgspec.json.decode(row.value, type=kind)


async def _keep_window_counts(*_: object) -> None:
    """Keep the counts that were stored for a window in another era."""


def _adopt_era_silently(self: StoreEra, era: int, _age_s: float = 0.0) -> None:
    """Adopt the era without calling `on_restored`."""
    self.number = max(self.number, era)


def _accept_relayed_renewal(
    self: LeaseKeeper, holder: str, news: LeaseNews, now: float, relayed: bool = False
) -> None:
    """Treat a relayed renewal as one that came from the holder itself."""
    _on_renewal(self, holder, news, now)


async def _skip_peer_wait(_: ColdStart, _known: object, _coming: object) -> None:
    """Start without waiting for the answers of peers."""


def _count_from_start(self: WorkMeter, incarnation: int, work: dict[str, int]) -> None:
    """Count the whole work of an incarnation, also what it did before it was first observed."""
    self._counted.setdefault(incarnation, {})
    _record_work(self, incarnation, work)


async def _always_crashed(*_: object) -> Verdict:
    """Treat each server whose answer broke off as crashed."""
    return Verdict.CRASHED


async def _never_relayed(*_: object) -> bool:
    """Relay no request."""
    return False


async def _write_nothing(_: QuarantineStore) -> bool:
    await asyncio.sleep(0.05)
    return True


def _count_each_failure(self: RequestGuard, broken: BrokenRequests, _: Verdict) -> None:
    """Count each answer that broke off as a failure of the version."""
    for placement in broken.placements:
        self._record_failure(placement)


MECHANISMS: list[tuple[str, Any, str, Any, str]] = [
    ("surplus bytes end a connection", UpstreamConnection, "data_received", _ignore_surplus,
     FORWARDING),
    ("spoiled connections are not kept", UpstreamConnection, "finish", _always_reusable,
     FORWARDING),
    ("the id of an answer is compared", PlatformHeaders, "read_answer", _drop_request_id,
     FORWARDING),
    ("only whole events pass", EventSplitter, "feed", _pass_partial_events,
     f"{FORWARDING} {STATE}"),
    ("a cut answer ends visibly", Reply, "abort", _finish_as_complete, FORWARDING),
    ("an answer without framing gets none", Reply, "start", _frame_as_chunked, CUT_ANSWERS),
    ("an unframed answer that is not finished is reset", Reply, "_set_linger", lambda *_: None,
     CUT_ANSWERS),
    ("a stream inside an event is not complete", EventSplitter, "partial_bytes", 0, CUT_ANSWERS),
    ("a stream goes on at its version", LoadBalancer, "other_versions", lambda *_: frozenset(),
     STREAM_VERSIONS),
    ("other nodes are told what began a stream", StreamOrigins, "_tell", lambda *_: None,
     STREAM_VERSIONS),
    ("other nodes are asked what began a stream", StreamOrigins, "_ask", _ask_nobody,
     STREAM_VERSIONS),
    ("only a long history tells the only version", VersionHistory, "covers_lifetime",
     lambda *_: True, STREAM_VERSIONS),
    ("streams begin at versions that the store names", VersionRegister, "may_begin",
     lambda *_: True, "tests.test_version_register"),
    ("the store tells which versions began streams", VersionRegister, "recent", _read_no_versions,
     OUT_OF_STEP),
    ("a silent node may know another version", Membership, "any_silent", lambda *_: False,
     f"{OUT_OF_STEP} {STREAM_VERSIONS}"),
    ("the store keeps what began streams", OriginLog, "add", lambda *_: None, OUT_OF_STEP),
    ("the last chunk follows no end that may be a cut", AnswerReader, "_may_lack_events",
     lambda *_: False, CUT_ANSWERS),
    ("a caller that leaves is heeded", InboundConnection, "connection_lost", _ignore_disconnect,
     FORWARDING),
    ("what may have run is not repeated", Forwarder, "_may_retry", lambda *_: True, FORWARDING),
    ("repeats draw on a budget", RetryBudget, "allows", lambda *_: True, f"{FORWARDING} {LIMITS}"),
    ("leaving servers get no work", ServerGroup, "candidates", _all_candidates,
     f"{FORWARDING} {STATE}"),
    ("older plans are not adopted", Admission, "adopt", _adopt_any_plan,
     f"{FORWARDING}.AdmissionTest"),
    ("others' spending counts", AccountLimits, "record_peer_spending", lambda *_: None, LIMITS),
    ("streams move off leaving servers", Evacuation, "servers_changed", lambda *_: None,
     "tests.test_gateway_evacuation"),
    ("peers pass plans on", DocumentFetch, "run", _never_fetch, f"{NODES}.PlanTest"),
    ("a transfer goes on where it was", Transfer, "add", _restart_transfer, PLAN_DISTRIBUTION),
    ("fetches take a part of a link", UploadBudget, "take", lambda *_: True, PLAN_DISTRIBUTION),
    ("a base that is kept is used", DocumentArchive, "newest", "", PLAN_DISTRIBUTION),
    ("a plan's digest is compared", document_codec, "digest_of", lambda _: "", PLAN_DISTRIBUTION),
    ("a newer plan is waited for", DocumentFetch, "is_behind", lambda *_: False, PLAN_DISTRIBUTION),
    ("the store is asked at last", document_fetch, "STORE_FALLBACK_S", 1e9, PLAN_DISTRIBUTION),
    ("many repeat calls more seldom", Backoff, "next_s", lambda _: 0.2, "tests.test_backoff"),
    ("servers' speed is learnt", SpeedEstimator, "_fit", lambda _: (40_000.0, 0.03), SERVER_MODEL),
    ("a slow server is told apart", Slowness, "observe", lambda *_: None, SERVER_MODEL),
    ("a front is fetched", EngineCosts, "should_fetch", lambda *_: False, PLACEMENTS),
    ("missing spot servers are made up", renting, "RESERVE_SHARE", -1e9, RENTING),
    ("one reader tells all others", FleetWatch, "on_change", lambda *_: None, LISTS),
    ("others' states show a missed list", FleetWatch, "on_head", lambda *_: None, LISTS),
    ("changes of servers are passed on", Neighbours, "relay_targets", lambda *_: [], LISTS),
    ("leaving servers are marked at once", ServerList, "_mark_departures", lambda *_: False, LISTS),
    ("no request goes by an old list", FleetWatch, "ensure_current", _accept_any_list, LISTS),
    ("reserves wait before they read", fleet_watch, "RESERVE_READ_JITTER_S", 0.0, LISTS),
    ("a stop waits for requests", GatewayNode, "_drain", _stop_without_drain, f"{NODES}.StopTest"),
    ("counts of former lives are kept", Membership, "all_states",
     lambda self: [each.state for each in self.members.values()], f"{STATE} {MEMBERSHIP}"),
    ("a candidate waits for the time to live", lease_keeper, "TTL_FACTOR", 0.0, LEASE),
    ("what was passed on is not passed on again", LeaseKeeper, "on_renewal",
     _accept_relayed_renewal, LEASE),
    ("others hear of placements at once", LoadBalancer, "drain_placements", lambda _: [],
     "tests.test_gateway_placements"),
    ("servers that lapsed are kept", fleet_watch, "LAPSED_ENTRY_GRACE_S", 0.0, STATE),
    ("a window's spending counts", RecentSpending, "wait_s", lambda *_: 0.0, LIMITS),
    ("the past of a node is no demand", WorkMeter, "record", _count_from_start, RENTING),
    ("changes go along a ring, too", neighbours, "ring_successors", lambda *_: [], MEMBERSHIP),
    ("starting nodes share a limit's tolerance", AccountLimits, "_start_level",
     lambda _, account: account.burst, LIMITS),
    ("starting nodes ask their peers first", ColdStart, "wait", _skip_peer_wait,
     "tests.test_cold_start"),
    ("few new servers get their part only", ServerGroup, "new_version_share",
     lambda _: 1.0, VERSIONS),
    ("routes with few requests are tried sooner", ServiceRollout, "is_undertested",
     lambda *_: False, VERSIONS),
    ("a request is known when it comes again", Quarantine, "wait_s", lambda *_: 0.0, BLOCKS),
    ("a blocked request is known before it is sent", RequestGuard, "job_wait_s", lambda *_: 0.0,
     "tests.test_quarantine_nodes.BlockedInProgressTest"),
    ("what a blocked request explains counts once", Quarantine, "_unexplained",
     lambda self, fingerprint: self._crashes_by_request.get(fingerprint, []), QUARANTINE_CORE),
    ("what a server survived is trusted", Survivors, "is_trusted", lambda *_: False,
     f"{PARTS} tests.test_quarantine_nodes.SeenTest"),
    ("parts are accused of crashes", SuspectParts, "find_guilty", lambda *_: [],
     "tests.test_suspect_parts"),
    ("parts there by chance are not accused", suspect_parts, "_explains_most", lambda *_: True,
     PARTS),
    ("equally suspected parts wait for more crashes", suspect_parts, "_rivals", lambda *_: [],
     PARTS),
    ("crashes together count for their share of parts", suspect_parts, "_strikes",
     lambda own, _: float(len(own)), PARTS),
    ("a blocked part is probed by one node, once", PartGuard, "_may_probe", lambda *_: True,
     PARTS),
    ("a failed probe delays the next one", PartGuard, "_extend", lambda *_: None, PARTS),
    ("an unframed end is no survival", RequestGuard, "record_unframed_end",
     lambda self, job, _: self.record_served(job), "tests.test_unframed_crashes"),
    ("peers are asked whether a server ended", ServerChecks, "has_ended", _never_ended,
     "tests.test_server_checks"),
    ("bytes that are no body are bounded", OverheadMeter, "is_exceeded", False, ENDLESS),
    ("events are bounded", events, "MAX_EVENT_BYTES", 1 << 40, ENDLESS),
    ("bodies of calls are bounded", calls, "MAX_ANSWER_BYTES", 1 << 40, ENDLESS),
    ("bodies of rejections are not read whole", answers, "MAX_UNUSED_BYTES", 1 << 40, ENDLESS),
    ("only servers that ended count", CrashDetector, "_verdict", _always_crashed, BLOCKS),
    ("ends at the same moment are shared out", Quarantine, "_strike_share", lambda *_: 1.0,
     QUARANTINE_CORE),
    ("an answer clears its request", Quarantine, "record_served", lambda *_: False,
     QUARANTINE_CORE),
    ("ends are told between nodes", QuarantineSharing, "_send_crash", lambda *_: None, BLOCKS),
    ("ends are told once more", quarantine_sharing, "RESEND_DELAY_S", 1e6, BLOCKS),
    ("a node that lacks blocks is told", QuarantineSharing, "on_peer_digest", lambda *_: None,
     BLOCKS),
    ("blocks are kept in the store", QuarantineStore, "_write", _write_nothing, BLOCKS),
    ("an end is one failure of a version", RequestGuard, "_on_server_checked", _count_each_failure,
     BLOCKS),
    ("a server that starts again is another", entries, "INCARNATION_SEPARATOR", "",
     "tests.test_platform_store tests.test_restarted_servers"),
    ("bad entries hide no other", EntryReader, "read", lambda _, row: entries.read_server(row),
     "tests.test_platform_store"),
    ("durations go on while suspended", clock, "_BOOTTIME_CLOCK", None, "tests.test_suspension"),
    ("what answers say of servers counts", AnswerReader, "_on_statement", lambda *_: None, NOTICES),
    ("no list takes a server's word back", ServerNotices, "applied_to",
     lambda _, servers: servers, NOTICES),
    ("a time to come back is kept", ServerView, "is_open",
     lambda self, _: not self.server.leaving, NOTICES),
    ("a full server is asked last", ServerView, "is_deprioritized",
     lambda self, now: self.standing.paused_until > now, NOTICES),
    ("others hear which servers leave", ServerNotices, "leaving_ahead_of_list", lambda _: [],
     NOTICES),
    ("others ask a full server later", ServerNotices, "merge_peer_declines", lambda *_: None,
     NOTICES),
    ("callers come back when any server is free", Refusals, "wait_s", lambda *_: None, NOTICES),
    ("servers that turn away are made up for", ServerGroup, "unavailable_count", lambda *_: 0,
     NOTICES),
    ("requests to a limited server need a permit", PermitClient, "take", _grant_always,
     SERVER_LIMITS),
    ("one node grants for a server", GrantorSelector, "address", lambda *_: None, PERMITS),
    ("halves of a cut grant a part", Membership, "reachable_share", lambda *_: 1.0, PERMITS),
    ("others hear which limits servers name", ServerNotices, "merge_peer_limits", lambda *_: None,
     PERMITS),
    ("a server without a permit isn't chosen", ServerStanding, "is_held", lambda *_: False,
     PERMITS),
    ("overtaken answers don't loosen a limit", StatedLimit, "_loosens", lambda *_: False, PERMITS),
    ("those that are refused come one after the other", Pacer, "_retry_after_s",
     lambda _, wait_s, __: wait_s, "tests.test_pacing"),
    ("requests wait for their turn", Placer, "_wait_for_permit", _skip_permit_wait, SERVER_LIMITS),
    ("limits are made up for by renting", LimitedServers, "lost_servers", lambda *_: 0,
     SERVER_LIMITS),
    ("starting nodes tell all what they admit", Neighbours, "_admits_before_listened",
     lambda *_: False, LIMITS),
    ("the holder's looks are reckoned with", rollouts, "POLLS_AFTER_RISE", 0,
     "tests.test_rollout_timing"),
    ("as many serve as requests need", directory, "CORE_S_PER_REQUEST", 1e-9, MEMBERSHIP),
    ("answers of the store name its era", store, "first_count", lambda *_: None, RESTORED),
    ("a list read in vain is followed by a pause", FleetWatch, "_on_stale_read", lambda *_: None,
     "tests.test_server_list"),
    ("servers that had ended are not used again", DepartureLog, "contradicted_departure",
     lambda *_: None,
     "tests.test_server_list"),
    ("fences are numbered by era", lease_keeper, "FENCES_PER_ERA", 0, LEASE),
    ("a holder goes on over a return of the store", LeaseKeeper, "_schedule_renewal",
     lambda *_: None, LEASE),
    ("a former holder waits for the time to live", LeaseHistory, "may_acquire_at",
     lambda _: -1e9, "tests.test_lease_returns"),
    ("a silent watch is not trusted", watch_turn, "MAX_CHECK_AGE_SHARE", 10.0,
     "tests.test_plan_watchers"),
    ("no other answer follows events", Job, "may_follow", lambda *_: True,
     "tests.test_second_answers"),
    ("a stop waits for slow readers", Listener, "has_unsent", lambda _: False,
     "tests.test_slow_readers"),
    ("a missing row is no free lease", LeaseKeeper, "_may_acquire_without_row",
     lambda *_: True, LEASE),
    ("what is known of a row ends with its era", LeaseKeeper, "_enter_era", lambda *_: None, LEASE),
    ("windows whose counts may be lost aren't counted anew", Duties, "_may_freeze",
     lambda *_: True, "tests.test_usage_reports"),
    ("counts kept in a later era are taken back", Duties, "_void", _keep_window_counts,
     "tests.test_usage_reports"),
    ("an order that is written again is no new one", RolloutOrder, "is_equivalent",
     lambda *_: False, "tests.test_rollouts.RestoredOrderTest"),
    ("rows that the store may have lost are written again", StoreEra, "observe",
     _adopt_era_silently,
     RESTORED),
    ("a plan that can't be read ends no task", store, "parse_or_log", _read_unguarded,
     f"{ROWS}.PlanOfOthersTest"),
    ("a lease that can't be read ends no task", lease_keeper, "decode_row", _read_row_unguarded,
     f"{ROWS}.LeaseOfOthersTest"),
    ("usage that can't be read ends no task", duties, "decode_row", _read_row_unguarded,
     "tests.test_usage_reports"),
    ("registrations that can't be read hide no others", registration, "parse_or_log",
     _read_unguarded, f"{ROWS}.MembersOfOthersTest"),
    ("requests of nodes without servers are relayed", Forwarder, "_relayed", _never_relayed,
     CUT_NODES),
    ("callers are directed to nodes that reach servers", GatewayNode, "_update_cut_off",
     lambda *_: None, CUT_NODES),
    ("lost links are not taken for ended servers", ReachProber, "links_lost", _never_relayed,
     CUT_NODES),
    ("requests at brittle servers are bounded", LoadBalancer, "refresh_rooms", lambda *_: None,
     BRITTLE),
    ("requests that one stall delays count once", ServerStalls, "is_counted", lambda *_: False,
     "tests.test_server_stalls"),
]  # fmt: skip
