"""Bounded message queues between tasks."""

import asyncio
from typing import Generic, TypeVar

from moledale.clock import Clock
from moledale.log import Event, emit

T = TypeVar("T")


class Mailbox(Generic[T]):
    """A bounded queue of typed messages; a full one rejects messages instead of blocking."""

    def __init__(self, name: str, max_messages: int) -> None:
        self.name = name
        self._queue: asyncio.Queue[T] = asyncio.Queue(max_messages)

    def put(self, message: T) -> bool:
        """Enqueue a message; return False if the mailbox is full."""
        try:
            self._queue.put_nowait(message)
        except asyncio.QueueFull:
            emit(Event.MAILBOX_FULL, mailbox=self.name)
            return False
        return True

    async def get(self) -> T:
        """Wait for the next message."""
        return await self._queue.get()

    def get_nowait(self) -> T | None:
        """Return the next message without waiting, or None if the mailbox is empty."""
        try:
            return self._queue.get_nowait()
        except asyncio.QueueEmpty:
            return None

    async def get_within(self, seconds: float, clock: Clock) -> T | None:
        """Wait at most `seconds` for the next message; return None on timeout."""
        get_task = asyncio.ensure_future(self._queue.get())
        timer = asyncio.ensure_future(clock.sleep(seconds))
        try:
            await asyncio.wait([get_task, timer], return_when=asyncio.FIRST_COMPLETED)
            return get_task.result() if get_task.done() else None
        finally:
            get_task.cancel()
            timer.cancel()

    def __len__(self) -> int:
        return self._queue.qsize()
