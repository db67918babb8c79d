"""Endpoints for callers: generations, streams, jobs, services, keys and addresses."""

from collections.abc import Awaitable, Callable

import msgspec
from result import Err, Ok, Result
from starlette.requests import Request
from starlette.responses import RedirectResponse, Response, StreamingResponse
from starlette.routing import Route

from moledale import problems
from moledale.bundle.schema import Account
from moledale.decoding import decode_json
from moledale.edge import sse
from moledale.edge.answers import JSON_MEDIA_TYPE, json_response, problem_response
from moledale.edge.requests import (
    IDEMPOTENCY_KEY_HEADER,
    SESSION_HEADER,
    ParsedGeneration,
    authenticate,
    parse_generation,
    read_body,
)
from moledale.http_fields import parse_decimal
from moledale.node.jobs import JobState, JobStatus, keyed_job_id, new_job_id
from moledale.node.node import Node, OnceWork
from moledale.node.once import OnceCall, fingerprint
from moledale.node.streams import GenerationRequest, StreamRecord
from moledale.problems import Problem
from moledale.servers.types import ServiceAnswer, ServiceCall

MAX_KEYS_PER_REQUEST = 100
"""Idempotency keys issued by one request."""

JOB_DEADLINE_S = 7 * 24 * 3600.0
"""Deadline of a job. A job must finish however late it is, so this only bounds how long its row can
exist."""

HOP_PARAMETER = "hop"
"""Query parameter that marks a request as already redirected by another node."""

# Headers of a call that are not passed on to a service: the caller's key, and those that apply to
# one connection or are set anew.
_UNFORWARDED_HEADERS = {
    "authorization",
    "host",
    "content-length",
    "connection",
    "transfer-encoding",
}

JobOperation = Callable[[str, str], Awaitable[Result[JobStatus, Problem]]]


