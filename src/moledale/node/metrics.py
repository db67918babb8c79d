"""Metrics sent to statsd, or dropped if no statsd address is set."""

from typing import Protocol

import statsd

from moledale.settings import MetricsSection


class Metrics(Protocol):
    """Interface for reporting counters, timers and gauges."""

    def incr(self, name: str, count: int = 1) -> None:
        """Increment a counter."""
        ...

    def timing(self, name: str, milliseconds: float) -> None:
        """Report a duration in milliseconds."""
        ...

    def gauge(self, name: str, value: float) -> None:
        """Report the current value of a gauge."""
        ...


class NoMetrics:
    """Drops all metrics."""

    def incr(self, name: str, count: int = 1) -> None:
        """Increment a counter."""

    def timing(self, name: str, milliseconds: float) -> None:
        """Report a duration in milliseconds."""

    def gauge(self, name: str, value: float) -> None:
        """Report the current value of a gauge."""


def make_metrics(section: MetricsSection) -> Metrics:
    """Return a statsd client, or a no-op if no address is set."""
    if section.statsd is None:
        return NoMetrics()
    host, port = section.statsd.rsplit(":", 1)
    client: Metrics = statsd.StatsClient(host.strip("[]"), int(port), prefix=section.prefix)
    return client
