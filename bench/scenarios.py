"""The scenarios of the routing benchmark, each a deployment with a workload and faults."""

from dataclasses import dataclass

from bench.replay import ReclaimWave, Scenario
from bench.workload import ORDERVOET, QUOTE_DESK, SessionKind

WAVE_AT_S = 40.0
NOTICE_S = 6.0
DURATION_S = 90.0
ENGINE_COUNTS = (4, 5, 6, 7, 8, 10, 12)
"""Numbers of engines among which the sweep finds the cheapest that meets the target."""


@dataclass(frozen=True)
class Case:
    """A scenario with its workload.

    `recompute_weight` is the weight of recomputed tokens in the bundle of such a deployment.
    """

    scenario: Scenario
    session_kinds: list[SessionKind]
    requests_per_s: float
    recompute_weight: float


def _engines_of_hall(engines: int, hall: int, halls: int = 4) -> tuple[str, ...]:
    return tuple(f"e{index}" for index in range(engines) if index % halls == hall)


def quote_desk(engines: int = 10) -> Case:
    """Return the Quote Desk scenario with a number of engines."""
    return Case(Scenario("Quote Desk hours", engines, duration_s=DURATION_S), QUOTE_DESK, 20.0, 0.3)


def all_cases() -> list[Case]:
    """Return every scenario."""
    hall = _engines_of_hall(10, 0)
    half_of_engines = tuple(f"e{index}" for index in range(5))
    wave = ReclaimWave(WAVE_AT_S, hall, NOTICE_S)
    refused = ReclaimWave(WAVE_AT_S, hall, NOTICE_S, replaced_after_s=None)
    half = ReclaimWave(WAVE_AT_S, half_of_engines, NOTICE_S)
    return [
        quote_desk(),
        Case(Scenario("Ordervoet sessions", 10, duration_s=DURATION_S), ORDERVOET, 5.0, 0.7),
        Case(
            Scenario("hall reclaimed", 10, duration_s=DURATION_S, waves=(wave,)),
            ORDERVOET,
            5.0,
            0.7,
        ),
        Case(
            Scenario("hall reclaimed, refused", 10, duration_s=DURATION_S, waves=(refused,)),
            ORDERVOET,
            5.0,
            0.7,
        ),
        Case(
            Scenario("48% reclaimed", 10, duration_s=DURATION_S, waves=(half,)), ORDERVOET, 5.0, 0.7
        ),
        Case(
            Scenario("overload, 1.5 times", 6, duration_s=DURATION_S),
            QUOTE_DESK,
            OVERLOAD_PER_S,
            0.3,
        ),
        Case(
            Scenario("overload, 4 times", 6, duration_s=DURATION_S),
            QUOTE_DESK,
            4 * SIX_ENGINE_CAPACITY_PER_S,
            0.3,
        ),
        Case(
            Scenario("platform outage", 10, duration_s=DURATION_S, report_outage_s=(30.0, 60.0)),
            QUOTE_DESK,
            20.0,
            0.3,
        ),
    ]


SIX_ENGINE_CAPACITY_PER_S = 18.0
"""Rate of the Quote Desk workload up to which six engines meet the latency target.

With seeds 1 to 3 it is met with all three at 18 requests per second, and missed with two at 20.
"""

OVERLOAD_PER_S = 1.5 * SIX_ENGINE_CAPACITY_PER_S
