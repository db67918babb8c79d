"""Fire-and-forget tasks, with strong references so that they are not garbage collected."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from moledale.faults import record_fault


class BackgroundTasks:
    """Holds references to running tasks and logs the ones that fail."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine as a task without waiting for it."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            record_fault(self._name, error)
