"""Work that can wait: durable before it is accepted, finished by whichever node is there."""

import asyncio
import hashlib
import uuid
from collections.abc import Callable
from enum import StrEnum

import msgspec
from result import Err, Ok, Result

from moledale import problems
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
MAX_SCAN_ROWS = 500
MAX_ADOPTIONS_PER_SCAN = 50
MAX_OWNED_JOBS = 200
UNOWNED = ""
RETRY_INITIAL_S = 0.5
RETRY_MAX_S = 15.0


class JobState(StrEnum):
    """What a caller is told of its job."""

    ACCEPTED = "accepted"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"


class Job(msgspec.Struct, frozen=True):
    """The row of an open job; whoever is `owner` runs it, and changes by conditional write."""

    operation: str
    id: str
    account: str
    owner: str
    incarnation: str
    adoptions: int
    request: GenerationRequest


class JobResult(msgspec.Struct, frozen=True):
    """The row of an ended job; a long text lies in the object store instead."""

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
    """What `GET /v1/jobs/{id}` answers."""

    id: str
    state: JobState
    owner: str | None = None
    adoptions: int = 0


def new_job_id(hall: str) -> str:
    """Return a job id that tells the hall its row is filed under."""
    return f"{JOB_ID_PREFIX}{hall}_{uuid.uuid4().hex}"


def keyed_job_id(halls: list[str], account: str, key: str) -> str:
    """Return the same job id on every node for a caller's idempotency key."""
    named = f"{account}\x00{key}"
    hall = first_ranked(named, halls)
    assert hall is not None, "a bundle states a hall"
    return f"{JOB_ID_PREFIX}{hall}_{hashlib.sha256(named.encode()).hexdigest()[:32]}"


def row_key(job_id: str) -> str:
    """Return the row key of a job id; raises ValueError if it isn't one."""
    hall, _, serial = job_id.removeprefix(JOB_ID_PREFIX).rpartition("_")
    if not job_id.startswith(JOB_ID_PREFIX) or not hall or not serial:
        raise ValueError("not a job id")
    return f"{hall}/{serial}"


