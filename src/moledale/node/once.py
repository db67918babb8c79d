"""Non-repeatable calls: each idempotency key is dispatched at most once, over all nodes."""

import asyncio
import hashlib
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

import jwt
import msgspec
from result import Err, Ok, Result

from moledale import problems
from moledale.backing.stored_rows import decode_row
from moledale.backing.types import ABSENT, Condition, TableService, Write
from moledale.clock import Clock
from moledale.faults import describe, record_fault
from moledale.node.background import BackgroundTasks
from moledale.node.journal import Entry, Journal, Outcome, new_operation
from moledale.problems import Problem, Ran
from moledale.servers.types import ServiceAnswer

CLAIM_TABLE = "claim"
KEY_PREFIX = "mk_"
KEY_TTL_S = 24 * 3600
"""Time after which an issued key expires."""

MAX_KEY_CHARS = 512
MAX_STORED_ANSWER_BYTES = 32_768
"""Larger answers aren't stored in the claim row; only the node that ran the call has them."""

_ALGORITHM = "HS256"


class ClaimState(StrEnum):
    """State of a claim: `DONE` once its answer is stored."""

    CLAIMED = "claimed"
    DONE = "done"


class StoredAnswer(msgspec.Struct, frozen=True):
    """An answer stored for repeated calls with the same key; the body is base64 in JSON."""

    status: int
    content_type: str
    body: bytes


class Claim(msgspec.Struct, frozen=True):
    """A claim row: the node incarnation that may dispatch a key, and the answer once known."""

    operation: str
    node: str
    incarnation: str
    fingerprint: str
    state: ClaimState
    at: float
    answer: StoredAnswer | None = None


@dataclass(frozen=True, slots=True)
class OnceCall:
    """A non-repeatable call: `encoded` is its content, and `fingerprint` the digest of that."""

    account: str
    key: str
    fingerprint: str
    encoded: bytes


class OncePeers(Protocol):
    """Forwards a call to the node that owns its key."""

    async def run_once(self, node: str, call: OnceCall) -> Result[ServiceAnswer, Problem]:
        """Forward a call to `node` and return its outcome there."""
        ...


Dispatch = Callable[[OnceCall], Awaitable[Result[ServiceAnswer, Problem]]]


@dataclass(slots=True)
class _KeyState:
    """A key that this incarnation has seen: the call's fingerprint and its outcome."""

    fingerprint: str
    outcome: "asyncio.Future[Result[ServiceAnswer, Problem]]"


def fingerprint(encoded: bytes) -> str:
    """Return the digest that distinguishes different calls with the same key."""
    return hashlib.sha256(encoded).hexdigest()


