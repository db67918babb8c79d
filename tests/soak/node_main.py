"""The product's own start with a time of day that steps: SIGUSR1 reads the step from a file.

A thread notes when the process did not run, and what it and the machine did meanwhile.
"""

import json
import os
import runpy
import signal
import threading
import time
from pathlib import Path

LAUNCHER = Path(__file__).resolve().parents[2] / "deploy" / "launch.py"
LOOK_S = 0.05
STALL_S = 0.5
NANOSECONDS = 1e9

_true_time = time.time
_step_s = 0.0


def _stepped_time() -> float:
    return _true_time() + _step_s


def _read_step(*_: object) -> None:
    global _step_s
    _step_s = float(Path(os.environ["SOAK_STEP_FILE"]).read_text("ascii"))


def _waited_s(thread: str) -> float:
    """Return how long a thread was ready to run and had no CPU (Linux `schedstat`)."""
    return int(Path(f"/proc/{thread}/schedstat").read_text("ascii").split()[1]) / NANOSECONDS


def _stolen_s() -> float:
    """Return how long all CPUs together were away with the host (Linux `/proc/stat`)."""
    ticks = int(Path("/proc/stat").read_text("ascii").split("\n", 1)[0].split()[8])
    return ticks / os.sysconf("SC_CLK_TCK")


def _spent() -> dict[str, float]:
    """Return what this process and the machine spent so far, in seconds.

    The first thread counts as well as this one, which can't go on without its lock.
    """
    return {
        "cpu_s": time.process_time(),
        "waited_s": _waited_s("thread-self"),
        "first_thread_waited_s": _waited_s("self"),
        "stolen_s": _stolen_s(),
    }


def _note(what: str, began: float, **more: float) -> None:
    now = time.monotonic()
    line = json.dumps({"what": what, "began": began, "ended": now, **more})
    with Path(os.environ["SOAK_STALL_FILE"]).open("a") as file:
        file.write(f"{line}\n")


def _watch_stalls() -> None:
    seen, before = time.monotonic(), _spent()
    while True:
        time.sleep(LOOK_S)
        now, after = time.monotonic(), _spent()
        spent = {name: after[name] - before[name] for name in after}
        # The first thread may have no CPU while this one has.
        late_s = max(now - seen, spent["first_thread_waited_s"])
        if late_s > STALL_S:
            _note("did not run", now - late_s, **spent)
        seen, before = now, after


time.time = _stepped_time
signal.signal(signal.SIGUSR1, _read_step)
if "SOAK_STALL_FILE" in os.environ:
    threading.Thread(target=_watch_stalls, daemon=True).start()
try:
    runpy.run_path(str(LAUNCHER), run_name="__main__")
finally:
    if "SOAK_STALL_FILE" in os.environ:
        _note("left its program", time.monotonic())
