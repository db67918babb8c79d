"""Runs the fault matrix: fails if a fault breaks a scenario or a scenario misses its step."""

import unittest

from tests.matrix import FAULTS, STEPS, run_matrix


class MatrixTest(unittest.TestCase):
    def test_every_cell_is_proved(self) -> None:
        found = run_matrix()
        self.assertEqual(len(found), len(STEPS) * len(FAULTS))
        for (step, fault), cell in found.items():
            with self.subTest(step=step, fault=fault):
                self.assertEqual(cell.verdict, "proved", cell.reason)


if __name__ == "__main__":
    unittest.main()
