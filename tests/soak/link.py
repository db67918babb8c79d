"""A loopback proxy for one address: slow, reset, silent or cut one way."""

import asyncio
from enum import StrEnum

SLOW_S = 0.15
CHUNK = 65_536


class Weather(StrEnum):
    """How a link carries bytes."""

    GOOD = "good"
    SLOW = "slow"
    SILENT = "silent"
    ONE_WAY = "one way"
    RESET = "reset"


class Link:
    """Carries connections to a target, which may change; bytes that are held back come later."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.weather = Weather.GOOD
        self.address = ""
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()
        self._turned = asyncio.Event()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._carry, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """End the link and all it carries."""
        if self._server is not None:
            self._server.close()
        self.reset_all()

    def turn(self, weather: Weather) -> None:
        """Change how bytes are carried from now on."""
        self.weather = weather
        self._turned.set()
        if weather is Weather.RESET:
            self.reset_all()

    def reset_all(self) -> None:
        """Reset every connection under way."""
        for writer in list(self._open):
            writer.transport.abort()

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.weather is Weather.RESET:
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
        there = asyncio.create_task(self._pump(reader, far_writer, back=False))
        back = asyncio.create_task(self._pump(far_reader, writer, back=True))
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
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, back: bool
    ) -> None:
        try:
            while data := await reader.read(CHUNK):
                if self.weather is Weather.SLOW:
                    await asyncio.sleep(SLOW_S)
                await self._released(back)
                writer.write(data)
                await writer.drain()
            await self._released(back)
        except ConnectionError:
            writer.transport.abort()

    async def _released(self, back: bool) -> None:
        """Wait until bytes of a direction may go on."""
        holding = {Weather.SILENT, Weather.ONE_WAY} if back else {Weather.SILENT}
        while self.weather in holding:
            self._turned.clear()
            await self._turned.wait()
