"""Final responses to requests that no server answered: a refusal, a kept failure, or an abort."""

from moledale.gateway.admission import BLOCKED_REASON
from moledale.gateway.answers import AnswerReader
from moledale.gateway.job import Attempt, Job
from moledale.gateway.job_charges import JobCharges
from moledale.gateway.messages import Refusal
from moledale.gateway.refusals import NOT_RUN_RETRY_S, Refusals
from moledale.log import Event, emit


class FinalResponses:
    """Ends requests without the response of a server.

    What the caller has of a response is ended visibly incomplete.
    """

    def __init__(self, refusals: Refusals, answers: AnswerReader, charges: JobCharges) -> None:
        self._refusals = refusals
        self._answers = answers
        self._charges = charges

    async def end_blocked(self, job: Job, last: Attempt, blocked_s: float) -> None:
        """Reject a request that was blocked after it was accepted."""
        if job.may_have_run or job.reply.started:
            await self.end_without_answer(job, last)
        else:
            self.give_up(job, Refusal(503, BLOCKED_REASON, blocked_s))

    async def end_without_answer(self, job: Job, last: Attempt) -> None:
        """Send the final response at once: a server's failure, or a refusal of this node."""
        if job.reply.started:
            job.reply.abort()
            emit(
                Event.STREAM_BROKEN,
                request=job.facts.id,
                account=job.caller.account,
                events=job.splitter.event_count,
                why=last.why,
            )
        elif last.head is not None:
            await self._answers.relay(job, last.head, last.body)
        elif job.may_have_run:
            self.give_up(job, Refusal(502, "the server broke off"))
        else:
            self.give_up(job, self._refusals.not_run_refusal(job, last))

    def give_up(self, job: Job, refusal: Refusal) -> None:
        """Refuse a request, or abort the response that its caller has a part of."""
        if job.reply.started:
            if not job.reply.complete:
                job.reply.abort()
                emit(
                    Event.STREAM_BROKEN,
                    request=job.facts.id,
                    account=job.caller.account,
                    why=refusal.reason,
                )
            return
        if not job.was_sent and refusal.status == 504:
            refusal = Refusal(503, refusal.reason, NOT_RUN_RETRY_S)
        if refusal.status == 503:
            self._charges.refund(job)
        self._refusals.refuse(job.reply, job.request, refusal, job.facts.id, job.caller.account)
