"""Asynchronous jobs: stored durably before they are accepted, and finished by any live node."""

import asyncio
import hashlib
import uuid
from collections.abc import Callable
from enum import StrEnum

import msgspec
from result import Err, Ok, Result

from moledale import problems
from moledale.backing.stored_rows import decode_row
from moledale.backing.types import (
    ABSENT,
    Condition,
    ObjectStore,
    Platform,
    PlatformFailure,
    Row,
    TableService,
    Write,
)
from moledale.clock import Clock
from moledale.core.hashing import first_ranked
from moledale.log import Event, emit
from moledale.node.dispatcher import Dispatcher
from moledale.node.journal import Entry, Journal, Outcome, new_operation
from moledale.node.streams import GenerationRequest, StreamRecord
from moledale.problems import Problem, Ran

JOB_TABLE = "job"
RESULT_TABLE = "job-result"
RESULT_PREFIX = "results/"
JOB_ID_PREFIX = "job_"
MAX_INLINE_TEXT_CHARS = 16_384
"""Longer result texts are stored in the object store instead of the result row."""

MAX_SCAN_ROWS = 500
MAX_ADOPTIONS_PER_SCAN = 50
MAX_OWNED_JOBS = 200
UNOWNED = ""
UNREADABLE_RETRY_S = 2
"""Owner of a job that its node released; any node may adopt it."""

RETRY_INITIAL_S = 0.5
RETRY_MAX_S = 15.0


class JobState(StrEnum):
    """State of a job as callers see it."""

    ACCEPTED = "accepted"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"


class Job(msgspec.Struct, frozen=True):
    """The row of an open job, which is run by the node `owner`; adoption changes the owner."""

    operation: str
    id: str
    account: str
    owner: str
    incarnation: str
    adoptions: int
    request: GenerationRequest


class JobResult(msgspec.Struct, frozen=True):
    """The row of an ended job; `text` is None if it is in the object store or there is none."""

    operation: str
    id: str
    account: str
    state: JobState
    request: GenerationRequest
    ended_at: float
    text: str | None = None
    tokens: int = 0
    reason: str = ""


class JobStatus(msgspec.Struct, frozen=True):
    """The body of `GET /v1/jobs/{id}`."""

    id: str
    state: JobState
    owner: str | None = None
    adoptions: int = 0


def new_job_id(hall: str) -> str:
    """Return a new job id; it contains the hall under whose key prefix the row is stored."""
    return f"{JOB_ID_PREFIX}{hall}_{uuid.uuid4().hex}"


def keyed_job_id(halls: list[str], account: str, key: str) -> str:
    """Return the job id for an idempotency key; it is the same on every node."""
    name = f"{account}\x00{key}"
    hall = first_ranked(name, halls)
    assert hall is not None, "a bundle has at least one hall"
    return f"{JOB_ID_PREFIX}{hall}_{hashlib.sha256(name.encode()).hexdigest()[:32]}"


def row_key(job_id: str) -> str:
    """Return the row key of a job; raises ValueError if `job_id` isn't a job id."""
    hall, _, serial = job_id.removeprefix(JOB_ID_PREFIX).rpartition("_")
    if not job_id.startswith(JOB_ID_PREFIX) or not hall or not serial:
        raise ValueError("not a job id")
    return f"{hall}/{serial}"


