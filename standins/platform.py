"""Stand-in for the whole platform; tests can set faults on each of its parts."""

import asyncio
from dataclasses import dataclass, field

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from moledale.backing.types import (
    ABSENT,
    Instance,
    InstancePage,
    InstanceState,
    Part,
    ReclaimNotice,
    ReclaimNoticePage,
    RentOrder,
    RentResult,
    Row,
    RowPage,
    Transaction,
    TransactionOutcome,
    WeightGrant,
)
from standins.serve import run

HANG_S = 30.0


class Faults(msgspec.Struct):
    """Faults of one part: refuse all calls, hang, delay, or lose the next answers to writes."""

    down: bool = False
    hang: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0


class Stats(msgspec.Struct):
    """Counters of the calls received and the bytes sent."""

    reads: int = 0
    writes: int = 0
    rows_written: int = 0
    list_polls: int = 0
    cloud_calls: int = 0
    bytes_out: int = 0


@dataclass(slots=True)
class PlatformState:
    """Holds the platform's state; the in-process fakes of the unit tests use it too."""

    rows: dict[tuple[str, str], Row] = field(default_factory=dict)
    objects: dict[str, bytes] = field(default_factory=dict)
    instances: dict[str, tuple[int, Instance]] = field(default_factory=dict)
    notices: dict[str, ReclaimNotice] = field(default_factory=dict)
    rented: dict[str, str] = field(default_factory=dict)
    spares: list[Instance] = field(default_factory=list)
    released: list[str] = field(default_factory=list)
    revision: int = 0
    next_version: int = 0
    stats: Stats = field(default_factory=Stats)

    def transact(self, transaction: Transaction) -> TransactionOutcome:
        """Commit all writes if all conditions hold, else none."""
        self.stats.writes += 1
        failed = [
            index
            for index, condition in enumerate(transaction.conditions)
            if self._version(condition.table, condition.key) != condition.version
        ]
        if failed:
            return TransactionOutcome(False, failed)
        versions = []
        for write in transaction.writes:
            self.stats.rows_written += 1
            row_key = (write.table, write.key)
            if write.value is None:
                self.rows.pop(row_key, None)
                versions.append(ABSENT)
                continue
            self.next_version += 1
            self.rows[row_key] = Row(write.key, self.next_version, write.value)
            versions.append(self.next_version)
        return TransactionOutcome(True, [], versions)

    def read(self, table: str, key: str) -> Row | None:
        """Return a row, or None."""
        self.stats.reads += 1
        return self.rows.get((table, key))

    def scan(self, table: str, prefix: str, limit: int) -> list[Row]:
        """Return the first `limit` rows whose keys have a prefix, in order of their keys."""
        self.stats.reads += 1
        found = [
            row
            for (row_table, key), row in self.rows.items()
            if row_table == table and key.startswith(prefix)
        ]
        return sorted(found, key=lambda row: row.key)[:limit]

    def put_instance(self, instance: Instance) -> None:
        """Add an instance to the list, or replace its entry."""
        self.revision += 1
        self.instances[instance.id] = (self.revision, instance)

    def changes(self, since: int) -> InstancePage:
        """Return the entries changed after a revision; all but those gone after revision 0."""
        self.stats.list_polls += 1
        full = since == 0
        found = [
            instance
            for revision, instance in self.instances.values()
            if revision > since and not (full and instance.state is InstanceState.GONE)
        ]
        return InstancePage(max(1, self.revision), full, found)

    def rent(self, order: RentOrder) -> RentResult:
        """Rent a spare instance of the hall and class, or refuse; idempotent per order token."""
        self.stats.cloud_calls += 1
        if order.token in self.rented:
            return RentResult(self.rented[order.token])
        for spare in self.spares:
            if (spare.hall, spare.instance_class) == (order.hall, order.instance_class):
                self.spares.remove(spare)
                self.rented[order.token] = spare.id
                self.put_instance(msgspec.structs.replace(spare, market=order.market))
                return RentResult(spare.id)
        return RentResult(None, "no capacity")

    def release(self, instance_id: str) -> None:
        """Take an instance back: record it, and mark it as leaving if it is listed."""
        self.stats.cloud_calls += 1
        self.released.append(instance_id)
        if instance_id in self.instances:
            _, instance = self.instances[instance_id]
            leaving = msgspec.structs.replace(instance, state=InstanceState.LEAVING)
            self.put_instance(leaving)

    def _version(self, table: str, key: str) -> int:
        row = self.rows.get((table, key))
        return ABSENT if row is None else row.version


class FaultInjector:
    """Applies the faults that are set on each part."""

    def __init__(self) -> None:
        self.faults = {part: Faults() for part in Part}

    async def before_effect(self, part: Part) -> Response | None:
        """Apply the faults that precede a call's effect; return the error response, if any."""
        faults = self.faults[part]
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        if faults.hang:
            await asyncio.sleep(HANG_S)
        if faults.down:
            return Response("down", 503)
        return None

    async def after_effect(self, part: Part) -> None:
        """Delay the answer to a write that took effect, until the caller has timed out."""
        faults = self.faults[part]
        if faults.lose_answers > 0:
            faults.lose_answers -= 1
            await asyncio.sleep(HANG_S)


