"""Starts a node from the sources beside this file, so that no copy of them can go stale."""

import signal
import sys
from pathlib import Path

# A reload that comes while the program is still being imported would end the process: the settings
# are read after this line in any case.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from moledale.platform.start import main  # noqa: E402  the signal comes first

sys.exit(main())