class CallerApi:
    """The caller endpoints of one node."""

    def __init__(self, node: Node) -> None:
        self._node = node

    def routes(self) -> list[Route]:
        """Return the routes of the caller endpoints."""
        return [
            Route("/v1/completions", self.completions, methods=["POST"]),
            Route("/v1/chat/completions", self.chat_completions, methods=["POST"]),
            Route("/v1/streams/{id}", self.stream, methods=["GET"]),
            Route("/v1/streams/{id}", self.cancel_stream, methods=["DELETE"]),
            Route("/v1/jobs/{id}", self.job_status, methods=["GET"]),
            Route("/v1/jobs/{id}", self.cancel_job, methods=["DELETE"]),
            Route("/v1/jobs/{id}/result", self.job_result, methods=["GET"]),
            Route("/v1/idempotency-keys", self.issue_keys, methods=["POST"]),
            Route("/v1/addresses", self.addresses, methods=["GET"]),
            Route("/v1/models", self.models, methods=["GET"]),
            Route(
                "/v1/services/{name}/{path:path}",
                self.service,
                methods=["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"],
            ),
        ]

    # Generations

    async def completions(self, request: Request) -> Response:
        """Handle an OpenAI-style completion."""
        return await self._handle_generation(request, chat=False)

    async def chat_completions(self, request: Request) -> Response:
        """Handle an OpenAI-style chat completion."""
        return await self._handle_generation(request, chat=True)

    async def _handle_generation(self, request: Request, chat: bool) -> Response:
        """Handle a generation as a job, a stream or a complete answer, as the caller asks."""
        admitted = self._admit(request)
        if isinstance(admitted, Err):
            return problem_response(admitted.err_value)
        body = await read_body(request, self._node.settings.limits.body_bytes)
        if isinstance(body, Err):
            return problem_response(body.err_value)
        parsed = parse_generation(self._node, admitted.ok_value, request, body.ok_value, chat)
        if isinstance(parsed, Err):
            return problem_response(parsed.err_value)
        generation = parsed.ok_value
        if generation.respond_async:
            return await self._accept_job(generation)
        if generation.idempotency_key is not None:
            return await self._generate_once(generation, generation.idempotency_key)
        submitted = self._node.dispatcher.submit(generation.request)
        if isinstance(submitted, Err):
            return problem_response(submitted.err_value, generation.request.id)
        record = submitted.ok_value
        if generation.stream:
            return self._stream_response(record, 0)
        return await self._whole_response(record)

    async def _whole_response(self, record: StreamRecord) -> Response:
        """Wait for the end of a stream and return its complete answer."""
        await record.wait_ended()
        if record.problem is not None:
            return problem_response(record.problem, record.request.id)
        if record.successor is not None:
            url = f"http://{record.successor}/v1/streams/{record.request.id}?whole=true"
            return RedirectResponse(url, 303)
        return Response(_completion_body(record), media_type=JSON_MEDIA_TYPE)

    def _stream_response(self, record: StreamRecord, start: int) -> Response:
        headers = {"Cache-Control": "no-store", "Moledale-Request": record.request.id}
        return StreamingResponse(
            sse.events(record, start), headers=headers, media_type="text/event-stream"
        )

    async def _generate_once(self, generation: ParsedGeneration, key: str) -> Response:
        """Run a generation at most once for its idempotency key; it can't be streamed."""
        if generation.stream:
            detail = "Idempotency-Key goes with a whole answer or with respond-async"
            return problem_response(problems.bad_request(detail))
        request = generation.request
        content = [request.model, request.prompt, request.max_tokens, request.session]
        work = msgspec.json.encode(OnceWork(generation=request))
        digest = fingerprint(msgspec.json.encode(content))
        outcome = await self._node.once.run(OnceCall(request.account, key, digest, work))
        if isinstance(outcome, Err):
            return problem_response(outcome.err_value)
        return Response(
            _once_completion_body(request, outcome.ok_value), media_type=JSON_MEDIA_TYPE
        )

    async def stream(self, request: Request) -> Response:
        """Resume a stream after `Last-Event-ID`; with `whole=true` return the complete answer."""
        found = await self._find_stream(request)
        if isinstance(found, Err):
            return problem_response(found.err_value)
        if isinstance(found.ok_value, Response):
            return found.ok_value
        record = found.ok_value
        if request.query_params.get("whole") == "true":
            return await self._whole_response(record)
        last = request.headers.get("last-event-id")
        start = 0 if last is None else sse.resume_index(record.request.id, last)
        if start is None or start > len(record.tokens):
            detail = f"Last-Event-ID {last!r} is not an event of this stream"
            return problem_response(problems.bad_request(detail))
        return self._stream_response(record, start)

    async def cancel_stream(self, request: Request) -> Response:
        """Cancel a stream of the caller."""
        found = await self._find_stream(request)
        if isinstance(found, Err):
            return problem_response(found.err_value)
        if isinstance(found.ok_value, Response):
            return found.ok_value
        self._node.dispatcher.cancel(found.ok_value.request.id)
        return Response(status_code=204)

    async def _find_stream(self, request: Request) -> Result[StreamRecord | Response, Problem]:
        """Return the caller's stream, or a redirect to the node that should have it."""
        account = authenticate(self._node, request)
        if isinstance(account, Err):
            return account
        request_id = str(request.path_params["id"])
        record = self._node.streams.get(request_id)
        if record is not None and record.request.account != account.ok_value.name:
            record = None
        if record is None:
            address = self._likely_holder(request_id)
            if address is None or HOP_PARAMETER in request.query_params:
                return Err(_unknown_stream(request_id))
            return Ok(_redirect_to(address, request))
        if record.successor is not None:
            return Ok(_redirect_to(record.successor, request))
        return Ok(record)

    def _likely_holder(self, request_id: str) -> str | None:
        """Return the address of the node that should have a stream which this node lacks.

        That is the node that accepted it, or its first successor if that node is gone. None if it
        would be this node, or if there is no other.
        """
        node = self._node
        owner = node.fleet.nodes.get(request_id.split("_")[1] if "_" in request_id else "")
        if owner is not None:
            return None if owner.id == node.id else owner.address
        successors = node.successors(request_id)
        return successors[0].address if successors else None

    # Jobs

    async def _accept_job(self, generation: ParsedGeneration) -> Response:
        """Accept a generation as a job and return 202 with its location."""
        node = self._node
        request = msgspec.structs.replace(
            generation.request, deadline_at=node.clock.wall() + JOB_DEADLINE_S, repeatable=True
        )
        bundle = node.bundle()
        assert bundle is not None, "parse_generation rejects requests without a bundle"
        if generation.idempotency_key is None:
            job_id = new_job_id(node.settings.node.hall)
        else:
            halls = [hall.name for hall in bundle.halls]
            job_id = keyed_job_id(halls, request.account, generation.idempotency_key)
        keyed = generation.idempotency_key is not None
        accepted = await node.jobs.accept(request, job_id, keyed)
        if isinstance(accepted, Err):
            return problem_response(accepted.err_value)
        location = f"/v1/jobs/{accepted.ok_value}"
        headers = {"Location": location, "Preference-Applied": "respond-async"}
        return json_response({"id": accepted.ok_value, "state": "accepted"}, 202, headers)

    async def job_status(self, request: Request) -> Response:
        """Return the state of a job."""
        return await self._handle_job(request, self._node.jobs.status)

    async def cancel_job(self, request: Request) -> Response:
        """Cancel a job and return its state."""
        return await self._handle_job(request, self._node.jobs.cancel)

    async def _handle_job(self, request: Request, operation: JobOperation) -> Response:
        account = authenticate(self._node, request)
        if isinstance(account, Err):
            return problem_response(account.err_value)
        outcome = await operation(account.ok_value.name, str(request.path_params["id"]))
        if isinstance(outcome, Err):
            return problem_response(outcome.err_value)
        return json_response(outcome.ok_value)

    async def job_result(self, request: Request) -> Response:
        """Return the answer of a job, or 202 with Retry-After while it isn't done."""
        account = authenticate(self._node, request)
        if isinstance(account, Err):
            return problem_response(account.err_value)
        job_id = str(request.path_params["id"])
        outcome = await self._node.jobs.result(account.ok_value.name, job_id)
        if isinstance(outcome, Err):
            return problem_response(outcome.err_value)
        result = outcome.ok_value
        if result is None:
            return json_response({"id": job_id, "state": "accepted"}, 202, {"Retry-After": "1"})
        if result.state is not JobState.DONE:
            detail = f"the job was {result.state.value}"
            return problem_response(problems.conflict(detail), job_id)
        usage = sse.Usage(result.tokens)
        body = sse.encode_completion(result.request, [result.text or ""], result.reason, usage)
        return Response(body, media_type=JSON_MEDIA_TYPE)

    # Idempotency keys and services

    async def issue_keys(self, request: Request) -> Response:
        """Issue idempotency keys whose use this node tracks in memory, without the table."""
        account = authenticate(self._node, request)
        if isinstance(account, Err):
            return problem_response(account.err_value)
        text = request.query_params.get("count", "1")
        number = parse_decimal(text)
        if number is None or not 1 <= number <= MAX_KEYS_PER_REQUEST:
            return problem_response(
                problems.bad_request(f"count: a number of 1 to {MAX_KEYS_PER_REQUEST}")
            )
        refusal = self._node.refusal()
        if refusal is not None:
            return problem_response(refusal)
        keys = [self._node.once.issue(account.ok_value.name) for _ in range(number)]
        return json_response({"keys": keys, "node": self._node.id})

    async def service(self, request: Request) -> Response:
        """Forward a call to a plain service."""
        admitted = self._admit(request)
        if isinstance(admitted, Err):
            return problem_response(admitted.err_value)
        body = await read_body(request, self._node.settings.limits.body_bytes)
        if isinstance(body, Err):
            return problem_response(body.err_value)
        call = _service_call(request, body.ok_value)
        key = request.headers.get(IDEMPOTENCY_KEY_HEADER)
        if key is None:
            outcome = await self._node.services.call(call)
        else:
            account = admitted.ok_value.name
            work = msgspec.json.encode(OnceWork(service=call))
            content = [call.service, call.method, call.path, call.body]
            digest = fingerprint(msgspec.json.encode(content))
            outcome = await self._node.once.run(OnceCall(account, key, digest, work))
        if isinstance(outcome, Err):
            return problem_response(outcome.err_value)
        answer = outcome.ok_value
        return Response(answer.body, answer.status, media_type=answer.content_type)

    # Addresses and models

    async def addresses(self, request: Request) -> Response:
        """Return the node addresses for a session, the preferred one first, and their TTL."""
        session = request.query_params.get("session") or request.headers.get(SESSION_HEADER, "")
        views = self._node.addresses(session)
        if not views:
            detail = "this node does not know the list of nodes yet"
            return problem_response(problems.unavailable(detail, 1))
        ttl = self._node.settings.times.address_ttl_s
        addresses = [{"address": view.address, "hall": view.hall} for view in views]
        return json_response({"session": session, "addresses": addresses, "ttl_s": ttl})

    async def models(self, request: Request) -> Response:
        """Return the models and adapters that requests may name."""
        account = authenticate(self._node, request)
        if isinstance(account, Err):
            return problem_response(account.err_value)
        bundle = self._node.bundle()
        assert bundle is not None, "the account was found in the bundle"
        names = [model.name for model in bundle.models]
        names += [adapter.name for adapter in bundle.adapters]
        data = [{"id": name, "object": "model", "owned_by": "moledale"} for name in names]
        return json_response({"object": "list", "data": data})

    def _admit(self, request: Request) -> Result[Account, Problem]:
        """Check readiness, key and rate limit before the body is read; return the account."""
        refusal = self._node.refusal()
        if refusal is not None:
            return Err(refusal)
        account = authenticate(self._node, request)
        if isinstance(account, Err):
            return account
        admitted = self._node.accounts.admit(account.ok_value)
        return account if not isinstance(admitted, Err) else Err(admitted.err_value)