class Jobs:
    """Accepts, runs, adopts and cancels jobs, and returns their states and results."""

    def __init__(
        self,
        node: str,
        incarnation: str,
        hall: str,
        platform: Platform,
        journal: Journal,
        dispatcher: Dispatcher,
        clock: Clock,
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._hall = hall
        self._table: TableService = platform.table
        self._objects: ObjectStore = platform.objects
        self._journal = journal
        self._dispatcher = dispatcher
        self._clock = clock
        self._running: dict[str, asyncio.Task[None]] = {}
        self._owned: dict[str, tuple[Job, int]] = {}
        self._accepting: set[str] = set()
        self._releasing = False

    @property
    def open_jobs(self) -> int:
        """Return the number of open jobs that this node owns."""
        return len(self._owned)

    async def accept(
        self, request: GenerationRequest, job_id: str, keyed: bool = False
    ) -> Result[str, Problem]:
        """Store a job durably, start it and return its id.

        If a job of this id exists already, as when its caller retries the request, its id is
        returned. `keyed` states that the id was derived from an idempotency key: another node may
        have accepted the job before, so a failed write is reported as undecided, not as not run.
        """
        if len(self._owned) >= MAX_OWNED_JOBS or self._releasing:
            return Err(problems.overloaded("this node holds as many jobs as it may", 2))
        request = msgspec.structs.replace(request, id=job_id)
        operation = new_operation()
        job = Job(operation, job_id, request.account, self._node, self._incarnation, 0, request)
        key = row_key(job_id)
        conditions = [Condition(JOB_TABLE, key, ABSENT), Condition(RESULT_TABLE, key, ABSENT)]
        entry = Entry(operation, conditions, [_make_write(JOB_TABLE, key, job)])
        self._accepting.add(job_id)
        try:
            outcome = await self._journal.commit(entry)
            if outcome is Outcome.COMMITTED:
                self._start(job, entry.versions[0])
        finally:
            self._accepting.discard(job_id)
        if outcome in (Outcome.COMMITTED, Outcome.CONFLICT):
            return Ok(job_id)
        if outcome is Outcome.UNKNOWN:
            # If the row was written, the job is adopted and runs, although its caller was told that
            # the outcome is unknown.
            detail = "the table service does not answer; the job may have been accepted"
            return Err(Problem("outcome-unknown", 503, "Not known", detail, Ran.UNKNOWN, 2))
        if keyed:
            return Err(problems.undecided("the table service does not answer", 2))
        return Err(problems.unavailable("the table service does not answer", 2))

    async def status(self, account: str, job_id: str) -> Result[JobStatus, Problem]:
        """Return the state of a job."""
        found = await self._find(account, job_id)
        if isinstance(found, Err):
            return found
        if isinstance(found.ok_value, JobResult):
            result = found.ok_value
            return Ok(JobStatus(job_id, result.state))
        job = found.ok_value
        record = self._dispatcher.streams.get(job_id)
        running = record is not None and record.dispatched
        state = JobState.RUNNING if running else JobState.ACCEPTED
        return Ok(JobStatus(job_id, state, job.owner, job.adoptions))

    async def result(self, account: str, job_id: str) -> Result[JobResult | None, Problem]:
        """Return the result with its text, or None while the job isn't done."""
        found = await self._find(account, job_id)
        if isinstance(found, Err):
            return found
        result = found.ok_value
        if not isinstance(result, JobResult):
            return Ok(None)
        if result.state is not JobState.DONE or result.text is not None:
            return Ok(result)
        body = await self._objects.get(RESULT_PREFIX + job_id)
        if isinstance(body, Err) or body.ok_value is None:
            return Err(problems.unavailable("the object store does not answer", 2))
        return Ok(msgspec.structs.replace(result, text=body.ok_value.decode()))

    async def cancel(self, account: str, job_id: str) -> Result[JobStatus, Problem]:
        """Cancel a job, whichever node runs it; if it has ended, return its final state."""
        for _ in range(3):
            found = await self._find_row(account, job_id)
            if isinstance(found, Err):
                return found
            row, job = found.ok_value
            if isinstance(job, JobResult):
                return Ok(JobStatus(job_id, job.state))
            outcome = await self._commit_result(
                job, row.version, _make_result(job, JobState.CANCELLED, self._clock.wall())
            )
            if outcome is Outcome.COMMITTED:
                self._stop_running(job_id)
                return Ok(JobStatus(job_id, JobState.CANCELLED))
            if outcome is not Outcome.CONFLICT:
                return Err(problems.unavailable("the table service does not answer", 2))
        return Err(problems.conflict("the job changed hands meanwhile; try again"))

    async def adopt_orphans(self, hall: str, is_live: Callable[[str], bool]) -> int:
        """Adopt orphaned jobs of a hall and return their number.

        A job is orphaned if it has no owner, its owner isn't live, or an earlier incarnation of
        this node owned it.
        """
        scanned = await self._table.scan(JOB_TABLE, f"{hall}/", MAX_SCAN_ROWS)
        if isinstance(scanned, Err):
            return 0
        adopted = 0
        for row in scanned.ok_value:
            job = decode_row(JOB_TABLE, row, Job)
            if job is None:
                continue
            if adopted >= MAX_ADOPTIONS_PER_SCAN or len(self._owned) >= MAX_OWNED_JOBS:
                break
            if self._is_orphan(job, is_live) and await self._adopt(job, row):
                adopted += 1
        return adopted

    async def release_all(self) -> None:
        """Stop all jobs and clear their owner, so that other nodes can adopt them at once."""
        self._releasing = True
        for job, version in list(self._owned.values()):
            operation = new_operation()
            unowned = msgspec.structs.replace(
                job, operation=operation, owner=UNOWNED, incarnation=""
            )
            key = row_key(job.id)
            entry = Entry(
                operation,
                [Condition(JOB_TABLE, key, version)],
                [_make_write(JOB_TABLE, key, unowned)],
            )
            self._stop_running(job.id)
            await self._journal.commit(entry)

    def _is_orphan(self, job: Job, is_live: Callable[[str], bool]) -> bool:
        if job.id in self._owned or job.id in self._accepting:
            return False
        # A row that names this node as owner of a job which it doesn't run is from an earlier
        # incarnation, or from a write whose outcome was unknown.
        return job.owner in (UNOWNED, self._node) or not is_live(job.owner)

    async def _adopt(self, job: Job, row: Row) -> bool:
        operation = new_operation()
        adopted = msgspec.structs.replace(
            job,
            operation=operation,
            owner=self._node,
            incarnation=self._incarnation,
            adoptions=job.adoptions + 1,
        )
        key = row_key(job.id)
        entry = Entry(
            operation,
            [Condition(JOB_TABLE, key, row.version)],
            [_make_write(JOB_TABLE, key, adopted)],
        )
        if await self._journal.commit(entry) is not Outcome.COMMITTED:
            return False
        emit(Event.JOB_ADOPTED, job=job.id, owner=job.owner, adoptions=adopted.adoptions)
        self._start(adopted, entry.versions[0])
        return True

    def _start(self, job: Job, version: int) -> None:
        self._owned[job.id] = (job, version)
        self._running[job.id] = asyncio.create_task(self._run(job, version))

    async def _run(self, job: Job, version: int) -> None:
        """Run a job until it finishes; retry without limit, since accepted jobs must finish."""
        pause = RETRY_INITIAL_S
        while True:
            record = self._dispatcher.adopt(StreamRecord(job.request))
            await record.wait_ended()
            if record.state == "finished":
                break
            await self._clock.sleep(pause)
            pause = min(pause * 2, RETRY_MAX_S)
        await self._store_result(job, version, record)
        self._owned.pop(job.id, None)
        self._running.pop(job.id, None)

    async def _store_result(self, job: Job, version: int, record: StreamRecord) -> None:
        """Store a result; retry until it is stored or another node has ended the job."""
        text = "".join(record.tokens)
        result = _make_result(job, JobState.DONE, self._clock.wall())
        result = msgspec.structs.replace(
            result, tokens=len(record.tokens), reason=record.reason or ""
        )
        pause = RETRY_INITIAL_S
        stored = len(text) <= MAX_INLINE_TEXT_CHARS
        if stored:
            result = msgspec.structs.replace(result, text=text)
        while True:
            if not stored:
                put = await self._objects.put(RESULT_PREFIX + job.id, text.encode())
                stored = isinstance(put, Ok)
            if stored:
                outcome = await self._commit_result(job, version, result)
                if outcome in (Outcome.COMMITTED, Outcome.CONFLICT):
                    return
            await self._clock.sleep(pause)
            pause = min(pause * 2, RETRY_MAX_S)

    async def _commit_result(self, job: Job, version: int, result: JobResult) -> Outcome:
        """Replace the job row by a result row, on the condition that its version is unchanged."""
        key = row_key(job.id)
        entry = Entry(
            result.operation,
            [Condition(JOB_TABLE, key, version)],
            [_make_write(RESULT_TABLE, key, result), Write(JOB_TABLE, key, None)],
        )
        return await self._journal.commit(entry)

    def _stop_running(self, job_id: str) -> None:
        """Stop running a job on this node, without changing its row."""
        self._owned.pop(job_id, None)
        task = self._running.pop(job_id, None)
        if task is not None:
            task.cancel()
        self._dispatcher.cancel(job_id)

    async def _find(self, account: str, job_id: str) -> Result[Job | JobResult, Problem]:
        found = await self._find_row(account, job_id)
        return found.map(lambda pair: pair[1])

    async def _find_row(
        self, account: str, job_id: str
    ) -> Result[tuple[Row, Job | JobResult], Problem]:
        """Return a job's row and its decoded value, from the open jobs or the results."""
        try:
            key = row_key(job_id)
        except ValueError:
            return Err(problems.not_found(f"job {job_id!r}"))
        # The open row is read first, since a job may end between the two reads.
        kinds: tuple[tuple[str, type[Job] | type[JobResult]], ...] = (
            (JOB_TABLE, Job),
            (RESULT_TABLE, JobResult),
        )
        for table, kind in kinds:
            read = await self._table.read(table, key)
            if isinstance(read, Err):
                return Err(_table_unavailable(read.err_value))
            row = read.ok_value
            if row is None:
                continue
            job = decode_row(table, row, kind)
            if job is None:
                return Err(problems.unavailable("the stored job can't be read", UNREADABLE_RETRY_S))
            if job.account != account:
                return Err(problems.not_found(f"job {job_id!r}"))
            return Ok((row, job))
        return Err(problems.not_found(f"job {job_id!r}"))


def _table_unavailable(failure: PlatformFailure) -> Problem:
    wait = max(1, round(failure.retry_after_s))
    return problems.unavailable("the table service does not answer", wait)


def _make_result(job: Job, state: JobState, wall: float) -> JobResult:
    return JobResult(new_operation(), job.id, job.account, state, job.request, wall)


def _make_write(table: str, key: str, value: Job | JobResult) -> Write:
    return Write(table, key, msgspec.json.encode(value).decode())
