"""A loopback proxy for one address: slow, reset, silent or cut one way."""

import asyncio
from enum import StrEnum

SLOW_DELAY_S = 0.15
CHUNK_BYTES = 65_536


class LinkMode(StrEnum):
    """How a link carries bytes."""

    HEALTHY = "good"
    SLOW = "slow"
    SILENT = "silent"
    ONE_WAY = "one way"
    RESET = "reset"


class Link:
    """Carries connections to a target, which may change; bytes that are held back come later."""

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
        """End the link and all it carries."""
        if self._server is not None:
            self._server.close()
        self.reset_all()

    def set_mode(self, mode: LinkMode) -> None:
        """Change how bytes are carried from now on."""
        self.mode = mode
        self._mode_changed.set()
        if mode is LinkMode.RESET:
            self.reset_all()

    def reset_all(self) -> None:
        """Reset every connection under way."""
        for writer in list(self._open):
            writer.transport.abort()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.mode is LinkMode.RESET:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, far_writer}
        self._open |= pair
        there = asyncio.create_task(self._pump(reader, far_writer, to_client=False))
        back = asyncio.create_task(self._pump(far_reader, writer, to_client=True))
        try:
            await asyncio.wait([there, back], return_when=asyncio.FIRST_COMPLETED)
            await asyncio.sleep(0)
        except asyncio.CancelledError:
            pass
        finally:
            self._open -= pair
            there.cancel()
            back.cancel()
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
            writer.transport.abort()

    async def _wait_until_released(self, to_client: bool) -> None:
        """Wait until bytes of a direction may go on."""
        holding = {LinkMode.SILENT, LinkMode.ONE_WAY} if to_client else {LinkMode.SILENT}
        while self.mode in holding:
            self._mode_changed.clear()
            await self._mode_changed.wait()
