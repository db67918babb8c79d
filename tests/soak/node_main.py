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


def _waited_s() -> float:
    """Return how long the first thread was ready to run and had no CPU (Linux `schedstat`)."""
    return int(Path("/proc/self/schedstat").read_text("ascii").split()[1]) / NANOSECONDS


def _stolen_s() -> float:
    """Return how long all CPUs together were away with the host (Linux `/proc/stat`)."""
    ticks = int(Path("/proc/stat").read_text("ascii").split("\n", 1)[0].split()[8])
    return ticks / os.sysconf("SC_CLK_TCK")


def _note(what: str, began: float, **more: float) -> None:
    now = time.monotonic()
    line = json.dumps({"what": what, "began": began, "ended": now, **more})
    with Path(os.environ["SOAK_STALL_FILE"]).open("a") as file:
        file.write(f"{line}\n")


def _watch_stalls() -> None:
    seen, cpu, waited, stolen = time.monotonic(), time.process_time(), _waited_s(), _stolen_s()
    while True:
        time.sleep(LOOK_S)
        now = time.monotonic()
        after = time.process_time(), _waited_s(), _stolen_s()
        if now - seen > STALL_S:
            spent = {
                "cpu_s": after[0] - cpu,
                "waited_s": after[1] - waited,
                "stolen_s": after[2] - stolen,
            }
            _note("did not run", seen, **spent)
        seen = now
        cpu, waited, stolen = after


time.time = _stepped_time
signal.signal(signal.SIGUSR1, _read_step)
if "SOAK_STALL_FILE" in os.environ:
    threading.Thread(target=_watch_stalls, daemon=True).start()
try:
    runpy.run_path(str(LAUNCHER), run_name="__main__")
finally:
    if "SOAK_STALL_FILE" in os.environ:
        _note("left its program", time.monotonic())