def _redirect_to(address: str, request: Request) -> Response:
    """Redirect a caller to another node, and mark the request as redirected.

    A node doesn't look for the owner of a marked request again: the fleet lists of two nodes may
    differ, and each could redirect to the other.
    """
    url = request.url.include_query_params(**{HOP_PARAMETER: "1"})
    return RedirectResponse(f"http://{address}{url.path}?{url.query}", 307)


def _service_call(request: Request, body: bytes) -> ServiceCall:
    path = "/" + str(request.path_params["path"])
    if request.url.query:
        path += f"?{request.url.query}"
    headers = [(n, v) for n, v in request.headers.items() if n not in _UNFORWARDED_HEADERS]
    return ServiceCall(str(request.path_params["name"]), request.method, path, headers, body)


def _completion_body(record: StreamRecord) -> bytes:
    return sse.encode_completion(
        record.request, record.tokens, record.reason or "", sse.usage_of(record)
    )


def _once_completion_body(request: GenerationRequest, answer: ServiceAnswer) -> bytes:
    """Return the completion body for the stored answer of a non-repeatable generation."""
    reason, *tokens = decode_json(answer.body, list[str])
    return sse.encode_completion(request, tokens, reason, sse.Usage(len(tokens)))


def _unknown_stream(request_id: str) -> Problem:
    return problems.not_found(f"stream {request_id!r}", problems.Ran.UNKNOWN)
