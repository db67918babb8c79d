"""Starts a node through its launcher, with a wall clock that the soak can step.

On SIGUSR1 the step is read from the file `SOAK_STEP_FILE`. If `SOAK_STALL_FILE` is set, a thread
records there each span in which the process did not run, with the CPU time of the process and the
machine in that span. With `SOAK_GOSSIP_PORT` the node binds that port for its datagrams, so that
the soak can take the one in its settings and forward or drop what comes there.
"""

import json
import os
import runpy
import signal
import threading
import time
from pathlib import Path
from typing import Any

import uvloop

LAUNCHER = Path(__file__).resolve().parents[2] / "deploy" / "launch.py"
POLL_INTERVAL_S = 0.05
MIN_STALL_S = 0.5
NANOSECONDS_PER_S = 1e9

_real_time = time.time
_step_s = 0.0


def _stepped_time() -> float:
    return _real_time() + _step_s


def _read_step(*_: object) -> None:
    global _step_s
    _step_s = float(Path(os.environ["SOAK_STEP_FILE"]).read_text("ascii"))


def _runqueue_wait_s(thread: str) -> float:
    """Return how long a thread has been runnable without a CPU (Linux `schedstat`)."""
    return int(Path(f"/proc/{thread}/schedstat").read_text("ascii").split()[1]) / NANOSECONDS_PER_S


def _steal_time_s() -> float:
    """Return the steal time of all CPUs together (Linux `/proc/stat`)."""
    ticks = int(Path("/proc/stat").read_text("ascii").split("\n", 1)[0].split()[8])
    return ticks / os.sysconf("SC_CLK_TCK")


def _sample_usage() -> dict[str, float]:
    """Return cumulative CPU, run queue wait and steal times in seconds.

    The main thread is sampled as well as this one, which can't run while that one holds the GIL.
    """
    return {
        "cpu_s": time.process_time(),
        "waited_s": _runqueue_wait_s("thread-self"),
        "first_thread_waited_s": _runqueue_wait_s("self"),
        "stolen_s": _steal_time_s(),
    }


def _record_span(what: str, began: float, **more: float) -> None:
    now = time.monotonic()
    line = json.dumps({"what": what, "began": began, "ended": now, **more})
    with Path(os.environ["SOAK_STALL_FILE"]).open("a") as file:
        file.write(f"{line}\n")


def _watch_stalls() -> None:
    last_at, before = time.monotonic(), _sample_usage()
    while True:
        time.sleep(POLL_INTERVAL_S)
        now, after = time.monotonic(), _sample_usage()
        used = {name: after[name] - before[name] for name in after}
        # The main thread may have been without a CPU while this one had one.
        late_s = max(now - last_at, used["first_thread_waited_s"])
        if late_s > MIN_STALL_S:
            _record_span("did not run", now - late_s, **used)
        last_at, before = now, after


def _bind_gossip_port(port: int) -> None:
    create = uvloop.Loop.create_datagram_endpoint

    async def create_at_port(
        loop: uvloop.Loop, factory: Any, local_addr: tuple[str, int], **more: Any
    ) -> Any:
        return await create(loop, factory, local_addr=(local_addr[0], port), **more)

    uvloop.Loop.create_datagram_endpoint = create_at_port


time.time = _stepped_time
if "SOAK_GOSSIP_PORT" in os.environ:
    _bind_gossip_port(int(os.environ["SOAK_GOSSIP_PORT"]))
signal.signal(signal.SIGUSR1, _read_step)
if "SOAK_STALL_FILE" in os.environ:
    threading.Thread(target=_watch_stalls, daemon=True).start()
try:
    runpy.run_path(str(LAUNCHER), run_name="__main__")
finally:
    if "SOAK_STALL_FILE" in os.environ:
        _record_span("left its program", time.monotonic())
