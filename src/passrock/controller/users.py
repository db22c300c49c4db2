"""Users' requests, answered by any controller."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable

import msgspec

from passrock.controller import keys
from passrock.controller.replica import READ_WAIT_S, ReadFence, Replica
from passrock.core.admission import Limiter, fault
from passrock.core.cancellations import Cancellations
from passrock.core.jobs import new_record
from passrock.core.model import Spec
from passrock.core.records import CANCELLED, DONE, chunk_tasks, fits_record
from passrock.core.renting import Market
from passrock.io.clock import steady, time_of_day
from passrock.io.http_server import Request, Response
from passrock.io.state import Committed, StateClient, StateError, UnknownOutcomeError
from passrock.logs import debug
from passrock.settings import Settings
from passrock.wire import users as wire
from passrock.wire.cbor import MalformedBodyError
from passrock.wire.state import Put, Write

SUBMIT_PATIENCE_S = 3.5
READ_TRIES = 3
FIRST_IN_PROGRESS = 32  # requests, before any time has been measured
LEAST_IN_PROGRESS = 4


class JobStatus(msgspec.Struct, frozen=True):
    """What a user may be told of a job."""

    status: str
    done: int = 0
    running: int = 0


def _limiter(settings: Settings, slack: float) -> Limiter:
    most = max(LEAST_IN_PROGRESS * 2, settings.fd_limit // 2)
    return Limiter(FIRST_IN_PROGRESS, LEAST_IN_PROGRESS, most, slack)


def _refuse(limiter: Limiter, status: int) -> Response:
    """An answer at once, with a time to come back."""
    return Response(status, wire.error_answer("busy, come back later"), retry_after=limiter.retry_after())


class UnavailableError(Exception):
    """The answer can't be given now."""


class Submitter:
    """Accepts jobs, several in one transaction when many come at once."""

    def __init__(self, state: StateClient, txn_ops: int) -> None:
        self.state = state
        self.most = max(1, txn_ops - 1)
        self.queue: list[tuple[Spec, asyncio.Future[bool]]] = []
        self.busy = False

    async def submit(self, spec: Spec) -> bool:
        """True when accepted now, False when known already; raises StateError otherwise."""
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.queue.append((spec, future))
        if not self.busy:
            self.busy = True
            task = asyncio.ensure_future(self._drain())
            task.add_done_callback(lambda done: done.exception())
        return await future

    async def _drain(self) -> None:
        try:
            while self.queue:
                batch: dict[str, tuple[Spec, list[asyncio.Future[bool]]]] = {}
                rest: list[tuple[Spec, asyncio.Future[bool]]] = []
                for spec, future in self.queue:
                    if spec.id in batch:
                        batch[spec.id][1].append(future)
                    elif len(batch) < self.most and not future.done():
                        batch[spec.id] = (spec, [future])
                    elif not future.done():
                        rest.append((spec, future))
                self.queue = rest
                if batch:
                    await self._commit(batch)
        finally:
            self.busy = False

    async def _commit(self, batch: dict[str, tuple[Spec, list[asyncio.Future[bool]]]]) -> None:
        conditions: dict[str, int] = {}
        writes: list[Write] = []
        for spec, _ in batch.values():
            conditions[keys.job(spec.id)] = 0
            conditions[keys.final(spec.id)] = 0
            writes.append(Put(keys.job(spec.id), new_record(spec, time_of_day())))
        try:
            result = await self.state.commit(conditions, writes)
        except StateError as error:
            for _, futures in batch.values():
                for future in futures:
                    if not future.done():
                        future.set_exception(error)
            return
        failed = set() if isinstance(result, Committed) else set(result.failed)
        for spec, futures in batch.values():
            known = keys.job(spec.id) in failed or keys.final(spec.id) in failed
            for future in futures:
                if future.done():
                    continue
                if known:
                    future.set_result(False)
                elif failed:
                    self.queue.append((spec, future))
                else:
                    future.set_result(True)


