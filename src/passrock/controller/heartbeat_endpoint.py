"""Workers' heartbeats at any controller.

The leader answers them, or in an outage of the store any controller that may renew leases; the others redirect.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from passrock.controller.leader_term import LeaderTerm
from passrock.controller.leadership import Leadership
from passrock.controller.renewal_policy import RenewalPolicy
from passrock.controller.worker_redirects import WorkerRedirects
from passrock.core.cancellations import CancellationLog
from passrock.core.messages import Command, CommandKind, TaskState, WorkerHeartbeat
from passrock.io.http_server import Request, Response
from passrock.wire import users as user_wire
from passrock.wire import workers as worker_wire
from passrock.wire.cbor import MalformedBodyError


class HeartbeatEndpoint:
    """Answers workers' heartbeats with the fencing token under which this controller may act."""

    def __init__(
        self,
        leadership: Leadership,
        renewal: RenewalPolicy,
        redirects: WorkerRedirects,
        cancellations: CancellationLog,
        current_term: Callable[[], LeaderTerm | None],
    ) -> None:
        self.leadership = leadership
        self.renewal = renewal
        self.redirects = redirects
        self.cancellations = cancellations
        self.current_term = current_term

    def handle(self, request: Request) -> Response | Awaitable[Response]:
        """Return 200 with commands, 421 with the controller to contact, or 503; 400 for a malformed body."""
        try:
            heartbeat = worker_wire.parse_heartbeat(request.body)
        except MalformedBodyError as exc:
            return Response(400, user_wire.error_answer(str(exc)))
        leadership = self.leadership
        leadership.observe_term(heartbeat.token)
        if not self.renewal.may_renew():
            return self._answer_as_follower(heartbeat)
        leader_term = self.current_term()
        if leader_term is None or not leader_term.ready:
            return Response(200, worker_wire.answer(leadership.term, self._stop_cancelled(heartbeat)))
        commands = leader_term.heartbeat_handler.handle(heartbeat)
        if commands is None:
            return Response(503)
        if isinstance(commands, list):
            return Response(200, worker_wire.answer(leadership.term, commands))
        return self._answer_when_ready(commands, leadership.term)

    def _answer_as_follower(self, heartbeat: WorkerHeartbeat) -> Response:
        if self.renewal.may_renew_leaderless(heartbeat.token):
            return Response(200, worker_wire.answer(heartbeat.token, self._stop_cancelled(heartbeat)))
        node = self.redirects.redirect_target(heartbeat.machine, heartbeat.token)
        return Response(421, worker_wire.redirect(node))

    def _stop_cancelled(self, heartbeat: WorkerHeartbeat) -> list[Command]:
        """Return commands to stop the tasks of cancelled jobs.

        A controller without a job table must send these and can send no others.
        """
        return [
            Command(CommandKind.STOP, task.job, task.index, task.attempt_number)
            for task in heartbeat.tasks
            if task.job in self.cancellations and task.state is not TaskState.EXITED
        ]

    async def _answer_when_ready(self, pending_commands: Awaitable[list[Command] | None], term: int) -> Response:
        """Answer once the launches are committed, if this controller may still act under the same term."""
        commands = await pending_commands
        if commands is None:
            return Response(503)
        if not self.renewal.may_renew() or self.leadership.term != term:
            return Response(421, worker_wire.redirect(None))
        return Response(200, worker_wire.answer(term, commands))