def make_app(state: PlatformState, injector: FaultInjector) -> Starlette:
    """Return the ASGI application, which serves all parts on one port."""

    def answer(value: object, status: int = 200) -> Response:
        body = msgspec.json.encode(value)
        state.stats.bytes_out += len(body)
        return Response(body, status, media_type="application/json")

    async def transact(request: Request) -> Response:
        transaction = msgspec.json.decode(await request.body(), type=Transaction)
        if (refused := await injector.before_effect(Part.TABLE)) is not None:
            return refused
        outcome = state.transact(transaction)
        await injector.after_effect(Part.TABLE)
        return answer(outcome)

    async def read(request: Request) -> Response:
        if (refused := await injector.before_effect(Part.TABLE)) is not None:
            return refused
        return answer(state.read(request.path_params["table"], request.path_params["key"]))

    async def scan(request: Request) -> Response:
        if (refused := await injector.before_effect(Part.TABLE)) is not None:
            return refused
        query = request.query_params
        rows = state.scan(request.path_params["table"], query["prefix"], int(query["limit"]))
        return answer(RowPage(rows))

    async def put_object(request: Request) -> Response:
        body = await request.body()
        if (refused := await injector.before_effect(Part.OBJECTS)) is not None:
            return refused
        state.stats.writes += 1
        state.objects[request.path_params["key"]] = body
        await injector.after_effect(Part.OBJECTS)
        return answer({})

    async def get_object(request: Request) -> Response:
        if (refused := await injector.before_effect(Part.OBJECTS)) is not None:
            return refused
        state.stats.reads += 1
        body = state.objects.get(request.path_params["key"])
        return Response(status_code=404) if body is None else Response(body)

    async def instances(request: Request) -> Response:
        if (refused := await injector.before_effect(Part.INSTANCES)) is not None:
            return refused
        return answer(state.changes(int(request.query_params["since"])))

    async def rent(request: Request) -> Response:
        order = msgspec.json.decode(await request.body(), type=RentOrder)
        if (refused := await injector.before_effect(Part.CLOUD)) is not None:
            return refused
        outcome = state.rent(order)
        await injector.after_effect(Part.CLOUD)
        return answer(outcome)

    async def release(request: Request) -> Response:
        if (refused := await injector.before_effect(Part.CLOUD)) is not None:
            return refused
        state.release(request.path_params["id"])
        return answer({})

    async def notices(request: Request) -> Response:
        if (refused := await injector.before_effect(Part.CLOUD)) is not None:
            return refused
        state.stats.cloud_calls += 1
        hall = request.query_params["hall"]
        return answer(ReclaimNoticePage([n for n in state.notices.values() if n.hall == hall]))

    async def grants(_: Request) -> Response:
        if (refused := await injector.before_effect(Part.WEIGHTS)) is not None:
            return refused
        return answer(WeightGrant(True))

    async def set_faults(request: Request) -> Response:
        wanted = msgspec.json.decode(await request.body(), type=dict[Part, Faults])
        injector.faults.update(wanted)
        return answer({})

    async def set_instance(request: Request) -> Response:
        state.put_instance(msgspec.json.decode(await request.body(), type=Instance))
        return answer({})

    async def add_spare(request: Request) -> Response:
        state.spares.append(msgspec.json.decode(await request.body(), type=Instance))
        return answer({})

    async def add_notice(request: Request) -> Response:
        notice = msgspec.json.decode(await request.body(), type=ReclaimNotice)
        state.notices[notice.instance_id] = notice
        return answer({})

    async def stats(_: Request) -> Response:
        return answer(state.stats)

    return Starlette(
        routes=[
            Route("/v1/transactions", transact, methods=["POST"]),
            Route("/v1/tables/{table}/rows/{key:path}", read),
            Route("/v1/tables/{table}/rows", scan),
            Route("/v1/objects/{key:path}", put_object, methods=["PUT"]),
            Route("/v1/objects/{key:path}", get_object),
            Route("/v1/instances", instances, methods=["GET"]),
            Route("/v1/instances", rent, methods=["POST"]),
            Route("/v1/instances/{id}", release, methods=["DELETE"]),
            Route("/v1/notices", notices),
            Route("/v1/grants", grants, methods=["POST"]),
            Route("/control/faults", set_faults, methods=["POST"]),
            Route("/control/instances", set_instance, methods=["POST"]),
            Route("/control/spares", add_spare, methods=["POST"]),
            Route("/control/notices", add_notice, methods=["POST"]),
            Route("/control/stats", stats),
        ]
    )


def main() -> None:
    """Serve a platform until SIGTERM."""
    run(make_app(PlatformState(), FaultInjector()))


if __name__ == "__main__":
    main()