class Jobs:
    """Accepts, runs, adopts and answers for jobs."""

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
        """Return the number of jobs that this node owns."""
        return len(self._owned)

    async def accept(
        self, request: GenerationRequest, job_id: str, keyed: bool = False
    ) -> Result[str, Problem]:
        """Make a job durable and return its id.

        A `job_id` that stands already, since its caller asked twice, is returned as it is. That
        is also why a refused `keyed` job can't be said not to run: it may have been accepted
        elsewhere before.
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
            # The row may stand; then the job is adopted and runs although its caller was told
            # that nobody knows.
            detail = "the table service does not answer; the job may have been accepted"
            return Err(Problem("outcome-unknown", 503, "Not known", detail, Ran.UNKNOWN, 2))
        if keyed:
            return Err(problems.undecided("the table service does not answer", 2))
        return Err(problems.unavailable("the table service does not answer", 2))

    async def status(self, account: str, job_id: str) -> Result[JobStatus, Problem]:
        """Return a job's state."""
        found = await self._find(account, job_id)
        if isinstance(found, Err):
            return found
        if isinstance(found.ok_value, JobResult):
            ended = found.ok_value
            return Ok(JobStatus(job_id, ended.state))
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
        ended = found.ok_value
        if not isinstance(ended, JobResult):
            return Ok(None)
        if ended.state is not JobState.DONE or ended.text is not None:
            return Ok(ended)
        body = await self._objects.get(RESULT_PREFIX + job_id)
        if isinstance(body, Err) or body.ok_value is None:
            return Err(problems.unavailable("the object store does not answer", 2))
        return Ok(msgspec.structs.replace(ended, text=body.ok_value.decode()))

    async def cancel(self, account: str, job_id: str) -> Result[JobStatus, Problem]:
        """Cancel a job, wherever it runs; whoever ends it first wins."""
        for _ in range(3):
            found = await self._find_row(account, job_id)
            if isinstance(found, Err):
                return found
            row, held = found.ok_value
            if isinstance(held, JobResult):
                return Ok(JobStatus(job_id, held.state))
            outcome = await self._commit_result(
                held, row.version, _make_result(held, JobState.CANCELLED, self._clock.wall())
            )
            if outcome is Outcome.COMMITTED:
                self._stop_running(job_id)
                return Ok(JobStatus(job_id, JobState.CANCELLED))
            if outcome is not Outcome.CONFLICT:
                return Err(problems.unavailable("the table service does not answer", 2))
        return Err(problems.conflict("the job changed hands meanwhile; try again"))

    async def adopt_orphans(self, hall: str, is_live: Callable[[str], bool]) -> int:
        """Adopt jobs of a hall whose owner is gone, is unowned, or was this node before."""
        scanned = await self._table.scan(JOB_TABLE, f"{hall}/", MAX_SCAN_ROWS)
        if isinstance(scanned, Err):
            return 0
        adopted = 0
        for row in scanned.ok_value:
            job = msgspec.json.decode(row.value, type=Job)
            if adopted >= MAX_ADOPTIONS_PER_SCAN or len(self._owned) >= MAX_OWNED_JOBS:
                break
            if self._is_orphan(job, is_live) and await self._adopt(job, row):
                adopted += 1
        return adopted

    async def release_all(self) -> None:
        """Give up all jobs that still run, so that other nodes adopt them at once."""
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
        # A row in this node's name that it doesn't run is from an earlier incarnation, or its
        # write was thought lost.
        return job.owner in (UNOWNED, self._node) or not is_live(job.owner)

    async def _adopt(self, job: Job, row: Row) -> bool:
        operation = new_operation()
        mine = msgspec.structs.replace(
            job,
            operation=operation,
            owner=self._node,
            incarnation=self._incarnation,
            adoptions=job.adoptions + 1,
        )
        key = row_key(job.id)
        entry = Entry(
            operation, [Condition(JOB_TABLE, key, row.version)], [_make_write(JOB_TABLE, key, mine)]
        )
        if await self._journal.commit(entry) is not Outcome.COMMITTED:
            return False
        emit(Event.JOB_ADOPTED, job=job.id, owner=job.owner, adoptions=mine.adoptions)
        self._start(mine, entry.versions[0])
        return True

    def _start(self, job: Job, version: int) -> None:
        self._owned[job.id] = (job, version)
        self._running[job.id] = asyncio.create_task(self._run(job, version))

    async def _run(self, job: Job, version: int) -> None:
        """Run a job to its end; failures are tried again, since accepted work must finish."""
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
        """Store a result until it stands, or until somebody else has ended the job."""
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
        """Replace the open row by a result, if the row still is what it was."""
        key = row_key(job.id)
        entry = Entry(
            result.operation,
            [Condition(JOB_TABLE, key, version)],
            [_make_write(RESULT_TABLE, key, result), Write(JOB_TABLE, key, None)],
        )
        return await self._journal.commit(entry)

    def _stop_running(self, job_id: str) -> None:
        """Stop running a job here."""
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
        """Look for a job among the open and the ended ones."""
        try:
            key = row_key(job_id)
        except ValueError:
            return Err(problems.not_found(f"job {job_id!r}"))
        # A job may end between the two reads, so the open row is read first.
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
            held = msgspec.json.decode(row.value, type=kind)
            if held.account != account:
                return Err(problems.not_found(f"job {job_id!r}"))
            return Ok((row, held))
        return Err(problems.not_found(f"job {job_id!r}"))


def _table_unavailable(failure: PlatformFailure) -> Problem:
    wait = max(1, round(failure.retry_after_s))
    return problems.unavailable("the table service does not answer", wait)


def _make_result(job: Job, state: JobState, wall: float) -> JobResult:
    return JobResult(new_operation(), job.id, job.account, state, job.request, wall)


def _make_write(table: str, key: str, value: Job | JobResult) -> Write:
    return Write(table, key, msgspec.json.encode(value).decode())
