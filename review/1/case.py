"""A key is revoked while three of nine gateways are silently partitioned from the store.

The other six reach the store all the time. They must refuse the key `configApplyMs` after the
store acknowledged the configuration without it.
"""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lab import BOUNDS, HALLS, Gateway, Lab, PlainServer, call, exit_with, run_case  # noqa: E402

ZONES = [HALLS[0]] * 3 + [HALLS[1]] * 3 + [HALLS[2]] * 2 + [HALLS[3]]
CUT_S = 5.0
"""Length of the partition; the pages have up to 12 s (`node_cut`)."""
CUT_GATEWAYS = 3
"""Partitioned machines; the pages have a share of up to 0.35 of the nine."""
PROBE_INTERVAL_S = 0.1
OLD_KEY = "key-that-is-revoked"
KEPT_KEY = "key-that-is-kept"


def config(version: int, keys: list[str], timeout_ms: int = 3000) -> dict[str, object]:
    """Return a configuration with one route, one service and one tenant."""
    return {
        "version": version,
        "routes": [
            {
                "name": "status",
                "host": "desk.example",
                "pathPrefix": "/status/",
                "service": "orderdesk-app",
                "kind": "safe",
                "maxAttempts": 2,
                "timeoutMs": timeout_ms,
                "sloMs": 400,
                "priority": 2,
            }
        ],
        "services": [{"name": "orderdesk-app", "maxConns": 110}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "north", "apiKeys": keys}],
    }


async def case(lab: Lab) -> bool:
    """Return whether a gateway outside the partition ran a request with the revoked key."""
    lab.store.put("op", "config", config(3, [OLD_KEY, KEPT_KEY]))
    for number in range(4):
        await lab.add_server(
            PlainServer(f"i-{number}a7f", "orderdesk-app", HALLS[number], lab.record)
        )
    await lab.start_gateways(ZONES)
    await asyncio.sleep(BOUNDS["contactMs"] / 1000 + 1)

    # The operator changes a time-out, and 0.8 s later revokes a key; between, links fall silent.
    lab.store.put("op", "config", config(7, [OLD_KEY, KEPT_KEY], timeout_ms=2500))
    lab.record.write("config version 7 acknowledged (a time-out changed)")
    await asyncio.sleep(0.4)
    watching = set(lab.store.watching)
    cut = [each for each in lab.gateways if each.store_link.ports & watching][:CUT_GATEWAYS]
    lab.record.write(f"the store has {len(watching)} waiting calls for changes")
    if lab.trouble:
        for gateway in cut:
            gateway.store_link.cut()
            lab.record.write(f"{gateway.name} is partitioned from the store, without a reset")
    await asyncio.sleep(0.4)
    lab.store.put("op", "config", config(12, [KEPT_KEY]))
    acked_at = time.monotonic()
    lab.record.write("config version 12 acknowledged (a key revoked)")
    calm = [each for each in lab.gateways if each not in cut]
    heal = asyncio.create_task(heal_later(lab, cut, CUT_S - 0.4))
    late = await asyncio.gather(*(probe(lab, each, acked_at, CUT_S) for each in calm))
    await heal
    lab.record.write(
        f"requests sent later than configApplyMs after the acknowledgement that ran with the "
        f"revoked key: {sum(late)}, at {sum(1 for each in late if each)} of {len(calm)} gateways "
        "that reached the store all the time"
    )
    return sum(late) > 0


async def heal_later(lab: Lab, cut: list[Gateway], after_s: float) -> None:
    """End the partition."""
    await asyncio.sleep(after_s)
    for gateway in cut:
        gateway.store_link.heal()
    if lab.trouble:
        lab.record.write("the partition ends")


async def probe(lab: Lab, gateway: Gateway, acked_at: float, for_s: float) -> int:
    """Send requests with the revoked key; return how many ran that were sent too late for that."""
    broken = 0
    number = 0
    while (sent_after_s := time.monotonic() - acked_at) < for_s:
        number += 1
        name = f"{gateway.name}-{number}"
        headers = {
            "Request-Id": name,
            "Authorization": f"Bearer {OLD_KEY}",
            "Deadline-Ms": "3000",
        }
        answer = await call(gateway.front, "GET", "/status/1", headers)
        late = sent_after_s > BOUNDS["configApplyMs"] / 1000
        ran = any(request == name for server in lab.servers for _, request in server.runs)
        lab.record.write(
            f"{name} sent {sent_after_s * 1000:.0f} ms after the acknowledgement with the revoked "
            f"key: {answer.status}{', ran' if ran else ''}{' TOO LATE' if late and ran else ''}"
        )
        broken += late and ran
        await asyncio.sleep(PROBE_INTERVAL_S)
    return broken


if __name__ == "__main__":
    exit_with(run_case(FOLDER, case))
