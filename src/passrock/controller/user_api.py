"""Users' requests, answered by any controller."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable

import msgspec

from passrock.controller import keys
from passrock.controller.intake import IntakeGate, Refusal
from passrock.controller.replica import READ_WAIT_S, ReadFence, Replica
from passrock.controller.submissions import PermitLapsedError, Submitter
from passrock.core.cancellations import Cancellations
from passrock.core.concurrency_limiter import AdaptiveConcurrencyLimiter
from passrock.core.machine_catalog import MachineCatalog
from passrock.core.model import JobSpec
from passrock.core.records import CANCELLED, DONE, Permit, fits_record, tasks_per_page
from passrock.core.submission_checks import fault
from passrock.io.clock import monotonic_time, time_of_day
from passrock.io.http_server import Request, Response
from passrock.io.state import Committed, StateClient, StateError, UnknownOutcomeError
from passrock.logs import debug
from passrock.settings import Settings
from passrock.wire import users as wire
from passrock.wire.cbor import MalformedBodyError
from passrock.wire.state import Put

SUBMIT_PATIENCE_S = 3.5
READ_TRIES = 3
SPARE_FOR_RETRIES = 0.5  # of a burst of reads must be free before a refused submission is looked up
FIRST_IN_PROGRESS = 32  # requests, before any time has been measured
LEAST_IN_PROGRESS = 4


class JobStatus(msgspec.Struct, frozen=True):
    """What a user may be told of a job."""

    status: str
    done: int = 0
    running: int = 0


def _limiter(settings: Settings, slack: float) -> AdaptiveConcurrencyLimiter:
    most = max(LEAST_IN_PROGRESS * 2, settings.fd_limit // 2)
    return AdaptiveConcurrencyLimiter(FIRST_IN_PROGRESS, LEAST_IN_PROGRESS, most, slack)


def _refuse(limiter: AdaptiveConcurrencyLimiter, status: int) -> Response:
    """An answer at once, with a time to come back."""
    return Response(status, wire.error_answer("busy, come back later"), retry_after=limiter.retry_after())


class UnavailableError(Exception):
    """The answer can't be given now."""


