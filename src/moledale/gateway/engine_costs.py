"""Estimated time of a prompt on a model server: prefill and prefix fetch."""

import msgspec

from moledale.gateway.messages import RequestFacts
from moledale.gateway.plan import Engine
from moledale.gateway.server_model import Speed
from moledale.gateway.server_view import ServerView
from moledale.scheduling import expected_ends

ATTENTION_WORK_FACTOR = 9.3e-6
"""Prefill work that a prompt adds per squared token, in tokens: each token attends to all tokens
before it."""

FETCH_SETUP_S = 0.005
"""Time until a fetch from another server starts."""

FETCH_PENALTY_S = 0.04
"""Cost added to a fetch, because it loads the links and the memory of two servers. A request waits
up to this long for the server with its cached prefix rather than have the prefix fetched
elsewhere."""

MIN_FETCH_SPEEDUP_FACTOR = 2.0
"""A fetch must be this many times as fast as prefill, since fetches queue at their source."""


class CachedPrefix(msgspec.Struct, frozen=True):
    """The longest prefix of a prompt that a server has cached, in tokens, and that server."""

    tokens: int = 0
    view: ServerView | None = None


def prefill_work(prompt: int, cached: int) -> int:
    """Return the prefill work of a prompt beyond its cached prefix.

    Its unit is the work of one token of a short prompt; a token of a long prompt is more work.
    """
    cached = min(cached, prompt)
    return prompt - cached + int(ATTENTION_WORK_FACTOR * (prompt * prompt - cached * cached))


def fetch_s(tokens: int, engine: Engine) -> float:
    """Return the time that a server takes to fetch cached tokens from another one."""
    return FETCH_SETUP_S + tokens * engine.token_bytes * 8e-6 / max(1.0, engine.link_mbps)


class EngineCosts(msgspec.Struct, frozen=True):
    """Cost estimates for one prompt on the servers of a service, from their estimated speed."""

    facts: RequestFacts
    prefix: CachedPrefix
    engine: Engine
    speed: Speed

    def should_fetch(self, view: ServerView, cached: int) -> bool:
        """Return whether a server may fetch the cached prefix, and is faster so than by prefill.

        Servers of two software versions do not share caches.
        """
        source = self.prefix.view
        if source is None or source.server.version != view.server.version:
            return False
        if not self.engine.moves or self.prefix.tokens <= cached:
            return False
        prompt = self.facts.prompt_tokens
        saved = prefill_work(prompt, cached) - prefill_work(prompt, self.prefix.tokens)
        took_s = fetch_s(self.prefix.tokens - cached, self.engine)
        saved_s = self.speed.prefill_s(saved, view.total_running) / view.relative_speed
        return MIN_FETCH_SPEEDUP_FACTOR * took_s < saved_s

    def prefill_s(self, view: ServerView, cached: int) -> float:
        """Return the expected prefill time of the prompt, with a prefix fetch if that is faster."""
        prompt = self.facts.prompt_tokens
        concurrent, relative = view.total_running, view.relative_speed
        if self.should_fetch(view, cached):
            remaining_s = self.speed.prefill_s(prefill_work(prompt, self.prefix.tokens), concurrent)
            return remaining_s / relative + self.fetch_cost_s(cached)
        return self.speed.prefill_s(prefill_work(prompt, cached), concurrent) / relative

    def fetch_cost_s(self, cached: int) -> float:
        """Return the cost of fetching the missing part of the prefix from another server."""
        return FETCH_PENALTY_S + fetch_s(self.prefix.tokens - cached, self.engine)

    def restart_s(self, view: ServerView, tokens: int, now: float) -> float:
        """Return how long a preempted request pauses: it waits for a slot and is prefilled anew."""
        took_s = self.speed.prefill_s(prefill_work(tokens, 0), view.total_running)
        slot_s = self.speed.hold_s / max(1, self.engine.slots)
        return took_s / view.relative_speed * view.slowness.factor(now) + slot_s

    def first_event_s(self, view: ServerView, is_home: bool, now: float) -> float:
        """Return the expected time to the first event if the request goes to a server.

        If the home server of a prompt has nothing of it cached, half of its shared parts count as
        cached, so that prompts with a common prefix go to the same server. Relative speeds, on
        which nodes may differ, don't affect which server is home. A fast server takes prompts whose
        home is slow by its lower cost, and holds their prefixes from then on.
        """
        cached = view.cached_prefix_tokens(self.facts.parts)
        if is_home and not cached:
            cached = sum(part.tokens for part in self.facts.parts[:-1]) // 2
        prefill_s = self.prefill_s(view, cached)
        return expected_ends.first_event_s(view, self.speed, prefill_s, self.engine.slots, now)
