"""`tools.where_lost`: causes and times of lost requests, from logs."""

import tempfile
import unittest
from pathlib import Path

from tools.where_lost import Cause, plot, read_lines, summarize_losses, tables

LOG = [
    'noise before any event',
    '-3.1 front-1 1000000000.000 E420 servers_changed {"there":3,"spot":2}',
    ' 2.0 front-1 1000000002.000 E416 served {"route":"r1","status":200,"first_ms":90,'
    '"target_ms":100,"pause_ms":10,"gap_ms":250,"ms":1500,"server":"s1"}',
    ' 2.1 front-1 1000000002.100 E416 served {"route":"r1","status":200,"first_ms":190,'
    '"target_ms":100,"pause_ms":10,"gap_ms":250,"ms":100,"server":"s2"}',
    ' 4.2 front-2 1000000004.200 E416 served {"route":"r1","status":200,"first_ms":50,'
    '"target_ms":100,"pause_ms":400,"gap_ms":250,"ms":100,"server":"s2"}',
    ' 4.3 front-2 1000000004.300 E416 served {"route":"r2","status":500,"ms":3,"server":"s3"}',
    ' 4.4 front-2 1000000004.400 E410 refused {"status":503,"why":"no server is there"}',
    ' 4.5 front-2 1000000004.500 E413 stream_broken {"request":"x"}',
    ' 4.6 front-2 1000000004.600 E416 served {not json}',
]  # fmt: skip


class WhereLostTest(unittest.TestCase):
    def test_losses_are_counted_at_the_arrival_of_requests(self) -> None:
        report = summarize_losses(read_lines(LOG), 2.0)
        self.assertEqual(report.slices[0].served, 1)
        self.assertEqual(report.slices[1].lost, {Cause.LATE: 1})
        self.assertEqual(
            report.slices[2].lost,
            {Cause.PAUSED: 1, Cause.FAILED: 1, Cause.REFUSED: 1, Cause.CUT: 1},
        )
        self.assertEqual(report.slices[0].servers_in_use, {"s1"})
        self.assertEqual(report.slices[1].servers_in_use, {"s2"})

    def test_tables_and_plot_show_each_time_step(self) -> None:
        report = summarize_losses(read_lines(LOG), 2.0)
        self.assertIn("r1 | 1 | 0 | 0 | 1 | 1 | 0 | 0", tables(report))
        self.assertIn("4 | 0 | 0 | 1 | 0 | 1 | 1 | 1 | 2 | 3", tables(report))
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "plot.png"
            plot(report, file)
            self.assertGreater(file.stat().st_size, 1_000)


if __name__ == "__main__":
    unittest.main()
