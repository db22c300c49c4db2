"""Admission of submissions on one controller, against its grants in the current slot."""

from __future__ import annotations

import math
import random

import msgspec

from passrock.admission.controller.allocation_store import AllocationStore
from passrock.admission.core.allocation import SMALL_FLOW_SUBMISSIONS
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

RETRY_GRACE_SLOTS = 2  # after the retry time given to a user, until no retry is expected any more


class PendingAdmission(msgspec.Struct):
    """A submission that is being written to the store, and the number of requests that wait for it."""

    admission_token: AdmissionToken
    consumed_grant: ConsumedGrant
    requests: int
    used: bool = False  # a request was accepted, or its outcome is unknown


class SubmissionAdmitter:
    """Admits submissions against grants, with one grant per job, and counts demand."""

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
        """Return an admission token for a submission of an unknown job, or a refusal with the time until a retry."""
        pending = self._in_progress.get(spec.id)
        if pending is not None:  # a retry while the first request is in progress: both share one unit
            pending.requests += 1
            return pending.admission_token
        wall_clock_now = time_of_day()
        slot = self.clock.slot_at(wall_clock_now)
        flow = Flow(spec.team, spec.job_class)
        stored = self.allocations.get(slot)
        if stored is None:
            return self._refuse(spec.id, flow, slot, wall_clock_now)
        consumed = self.grants.consume(slot, flow, interactive=self.weights.is_interactive(flow))
        if consumed is None:
            return self._refuse(spec.id, flow, slot, wall_clock_now)
        self.demand.record_admitted(spec.id, flow, slot)
        admission_token = AdmissionToken(
            keys.allocation(slot, 0), stored.mod_revision, [slot, self.grants.incarnation]
        )
        self._in_progress[spec.id] = PendingAdmission(admission_token, consumed, 1)
        return admission_token

    def request_finished(self, spec: JobSpec, *, unused: bool) -> None:
        """End a request with an admission token; ``unused`` if it is certain that it led to no acceptance.

        When the last request for the job has ended, the grant is restored if all of them were unused.
        """
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

    def _refuse(self, job_id: str, flow: Flow, slot: int, wall_clock_now: float) -> Refusal:
        retry_after_s = self._estimate_retry_after_s(flow, slot, wall_clock_now)
        retry_by = wall_clock_now + retry_after_s + RETRY_GRACE_SLOTS * self.clock.length_s
        self.demand.record_refused(job_id, flow, slot, wall_clock_now, retry_by)
        return Refusal(retry_after_s)

    def _estimate_retry_after_s(self, flow: Flow, slot: int, wall_clock_now: float) -> int:
        """Estimate when the flow's waiting submissions will have been admitted, at the rate of its present grant."""
        next_slot_in_s = self.clock.seconds_until(slot + 1, wall_clock_now)
        stored = self.allocations.get(slot)
        granted = 0 if stored is None else stored.granted.get(flow, 0)
        waiting = self.demand.waiting_count(flow)
        slots_ahead = waiting / max(1, granted)
        if self.weights.is_interactive(flow) or waiting <= SMALL_FLOW_SUBMISSIONS or slots_ahead < 1.0:
            return max(MIN_RETRY_AFTER_S, math.ceil(next_slot_in_s))
        retry_after_s = next_slot_in_s + (slots_ahead - self.rng.random()) * self.clock.length_s
        # a user stops retrying after twice MAX_RETRY_AFTER_S
        return max(MIN_RETRY_AFTER_S, math.ceil(min(retry_after_s, MAX_RETRY_AFTER_S / 2)))
