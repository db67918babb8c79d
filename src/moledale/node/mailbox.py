"""Bounded mailboxes between tasks."""

import asyncio
from typing import Generic, TypeVar

from moledale.clock import Clock
from moledale.log import Event, emit

T = TypeVar("T")


class Mailbox(Generic[T]):
    """A queue of typed messages with a bound; a full one refuses instead of waiting."""

    def __init__(self, name: str, max_messages: int) -> None:
        self.name = name
        self._queue: asyncio.Queue[T] = asyncio.Queue(max_messages)

    def put(self, message: T) -> bool:
        """Deliver a message; return False if the mailbox is full."""
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
        """Return a message that is there already, or None."""
        try:
            return self._queue.get_nowait()
        except asyncio.QueueEmpty:
            return None

    async def get_within(self, seconds: float, clock: Clock) -> T | None:
        """Wait for the next message, at most `seconds`."""
        getting = asyncio.ensure_future(self._queue.get())
        waiting = asyncio.ensure_future(clock.sleep(seconds))
        try:
            await asyncio.wait([getting, waiting], return_when=asyncio.FIRST_COMPLETED)
            return getting.result() if getting.done() else None
        finally:
            getting.cancel()
            waiting.cancel()

    def __len__(self) -> int:
        return self._queue.qsize()
