"""Generates seeded workloads of sessions, each a series of requests with a growing prompt."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from moledale.bundle.schema import Priority

BLOCK_TOKENS = 16


@dataclass(frozen=True, slots=True)
class Turn:
    """One request of a session, made at `at` seconds.

    `prompt_tokens` includes `seen_tokens`, the prompt and output of the turn before.
    """

    at: float
    session: str
    prompt_tokens: int
    seen_tokens: int
    output_tokens: int
    priority: Priority
    deadline_s: float


@dataclass(frozen=True, slots=True)
class SessionKind:
    """A kind of session and its share of all sessions.

    `turns` is the range of the number of turns. Sizes are medians: of the first prompt, of what
    each turn adds to it, and of the output. `mean_gap_s` is the mean pause between two turns.
    """

    share: float
    priority: Priority
    turns: tuple[int, int]
    first_prompt_tokens: int
    added_prompt_tokens: int
    output_tokens: int
    mean_gap_s: float
    deadline_s: float


QUOTE_DESK = [
    SessionKind(0.62, Priority.IMMEDIATE, (1, 4), 700, 90, 40, 2.0, 5.0),
    SessionKind(0.30, Priority.NORMAL, (2, 6), 1_200, 200, 120, 6.0, 30.0),
    SessionKind(0.08, Priority.CAN_WAIT, (1, 1), 6_000, 0, 500, 1.0, 3_600.0),
]
"""Short sessions, most of them immediate."""

ORDERVOET = [
    SessionKind(0.30, Priority.IMMEDIATE, (2, 6), 900, 120, 40, 4.0, 5.0),
    SessionKind(0.55, Priority.NORMAL, (6, 14), 8_000, 700, 220, 5.0, 30.0),
    SessionKind(0.15, Priority.CAN_WAIT, (1, 3), 12_000, 900, 600, 8.0, 3_600.0),
]
"""Long sessions with long prompts, most of them of normal priority."""


def daily_rate_factor(at: float, duration_s: float) -> float:
    """Return the factor of the request rate at a time: it peaks in the middle of the run."""
    progress = at / duration_s
    return 0.6 + 0.8 * (1 - abs(2 * progress - 1))


def make_turns(
    session_kinds: list[SessionKind],
    seed: int,
    duration_s: float,
    requests_per_s: float,
    rate_factor: Callable[[float, float], float] = daily_rate_factor,
) -> list[Turn]:
    """Return the turns of a run in order of time; `requests_per_s` is scaled by `rate_factor`."""
    rng = random.Random(f"{seed} {requests_per_s}")
    mean_turns = sum(kind.share * (kind.turns[0] + kind.turns[1]) / 2 for kind in session_kinds)
    sessions_per_s = requests_per_s / mean_turns
    turns: list[Turn] = []
    at, number = 0.0, 0
    while True:
        at += rng.expovariate(sessions_per_s * rate_factor(at, duration_s))
        if at >= duration_s:
            break
        number += 1
        kind = rng.choices(session_kinds, [kind.share for kind in session_kinds])[0]
        turns.extend(_session_turns(kind, f"s{seed}-{number}", at, duration_s, rng))
    return sorted(turns, key=lambda turn: (turn.at, turn.session))


def _session_turns(
    kind: SessionKind, name: str, at: float, duration_s: float, rng: random.Random
) -> list[Turn]:
    seen_tokens = 0
    turns = []
    prompt_tokens = _long_tailed(kind.first_prompt_tokens, rng)
    for _ in range(rng.randint(*kind.turns)):
        if at >= duration_s:
            break
        output_tokens = _long_tailed(kind.output_tokens, rng)
        turn = Turn(
            at, name, prompt_tokens, seen_tokens, output_tokens, kind.priority, kind.deadline_s
        )
        turns.append(turn)
        seen_tokens = prompt_tokens + output_tokens
        prompt_tokens = seen_tokens + _long_tailed(max(1, kind.added_prompt_tokens), rng)
        # The output is assumed to take 0.02 s per token.
        at += output_tokens * 0.02 + rng.expovariate(1 / kind.mean_gap_s)
    return turns


def _long_tailed(median: int, rng: random.Random) -> int:
    """Return a random size with the given median, from a lognormal distribution."""
    return max(1, round(median * rng.lognormvariate(0.0, 0.5)))


def block_hashes(session: str, tokens: int) -> tuple[int, ...]:
    """Return the hashes of the whole blocks among a session's first `tokens` tokens."""
    base = block_hash_base(session)
    return tuple(base + index for index in range(tokens // BLOCK_TOKENS))


def block_hash_base(session: str) -> int:
    """Return the hash of a session's first block, far from those of other sessions."""
    return random.Random(session).getrandbits(60) << 20
