"""Binds streams to the software version that began them, the only one at which they may go on."""

from collections.abc import Callable

from moledale.gateway.balance import LoadBalancer
from moledale.gateway.job import Job
from moledale.gateway.messages import Refusal
from moledale.gateway.plan import Kind
from moledale.streams.origins import StreamOrigins

UNKNOWN_ORIGIN = "it is not known which version began the stream"
VERSION_GONE = "no server runs the version that began the stream"

UNKNOWN_ORIGIN_RETRY_S = 0.2
"""Retry delay while a node that may know the version did not answer."""


class StreamBinding:
    """Finds and records the versions of streams; `origins` knows those of all nodes.

    `may_begin` returns whether streams of a service may begin at a version.
    """

    def __init__(
        self,
        origins: StreamOrigins,
        balancer: LoadBalancer,
        may_begin: Callable[[str, str], bool],
    ) -> None:
        self._origins = origins
        self._balancer = balancer
        self._may_begin = may_begin

    async def bind_resumed(self, job: Job) -> Refusal | None:
        """Bind a stream that its caller resumes to the version that began it.

        Return a refusal if that is not known or only other versions have servers. A service without
        any server may get some of that version again.
        """
        if job.route.kind is not Kind.STREAM or not job.facts.resumed:
            return None
        origin = await self._origins.find(job.facts.resumes, job.service)
        job.version = origin.version
        if origin.version is None:
            retry_s = UNKNOWN_ORIGIN_RETRY_S if origin.retry else None
            return Refusal(503, UNKNOWN_ORIGIN, retry_s)
        if self._balancer.group(job.service).has_only_other_versions(origin.version):
            return Refusal(503, VERSION_GONE)
        return None

    def record_begun(self, job: Job) -> None:
        """Record the version that began a stream."""
        if job.version is not None:
            self._origins.record(job.facts.id, job.service, job.version)

    def closed_servers(self, job: Job) -> frozenset[str]:
        """Return the servers that a request may not go to because of their version."""
        if job.version is not None:
            return self._balancer.other_versions(job.service, job.version)
        if job.route.kind is not Kind.STREAM:
            return frozenset()
        return self._balancer.servers_of_versions(
            job.service,
            {
                version
                for version in self._balancer.versions.listed(job.service)
                if not self._may_begin(job.service, version)
            },
        )
