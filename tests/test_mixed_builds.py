"""`tools.mixed_builds`: which build each node runs, and the launcher that selects its sources."""

import tempfile
import unittest
from pathlib import Path
from unittest import mock

from moledale.platform.start import SETTINGS_VARIABLE
from tools.mixed_builds import ROOT, mixed_launcher, runs_earlier_build

NAMES = [f"front-hall-{hall}-{number}" for hall in "abcd" for number in range(25)]


class LauncherTest(unittest.TestCase):
    def selected_sources(self, text: str, name: str) -> Path:
        """Run the part of a launcher that selects the sources, for the node with this name."""
        with tempfile.TemporaryDirectory() as folder:
            settings = Path(folder) / "settings.toml"
            settings.write_text(f'[node]\nid = "{name}"\nhall = "a"\n', "utf-8")
            scope: dict[str, object] = {"__file__": str(ROOT / "deploy" / "launch.py")}
            with mock.patch.dict("os.environ", {SETTINGS_VARIABLE: str(settings)}):
                exec("from pathlib import Path\n" + text.partition("sys.path.insert")[0], scope)
                return Path(scope["sources"]())  # type: ignore[operator]

    def test_each_build_runs_on_about_half_of_the_nodes(self) -> None:
        earlier = sum(runs_earlier_build(name) for name in NAMES)
        self.assertGreater(earlier, 30)
        self.assertLess(earlier, 70)

    def test_launcher_selects_the_build_by_the_name_in_the_settings(self) -> None:
        text = mixed_launcher((ROOT / "deploy" / "launch.py").read_text("utf-8"))
        compile(text, "launch.py", "exec")
        for name in NAMES[:8]:
            expected = ROOT / "former" / "src" if runs_earlier_build(name) else ROOT / "src"
            self.assertEqual(self.selected_sources(text, name), expected)

    def test_changed_launcher_is_an_error(self) -> None:
        with self.assertRaises(ValueError):
            mixed_launcher("import sys\n")
