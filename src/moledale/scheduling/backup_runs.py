"""Backups of a node's streams: chooses them with what the node knows, counts and logs them."""

import random
from collections import Counter
from collections.abc import Callable, Iterable

import msgspec

from moledale.gateway.balance import LoadBalancer
from moledale.gateway.choice import Choice
from moledale.gateway.messages import RequestFacts, Server
from moledale.gateway.plan import Engine, Route
from moledale.gateway.server_view import Placement, ServerView
from moledale.log import Event, emit
from moledale.scheduling.backups import (
    Backup,
    BackupControl,
    BackupCopy,
    BackupStream,
    BackupTarget,
    Fleet,
    Hazard,
    NoBackup,
    ServerHazards,
    StreamDurations,
)
from moledale.scheduling.stream_runs import BrokenRun, Continuation, link_of

MAX_PAUSE_MS = 60_000
"""Longest pause that the histogram tells apart: a few times the longest deadline."""

HISTOGRAM_DIGITS = 2
"""Significant digits of the histogram: allowed pauses are 300 ms and more, so 1 % suffices."""

MAX_TARGETS = 64
"""Maximum servers that are weighed for one backup: a decision takes below half a millisecond then,
and that many contain some with room in each hall unless nearly all are full."""

PAUSE_PERCENTILES = (50, 99)


class PauseTimes:
    """Distribution of the times from the end of a server to the first event from a backup."""

    def __init__(self) -> None:
        # Imported on first use, since the import lengthens the start of nodes that don't need it.
        from hdrh.histogram import HdrHistogram

        self._histogram = HdrHistogram(1, MAX_PAUSE_MS, HISTOGRAM_DIGITS)

    def record(self, pause_s: float) -> None:
        """Record one pause."""
        self._histogram.record_value(min(MAX_PAUSE_MS, max(1, round(pause_s * 1000))))

    def metrics(self) -> dict[str, int]:
        """Return the percentiles by metric name."""
        return {
            f"backup_pause_ms_p{each}": int(self._histogram.get_value_at_percentile(each))
            for each in PAUSE_PERCENTILES
        }


class BackupCounts(msgspec.Struct):
    """Counters of a node's backups; `made` counts tokens, `ends` continuations by outcome."""

    made: int = 0
    tokens: int = 0
    skipped: Counter[NoBackup] = msgspec.field(default_factory=Counter)
    ends: Counter[str] = msgspec.field(default_factory=Counter)
    pauses: PauseTimes | None = None

    def metrics(self) -> dict[str, int]:
        """Return the metrics by name."""
        return {
            "backups_total": self.made,
            "backup_tokens_total": self.tokens,
            **{f"backups_skipped_{each.value}_total": self.skipped[each] for each in NoBackup},
            **{f"backups_{each}_total": self.ends[each] for each in ("continued", "failed")},
            **(self.pauses.metrics() if self.pauses is not None else {}),
        }


