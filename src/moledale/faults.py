"""Unexpected errors: each is counted and logged with its place, a repeated one at intervals."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from pathlib import PurePath
from types import TracebackType
from typing import Any

import msgspec
from cachetools import LRUCache

from moledale.log import Event, emit

REPEAT_INTERVAL_S = 30.0
"""An error that occurs again at the same place is logged once within this time."""

MAX_PLACES = 256
"""Places of errors that are remembered to bound the log."""

MAX_TEXT_CHARS = 300
"""Longest text of an error in the log; some contain what could not be handled."""

LOOP = "event loop"
"""Task under which errors of callbacks are logged."""


def describe(error: BaseException) -> str:
    """Return the type and text of an error, cut to a length that can be logged."""
    try:
        text = repr(error)
    except Exception as second:
        text = f"{type(error).__name__} without a text: {type(second).__name__}"
    return text[:MAX_TEXT_CHARS].encode("utf-8", "backslashreplace").decode()


def place_of(error: BaseException) -> str:
    """Return the module, function and line that raised an error, empty if it was never raised."""
    step: TracebackType | None = error.__traceback__
    if step is None:
        return ""
    while step.tb_next is not None:
        step = step.tb_next
    code = step.tb_frame.f_code
    return f"{PurePath(code.co_filename).stem}.{code.co_name}:{step.tb_lineno}"


class _Repeated(msgspec.Struct):
    """When an error of one place was last logged, and how often it occurred since."""

    logged_at: float
    unlogged: int = 0


class FaultLog:
    """Counts unexpected errors in `total`, and logs those of one place at intervals."""

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self.total = 0
        self._now = now
        self._repeated: LRUCache[tuple[str, str, str], _Repeated] = LRUCache(MAX_PLACES)

    def record(
        self, event: Event, task: str, error: BaseException | None, why: str = "", **fields: object
    ) -> None:
        """Count an error, and log it unless one of the same place was logged recently.

        The line has the number of such errors since the last line as `unlogged`.
        """
        self.total += 1
        now = self._now()
        place = place_of(error) if error is not None else why
        key = (task, type(error).__name__, place)
        repeated = self._repeated.get(key)
        if repeated is not None and now - repeated.logged_at < REPEAT_INTERVAL_S:
            repeated.unlogged += 1
            return
        self._repeated[key] = _Repeated(now)
        emit(
            event,
            task=task,
            error=describe(error) if error is not None else why,
            place=place,
            unlogged=repeated.unlogged if repeated is not None else 0,
            **fields,
        )


faults = FaultLog()
"""The unexpected errors of this process."""


def record_fault(task: str, error: BaseException) -> None:
    """Record an unexpected error that ended one piece of work, and nothing else."""
    faults.record(Event.UNEXPECTED_ERROR, task, error)


def run_step(task: str, step: Callable[[], object]) -> None:
    """Run one step of several; an error in it is recorded, and the steps after it run."""
    try:
        step()
    except Exception as error:
        record_fault(task, error)


async def await_step(task: str, step: Awaitable[None]) -> None:
    """Await one step of several; an error in it is recorded, and the others go on."""
    try:
        await step
    except Exception as error:
        record_fault(task, error)


def watch_loop(loop: asyncio.AbstractEventLoop) -> None:
    """Record the errors of callbacks, protocols and tasks that nothing else handles."""
    loop.set_exception_handler(_on_loop_error)


def _on_loop_error(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Record an error that the event loop reports.

    The message may name an object with its address, so only its first words are used.
    """
    why = str(context.get("message") or "").partition("<")[0].partition("(")[0][:MAX_TEXT_CHARS]
    error = context.get("exception")
    failed = context.get("task") or context.get("future")
    task = LOOP
    if isinstance(failed, asyncio.Task):
        task = getattr(failed.get_coro(), "__qualname__", LOOP)
    faults.record(Event.UNEXPECTED_ERROR, task, error, why.strip(), reported=why.strip())
