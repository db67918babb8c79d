"""Final responses of a node's own: reasons and retry delays for callers."""

import random
import re
from collections import Counter
from collections.abc import Callable

import msgspec

from moledale.gateway.admission import add_jitter
from moledale.gateway.balance import LoadBalancer
from moledale.gateway.dialect import Dialect
from moledale.gateway.job import Attempt, AttemptOutcome, Job
from moledale.gateway.messages import InboundRequest, Refusal
from moledale.gateway.relay import UNREACHABLE_HEADER
from moledale.gateway.reply import Reply
from moledale.gateway.turns import RetryScheduler
from moledale.log import Event, emit

NO_SERVER_RETRY_S = 0.6
"""Retry delay when no server accepts a connection: a silent server is retried after 0.5 s."""

NOT_RUN_RETRY_S = 0.3
"""Retry delay when servers were full: a few response times of a plain service."""

NO_SERVER = "no server is there"
NO_CONNECTION = "no connection"
ALL_BACK_OFF = "all servers asked for a later retry"
ALL_FULL = "all servers are full"
ALL_LIMITED = "all servers are at their limits"
"""Reasons sent to callers when no server could be sent the request."""

MAX_REFUSAL_REASONS = 32
"""Reasons that are counted separately; there are about 20. It bounds the memory and the page of
metrics, since the status of a server's answer may be part of a reason."""

OTHER_REASONS = "others"
"""Reason under which refusals are counted beyond `MAX_REFUSAL_REASONS`."""

BAD_REQUEST = "bad request"
"""Reason under which all invalid requests are counted, so that they can't displace others."""


class RefusalCounts(msgspec.Struct):
    """Numbers of refusals by status and reason, for a bounded number of reasons."""

    counts: Counter[tuple[int, str]] = msgspec.field(default_factory=Counter)

    def add(self, refusal: Refusal) -> None:
        """Count a refusal."""
        reason = BAD_REQUEST if refusal.status == 400 else refusal.reason
        key = (refusal.status, _label(reason))
        if key not in self.counts and len(self.counts) >= MAX_REFUSAL_REASONS:
            key = (0, OTHER_REASONS)
        self.counts[key] += 1

    def metrics(self) -> dict[str, int]:
        """Return the counts by metric name with labels."""
        return {
            f'refusals_total{{status="{status}",reason="{reason}"}}': count
            for (status, reason), count in sorted(self.counts.items())
        }


def _label(reason: str) -> str:
    """Return a reason as the value of a label, which needs no escapes."""
    return re.sub(r"[^a-z0-9]+", "_", reason.lower()).strip("_")


class Refusals:
    """Sends refusals, and determines their reasons and retry delays."""

    def __init__(
        self,
        dialect: Dialect,
        balancer: LoadBalancer,
        retry_scheduler: RetryScheduler,
        now: Callable[[], float],
    ) -> None:
        self._dialect = dialect
        self._balancer = balancer
        self._retry_scheduler = retry_scheduler
        self._now = now
        self._rng = random.Random()
        self.counts = RefusalCounts()

    def no_server_attempt(self, job: Job) -> Attempt:
        """Return the attempt of a request that got no server, with the reason."""
        group = self._balancer.group(job.service)
        if group.has_full_servers:
            return Attempt(AttemptOutcome.NOT_SENT, why=ALL_FULL, retry_after_s=NOT_RUN_RETRY_S)
        if not self.wait_s(job):
            return Attempt(AttemptOutcome.NOT_SENT, why=NO_SERVER)
        why = ALL_LIMITED if group.limited.names else ALL_BACK_OFF
        return Attempt(AttemptOutcome.NOT_SENT, why=why)

    def not_run_refusal(self, job: Job, last: Attempt) -> Refusal:
        """Return the refusal of a request that no server ran."""
        retry_s = add_jitter(self._rng, self._retry_after_s(job, last))
        unreachable = last.outcome is AttemptOutcome.NOT_SENT and last.why == NO_CONNECTION
        return Refusal(503, last.why, retry_s, unreachable=unreachable)

    def _retry_after_s(self, job: Job, last: Attempt) -> float:
        """Return the delay after which a caller may retry.

        A retry time stated by a server applies to that server only: if another may take the request
        sooner, its time counts.
        """
        if last.retry_after_s is not None:
            return last.retry_after_s
        wait_s = self.wait_s(job)
        if wait_s is None:
            return NO_SERVER_RETRY_S
        limit_per_s = self._balancer.group(job.service).limited.total_per_s()
        if wait_s > 0 and limit_per_s:
            return self._retry_scheduler.next_retry_s(job.service, wait_s, limit_per_s)
        usual_s = NO_SERVER_RETRY_S if last.outcome is AttemptOutcome.NOT_SENT else NOT_RUN_RETRY_S
        return wait_s if wait_s > 0 else usual_s

    def wait_s(self, job: Job) -> float | None:
        """Return the seconds until any server of the service is open, None if it has no server."""
        return self._balancer.group(job.service).retry_in_s(self._now())

    def refuse(
        self,
        reply: Reply,
        request: InboundRequest,
        refusal: Refusal,
        request_id: str = "",
        account: str | None = "",
    ) -> None:
        """Log and count a refusal, and send it as the final response.

        `account` is None for a caller without one, and "" if it is not known.
        """
        self.counts.add(refusal)
        emit(
            Event.REFUSED,
            request=request_id,
            account=account,
            status=refusal.status,
            why=refusal.reason,
            again_s=refusal.retry_after_s,
            held_ms=round((self._now() - request.arrived_at) * 1000),
        )
        body = b'{"error":"%s"}' % refusal.reason.encode()
        headers = self._dialect.refusal_headers(request_id, refusal.retry_after_s)
        if refusal.unreachable and request.relayed:
            headers.append((UNREACHABLE_HEADER, b"1"))
        reply.send_whole(refusal.status, headers, body)
