"""How long a prompt would take at a model server: reading, fetching, the wait for a slot."""

from math import sqrt

import msgspec

from moledale.gateway.messages import RequestFacts
from moledale.gateway.plan import Engine
from moledale.gateway.server_model import Speed
from moledale.gateway.server_view import ServerView

ATTENTION_WORK_FACTOR = 9.3e-6
"""Work that a prompt adds by its square, in tokens: each token attends to all those before it."""

FETCH_SETUP_S = 0.005
"""Time until a fetch from another server begins."""

FETCH_PENALTY_S = 0.04
"""Wait that a request may have at the server with its front, rather than have it fetched elsewhere:
a fetch loads the links and the memory of two servers."""

MIN_FETCH_SPEEDUP_FACTOR = 2.0
"""A fetch has to be this many times as quick as reading, since fetches queue at their source."""


class CachedPrefix(msgspec.Struct, frozen=True):
    """The longest front of a prompt that lies in some server's memory, in tokens, and where."""

    tokens: int = 0
    view: ServerView | None = None


def prefill_work(prompt: int, cached: int) -> int:
    """Return what reading a prompt costs beyond its cached front, in tokens of a short prompt."""
    cached = min(cached, prompt)
    return prompt - cached + int(ATTENTION_WORK_FACTOR * (prompt * prompt - cached * cached))


def fetch_s(tokens: int, engine: Engine) -> float:
    """Return the seconds that a server takes to get a prompt's front from another one."""
    return FETCH_SETUP_S + tokens * engine.token_bytes * 8e-6 / max(1.0, engine.link_mbps)


def slot_wait_s(running: int, slots: int, hold_s: float) -> float:
    """Return the seconds until a slot is free, little by little as the batch fills."""
    each_s = hold_s / slots
    if running >= slots:
        return each_s * (running + 1 - slots)
    return each_s * float((running / slots) ** (sqrt(2.0 * (slots + 1)) - 1.0))


def load_delay_s(view: ServerView, speed: Speed, now: float) -> float:
    """Return by how many seconds a prompt of usual size, cached nowhere, is later than alone.

    That a server which is empty and sound has zero keeps servers in order when the speed that is
    learnt changes: only those with work are estimated anew.
    """
    concurrent = view.all_running
    work = speed.remaining_work(view.all_prefill) + speed.residual_work
    took_s = speed.prefill_s(work, concurrent) * view.slowness.factor(now)
    alone_s = speed.prefill_s(speed.residual_work)
    return took_s - alone_s + slot_wait_s(concurrent, view.server.slots, speed.hold_s)


class EngineCosts(msgspec.Struct, frozen=True):
    """Estimates for one prompt at the servers of a service, from what was learnt of them."""

    facts: RequestFacts
    prefix: CachedPrefix
    engine: Engine
    speed: Speed

    def should_fetch(self, cached: int, concurrent: int = 0) -> bool:
        """Say whether getting the front from another server is quicker than reading it."""
        if not self.engine.moves or self.prefix.tokens <= cached:
            return False
        prompt = self.facts.prompt_tokens
        saved = prefill_work(prompt, cached) - prefill_work(prompt, self.prefix.tokens)
        took_s = fetch_s(self.prefix.tokens - cached, self.engine)
        return MIN_FETCH_SPEEDUP_FACTOR * took_s < self.speed.prefill_s(saved, concurrent)

    def prefill_s(self, cached: int, concurrent: int = 0) -> float:
        """Return the seconds until a server has the whole prompt once it begins to read it."""
        prompt = self.facts.prompt_tokens
        if self.should_fetch(cached, concurrent):
            read_s = self.speed.prefill_s(prefill_work(prompt, self.prefix.tokens), concurrent)
            return read_s + self.fetch_cost_s(cached)
        return self.speed.prefill_s(prefill_work(prompt, cached), concurrent)

    def fetch_cost_s(self, cached: int) -> float:
        """Return the seconds that getting the rest of the front from another server takes."""
        return FETCH_PENALTY_S + fetch_s(self.prefix.tokens - cached, self.engine)

    def first_event_s(self, view: ServerView, home: bool, now: float) -> float:
        """Return the seconds until the first event if the request went to a server.

        Where a prompt's home has nothing of it, it counts as having half, so that prompts which
        share a front meet there.
        """
        cached = view.covers(self.facts.parts)
        if home and not cached:
            cached = sum(part.tokens for part in self.facts.parts[:-1]) // 2
        concurrent = view.all_running
        waiting = self.speed.remaining_work(view.all_prefill)
        took_s = self.speed.prefill_s(waiting, concurrent) + self.prefill_s(cached, concurrent)
        slots_s = slot_wait_s(concurrent, self.engine.slots, self.speed.hold_s)
        return took_s * view.slowness.factor(now) + slots_s
