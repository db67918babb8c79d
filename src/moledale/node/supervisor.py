"""A supervisor tree that restarts failed tasks, up to a limit."""

import asyncio
import traceback
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from moledale.clock import Clock
from moledale.log import Event, emit

RESTART_DELAY_S = 0.2
"""Pause before a failed task is restarted."""


@dataclass(frozen=True, slots=True)
class RestartLimit:
    """At most `max_restarts` restarts within `window_s` seconds."""

    max_restarts: int = 5
    window_s: float = 60.0


@dataclass(slots=True)
class _Child:
    """A supervised task; `failures` are the times of its recent failures."""

    name: str
    run: Callable[[], Awaitable[None]]
    task: asyncio.Task[None] | None = None
    failures: deque[float] = field(default_factory=deque)


class Supervisor:
    """Starts children in order, restarts the ones that fail, and stops them in reverse order.

    A child that returns is finished and not restarted. A child that fails more often than the
    limit allows makes the whole supervisor give up, which sets `gave_up` for its parent.
    """

    def __init__(self, name: str, clock: Clock, limit: RestartLimit | None = None) -> None:
        self.name = name
        self.gave_up = asyncio.Event()
        self._clock = clock
        self._limit = limit or RestartLimit()
        self._children: list[_Child] = []

    def start(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        """Start a child; it is stopped before the children that were started earlier."""
        child = _Child(name, run)
        self._children.append(child)
        child.task = asyncio.create_task(self._run_child(child), name=f"{self.name}/{name}")

    def start_supervisor(self, child: "Supervisor") -> None:
        """Add a child supervisor; if it gives up, this one does too."""

        async def watch() -> None:
            try:
                await child.gave_up.wait()
                self.gave_up.set()
            finally:
                await child.stop()

        self.start(child.name, watch)

    async def stop(self) -> None:
        """Cancel the children in reverse order, and wait for each."""
        for child in reversed(self._children):
            if child.task is not None:
                child.task.cancel()
                await asyncio.gather(child.task, return_exceptions=True)
        self._children.clear()

    async def _run_child(self, child: _Child) -> None:
        while True:
            try:
                await child.run()
                return
            except asyncio.CancelledError:
                raise
            except Exception as error:
                last = traceback.extract_tb(error.__traceback__)[-1]
                emit(
                    Event.TASK_FAILED,
                    task=f"{self.name}/{child.name}",
                    error=repr(error),
                    place=f"{last.name}:{last.lineno}",
                )
            if not self._may_restart(child):
                emit(Event.TASK_GAVE_UP, task=f"{self.name}/{child.name}")
                self.gave_up.set()
                return
            await self._clock.sleep(RESTART_DELAY_S)

    def _may_restart(self, child: _Child) -> bool:
        now = self._clock.monotonic()
        child.failures.append(now)
        while child.failures and child.failures[0] < now - self._limit.window_s:
            child.failures.popleft()
        return len(child.failures) <= self._limit.max_restarts
