"""Endpoints for operators: bundle rollout, node status and error-budget burn."""

import hmac

import msgspec
from result import Err
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from moledale import problems
from moledale.build import build_id
from moledale.bundle import store
from moledale.decoding import decode_json
from moledale.edge.answers import json_response, problem_response
from moledale.edge.requests import bearer, read_body
from moledale.node.node import Node

_REFUSAL_HTTP_STATUS = {"invalid": 422, "older": 409, "gap": 409, "conflict": 409, "platform": 503}


class ServerStatus(msgspec.Struct, frozen=True):
    """The state of a backend server as one node sees it; `running` counts its requests."""

    id: str
    hall: str
    standing: str
    running: int
    models: list[str]


class NodeStatus(msgspec.Struct, frozen=True):
    """The status of a node and its view of the fleet; older builds send no `build`.

    `confirmed_ago_s` is the time since the node confirmed that its bundle is the head, and
    `verdict` states whether it accepts new requests. `nodes` maps node ids to addresses.
    """

    node: str
    hall: str
    incarnation: str
    bundle_version: int
    bundle_digest: str
    confirmed_ago_s: float | None
    verdict: str
    table_reachable: bool
    draining: bool
    open_requests: int
    waiting: int
    jobs: int
    leases: list[str]
    nodes: dict[str, str]
    servers: list[ServerStatus]
    build: str = ""


class OperatorApi:
    """The operator endpoints of one node."""

    def __init__(self, node: Node) -> None:
        self._node = node

    def routes(self) -> list[Route]:
        """Return the routes of the operator endpoints."""
        return [
            Route("/admin/v1/status", self.status, methods=["GET"]),
            Route("/admin/v1/burn", self.burn, methods=["GET"]),
            Route("/admin/v1/bundles", self.roll, methods=["POST"]),
            Route("/admin/v1/bundles", self.history, methods=["GET"]),
            Route("/admin/v1/bundles/head", self.head, methods=["GET"]),
        ]

    async def status(self, request: Request) -> Response:
        """Return the status of the node."""
        if not self._is_authorized(request):
            return _unauthorized()
        return json_response(self._status())

    async def burn(self, request: Request) -> Response:
        """Return this node's counts of good and bad requests, the input of the burn rates."""
        if not self._is_authorized(request):
            return _unauthorized()
        return json_response(self._node.burn.page())

    async def roll(self, request: Request) -> Response:
        """Make a signed bundle the head; on a refusal, return its reason and findings."""
        if not self._is_authorized(request):
            return _unauthorized()
        body = await read_body(request, self._node.settings.limits.body_bytes)
        if isinstance(body, Err):
            return problem_response(body.err_value)
        try:
            signed = decode_json(body.ok_value, store.SignedBundle)
        except msgspec.DecodeError as error:
            return problem_response(problems.bad_request(f"body: {error}"))
        outcome = await self._node.roll(signed)
        if isinstance(outcome, Err):
            refusal = outcome.err_value
            return json_response(refusal, _REFUSAL_HTTP_STATUS[refusal.kind])
        return json_response(outcome.ok_value, 201)

    async def history(self, request: Request) -> Response:
        """Return all accepted bundle versions."""
        if not self._is_authorized(request):
            return _unauthorized()
        outcome = await store.history(self._node.platform)
        if isinstance(outcome, Err):
            return problem_response(problems.unavailable(outcome.err_value.detail, 2))
        return json_response(outcome.ok_value)

    async def head(self, request: Request) -> Response:
        """Return the current bundle version with its body and signatures."""
        if not self._is_authorized(request):
            return _unauthorized()
        outcome = await store.read_head(self._node.platform)
        if isinstance(outcome, Err):
            return problem_response(problems.unavailable(outcome.err_value.detail, 2))
        head, _ = outcome.ok_value
        if head is None:
            return problem_response(problems.not_found("no bundle has been rolled yet"))
        body = await self._node.platform.objects.get(store.OBJECT_PREFIX + head.digest)
        if isinstance(body, Err) or body.ok_value is None:
            return problem_response(problems.unavailable("the object store does not answer", 2))
        signed = decode_json(body.ok_value, store.SignedBundle)
        return json_response({"head": head, "bundle": signed})

    def _is_authorized(self, request: Request) -> bool:
        expected = self._node.secrets.operator.encode()
        return hmac.compare_digest(bearer(request).encode(), expected)

    def _status(self) -> NodeStatus:
        node = self._node
        head = node.bundles.head
        return NodeStatus(
            node.id,
            node.settings.node.hall,
            node.incarnation,
            node.bundles.version,
            head.digest if head is not None else "",
            node.bundles.confirmed_ago_s(),
            node.verdict().value,
            node.table_reachable,
            node.draining,
            node.dispatcher.open_requests,
            node.dispatcher.waiting,
            node.jobs.open_jobs,
            node.leases_held(),
            {view.id: view.address for view in node.fleet.node_views()},
            [
                ServerStatus(v.id, v.hall, v.standing.value, v.running, sorted(v.models))
                for v in node.load_tracker.views.values()
            ],
            build_id(),
        )


def _unauthorized() -> Response:
    detail = "send the operators' token as Authorization: Bearer"
    return problem_response(problems.unauthorized(detail))