class Backups:
    """Backups of this node's streams.

    `nodes` returns how many nodes serve, and `mean_tokens` the mean tokens that the streams of a
    service have at their end.
    """

    def __init__(
        self,
        balancer: LoadBalancer,
        nodes: Callable[[], int],
        mean_tokens: Callable[[str], int],
        now: Callable[[], float],
    ) -> None:
        self._balancer = balancer
        self._nodes = nodes
        self._mean_tokens = mean_tokens
        self._now = now
        self._controls: dict[str, BackupControl] = {}
        self._hazards: dict[str, ServerHazards] = {}
        self._durations = StreamDurations()
        self._rng = random.Random()
        self.counts = BackupCounts()

    def servers_changed(self, gone: Iterable[Server] = ()) -> None:
        """Record the servers that are listed, and those that are not any more."""
        now = self._now()
        gone = list(gone)
        for service, hazards in self._hazards.items():
            listed = [view.server for view in self._balancer.group(service).views.values()]
            ended = [server for server in gone if server.service == service]
            hazards.update(listed, ended, now)

    def choose(
        self, facts: RequestFacts, route: Route, engine: Engine, source: ServerView
    ) -> BackupCopy | None:
        """Choose the backup of a stream that is about to be sent to a server, None without one."""
        if not facts.prompt_tokens or not facts.id or not facts.id.isascii():
            # Without its size, the cost is unknown; the copy is named by the id, byte for byte.
            return None
        now = self._now()
        service = source.server.service
        hazards = self._observed(service)
        fleet = Fleet(
            len(self._balancer.group(service).views),
            self._nodes(),
            engine.cache_tokens,
            link_of(engine),
            hazards.reclaiming,
        )
        stream = BackupStream(
            facts.id,
            source.server.id,
            source.server.hall,
            facts.tokens,
            self._durations.expected_s(route.name, _max_events(facts, engine)),
        )
        control = self._controls.setdefault(service, BackupControl(now))
        decision = control.decide(
            stream,
            lambda: self._targets(source.server, engine, facts, now),
            hazards.hazard(now),
            fleet,
            now,
        )
        if isinstance(decision, NoBackup):
            self.counts.skipped[decision] += 1
            return None
        self._on_chosen(stream, decision)
        address = self._balancer.views[decision.target].server.address
        return BackupCopy(service, decision, address, engine.handle_s)

    def observe(self, facts: RequestFacts, route: Route, engine: Engine, took_s: float) -> None:
        """Record the duration of a stream that completed at its first server."""
        self._durations.observe(route.name, _max_events(facts, engine), took_s)

    def release(self, copy: BackupCopy, freed: bool) -> None:
        """Record that a run ended; without `freed`, its copy stays until it expires."""
        kept_s = 0.0 if freed else copy.handle_s
        self._controls[copy.service].release(copy.backup, self._now() + kept_s)

    def continuation(self, broken: BrokenRun, facts: RequestFacts) -> Continuation | None:
        """Return the continuation of a run at its backup, None if that server takes no work.

        The run is counted there. Servers with a stated limit are left out, since a permit would
        have to be awaited.
        """
        now = self._now()
        copy = broken.copy
        view = self._balancer.views.get(copy.backup.target)
        if view is None or view.server.address != copy.address:
            return None
        if view.is_closed(now) or view.limit_per_s is not None:
            return None
        placement = self._balancer.reserve(Choice(view, facts), now)
        return Continuation(
            placement, copy.address, facts.id, broken.placement.view, cut_at=broken.cut_at
        )

    def record_continued(self, facts: RequestFacts, placement: Placement, cut_at: float) -> None:
        """Record a stream that was completed from its backup."""
        pause_s = max(0.0, placement.first_at - cut_at)
        self.counts.ends["continued"] += 1
        self.counts.pauses = self.counts.pauses or PauseTimes()
        self.counts.pauses.record(pause_s)
        emit(
            Event.BACKUP_CONTINUED,
            request=facts.id,
            server=placement.view.server.id,
            pause_ms=round(pause_s * 1000),
        )

    def record_failed(self, facts: RequestFacts, server: str, why: str) -> None:
        """Record that a run was lost although it had a backup at a server."""
        self.counts.ends["failed"] += 1
        emit(Event.BACKUP_FAILED, request=facts.id, server=server, why=why)

    def _on_chosen(self, stream: BackupStream, backup: Backup) -> None:
        self.counts.made += 1
        self.counts.tokens += backup.tokens
        emit(
            Event.BACKUP_CHOSEN,
            request=stream.id,
            server=stream.source,
            backup=backup.target,
            other_hall=backup.other_hall,
            tokens=backup.tokens,
            loss=round(backup.loss, 4),
        )

    def hazard(self, service: str) -> Hazard:
        """Return how often servers of a service end."""
        return self._observed(service).hazard(self._now())

    def _observed(self, service: str) -> ServerHazards:
        """Return what was observed of a service's servers, from the first call on."""
        hazards = self._hazards.get(service)
        if hazards is None:
            now = self._now()
            hazards = self._hazards[service] = ServerHazards(now)
            views = self._balancer.group(service).views.values()
            hazards.update([view.server for view in views], (), now)
        return hazards

    def _holders(self, source: Server, now: float) -> list[ServerView]:
        """Return servers that may hold backups of a server, a sample of those if there are many."""
        group = self._balancer.group(source.service)
        views = [each for each in group.views.values() if each.server.version == source.version]
        if len(views) > MAX_TARGETS:
            views = self._rng.sample(views, MAX_TARGETS)
        return [
            view
            for view in views
            if group.allows(view.server.version)
            and not view.is_closed(now)
            and not view.is_deprioritized(now)
            and view.limit_per_s is None
        ]

    def _targets(
        self, source: Server, engine: Engine, facts: RequestFacts, now: float
    ) -> list[BackupTarget]:
        """Return the servers for backups of a server with their room.

        Each request there counts as many tokens as this node's streams have in the mean.
        """
        mean_tokens = self._mean_tokens(source.service) or facts.tokens
        return [
            BackupTarget(
                view.server.id,
                view.server.hall,
                engine.cache_tokens - view.total_running * mean_tokens,
                engine.slots - view.total_running,
            )
            for view in self._holders(source, now)
        ]


def _max_events(facts: RequestFacts, engine: Engine) -> int:
    """Return the most events that the answer to a request may have."""
    return facts.answer_tokens // max(1, engine.event_tokens)
