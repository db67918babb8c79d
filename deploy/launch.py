"""Starts a node from the source tree of this file, so that no installed copy can go stale."""

import os
import signal
import sys
from pathlib import Path

# A SIGHUP during the imports would terminate the process, since its handler isn't installed yet.
# Ignoring it loses no reload: the settings are read only after this line.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# A stop during the imports is in order, as nothing is served yet.
for number in (signal.SIGTERM, signal.SIGINT):
    signal.signal(number, lambda *_: os._exit(0))

# A socket would get the number of a closed standard stream, and then what is written to that.
for descriptor in range(3):
    try:
        os.fstat(descriptor)
    except OSError:
        os.open(os.devnull, os.O_RDWR)

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from moledale.platform.start import main  # noqa: E402  SIGHUP has to be ignored first

sys.exit(main())
