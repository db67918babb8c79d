"""The holder of the duties is partitioned from the store, and the next one is stopped as planned.

The first holder then takes the lease back at once, so that the platform sees both within `leaseMs`
in the order A, B, A.
"""

import asyncio
import json
import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lab import (  # noqa: E402
    BOUNDS,
    HALLS,
    HOST,
    CloudStandIn,
    Gateway,
    Lab,
    Message,
    PlainServer,
    Record,
    answer_bytes,
    exit_with,
    run_case,
)

CUT_AFTER_ORDER_S = 1.6
CUT_S = 2.6
"""Length of the partition of one machine; the pages have up to 5.5 s (`core_cut`)."""
THAW_S = 0.3
STOP_AFTER_ORDER_S = 0.1
STOP_AFTER_HEAL_S = 0.6
WATCH_S = 8.0
CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "mandate-draft",
            "host": HOST,
            "pathPrefix": "/draft/",
            "service": "moledale-pool",
            "kind": "streaming",
            "maxAttempts": 2,
            "timeoutMs": 15000,
            "sloMs": 1000,
            "priority": 0,
            "sticky": True,
            "resumable": True,
            "gapTargetMs": 500,
        }
    ],
    "services": [
        {
            "name": "moledale-pool",
            "maxConns": 370,
            "engine": {
                "slots": 64,
                "kvCapacity": 542663,
                "kvTokenBytes": 327680.0,
                "linkMbps": 270000.0,
                "moves": True,
                "backups": True,
                "handleS": 5.0,
                "stride": 3,
            },
            "scaling": {
                "min": 1,
                "max": 10,
                "bootS": 4.0,
                "spotPrice": 0.22,
                "zonePrices": dict(zip(HALLS, (1.0, 0.8, 1.25, 0.9), strict=True)),
            },
        }
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "north", "apiKeys": ["key-of-north"]}],
}


@dataclass(frozen=True)
class Order:
    """An order as the platform got it; `subject` is a service with a zone."""

    at: float
    holder: str
    fence: int
    subject: tuple[str, str]


class Cloud(CloudStandIn):
    """The platform's API: no servers are to be had at present, so orders are refused with 409."""

    def __init__(self, record: Record) -> None:
        super().__init__(record)
        self.orders: list[Order] = []

    async def handle(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Record an order and refuse it."""
        if " /scale " not in request.line:
            await super().handle(request, writer)
            return
        body = json.loads(request.body)
        order = Order(
            time.monotonic(),
            request.headers["duty-holder"],
            int(request.headers["fence-token"]),
            (body["service"], body["zone"]),
        )
        self.orders.append(order)
        kind = "spot" if body.get("spot") else "on demand"
        self._record.write(
            f"order of {order.holder} with fence {order.fence}: {body['desired']} {kind} of "
            f"{body['service']} in {body['zone']}"
        )
        writer.write(answer_bytes(409, b"{}", "Content-Type: application/json\r\n"))

    async def next_order(self, unlike: str = "") -> Order:
        """Return the next order, of another holder than `unlike`."""
        known = len(self.orders)
        while True:
            for order in self.orders[known:]:
                if order.holder != unlike:
                    return order
            await asyncio.sleep(0.005)


def returns(orders: list[Order], healed: str, healed_at: float) -> list[tuple[Order, Order, Order]]:
    """Return orders of holders A, B, A on one subject within `leaseMs`.

    Orders of the gateway `healed` that arrive within `thawMs` after its link healed do not count.
    """
    found = []
    counted = [
        each for each in orders if each.holder != healed or not 0 <= each.at - healed_at <= THAW_S
    ]
    for third in counted:
        within = [
            each
            for each in counted
            if each.subject == third.subject
            and third.at - BOUNDS["leaseMs"] / 1000 <= each.at < third.at
        ]
        for number, first in enumerate(within):
            between = [each for each in within[number + 1 :] if each.holder != first.holder]
            if first.holder == third.holder and between:
                found.append((first, between[0], third))
                break
    return found


async def case(lab: Lab) -> bool:
    """Return whether holders acted in the order A, B, A within `leaseMs`."""
    cloud = Cloud(lab.record)
    await cloud.listen()
    lab.cloud = cloud
    lab.store.put("op", "config", CONFIG)
    for number in range(2):
        await lab.add_server(
            PlainServer(f"i-{number}d5c", "moledale-pool", HALLS[number], lab.record)
        )
    await lab.start_gateways([HALLS[0], HALLS[1]])
    await asyncio.sleep(BOUNDS["contactMs"] / 1000 + 4)

    order = await cloud.next_order()
    first = gateway_of(lab, order.holder)
    await asyncio.sleep(CUT_AFTER_ORDER_S)
    healed_at = -1e9
    if lab.trouble:
        first.store_link.cut_with_resets()
        lab.record.write(f"{first.name} is partitioned from the store; its connections are reset")
        taken = asyncio.create_task(cloud.next_order(unlike=first.name))
        await asyncio.sleep(CUT_S)
        first.store_link.heal()
        healed_at = time.monotonic()
        lab.record.write("the partition ends")
        second = gateway_of(lab, (await taken).holder)
        await asyncio.sleep(
            max(STOP_AFTER_ORDER_S, healed_at + STOP_AFTER_HEAL_S - time.monotonic())
        )
        second.send(signal.SIGTERM)
        lab.record.write(f"SIGTERM to {second.name}, as in a roll through the machines")
    await asyncio.sleep(WATCH_S)
    for each in returns(cloud.orders, first.name, healed_at):
        spans = ", ".join(f"{one.holder} with fence {one.fence}" for one in each)
        lab.record.write(
            f"orders for {each[0].subject} in {each[2].at - each[0].at:.3f} s: {spans}"
        )
    return bool(returns(cloud.orders, first.name, healed_at))


def gateway_of(lab: Lab, name: str) -> Gateway:
    """Return the gateway with a name."""
    return next(each for each in lab.gateways if each.name == name)


if __name__ == "__main__":
    exit_with(run_case(FOLDER, case))
