"""A supervisor tree that restarts failed tasks after growing pauses, for as long as it runs."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from moledale.clock import Clock
from moledale.faults import faults
from moledale.log import Event

MIN_RESTART_DELAY_S = 0.2
"""Pause before a task is restarted that failed for the first time."""

MAX_RESTART_DELAY_S = 2.0
"""Longest pause before a restart; what a task does is missed for this long once it can run."""

STABLE_RUN_S = 30.0
"""A task that ran for this long before it failed is restarted after the shortest pause again."""


@dataclass(slots=True)
class _Child:
    """A supervised task; `failures` counts those since it last ran for `STABLE_RUN_S`."""

    name: str
    run: Callable[[], Awaitable[None]]
    task: asyncio.Task[None] | None = None
    failures: int = 0
    started_at: float = 0.0


class Supervisor:
    """Starts children in order, restarts the ones that fail, and stops them in reverse order.

    A child that returns is finished and not restarted. A child that fails again and again is
    restarted at intervals of up to `MAX_RESTART_DELAY_S`; the others are not affected.
    """

    def __init__(self, name: str, clock: Clock) -> None:
        self.name = name
        self.failures = 0
        self._clock = clock
        self._children: list[_Child] = []

    def start(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        """Start a child; it is stopped before the children that were started earlier."""
        child = _Child(name, run)
        self._children.append(child)
        child.task = asyncio.create_task(self._run_child(child), name=f"{self.name}/{name}")

    def start_supervisor(self, child: "Supervisor") -> None:
        """Add a child supervisor, which is stopped in its turn."""

        async def hold() -> None:
            try:
                await asyncio.Event().wait()
            finally:
                await child.stop()

        self.start(child.name, hold)

    def failing(self) -> list[str]:
        """Return the names of the children that failed and have not run for long since."""
        now = self._clock.monotonic()
        return [
            child.name
            for child in self._children
            if child.failures and now - child.started_at < STABLE_RUN_S
        ]

    async def stop(self) -> None:
        """Cancel the children in reverse order, and wait for each."""
        for child in reversed(self._children):
            if child.task is not None:
                child.task.cancel()
                await asyncio.gather(child.task, return_exceptions=True)
        self._children.clear()

    async def _run_child(self, child: _Child) -> None:
        while True:
            child.started_at = self._clock.monotonic()
            try:
                await child.run()
                child.failures = 0
                return
            except asyncio.CancelledError as error:
                task = asyncio.current_task()
                if task is None or task.cancelling():
                    raise
                # Something that the child waited for was cancelled, not the child itself.
                self._record_failure(child, error)
            except Exception as error:
                self._record_failure(child, error)
                task = asyncio.current_task()
                if task is not None and task.cancelling():
                    return
            await self._clock.sleep(self._restart_delay_s(child))

    def _record_failure(self, child: _Child, error: BaseException) -> None:
        if self._clock.monotonic() - child.started_at >= STABLE_RUN_S:
            child.failures = 0
        child.failures += 1
        self.failures += 1
        faults.record(
            Event.TASK_FAILED, f"{self.name}/{child.name}", error, failures=child.failures
        )

    def _restart_delay_s(self, child: _Child) -> float:
        return min(MAX_RESTART_DELAY_S, MIN_RESTART_DELAY_S * 2.0 ** min(child.failures - 1, 16))
