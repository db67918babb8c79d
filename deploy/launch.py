"""Starts a node from the sources beside this file, so that no copy of them can go stale."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from moledale.platform.start import main

sys.exit(main())
