"""Seeded workloads: who asks for what, and when."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from moledale.bundle.schema import Priority

BLOCK = 16


@dataclass(frozen=True, slots=True)
class Turn:
    """One request: `prompt_tokens` includes `seen_tokens` that earlier turns had already."""

    at: float
    session: str
    prompt_tokens: int
    seen_tokens: int
    output_tokens: int
    priority: Priority
    deadline_s: float


@dataclass(frozen=True, slots=True)
class Mix:
    """A kind of session: medians of its sizes and gaps, and how often it begins."""

    share: float
    priority: Priority
    turns: tuple[int, int]
    first_prompt: int
    added_prompt: int
    output: int
    gap_s: float
    deadline_s: float


QUOTE_DESK = [
    Mix(0.62, Priority.IMMEDIATE, (1, 4), 700, 90, 40, 2.0, 5.0),
    Mix(0.30, Priority.NORMAL, (2, 6), 1_200, 200, 120, 6.0, 30.0),
    Mix(0.08, Priority.CAN_WAIT, (1, 1), 6_000, 0, 500, 1.0, 3_600.0),
]
ORDERVOET = [
    Mix(0.30, Priority.IMMEDIATE, (2, 6), 900, 120, 40, 4.0, 5.0),
    Mix(0.55, Priority.NORMAL, (6, 14), 8_000, 700, 220, 5.0, 30.0),
    Mix(0.15, Priority.CAN_WAIT, (1, 3), 12_000, 900, 600, 8.0, 3_600.0),
]


def day_hours(at: float, seconds: float) -> float:
    """Return the rate's factor over the run: a rise, a peak in the middle, a fall."""
    place = at / seconds
    return 0.6 + 0.8 * (1 - abs(2 * place - 1))


def make(
    mixes: list[Mix],
    seed: int,
    seconds: float,
    requests_per_s: float,
    shape: Callable[[float, float], float] = day_hours,
) -> list[Turn]:
    """Return the turns of a run, in order of time."""
    rng = random.Random(f"{seed} {requests_per_s}")
    mean_turns = sum(mix.share * (mix.turns[0] + mix.turns[1]) / 2 for mix in mixes)
    sessions_per_s = requests_per_s / mean_turns
    turns: list[Turn] = []
    at, number = 0.0, 0
    while True:
        at += rng.expovariate(sessions_per_s * shape(at, seconds))
        if at >= seconds:
            break
        number += 1
        mix = rng.choices(mixes, [mix.share for mix in mixes])[0]
        turns.extend(_session(mix, f"s{seed}-{number}", at, seconds, rng))
    return sorted(turns, key=lambda turn: (turn.at, turn.session))


def _session(mix: Mix, name: str, at: float, seconds: float, rng: random.Random) -> list[Turn]:
    seen = 0
    found = []
    length = _spread(mix.first_prompt, rng)
    for _ in range(rng.randint(*mix.turns)):
        if at >= seconds:
            break
        output = _spread(mix.output, rng)
        turn = Turn(at, name, length, seen, output, mix.priority, mix.deadline_s)
        found.append(turn)
        seen = length + output
        length = seen + _spread(max(1, mix.added_prompt), rng)
        at += output * 0.02 + rng.expovariate(1 / mix.gap_s)
    return found


def _spread(median: int, rng: random.Random) -> int:
    """Return a size with a long tail around its median."""
    return max(1, round(median * rng.lognormvariate(0.0, 0.5)))


def blocks_of(session: str, tokens: int) -> tuple[int, ...]:
    """Return the chained block hashes of a session's first tokens."""
    base = hash_of(session)
    return tuple(base + index for index in range(tokens // BLOCK))


def hash_of(session: str) -> int:
    """Return a number that keeps the blocks of two sessions apart."""
    return random.Random(session).getrandbits(60) << 20
