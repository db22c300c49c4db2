"""The users' API: submissions, queries and cancellations of jobs, answered by any controller."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable

from passrock.controller import keys
from passrock.controller.admission_controller import AdmissionController, Refusal
from passrock.controller.job_lookup import QUEUED, JobLookup, UnavailableError
from passrock.controller.read_fence import READ_WAIT_S
from passrock.controller.replica import Replica
from passrock.controller.request_limits import limited, measured, refuse, request_limiter
from passrock.controller.submissions import AdmissionTokenExpiredError, Submitter
from passrock.core.cancellations import CancellationLog
from passrock.core.machine_catalog import MachineCatalog
from passrock.core.model import JobSpec
from passrock.core.records import (
    CANCELLED,
    DONE,
    AdmissionToken,
    CancellationRecord,
    encode_record,
    fits_record,
)
from passrock.core.submission_checks import rejection_reason
from passrock.io.clock import monotonic_time, time_of_day
from passrock.io.errors import StoreError, UnknownOutcomeError
from passrock.io.http_server import Request, Response
from passrock.io.store import Committed, KeyValueStoreClient
from passrock.settings import Settings
from passrock.wire import users as wire
from passrock.wire.cbor import MalformedBodyError
from passrock.wire.store import Put

SUBMIT_TIMEOUT_S = 3.5
CANCEL_TRIES = 3
WRITE_BACKLOG_LIMIT_S = 1.0  # of waiting for the write rate, above which submissions are refused
LIMITER_SLACK_DIVISOR = 10  # a request that takes a tenth of the heartbeat interval above the best waited in no queue
RETRY_LOOKUP_SPARE = 0.5  # of a burst of reads must be free before a refused submission is looked up


class UserApi:
    """The users' requests on one controller."""

    def __init__(
        self,
        settings: Settings,
        store: KeyValueStoreClient,
        replica: Replica,
        cancellations: CancellationLog,
        catalog: MachineCatalog,
        admission_controller: AdmissionController | None = None,
    ) -> None:
        """``admission_controller`` decides on submissions where fair admission is switched on."""
        self.settings = settings
        self.store = store
        self.replica = replica
        self.cancellations = cancellations  # gets each cancellation before it is confirmed to the user
        self.catalog = catalog
        self.admission_controller = admission_controller
        slack_s = settings.report_s / LIMITER_SLACK_DIVISOR
        # the wait for a shared read is no sign of a queue
        self.read_limiter = request_limiter(settings, slack_s + READ_WAIT_S)
        # submissions and cancellations, which no number of reads may hold up
        self.write_limiter = request_limiter(settings, slack_s)
        self.lookup = JobLookup(settings, store, replica, cancellations)
        self.submitter = Submitter(store, settings.txn_ops)

    def handle(self, request: Request) -> Response | Awaitable[Response]:
        """Answer, or refuse at once when too much is in progress."""
        path, _, _ = request.path.partition("?")
        if path == wire.RUNS_PATH:
            return self._admit(request) if request.method == "POST" else Response(405, allow="POST")
        rest = path[len(wire.RUNS_PATH) + 1 :]
        if rest.endswith(wire.WITHDRAW_END):
            return self._route_cancellation(request, rest[: -len(wire.WITHDRAW_END)])
        if not rest or "/" in rest:
            return Response(404, wire.error_answer("no such path"))
        return self._route_query(request, rest)

    def _route_cancellation(self, request: Request, job_id: str) -> Response | Awaitable[Response]:
        if request.method != "POST":
            return Response(405, allow="POST")
        if not wire.is_job_id(job_id):
            return _unknown_job()
        return limited(self.write_limiter, self._cancel(job_id))

    def _route_query(self, request: Request, job_id: str) -> Response | Awaitable[Response]:
        if request.method != "GET":
            return Response(405, allow="GET")
        if not wire.is_job_id(job_id):
            return _unknown_job()
        return limited(self.read_limiter, self._query(job_id))

    # -- submissions ------------------------------------------------------------------------------

    def _admit(self, request: Request) -> Response | Awaitable[Response]:
        """Check a submission and accept it; a faulty one gets its reason however busy the node is."""
        try:
            spec = wire.parse_submission(request.body)
        except MalformedBodyError as problem:
            return Response(400, wire.error_answer(str(problem)))
        if not fits_record(spec):
            return Response(400, wire.error_answer("the names in it are too long"))
        types = self.catalog.types
        if not types or not self.replica.loaded:
            return refuse(self.write_limiter, 503)
        reason = rejection_reason(spec, self.settings.teams, types)
        # a job that was accepted once gets its state, though the types on offer may have changed since
        is_known = self.lookup.is_known(spec.id)
        if reason is not None and not is_known:
            return Response(422, wire.error_answer(reason))
        if self.store.writes.time_until_available(monotonic_time()) > WRITE_BACKLOG_LIMIT_S:
            return refuse(self.write_limiter, 429)
        if self.admission_controller is None or is_known:
            return limited(self.write_limiter, self._submit(spec, None))
        return self._admit_through(self.admission_controller, spec)

    def _admit_through(
        self, admission_controller: AdmissionController, spec: JobSpec
    ) -> Response | Awaitable[Response]:
        if self.write_limiter.is_full():
            return refuse(self.write_limiter, 429)  # before a grant is consumed
        decision = admission_controller.decide(spec)
        if isinstance(decision, Refusal):
            return self._refuse_unless_known(spec, decision)
        return limited(self.write_limiter, self._submit(spec, decision))

    def _refuse_unless_known(self, spec: JobSpec, refusal: Refusal) -> Response | Awaitable[Response]:
        """Refuse a submission; but a retry of a job accepted elsewhere a moment ago gets its answer.

        Whether it is one takes reads of the store, of which a flood of submissions must not use up the rate.
        """
        refused = Response(
            429, wire.error_answer("over the grant, come back later"), retry_after=refusal.retry_after_s
        )
        if (
            self.store.requests.available_fraction(monotonic_time()) < RETRY_LOOKUP_SPARE
            or not self.read_limiter.try_acquire()
        ):
            return refused
        return measured(self.read_limiter, self._state_or(spec.id, refused))

    async def _state_or(self, job_id: str, refused: Response) -> Response:
        try:
            known = await self.lookup.find(job_id)
        except (StoreError, UnavailableError):
            return refused
        return refused if known is None else Response(200, wire.brief_answer(job_id, known.status))

    async def _submit(self, spec: JobSpec, admission_token: AdmissionToken | None) -> Response:
        """Commit a submission; one that is known already, or may have been committed, gets the job's state."""
        grant_unused = False
        try:
            async with asyncio.timeout(SUBMIT_TIMEOUT_S):
                try:
                    if await self.submitter.submit(spec, admission_token):
                        return Response(201, wire.brief_answer(spec.id, QUEUED))
                    grant_unused = True
                except UnknownOutcomeError:
                    pass  # it may have been accepted: read before answering
                except AdmissionTokenExpiredError:
                    grant_unused = True
                    return refuse(self.write_limiter, 429)
                except StoreError:
                    grant_unused = True
                    raise
                known = await self.lookup.find(spec.id)
        except TimeoutError:
            return refuse(self.write_limiter, 503)
        finally:
            if admission_token is not None and self.admission_controller is not None:
                self.admission_controller.request_finished(spec, unused=grant_unused)
        if known is None:
            return refuse(self.write_limiter, 503)
        return Response(200, wire.brief_answer(spec.id, known.status))

    # -- queries and cancellations ------------------------------------------------------------------

    async def _query(self, job_id: str) -> Response:
        known = await self.lookup.find(job_id)
        if known is None:
            return _unknown_job()
        done = known.done
        if known.status == DONE and done == 0:
            done = 1  # the replica keeps the status of an ended job, not how many tasks it had
        return Response(200, wire.full_answer(job_id, known.status, done, known.running))

    async def _cancel(self, job_id: str) -> Response:
        """Commit a cancellation unless the job has ended; repeated requests get the same answer."""
        for _ in range(CANCEL_TRIES):
            known = await self.lookup.find(job_id)
            if known is None:
                return _unknown_job()
            if known.status in (DONE, CANCELLED):
                return Response(200, wire.brief_answer(job_id, known.status))
            conditions = {keys.final(job_id): 0, keys.cancellation(job_id): 0}
            record = encode_record(CancellationRecord(time_of_day()))
            try:
                result = await self.store.commit(conditions, [Put(keys.cancellation(job_id), record)])
            except UnknownOutcomeError:
                continue  # it may have been applied: read again
            if isinstance(result, Committed):
                self.cancellations.add(job_id, monotonic_time())
                return Response(200, wire.brief_answer(job_id, CANCELLED))
        raise UnavailableError("undecided")


def _unknown_job() -> Response:
    return Response(404, wire.error_answer("no such job"))
