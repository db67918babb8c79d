"""Tests of log lines with values that can't be encoded."""

import json
import unittest

import logbook

from moledale.log import Event, emit


class Unprintable:
    def __str__(self) -> str:
        raise RuntimeError("no text")


def nested(depth: int) -> list[object]:
    """Return lists that are nested this deeply."""
    value: list[object] = []
    for _ in range(depth):
        value = [value]
    return value


class LogLinesTest(unittest.TestCase):
    """A log line must never make the decision fail that it reports."""

    def test_values_that_cannot_be_encoded_are_named(self) -> None:
        for value in (
            "\ud800",
            10**5_000,
            nested(5_000),
            Unprintable(),
            {"x": Unprintable()},
        ):
            with (
                self.subTest(type(value).__name__),
                logbook.TestHandler().applicationbound() as log,
            ):
                emit(Event.SERVED, request="r1", value=value)
                text = log.records[0].message.split(" ", 2)[2]
                fields = json.loads(text)
                self.assertEqual(fields["request"], "r1")
                self.assertIn("Error", fields["value"])

    def test_numbers_beyond_64_bits_are_logged(self) -> None:
        with logbook.TestHandler().applicationbound() as log:
            emit(Event.SERVED, low=-(2**70), high=2**70, none=float("nan"))
        self.assertIn(f'"low":{-(2**70)},"high":{2**70},"none":null', log.records[0].message)


if __name__ == "__main__":
    unittest.main()
