"""How many servers each hall shall have: a pure plan from what runs and what is refused."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from moledale.gateway.messages import Server
from moledale.gateway.plan import Renting

SPOT_FOR_EACH_HALL = 2
REFUSED_PAUSE_S = 2.5
LATE_START_S = 3.0
"""Time beyond a server's boot after which an order is taken for lost."""


@dataclass(frozen=True, slots=True)
class Order:
    """A number of servers for one hall, of one kind."""

    service: str
    hall: str
    spot: bool
    number: int


@dataclass(slots=True)
class OrderState:
    """What was ordered last for a hall and kind, and when it may be ordered again."""

    number: int | None = None
    at: float = 0.0
    refused_until: float = 0.0


@dataclass(slots=True)
class RentingPlanner:
    """Plans orders for one service; remembers what this holder ordered."""

    service: str
    states: dict[tuple[str, bool], OrderState] = field(default_factory=dict)

    def orders(self, renting: Renting, servers: Iterable[Server], now: float) -> list[Order]:
        """Return the orders that are due."""
        own = [server for server in servers if server.service == self.service]
        due: list[Order] = []
        for hall in renting.hall_prices:
            there = [server for server in own if server.hall == hall and not server.leaving]
            spot = sum(1 for server in there if server.spot)
            wanted_spot = min(max(SPOT_FOR_EACH_HALL, renting.least), renting.most)
            wanted_firm = 0 if self._enough(own, wanted_spot * len(renting.hall_prices)) else None
            self._add(due, renting, hall, True, wanted_spot, spot, now)
            if wanted_firm is not None:
                self._add(due, renting, hall, False, wanted_firm, len(there) - spot, now)
        return due

    def _enough(self, own: list[Server], wanted: int) -> bool:
        spot = sum(1 for server in own if server.spot and not server.leaving)
        return spot >= wanted // 2

    def _add(
        self,
        due: list[Order],
        renting: Renting,
        hall: str,
        spot: bool,
        wanted: int,
        there: int,
        now: float,
    ) -> None:
        state = self.states.setdefault((hall, spot), OrderState())
        if now < state.refused_until:
            return
        same = state.number == wanted
        starting = now - state.at < renting.boot_s + LATE_START_S
        if same and (there >= wanted or starting):
            return
        if not same and there == wanted and state.number is None and not spot:
            state.number = wanted
            return
        due.append(Order(self.service, hall, spot, wanted))

    def ordered(self, order: Order, accepted: bool, now: float) -> None:
        """Note what the cloud said of an order."""
        state = self.states.setdefault((order.hall, order.spot), OrderState())
        if accepted:
            state.number = order.number
            state.at = now
        else:
            state.refused_until = now + REFUSED_PAUSE_S