class Users:
    """The user interface of one node."""

    def __init__(
        self,
        settings: Settings,
        state: StateClient,
        replica: Replica,
        cancellations: Cancellations,
        market: Market,
    ) -> None:
        self.settings = settings
        self.state = state
        self.replica = replica
        self.cancellations = cancellations  # a job stands there before its user is told
        self.market = market
        slack = settings.report_s / 10
        self.questions = _limiter(settings, slack + READ_WAIT_S)  # the wait for a shared read is no sign of a queue
        self.changes = _limiter(
            settings, slack
        )  # submissions and cancellations, which no number of questions may hold up
        self.fence = ReadFence(state, replica, 1.0 / settings.state_rps)
        self.chunk_size = chunk_tasks(settings.value_bytes)
        self.submitter = Submitter(state, settings.txn_ops)

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
            return self._limited(self.changes, self._withdraw(job_id)) if wire.is_job_id(job_id) else self._unknown()
        if not rest or "/" in rest:
            return Response(404, wire.error_answer("no such path"))
        if request.method != "GET":
            return Response(405, allow="GET")
        return self._limited(self.questions, self._query(rest)) if wire.is_job_id(rest) else self._unknown()

    @staticmethod
    def _unknown() -> Response:
        return Response(404, wire.error_answer("no such job"))

    def _limited(self, limiter: Limiter, work: Awaitable[Response]) -> Response | Awaitable[Response]:
        if not limiter.enter():
            work.close()  # type: ignore[attr-defined]
            return _refuse(limiter, 429)
        return self._measured(limiter, work)

    async def _measured(self, limiter: Limiter, work: Awaitable[Response]) -> Response:
        started = steady()
        failed = True
        try:
            response = await work
            failed = response.status >= 500
            return response
        except (StateError, UnavailableError) as problem:
            debug("user_unserved", problem=problem)
            return _refuse(limiter, 503)
        finally:
            limiter.leave(steady() - started, failed)

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
        for number in range(1, math.ceil(spec["n"] / self.chunk_size)):
            chunk = self.replica.get(keys.chunk(job_id, number))
            if chunk is not None:
                done += int(chunk.value["d"], 16).bit_count()
                running += len(chunk.value["l"])
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
            if self.state.down(steady(), 0.0):
                raise UnavailableError("the state service is down")
        else:
            entry, _ = await self.state.get(keys.job(job_id), timeout=0.8)
            if entry is not None:  # the copy lags: whether it is cancelled has to be read as well
                mark, _ = await self.state.get(keys.cancel(job_id), timeout=0.8)
                if mark is not None:
                    self.cancellations.learn(job_id, steady())
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
        types = self.market.types
        if not types or not self.replica.loaded:
            return _refuse(self.changes, 503)
        problem_text = fault(spec, self.settings.teams, types)
        if problem_text is not None and not self._known_job(spec.id):
            return Response(422, wire.error_answer(problem_text))
        if self.state.writes.wait(steady()) > 1.0:
            return _refuse(self.changes, 429)
        return self._limited(self.changes, self._submit(spec))

    def _known_job(self, job_id: str) -> bool:
        """Whether the job was accepted once: then its state is the answer, though the types on offer have changed."""
        return job_id in self.replica.finals or self.replica.get(keys.job(job_id)) is not None

    async def _submit(self, spec: Spec) -> Response:
        try:
            async with asyncio.timeout(SUBMIT_PATIENCE_S):
                try:
                    if await self.submitter.submit(spec):
                        return Response(201, wire.brief_answer(spec.id, "queued"))
                except UnknownOutcomeError:
                    pass  # it may have been accepted: read before answering
                known = await self._look_up(spec.id)
        except TimeoutError:
            return _refuse(self.changes, 503)
        if known is None:
            return _refuse(self.changes, 503)
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
                self.cancellations.learn(job_id, steady())
                return Response(200, wire.brief_answer(job_id, CANCELLED))
        raise UnavailableError("undecided")
