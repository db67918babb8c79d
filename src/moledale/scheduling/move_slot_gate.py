"""Applies the reservation of slots for moves to the requests of a node, and counts and logs it."""

from collections.abc import Callable

from moledale.gateway.balance import LoadBalancer
from moledale.gateway.choice import Choice, PlacementRefused
from moledale.gateway.evacuation import Evacuation
from moledale.gateway.placing import PlacementCheck
from moledale.gateway.plan import Engine, PlanIndex
from moledale.gateway.server_view import ServerView
from moledale.gateway.turns import RetryScheduler
from moledale.log import Event, emit
from moledale.scheduling.move_slots import REASON, Reservation, Room, reserve
from moledale.scheduling.switches import Feature, Switches

MAX_AGE_S = 0.02
"""A reservation is computed anew after this time, in which nodes learn of new placements. With all
servers of a large service that takes some tenths of a millisecond."""

NONE_FULL: frozenset[str] = frozenset()


def _ignore(_took_s: float, _now: float) -> None:
    """Ignore the time that a first event took."""


class MoveSlotGate:
    """Keeps new requests off the slots for which streams of leaving servers wait."""

    def __init__(
        self,
        balancer: LoadBalancer,
        evacuation: Evacuation,
        switches: Switches,
        index: Callable[[], PlanIndex | None],
        now: Callable[[], float],
    ) -> None:
        self._balancer = balancer
        self._evacuation = evacuation
        self._switches = switches
        self._index = index
        self._now = now
        self._returns = RetryScheduler(lambda: 1, now)
        self._known: dict[str, tuple[float, Reservation | None]] = {}
        self._refusing: set[str] = set()
        self._refused = 0

    def full_servers(self, service: str, engine: Engine | None) -> frozenset[str]:
        """Return the servers whose free slots are all kept for moves."""
        reservation = self._reservation(service, engine)
        return NONE_FULL if reservation is None else reservation.full

    def checked(
        self, service: str, engine: Engine, following: PlacementCheck | None
    ) -> PlacementCheck | None:
        """Return the check of a first send with this one before `following`."""
        reservation = self._reservation(service, engine)
        if reservation is None:
            return following

        def check(choice: Choice, now: float) -> Callable[[float, float], None]:
            if reservation.refuses:
                self._refuse(service, reservation)
            on_first_event = following(choice, now) if following is not None else _ignore
            reservation.record_sent()
            return on_first_event

        return check

    def _refuse(self, service: str, reservation: Reservation) -> None:
        self._refused += 1
        retry_s = self._returns.next_retry_s(
            service, reservation.room_in_s, reservation.returns_per_s
        )
        raise PlacementRefused(REASON, min(retry_s, reservation.latest_return_s))

    def metrics(self) -> dict[str, int]:
        """Return the refused requests, and the streams that wait to move."""
        now = self._now()
        current = (each for at, each in self._known.values() if now - at <= 1.0)
        return {
            "move_slots_refused_total": self._refused,
            "move_slots_waiting": sum(each.waiting for each in current if each is not None),
        }

    def _reservation(self, service: str, engine: Engine | None) -> Reservation | None:
        if engine is None or not engine.moves:
            return None
        if not self._switches.applies(Feature.MOVE_SLOTS, self._index(), service):
            return None
        now = self._now()
        computed_at, reservation = self._known.get(service, (-1e9, None))
        if now - computed_at > MAX_AGE_S:
            reservation = self._compute(service, engine, now)
            self._known[service] = (now, reservation)
            self._log_change(service, reservation)
        return reservation

    def _compute(self, service: str, engine: Engine, now: float) -> Reservation | None:
        loads = self._evacuation.leaving_loads(service)
        if not loads:
            return None
        rooms = [
            self._room(view, engine)
            for view in self._balancer.group(service).allowed_servers()
            if not view.is_closed(now)
        ]
        return reserve(loads, rooms, self._balancer.estimator(service).speed(now).hold_s)

    def _room(self, view: ServerView, engine: Engine) -> Room:
        tried = self._evacuation.tried_at(view.server.id)
        running = max(0, view.total_running - tried)
        return Room(view.server.id, engine.slots, running, view.running - tried)

    def _log_change(self, service: str, reservation: Reservation | None) -> None:
        refuses = reservation is not None and reservation.refuses
        if refuses == (service in self._refusing):
            return
        self._refusing ^= {service}
        emit(
            Event.MOVE_SLOTS,
            service=service,
            refusing=refuses,
            waiting=0 if reservation is None else reservation.waiting,
            free=0 if reservation is None else reservation.free,
            refused=self._refused,
        )
