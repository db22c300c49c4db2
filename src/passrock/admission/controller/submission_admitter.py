"""Admission on one controller: which submissions are admitted, by the grants of the present slot."""

from __future__ import annotations

import math
import random

import msgspec

from passrock.admission.controller.allocation_store import AllocationStore
from passrock.admission.core.allocation import SMALL_FLOW
from passrock.admission.core.demand import DemandCounter
from passrock.admission.core.flows import Flow, Weights
from passrock.admission.core.grants import ConsumedGrant, GrantLedger
from passrock.admission.core.slots import SlotClock
from passrock.controller import keys
from passrock.controller.admission_controller import Refusal
from passrock.core.concurrency_limiter import MAX_RETRY_AFTER_S, MIN_RETRY_AFTER_S
from passrock.core.model import JobSpec
from passrock.core.records import AdmissionToken
from passrock.io.clock import time_of_day

SLOTS_TO_RETURN = 2  # after the time that a user was told: by then it has come again or given up


class PendingAdmission(msgspec.Struct):
    """A submission on its way to the store, and how many requests wait for it."""

    admission_token: AdmissionToken
    consumed_grant: ConsumedGrant
    requests: int
    used: bool = False  # by a request that was accepted, or of which nobody knows


class SubmissionAdmitter:
    """Admits submissions against grants, each job once, and counts the others as demand."""

    def __init__(
        self,
        clock: SlotClock,
        grants: GrantLedger,
        allocations: AllocationStore,
        weights: Weights,
        rng: random.Random,
    ) -> None:
        self.clock = clock
        self.grants = grants
        self.allocations = allocations
        self.weights = weights
        self.rng = rng
        self.demand = DemandCounter()
        self._in_progress: dict[str, PendingAdmission] = {}

    def decide(self, spec: JobSpec) -> AdmissionToken | Refusal:
        """Admit a submission of a job that isn't known, or say when to come back."""
        known = self._in_progress.get(spec.id)
        if known is not None:  # a retry that meets the first attempt: one acceptance, one unit
            known.requests += 1
            return known.admission_token
        now = time_of_day()
        slot = self.clock.number(now)
        flow = Flow(spec.team, spec.job_class)
        stored = self.allocations.get(slot)
        if stored is None:
            return self._refuse(spec.id, flow, slot, now)
        consumed = self.grants.consume(slot, flow, interactive=self.weights.is_interactive(flow))
        if consumed is None:
            return self._refuse(spec.id, flow, slot, now)
        self.demand.record_admitted(spec.id, flow, slot)
        admission_token = AdmissionToken(
            keys.allocation(slot, 0), stored.mod_revision, [slot, self.grants.incarnation]
        )
        self._in_progress[spec.id] = PendingAdmission(admission_token, consumed, 1)
        return admission_token

    def request_finished(self, spec: JobSpec, *, unused: bool) -> None:
        """A request with an admission token is over; ``unused`` when it is certain that it accepted nothing."""
        pending = self._in_progress.get(spec.id)
        if pending is None:
            return
        pending.requests -= 1
        pending.used = pending.used or not unused
        if pending.requests > 0:
            return
        del self._in_progress[spec.id]
        if not pending.used:
            self.grants.restore(pending.consumed_grant)

    def _refuse(self, job_id: str, flow: Flow, slot: int, now: float) -> Refusal:
        wait = self._retry_after_s(flow, slot, now)
        until = now + wait + SLOTS_TO_RETURN * self.clock.length_s
        self.demand.record_refused(job_id, flow, slot, now, until)
        return Refusal(wait)

    def _retry_after_s(self, flow: Flow, slot: int, now: float) -> int:
        """When the flow's queue is likely to have come to this submission, at the rate of its present grant."""
        following = self.clock.until(slot + 1, now)
        stored = self.allocations.get(slot)
        granted = 0 if stored is None else stored.granted.get(flow, 0)
        waiting = self.demand.waiting(flow)
        ahead = waiting / max(1, granted)
        if self.weights.is_interactive(flow) or waiting <= SMALL_FLOW or ahead < 1.0:
            return max(MIN_RETRY_AFTER_S, math.ceil(following))
        wait = following + (ahead - self.rng.random()) * self.clock.length_s
        # a user gives up after twice the most
        return max(MIN_RETRY_AFTER_S, math.ceil(min(wait, MAX_RETRY_AFTER_S / 2)))
