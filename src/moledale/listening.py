"""Binding of addresses that a former process may still hold, for as long as a stop may take."""

import asyncio
import errno
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

from moledale.faults import record_fault
from moledale.log import Event, emit

Bound = TypeVar("Bound")

BIND_WAIT_S = 10.0
"""An address is tried again for this long, since a planned stop of the process before takes some
seconds."""

BIND_RETRY_INTERVAL_S = 0.1

PASSING_ERRORS = (
    errno.EADDRINUSE,
    errno.EADDRNOTAVAIL,
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
)
"""The address belongs to another process or is not configured on the machine yet, or the machine
lacks descriptors or memory."""


def _may_pass(error: OSError) -> bool:
    """Return whether an address may be free soon; uvloop names the reason in the cause only."""
    cause = error.__cause__
    numbers = (error.errno, cause.errno if isinstance(cause, OSError) else None)
    return any(number in PASSING_ERRORS for number in numbers)


async def bind_patiently(address: str, bind: Callable[[], Awaitable[Bound]]) -> Bound:
    """Return what `bind` returns, which is called again while its address is not free.

    Raise its last error if the address stays in use.
    """
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + BIND_WAIT_S
    logged = False
    while True:
        try:
            return await bind()
        except OSError as error:
            if not _may_pass(error) or loop.time() >= ends_at:
                record_fault(f"listen at {address}", error)
                raise
            if not logged:
                emit(Event.ADDRESS_IN_USE, address=address, why=str(error), wait_s=BIND_WAIT_S)
                logged = True
        await asyncio.sleep(BIND_RETRY_INTERVAL_S)


async def completes_before(stop: asyncio.Event, work: Coroutine[Any, Any, None]) -> bool:
    """Run something until it is done or `stop` is set; return whether it was done first."""
    working, stopping = asyncio.create_task(work), asyncio.create_task(stop.wait())
    await asyncio.wait([working, stopping], return_when=asyncio.FIRST_COMPLETED)
    stopping.cancel()
    if stop.is_set():
        working.cancel()
        await asyncio.gather(working, return_exceptions=True)
        return False
    await working
    return True
