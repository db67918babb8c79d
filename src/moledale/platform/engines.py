"""Orders to model servers in the platform's wire format."""

from urllib.parse import quote

import msgspec
from result import Err, Ok, Result

from moledale.decoding import decode_json
from moledale.field_types import Count, HeaderText
from moledale.gateway.calls import HttpCaller
from moledale.platform.records import encode
from moledale.platform.store import JSON_TYPE
from moledale.scheduling.stream_runs import Moved, MoveRefused

RELEASE_TIMEOUT_S = 1.0
"""Timeout of releasing a copy; a copy that is not released expires by itself."""

MAX_CALLERS = 200
"""Maximum model servers to which connections stay open; beyond it, all of them are closed."""


class MoveRecord(msgspec.Struct, frozen=True):
    """The response to a move: the handle of the copy and the number of events produced."""

    handle: HeaderText = ""
    made: Count = 0


class PlatformEngines:
    """Moves runs (generations in flight) between model servers."""

    def __init__(self) -> None:
        self._callers: dict[str, HttpCaller] = {}

    async def move(
        self, source: str, run: str, target: str, last: bool, timeout_s: float
    ) -> Result[Moved, MoveRefused]:
        """Copy a run's KV cache between two addresses; with `last` the run is stopped first."""
        body: dict[str, object] = {"id": run, "targetVersion": target}
        if last:
            body["last"] = True
        outcome = await self._caller(source).call(
            "POST", "/v1/kv-move", encode(body), JSON_TYPE, timeout_s
        )
        if isinstance(outcome, Err):
            failed = outcome.err_value
            return Err(MoveRefused(failed.detail, sent=failed.sent))
        answer = outcome.ok_value
        try:
            record = decode_json(answer.body or b"{}", MoveRecord)
        except msgspec.DecodeError:
            record = MoveRecord()
        if answer.status == 200 and record.handle:
            return Ok(Moved(record.handle, record.made))
        return Err(MoveRefused(f"status {answer.status}", record.handle, answer.status))

    async def release(self, source: str, handle: str) -> None:
        """Release a copy that will not be used."""
        path = f"/v1/kv-handle/{quote(handle)}"
        await self._caller(source).call("DELETE", path, timeout_s=RELEASE_TIMEOUT_S)

    def _caller(self, address: str) -> HttpCaller:
        if len(self._callers) > MAX_CALLERS:
            for caller in self._callers.values():
                caller.close()
            self._callers.clear()
        return self._callers.setdefault(address, HttpCaller(address))
