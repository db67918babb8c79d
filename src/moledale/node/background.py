"""Short tasks that nobody waits for, kept from being collected while they run."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from moledale.log import Event, emit


class BackgroundTasks:
    """Holds tasks until they end, and logs those that fail."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, work: Coroutine[Any, Any, Any]) -> None:
        """Start a task."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            emit(Event.TASK_FAILED, task=self._name, error=repr(task.exception()))
