"""Routes requests on the client address: workers' heartbeats, the health check, and the users' API."""

from __future__ import annotations

from collections.abc import Awaitable

from passrock.controller.health import HealthCheck
from passrock.controller.heartbeat_endpoint import HeartbeatEndpoint
from passrock.controller.user_api import UserApi
from passrock.io.http_server import Request, Response
from passrock.wire import users as user_wire
from passrock.wire import workers as worker_wire

RUNS_PREFIXES = (user_wire.RUNS_PATH + "/", user_wire.RUNS_PATH + "?")


class RequestRouter:
    """Passes each request to the object that answers it."""

    def __init__(self, heartbeats: HeartbeatEndpoint, health: HealthCheck, user_api: UserApi) -> None:
        self.heartbeats = heartbeats
        self.health = health
        self.user_api = user_api

    def handle(self, request: Request) -> Response | Awaitable[Response]:
        """Return the answer, or an awaitable that produces it."""
        path = request.path
        if path == worker_wire.CHECKIN_PATH:
            return self.heartbeats.handle(request) if request.method == "POST" else Response(405, allow="POST")
        if path == user_wire.HEALTH_PATH:
            if request.method != "GET":
                return Response(405, allow="GET")
            return Response(200 if self.health.is_healthy() else 503)
        if path == user_wire.RUNS_PATH or path.startswith(RUNS_PREFIXES):
            return self.user_api.handle(request)
        return Response(404, user_wire.error_answer("no such path"))
