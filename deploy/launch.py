"""Starts a node from the source tree of this file, so that no installed copy can go stale."""

import signal
import sys
from pathlib import Path

# A SIGHUP during the imports would terminate the process, since its handler isn't installed yet.
# Ignoring it loses no reload: the settings are read only after this line.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from moledale.platform.start import main  # noqa: E402  SIGHUP has to be ignored first

sys.exit(main())
