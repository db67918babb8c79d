"""Log lines of a request's attempts: the one that served it, and those without a response."""

from moledale.gateway.job import Attempt, AttemptOutcome, Job
from moledale.gateway.server_view import Placement
from moledale.log import Event, emit


def log_served(job: Job, placement: Placement, attempt: Attempt, now: float) -> None:
    """Log a request whose caller got the response of a server."""
    first_at = placement.first_at or now
    emit(
        Event.SERVED,
        request=job.facts.id,
        route=job.route.name,
        account=job.caller.account,
        server=placement.view.server.id,
        version=placement.view.server.version,
        resumes=job.facts.resumes,
        parts=job.facts.logged_parts,
        sends=job.sends,
        status=job.reply.status,
        tokens=job.facts.prompt_tokens,
        uncached=placement.uncached,
        fetched=placement.fetched,
        ahead=placement.queued_ahead,
        beside=placement.concurrent,
        first_ms=round((first_at - job.request.arrived_at) * 1000),
        target_ms=round(job.route.target_s * 1000),
        pause_ms=round(job.longest_pause_s * 1000),
        gap_ms=round(job.route.gap_s * 1000),
        ms=round((now - job.request.arrived_at) * 1000),
        framing=attempt.framing,
        leaving=attempt.statement.leaving,
        server_limit=attempt.statement.limit_per_s,
    )


def log_unanswered(job: Job, placement: Placement, attempt: Attempt, now: float) -> None:
    """Log a send without a usable response.

    If the response broke off, the line includes the request's fingerprint. The parts of the prompt
    tell what broken-off requests have in common.
    """
    broken = attempt.outcome is AttemptOutcome.BROKEN
    emit(
        Event.ATTEMPT_ENDED,
        request=job.facts.id,
        fingerprint=job.fingerprint.hex() if broken else "",
        route=job.route.name,
        account=job.caller.account,
        server=placement.view.server.id,
        version=placement.view.server.version,
        resumes=job.facts.resumes,
        parts=job.facts.logged_parts,
        sends=job.sends,
        ending=attempt.outcome.value,
        why=attempt.why,
        ms=round((now - placement.sent_at) * 1000),
        framing=attempt.framing,
        partial_bytes=attempt.partial_bytes,
        leaving=attempt.statement.leaving,
        server_again_s=attempt.statement.retry_after_s,
        server_limit=attempt.statement.limit_per_s,
    )
