"""The users' API: submissions, queries and cancellations of jobs, answered by any controller."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable

from passrock.controller import keys
from passrock.controller.admission_controller import AdmissionController, Refusal
from passrock.controller.job_lookup import QUEUED, JobLookup, UnavailableError
from passrock.controller.read_fence import MAX_READ_WAIT_S
from passrock.controller.replica import Replica
from passrock.controller.request_limits import make_request_limiter, refuse, run_limited, run_measured
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
MAX_CANCEL_ATTEMPTS = 3
WRITE_BACKLOG_LIMIT_S = 1.0  # submissions are refused when the wait for the write rate is longer
LIMITER_SLACK_DIVISOR = 10  # a latency up to this part of the heartbeat interval above the lowest indicates no queue
RETRY_LOOKUP_MIN_FREE_FRACTION = 0.5  # of the request burst: required to look up the job of a refused submission


class UserApi:
    """Answers the users' requests at one controller."""

    def __init__(
        self,
        settings: Settings,
        store: KeyValueStoreClient,
        replica: Replica,
        cancellations: CancellationLog,
        catalog: MachineCatalog,
        admission_controller: AdmissionController | None = None,
    ) -> None:
        """``admission_controller`` decides on submissions where fair admission is enabled."""
        self.settings = settings
        self.store = store
        self.replica = replica
        self.cancellations = cancellations  # includes each cancellation before it is confirmed to the user
        self.catalog = catalog
        self.admission_controller = admission_controller
        slack_s = settings.report_s / LIMITER_SLACK_DIVISOR
        # the wait for a shared read does not indicate a queue
        self.read_limiter = make_request_limiter(settings, slack_s + MAX_READ_WAIT_S)
        # submissions and cancellations have their own limiter, so that reads don't delay them
        self.write_limiter = make_request_limiter(settings, slack_s)
        self.lookup = JobLookup(settings, store, replica, cancellations)
        self.submitter = Submitter(store, settings.txn_ops)

    def handle(self, request: Request) -> Response | Awaitable[Response]:
        """Answer a request, or refuse it at once when too many are in progress."""
        path, _, _ = request.path.partition("?")
        if path == wire.RUNS_PATH:
            return self._handle_submission(request) if request.method == "POST" else Response(405, allow="POST")
        job_path = path[len(wire.RUNS_PATH) + 1 :]
        if job_path.endswith(wire.WITHDRAW_SUFFIX):
            return self._route_cancellation(request, job_path[: -len(wire.WITHDRAW_SUFFIX)])
        if not job_path or "/" in job_path:
            return Response(404, wire.encode_error_answer("no such path"))
        return self._route_query(request, job_path)

    def _route_cancellation(self, request: Request, job_id: str) -> Response | Awaitable[Response]:
        if request.method != "POST":
            return Response(405, allow="POST")
        if not wire.is_job_id(job_id):
            return _unknown_job()
        return run_limited(self.write_limiter, self._cancel(job_id))

    def _route_query(self, request: Request, job_id: str) -> Response | Awaitable[Response]:
        if request.method != "GET":
            return Response(405, allow="GET")
        if not wire.is_job_id(job_id):
            return _unknown_job()
        return run_limited(self.read_limiter, self._query(job_id))

    # -- submissions ------------------------------------------------------------------------------

    def _handle_submission(self, request: Request) -> Response | Awaitable[Response]:
        """Check a submission and accept it; an invalid one is answered with the reason however busy the node is."""
        try:
            spec = wire.parse_submission(request.body)
        except MalformedBodyError as exc:
            return Response(400, wire.encode_error_answer(str(exc)))
        if not fits_record(spec):
            return Response(400, wire.encode_error_answer("the names in it are too long"))
        types = self.catalog.types
        if not types or not self.replica.loaded:
            return refuse(self.write_limiter, 503)
        reason = rejection_reason(spec, self.settings.teams, types)
        # a repeated submission gets the job's state, though the machine types may have changed since it was accepted
        is_known = self.lookup.is_known(spec.id)
        if reason is not None and not is_known:
            return Response(422, wire.encode_error_answer(reason))
        if self.store.write_bucket.time_until_available(monotonic_time()) > WRITE_BACKLOG_LIMIT_S:
            return refuse(self.write_limiter, 429)
        if self.admission_controller is None or is_known:
            return run_limited(self.write_limiter, self._submit(spec, None))
        return self._decide_admission(self.admission_controller, spec)

    def _decide_admission(
        self, admission_controller: AdmissionController, spec: JobSpec
    ) -> Response | Awaitable[Response]:
        if self.write_limiter.is_full():
            return refuse(self.write_limiter, 429)  # checked before a grant is consumed
        decision = admission_controller.decide(spec)
        if isinstance(decision, Refusal):
            return self._refuse_unless_known(spec, decision)
        return run_limited(self.write_limiter, self._submit(spec, decision))

    def _refuse_unless_known(self, spec: JobSpec, refusal: Refusal) -> Response | Awaitable[Response]:
        """Refuse a submission, unless it is a retry of one that another controller accepted a moment ago.

        The lookup reads the store. It is omitted when little of the request rate is left, so that a flood of
        submissions does not use it up.
        """
        refusal_response = Response(
            429, wire.encode_error_answer("over the grant, come back later"), retry_after=refusal.retry_after_s
        )
        if (
            self.store.request_bucket.available_fraction(monotonic_time()) < RETRY_LOOKUP_MIN_FREE_FRACTION
            or not self.read_limiter.try_acquire()
        ):
            return refusal_response
        return run_measured(self.read_limiter, self._job_status_or(spec.id, refusal_response))

    async def _job_status_or(self, job_id: str, refusal_response: Response) -> Response:
        try:
            job = await self.lookup.find(job_id)
        except (StoreError, UnavailableError):
            return refusal_response
        return refusal_response if job is None else Response(200, wire.encode_brief_answer(job_id, job.status))

    async def _submit(self, spec: JobSpec, admission_token: AdmissionToken | None) -> Response:
        """Commit a submission; if the job is already known or the outcome is unknown, answer with the job's state."""
        grant_unused = False
        try:
            async with asyncio.timeout(SUBMIT_TIMEOUT_S):
                try:
                    if await self.submitter.submit(spec, admission_token):
                        return Response(201, wire.encode_brief_answer(spec.id, QUEUED))
                    grant_unused = True
                except UnknownOutcomeError:
                    pass  # the job may have been accepted: read its state before answering
                except AdmissionTokenExpiredError:
                    grant_unused = True
                    return refuse(self.write_limiter, 429)
                except StoreError:
                    grant_unused = True
                    raise
                job = await self.lookup.find(spec.id)
        except TimeoutError:
            return refuse(self.write_limiter, 503)
        finally:
            if admission_token is not None and self.admission_controller is not None:
                self.admission_controller.request_finished(spec, unused=grant_unused)
        if job is None:
            return refuse(self.write_limiter, 503)
        return Response(200, wire.encode_brief_answer(spec.id, job.status))

    # -- queries and cancellations ------------------------------------------------------------------

    async def _query(self, job_id: str) -> Response:
        job = await self.lookup.find(job_id)
        if job is None:
            return _unknown_job()
        completed_count = job.completed_count
        if job.status == DONE and completed_count == 0:
            completed_count = 1  # the replica keeps the status of an ended job, not its number of tasks
        return Response(200, wire.encode_full_answer(job_id, job.status, completed_count, job.running_count))

    async def _cancel(self, job_id: str) -> Response:
        """Commit a cancellation unless the job has ended; repeated requests get the same answer."""
        for _ in range(MAX_CANCEL_ATTEMPTS):
            job = await self.lookup.find(job_id)
            if job is None:
                return _unknown_job()
            if job.status in (DONE, CANCELLED):
                return Response(200, wire.encode_brief_answer(job_id, job.status))
            conditions = {keys.final(job_id): 0, keys.cancellation(job_id): 0}
            record = encode_record(CancellationRecord(time_of_day()))
            try:
                result = await self.store.commit(conditions, [Put(keys.cancellation(job_id), record)])
            except UnknownOutcomeError:
                continue  # the transaction may have been applied: read the state again
            if isinstance(result, Committed):
                self.cancellations.add(job_id, monotonic_time())
                return Response(200, wire.encode_brief_answer(job_id, CANCELLED))
        raise UnavailableError(f"cancellation of {job_id} is undecided after {MAX_CANCEL_ATTEMPTS} attempts")


def _unknown_job() -> Response:
    return Response(404, wire.encode_error_answer("no such job"))
