"""`moledale explain` on the logs of nodes; the operations page names only existing events."""

import contextlib
import io
import re
import tempfile
import unittest
from pathlib import Path

from moledale.log import Event
from moledale.ui.cli import main
from moledale.ui.explain_command import read_lines, select_events

ROOT = Path(__file__).resolve().parent.parent
LOG = """\
90.000 E100 starting {"node":"n1","life":1}
100.100 E420 servers_changed {"version":3,"there":2,"spot":0,"leaving":[]}
101.000 E411 connect_failed {"request":"r1","server":"s1","why":"refused"}
101.000 E411 connect_failed {"request":"r2","server":"s1","why":"refused"}
101.200 E417 evacuation {"server":"s1","streams":1,"to_move":1,"left_s":2.0}
101.500 E410 refused {"request":"r1","status":503,"why":"no connection","held_ms":510}
109.000 E104 draining {"node":"n1"}
something else
"""


class ExplainTest(unittest.TestCase):
    def test_events_of_one_request(self) -> None:
        events = select_events(read_lines("file", LOG.splitlines()), "r1")
        self.assertEqual([line.number for line in events], [420, 411, 417, 410])
        self.assertEqual({line.node for line in events}, {"n1"})

    def test_lines_of_several_nodes_in_one_file(self) -> None:
        text = '  1.5 front-b-2 55.250 E104 draining {"node":"x"}'
        line = next(read_lines("file", [text]))
        self.assertEqual((line.node, line.time, line.number), ("front-b-2", 55.25, 104))

    def test_command(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "n1.log"
            path.write_text(LOG, "utf-8")
            out = io.StringIO()
            with contextlib.redirect_stdout(out):
                self.assertEqual(main(["explain", "r1", str(path)]), 0)
            self.assertIn("E410: refused status=503", out.getvalue())
            with contextlib.redirect_stderr(io.StringIO()):
                self.assertEqual(main(["explain", "r9", str(path)]), 1)
                self.assertEqual(main(["explain", "r1", str(path) + "x"]), 1)

    def test_operations_page_names_events_that_exist(self) -> None:
        page = (ROOT / "docs" / "OPERATIONS.md").read_text("utf-8")
        numbers = {str(event.value.number) for event in Event}
        named = set(re.findall(r"\bE(\d{3})\b", page))
        self.assertTrue(named)
        self.assertLessEqual(named, numbers)


if __name__ == "__main__":
    unittest.main()
