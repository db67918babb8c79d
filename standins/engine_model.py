"""Model of an engine with continuous batching; the stand-in engine and the benchmarks run it.

The model has no clock: `step` returns the duration of a step, and the caller advances its own time.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

BLOCK_TOKENS = 16
PREFILL_CHUNK_TOKENS = 512
"""Prompt tokens that one step prefills in addition to decoding."""

FIXED_STEP_SHARE = 0.6
"""Share of a full batch's step time that does not depend on the batch size."""

KV_READ_TOKENS_PER_S = 20e6
"""Rate at which a step reads the KV cache of its decoding sequences."""

PRIORITY_ORDER = {"immediate": 0, "normal": 1, "can-wait": 2}


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Speeds and sizes of an engine."""

    prefill_tokens_per_s: float = 8_000.0
    decode_tokens_per_s: float = 1_500.0
    slots: int = 32
    cache_tokens: int = 200_000


@dataclass(slots=True)
class Sequence:
    """One attempt; `blocks` are chained hashes of its context, one per whole block.

    `produced_tokens` includes the tokens of the earlier attempts that this one resumes.
    """

    attempt: str
    session: str
    blocks: tuple[int, ...]
    context_tokens: int
    produced_tokens: int
    max_tokens: int
    priority: str
    arrival_number: int = 0
    prefill_left_tokens: int = 0
    cached_tokens: int = 0
    computed_tokens: int = 0
    running: bool = False


@dataclass(frozen=True, slots=True)
class Step:
    """Outcome of one step: its duration, (attempt, token index) pairs, and finished sequences."""

    duration_s: float
    tokens: list[tuple[str, int]]
    finished: list[Sequence]


@dataclass(frozen=True, slots=True)
class Load:
    """Load of an engine; `decode_tokens` is the length of all contexts that are decoding."""

    running: int
    waiting: int
    pending_prefill_tokens: int
    decode_tokens: int


@dataclass(frozen=True, slots=True)
class CacheChange:
    """A change of the cache: a session's prefix was stored or evicted."""

    kind: str
    session: str
    tokens: int


@dataclass(slots=True)
class PrefixCache:
    """LRU cache of blocks, limited to a number of tokens; `contexts` has each session's blocks."""

    capacity_tokens: int
    blocks: OrderedDict[int, str] = field(default_factory=OrderedDict)
    changes: list[CacheChange] = field(default_factory=list)
    contexts: dict[str, tuple[int, ...]] = field(default_factory=dict)

    def match(self, blocks: tuple[int, ...]) -> int:
        """Return how many leading blocks are cached, and mark them as recently used."""
        found = 0
        for block in blocks:
            if block not in self.blocks:
                break
            self.blocks.move_to_end(block)
            found += 1
        return found

    def store(self, blocks: tuple[int, ...], session: str) -> None:
        """Cache a context, evicting the least recently used blocks if there is no room."""
        self.contexts[session] = blocks
        for block in reversed(blocks):
            self.blocks[block] = session
            self.blocks.move_to_end(block)
        self.changes.append(CacheChange("stored", session, len(blocks) * BLOCK_TOKENS))
        evicted: set[str] = set()
        while len(self.blocks) * BLOCK_TOKENS > self.capacity_tokens:
            _, owner = self.blocks.popitem(last=False)
            evicted.add(owner)
            self.contexts.pop(owner, None)
        self.changes.extend(CacheChange("evicted", owner, 0) for owner in sorted(evicted))


class EngineModel:
    """Schedules waiting and running sequences with a prefix cache."""

    def __init__(self, spec: EngineSpec) -> None:
        self.spec = spec
        self.cache = PrefixCache(spec.cache_tokens)
        self.sequences: dict[str, Sequence] = {}
        self._arrivals = 0
        full_step = spec.slots / spec.decode_tokens_per_s
        self._fixed_step_s = FIXED_STEP_SHARE * full_step
        self._per_sequence_s = (1 - FIXED_STEP_SHARE) * full_step / spec.slots

    @property
    def busy(self) -> bool:
        """Whether any sequence is waiting or running."""
        return bool(self.sequences)

    def submit(self, sequence: Sequence) -> None:
        """Queue an attempt."""
        self._arrivals += 1
        sequence.arrival_number = self._arrivals
        sequence.prefill_left_tokens = sequence.context_tokens
        self.sequences[sequence.attempt] = sequence

    def cancel(self, attempt: str) -> None:
        """Remove an attempt."""
        self.sequences.pop(attempt, None)

    def import_context(self, blocks: tuple[int, ...], session: str) -> None:
        """Cache a context that another engine exported."""
        self.cache.store(blocks, session)

    def load(self) -> Load:
        """Return the current load."""
        running = [sequence for sequence in self.sequences.values() if sequence.running]
        waiting = len(self.sequences) - len(running)
        prefill = sum(sequence.prefill_left_tokens for sequence in self.sequences.values())
        decode = sum(s.context_tokens for s in running if s.prefill_left_tokens == 0)
        return Load(len(running), waiting, prefill, decode)

    def step(self) -> Step:
        """Run one step: admit sequences, prefill a chunk, and decode one token per sequence."""
        self._admit()
        prefilled = self._prefill()
        decoding = [s for s in self.sequences.values() if s.running and s.prefill_left_tokens == 0]
        context = sum(sequence.context_tokens for sequence in decoding)
        duration_s = (
            self._fixed_step_s
            + self._per_sequence_s * len(decoding)
            + prefilled / self.spec.prefill_tokens_per_s
            + context / KV_READ_TOKENS_PER_S
        )
        tokens = []
        finished = []
        for sequence in decoding:
            tokens.append((sequence.attempt, sequence.produced_tokens))
            sequence.produced_tokens += 1
            sequence.context_tokens += 1
            if sequence.produced_tokens >= sequence.max_tokens:
                finished.append(sequence)
                del self.sequences[sequence.attempt]
        return Step(duration_s, tokens, finished)

    def _admit(self) -> None:
        free = self.spec.slots - sum(1 for s in self.sequences.values() if s.running)
        if free <= 0:
            return
        waiting = [sequence for sequence in self.sequences.values() if not sequence.running]
        waiting.sort(key=lambda s: (PRIORITY_ORDER.get(s.priority, 1), s.arrival_number))
        for sequence in waiting[:free]:
            cached = min(
                self.cache.match(sequence.blocks) * BLOCK_TOKENS, sequence.context_tokens - 1
            )
            sequence.running = True
            sequence.cached_tokens = cached
            sequence.computed_tokens = sequence.context_tokens - cached
            sequence.prefill_left_tokens = sequence.computed_tokens

    def _prefill(self) -> int:
        """Prefill up to a chunk of tokens in order of priority; return how many."""
        budget = PREFILL_CHUNK_TOKENS
        pending = [s for s in self.sequences.values() if s.running and s.prefill_left_tokens > 0]
        pending.sort(key=lambda s: (PRIORITY_ORDER.get(s.priority, 1), s.arrival_number))
        for sequence in pending:
            done = min(budget, sequence.prefill_left_tokens)
            sequence.prefill_left_tokens -= done
            budget -= done
            if sequence.prefill_left_tokens == 0:
                self.cache.store(sequence.blocks, sequence.session)
            if budget == 0:
                break
        return PREFILL_CHUNK_TOKENS - budget
