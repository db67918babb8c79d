"""A TCP proxy for one loopback address that can delay, hold back or reset connections."""

import asyncio
from enum import StrEnum

from tests.gateway_world import reset

SLOW_DELAY_S = 0.15
CHUNK_BYTES = 65_536


class LinkMode(StrEnum):
    """How a link forwards bytes; `ONE_WAY` holds back only those to the client."""

    HEALTHY = "good"
    SLOW = "slow"
    SILENT = "silent"
    ONE_WAY = "one way"
    RESET = "reset"


class Link:
    """Proxies connections to a target, which may change; held-back bytes are delivered later."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.mode = LinkMode.HEALTHY
        self.address = ""
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()
        self._mode_changed = asyncio.Event()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._forward, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_all()

    def set_mode(self, mode: LinkMode) -> None:
        """Set how bytes are forwarded from now on."""
        self.mode = mode
        self._mode_changed.set()
        if mode is LinkMode.RESET:
            self.reset_all()

    def reset_all(self) -> None:
        """Reset all open connections."""
        for writer in list(self._open):
            reset(writer)

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.mode is LinkMode.RESET:
            reset(writer)
            return
        host, _, port = self.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            reset(writer)
            return
        pair = {writer, target_writer}
        self._open |= pair
        to_target_task = asyncio.create_task(self._pump(reader, target_writer, to_client=False))
        to_client_task = asyncio.create_task(self._pump(target_reader, writer, to_client=True))
        try:
            await asyncio.wait(
                [to_target_task, to_client_task], return_when=asyncio.FIRST_COMPLETED
            )
            await asyncio.sleep(0)
        except asyncio.CancelledError:
            pass
        finally:
            self._open -= pair
            to_target_task.cancel()
            to_client_task.cancel()
            for each in pair:
                each.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, to_client: bool
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.mode is LinkMode.SLOW:
                    await asyncio.sleep(SLOW_DELAY_S)
                await self._wait_until_released(to_client)
                writer.write(data)
                await writer.drain()
            await self._wait_until_released(to_client)
        except ConnectionError:
            reset(writer)

    async def _wait_until_released(self, to_client: bool) -> None:
        """Wait until the mode lets bytes of this direction pass."""
        blocking = {LinkMode.SILENT, LinkMode.ONE_WAY} if to_client else {LinkMode.SILENT}
        while self.mode in blocking:
            self._mode_changed.clear()
            await self._mode_changed.wait()