class UserApi:
    """The user interface of one node."""

    def __init__(
        self,
        settings: Settings,
        state: StateClient,
        replica: Replica,
        cancellations: Cancellations,
        catalog: MachineCatalog,
    ) -> None:
        self.settings = settings
        self.state = state
        self.replica = replica
        self.cancellations = cancellations  # a job stands there before its user is told
        self.catalog = catalog
        slack = settings.report_s / 10
        self.read_limiter = _limiter(
            settings, slack + READ_WAIT_S
        )  # the wait for a shared read is no sign of a queue
        self.write_limiter = _limiter(
            settings, slack
        )  # submissions and cancellations, which no number of questions may hold up
        self.fence = ReadFence(state, replica, 1.0 / settings.state_rps)
        self.page_size = tasks_per_page(settings.value_bytes)
        self.submitter = Submitter(state, settings.txn_ops)
        self.gate: IntakeGate | None = None  # fair admission, where it is switched on

    def handle(self, request: Request) -> Response | Awaitable[Response]:
        """Answer, or refuse at once when too much is in progress."""
        path, _, _ = request.path.partition("?")
        if path == wire.RUNS_PATH:
            if request.method != "POST":
                return Response(405, allow="POST")
            return self._admit(request)
        rest = path[len(wire.RUNS_PATH) + 1 :]
        if rest.endswith(wire.WITHDRAW_END):
            if request.method != "POST":
                return Response(405, allow="POST")
            job_id = rest[: -len(wire.WITHDRAW_END)]
            return (
                self._limited(self.write_limiter, self._withdraw(job_id))
                if wire.is_job_id(job_id)
                else self._unknown()
            )
        if not rest or "/" in rest:
            return Response(404, wire.error_answer("no such path"))
        if request.method != "GET":
            return Response(405, allow="GET")
        return self._limited(self.read_limiter, self._query(rest)) if wire.is_job_id(rest) else self._unknown()

    @staticmethod
    def _unknown() -> Response:
        return Response(404, wire.error_answer("no such job"))

    def _limited(
        self, limiter: AdaptiveConcurrencyLimiter, work: Awaitable[Response]
    ) -> Response | Awaitable[Response]:
        if not limiter.try_acquire():
            work.close()  # type: ignore[attr-defined]
            return _refuse(limiter, 429)
        return self._measured(limiter, work)

    async def _measured(self, limiter: AdaptiveConcurrencyLimiter, work: Awaitable[Response]) -> Response:
        started = monotonic_time()
        failed = True
        try:
            response = await work
            failed = response.status >= 500
            return response
        except (StateError, UnavailableError) as problem:
            debug("user_request_unavailable", error=problem)
            return _refuse(limiter, 503)
        finally:
            limiter.release(monotonic_time() - started, failed=failed)

    # -- what is known ------------------------------------------------------------------------

    def _unfinished(self, job_id: str) -> JobStatus | None:
        entry = self.replica.get(keys.job(job_id))
        if entry is None:
            return None
        if self.replica.get(keys.cancel(job_id)) is not None:
            return JobStatus(CANCELLED)
        value = entry.value
        spec = value["s"]
        done, running = int(value["d"], 16).bit_count(), len(value["l"])
        for number in range(1, math.ceil(spec["n"] / self.page_size)):
            page = self.replica.get(keys.task_page(job_id, number))
            if page is not None:
                done += int(page.value["d"], 16).bit_count()
                running += len(page.value["l"])
        return JobStatus("running" if running else "queued", done, running)

    async def _look_up(self, job_id: str) -> JobStatus | None:
        """The job's state, not older than this call; None when there is no such job."""
        status = self.replica.finals.get(job_id)
        if status is not None:
            return JobStatus(status)
        for _ in range(READ_TRIES):
            if await self.fence.passed():
                known = self._unfinished(job_id)
                if known is not None:
                    return known
                break
            if self.state.down(monotonic_time(), 0.0):
                raise UnavailableError("the state service is down")
        else:
            entry, _ = await self.state.get(keys.job(job_id), timeout=0.8)
            if entry is not None:  # the copy lags: whether it is cancelled has to be read as well
                mark, _ = await self.state.get(keys.cancel(job_id), timeout=0.8)
                if mark is not None:
                    self.cancellations.learn(job_id, monotonic_time())
                    return JobStatus(CANCELLED)
                # the job may have ended between the two reads, and its mark with it
                ended, _ = await self.state.get(keys.final(job_id), timeout=0.8)
                if ended is None:
                    return JobStatus("queued", int(entry.value["d"], 16).bit_count(), len(entry.value["l"]))
        status = self.replica.finals.get(job_id)
        if status is not None:
            return JobStatus(status)
        entry, _ = await self.state.get(keys.final(job_id), timeout=0.8)
        if entry is None:
            return None
        self.replica.note_final(job_id, entry.value["s"])
        return JobStatus(entry.value["s"], entry.value["n"] if entry.value["s"] == DONE else 0)

    # -- the requests ---------------------------------------------------------------------------

    def _admit(self, request: Request) -> Response | Awaitable[Response]:
        """Judge a submission; what is wrong with it is told however busy the node is."""
        try:
            spec = wire.parse_submission(request.body)
        except MalformedBodyError as problem:
            return Response(400, wire.error_answer(str(problem)))
        if not fits_record(spec):
            return Response(400, wire.error_answer("the names in it are too long"))
        types = self.catalog.types
        if not types or not self.replica.loaded:
            return _refuse(self.write_limiter, 503)
        problem_text = fault(spec, self.settings.teams, types)
        if problem_text is not None and not self._known_job(spec.id):
            return Response(422, wire.error_answer(problem_text))
        if self.state.writes.time_until_available(monotonic_time()) > 1.0:
            return _refuse(self.write_limiter, 429)
        if self.gate is None or self._known_job(spec.id):
            return self._limited(self.write_limiter, self._submit(spec, None))
        if self.write_limiter.is_full():
            return _refuse(self.write_limiter, 429)  # before a permit is spent
        decision = self.gate.decide(spec)
        if isinstance(decision, Refusal):
            return self._not_permitted(spec, decision)
        return self._limited(self.write_limiter, self._submit(spec, decision))

    def _not_permitted(self, spec: JobSpec, refusal: Refusal) -> Response | Awaitable[Response]:
        """Refuse a submission; but a retry of a job accepted elsewhere a moment ago gets its answer.

        Whether it is one takes reads of the state, of which a flood of submissions must not use up the rate.
        """
        refused = Response(
            429, wire.error_answer("over the grant, come back later"), retry_after=refusal.retry_after_s
        )
        if (
            self.state.requests.available_fraction(monotonic_time()) < SPARE_FOR_RETRIES
            or not self.read_limiter.try_acquire()
        ):
            return refused
        return self._measured(self.read_limiter, self._known_or(spec.id, refused))

    async def _known_or(self, job_id: str, refused: Response) -> Response:
        try:
            known = await self._look_up(job_id)
        except (StateError, UnavailableError):
            return refused
        return refused if known is None else Response(200, wire.brief_answer(job_id, known.status))

    def _known_job(self, job_id: str) -> bool:
        """Whether the job was accepted once: then its state is the answer, though the types on offer have changed."""
        return job_id in self.replica.finals or self.replica.get(keys.job(job_id)) is not None

    async def _submit(self, spec: JobSpec, permit: Permit | None) -> Response:
        unused = False
        try:
            async with asyncio.timeout(SUBMIT_PATIENCE_S):
                try:
                    if await self.submitter.submit(spec, permit):
                        return Response(201, wire.brief_answer(spec.id, "queued"))
                    unused = True
                except UnknownOutcomeError:
                    pass  # it may have been accepted: read before answering
                except PermitLapsedError:
                    unused = True
                    return _refuse(self.write_limiter, 429)
                except StateError:
                    unused = True
                    raise
                known = await self._look_up(spec.id)
        except TimeoutError:
            return _refuse(self.write_limiter, 503)
        finally:
            if permit is not None and self.gate is not None:
                self.gate.concluded(spec, unused)
        if known is None:
            return _refuse(self.write_limiter, 503)
        return Response(200, wire.brief_answer(spec.id, known.status))

    async def _query(self, job_id: str) -> Response:
        known = await self._look_up(job_id)
        if known is None:
            return self._unknown()
        done = known.done
        if known.status == DONE and done == 0:
            done = 1
        return Response(200, wire.full_answer(job_id, known.status, done, known.running))

    async def _withdraw(self, job_id: str) -> Response:
        for _ in range(READ_TRIES):
            known = await self._look_up(job_id)
            if known is None:
                return self._unknown()
            if known.status in (DONE, CANCELLED):
                return Response(200, wire.brief_answer(job_id, known.status))
            conditions = {keys.final(job_id): 0, keys.cancel(job_id): 0}
            try:
                result = await self.state.commit(conditions, [Put(keys.cancel(job_id), {"at": time_of_day()})])
            except UnknownOutcomeError:
                continue  # read again: it may have been applied
            if isinstance(result, Committed):
                self.cancellations.learn(job_id, monotonic_time())
                return Response(200, wire.brief_answer(job_id, CANCELLED))
        raise UnavailableError("undecided")
