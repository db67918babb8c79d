"""Unexpected errors end one piece of work only, and each is logged and counted."""

import unittest

import logbook

from moledale.faults import MAX_TEXT_CHARS, REPEAT_INTERVAL_S, FaultLog
from moledale.log import Event


def fail(text: str) -> Exception:
    try:
        raise ValueError(text)
    except ValueError as error:
        return error


class FaultLogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        self.log = FaultLog(lambda: self.now)
        self.handler = logbook.TestHandler()
        self.enterContext(self.handler.applicationbound())

    def lines(self) -> list[str]:
        return [record.message for record in self.handler.records]

    def test_error_that_repeats_fills_no_log_and_each_one_counts(self) -> None:
        for number in range(1_000):
            self.log.record(Event.UNEXPECTED_ERROR, "task", fail(f"value {number}"))
        self.assertEqual((len(self.lines()), self.log.total), (1, 1_000))
        self.now += REPEAT_INTERVAL_S
        self.log.record(Event.UNEXPECTED_ERROR, "task", fail("again"))
        self.assertEqual(len(self.lines()), 2)
        self.assertIn('"unlogged":999', self.lines()[1])

    def test_line_names_task_error_and_place_and_is_bounded(self) -> None:
        self.log.record(Event.UNEXPECTED_ERROR, "task", fail("x" * 100_000))
        self.log.record(Event.UNEXPECTED_ERROR, "other task", fail("short"))
        self.assertLess(len(self.lines()[0]), MAX_TEXT_CHARS + 200)
        self.assertRegex(self.lines()[1], r'E113 .*"task":"other task".*short.*test_faults\.fail:')

    def test_error_without_a_traceback_is_logged(self) -> None:
        self.log.record(Event.UNEXPECTED_ERROR, "task", ValueError("never raised"))
        self.log.record(Event.UNEXPECTED_ERROR, "task", None, "no error at all")
        self.assertEqual(len(self.lines()), 2)


if __name__ == "__main__":
    unittest.main()