class OnceRunner:
    """Runs non-repeatable calls, at most once for each idempotency key.

    A key that this incarnation issued is tracked in memory, since no other process can have run it
    before. Any other key is claimed in the table before it is dispatched. Either way a key is
    dispatched by one node only, and a call that may have run is never sent again.
    """

    def __init__(
        self,
        node: str,
        incarnation: str,
        secret: str,
        table: TableService,
        journal: Journal,
        peers: OncePeers,
        dispatch: Dispatch,
        max_keys: int,
        clock: Clock,
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._secret = secret
        self._table = table
        self._journal = journal
        self._peers = peers
        self._dispatch = dispatch
        self._max_keys = max_keys
        self._clock = clock
        self._key_states: OrderedDict[tuple[str, str], _KeyState] = OrderedDict()
        self._serial = 0
        self._background = BackgroundTasks("answers")

    def issue(self, account: str) -> str:
        """Return a signed key for an account; this node accepts it even while the table is down."""
        self._serial += 1
        claims = {
            "n": self._node,
            "i": self._incarnation,
            "s": self._serial,
            "a": account,
            "exp": int(self._clock.wall()) + KEY_TTL_S,
        }
        return KEY_PREFIX + jwt.encode(claims, self._secret, algorithm=_ALGORITHM)

    async def run(self, call: OnceCall) -> Result[ServiceAnswer, Problem]:
        """Run a call, or return the outcome of the earlier call with its key."""
        if not 0 < len(call.key) <= MAX_KEY_CHARS:
            return Err(problems.bad_request(f"Idempotency-Key: 1 to {MAX_KEY_CHARS} characters"))
        state = self._key_states.get((call.account, call.key))
        if state is not None:
            return await self._await_earlier(state, call)
        if not call.key.startswith(KEY_PREFIX):
            return await self._run_claimed(call)
        return await self._run_issued(call)

    async def _await_earlier(
        self, state: _KeyState, call: OnceCall
    ) -> Result[ServiceAnswer, Problem]:
        """Return the outcome of the call that came first with this key."""
        if state.fingerprint != call.fingerprint:
            return Err(problems.key_reused("it came with another call"))
        return await asyncio.shield(state.outcome)

    async def _run_issued(self, call: OnceCall) -> Result[ServiceAnswer, Problem]:
        """Run a call whose key a node issued, here or at that node."""
        try:
            claims = jwt.decode(
                call.key.removeprefix(KEY_PREFIX), self._secret, algorithms=[_ALGORITHM]
            )
        except jwt.InvalidTokenError as error:
            detail = f"Idempotency-Key was not issued here or has expired: {error}"
            return Err(problems.bad_request(detail))
        if claims.get("a") != call.account:
            return Err(problems.bad_request("Idempotency-Key was issued to another account"))
        if claims.get("n") != self._node:
            return await self._peers.run_once(str(claims.get("n")), call)
        if claims.get("i") != self._incarnation:
            return Err(problems.outcome_unknown("the node that issued the key was restarted"))
        if self._may_be_evicted(int(claims.get("s", 0))):
            return Err(problems.outcome_unknown("the key is too old to be told apart"))
        return await self._dispatch_once(call, self._track(call))

    async def _run_claimed(self, call: OnceCall) -> Result[ServiceAnswer, Problem]:
        """Claim a key chosen by the caller in the table, then dispatch the call."""
        state = self._track(call)
        operation = new_operation()
        claim = Claim(
            operation,
            self._node,
            self._incarnation,
            call.fingerprint,
            ClaimState.CLAIMED,
            self._clock.wall(),
        )
        key = claim_key(call)
        entry = Entry(operation, [Condition(CLAIM_TABLE, key, ABSENT)], [_make_write(key, claim)])
        try:
            outcome = await self._journal.commit(entry)
        except asyncio.CancelledError:
            self._settle_refused(
                call, problems.unavailable("cancelled before it was dispatched", 1)
            )
            raise
        if outcome is Outcome.COMMITTED:
            version = entry.versions[0] if entry.versions else None
            answer = await self._dispatch_once(call, state)
            self._store_answer(key, claim, version, answer)
            return answer
        if outcome is Outcome.CONFLICT:
            return await self._resolve_conflict(call, state)
        # This node dispatched nothing, but another one may have run the same key before, so the
        # outcome can't be "did not run". If the claim was written after all, it names this
        # incarnation, and a retry is forwarded here.
        refusal = problems.undecided("the table service does not answer", 2)
        self._settle_refused(call, refusal)
        return Err(refusal)

    async def _resolve_conflict(
        self, call: OnceCall, state: _KeyState
    ) -> Result[ServiceAnswer, Problem]:
        """Return the outcome of a key that is claimed already, from its claim row or its owner."""
        read = await self._table.read(CLAIM_TABLE, claim_key(call))
        if isinstance(read, Err) or read.ok_value is None:
            outcome: Result[ServiceAnswer, Problem] = Err(
                problems.outcome_unknown("the key is claimed, but the table does not say by whom")
            )
            self._settle(call, state, outcome, keep=False)
            return outcome
        claim = decode_row(CLAIM_TABLE, read.ok_value, Claim)
        if claim is None:
            outcome = Err(problems.outcome_unknown("the claim of the key can't be read"))
            self._settle(call, state, outcome, keep=False)
            return outcome
        if claim.fingerprint != call.fingerprint:
            outcome = Err(problems.key_reused("it came with another call"))
        elif claim.answer is not None:
            answer = claim.answer
            outcome = Ok(ServiceAnswer(answer.status, answer.content_type, answer.body))
        elif (claim.node, claim.incarnation) == (self._node, self._incarnation):
            # This incarnation's own claim, from a write whose outcome was unknown. The key wasn't
            # dispatched, since this incarnation tracks all keys that it dispatches.
            answered = await self._dispatch_once(call, state)
            self._store_answer(claim_key(call), claim, read.ok_value.version, answered)
            return answered
        elif claim.node == self._node:
            outcome = Err(problems.outcome_unknown("the node that took the key was restarted"))
        else:
            outcome = await self._peers.run_once(claim.node, call)
        self._settle(call, state, outcome, keep=False)
        return outcome

    async def _dispatch_once(
        self, call: OnceCall, state: _KeyState
    ) -> Result[ServiceAnswer, Problem]:
        """Dispatch a call and settle its key; the key stays tracked unless the call did not run."""
        try:
            outcome = await self._dispatch(call)
        except asyncio.CancelledError:
            self._settle(
                call, state, Err(problems.outcome_unknown("the call was cut off")), keep=True
            )
            raise
        except Exception as error:
            record_fault("call with a key", error)
            outcome = Err(problems.outcome_unknown(f"internal error: {describe(error)}"))
        # After "did not run" this request has failed, but the same key may be retried.
        did_not_run = isinstance(outcome, Err) and outcome.err_value.ran is Ran.NO
        self._settle(call, state, outcome, keep=not did_not_run)
        return outcome

    def _track(self, call: OnceCall) -> _KeyState:
        """Add a key without an outcome yet; evict the oldest settled keys over the limit."""
        state = _KeyState(call.fingerprint, asyncio.get_running_loop().create_future())
        self._key_states[(call.account, call.key)] = state
        while len(self._key_states) > self._max_keys:
            oldest = next(iter(self._key_states))
            if not self._key_states[oldest].outcome.done():
                break
            del self._key_states[oldest]
        return state

    def _settle(
        self,
        call: OnceCall,
        state: _KeyState,
        outcome: Result[ServiceAnswer, Problem],
        keep: bool,
    ) -> None:
        """Set the outcome of a key; drop the key from memory unless `keep`."""
        if not state.outcome.done():
            state.outcome.set_result(outcome)
        if not keep:
            self._key_states.pop((call.account, call.key), None)

    def _settle_refused(self, call: OnceCall, refusal: Problem) -> None:
        """Reject a call that was not dispatched, and drop its key so that it can be retried."""
        state = self._key_states[(call.account, call.key)]
        self._settle(call, state, Err(refusal), keep=False)

    def _may_be_evicted(self, serial: int) -> bool:
        """Return whether an issued key is so old that its outcome may have been evicted."""
        return serial <= self._serial - self._max_keys

    def _store_answer(
        self,
        key: str,
        claim: Claim,
        version: int | None,
        outcome: Result[ServiceAnswer, Problem],
    ) -> None:
        """Store the answer in the claim row, for repeated calls that reach another node."""
        if version is None or isinstance(outcome, Err):
            return
        answer = outcome.ok_value
        if len(answer.body) > MAX_STORED_ANSWER_BYTES:
            return
        stored = StoredAnswer(answer.status, answer.content_type, answer.body)
        operation = new_operation()
        done = msgspec.structs.replace(
            claim, operation=operation, state=ClaimState.DONE, answer=stored
        )
        entry = Entry(operation, [Condition(CLAIM_TABLE, key, version)], [_make_write(key, done)])
        self._background.start(self._journal.commit(entry))


def claim_key(call: OnceCall) -> str:
    """Return the row key of the claim of an idempotency key."""
    return f"{call.account}/{hashlib.sha256(call.key.encode()).hexdigest()}"


def _make_write(key: str, claim: Claim) -> Write:
    return Write(CLAIM_TABLE, key, msgspec.json.encode(claim).decode())
