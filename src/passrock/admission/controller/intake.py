"""The gate of one controller: which submissions are taken in, by the grants of the present slot."""

from __future__ import annotations

import math
import random

import msgspec

from passrock.admission.controller.allocation_store import AllocationStore
from passrock.admission.core.allocation import SMALL_FLOW, Allocation
from passrock.admission.core.demand import DemandCounter
from passrock.admission.core.flows import Flow, Weights
from passrock.admission.core.grants import Grants, Spent
from passrock.admission.core.slots import SlotClock
from passrock.controller import keys
from passrock.controller.intake import Refusal
from passrock.core.concurrency_limiter import MAX_RETRY_AFTER_S, MIN_RETRY_AFTER_S
from passrock.core.model import JobSpec
from passrock.core.records import Permit
from passrock.io.clock import time_of_day

SLOTS_TO_RETURN = 2  # after the time that a user was told: by then it has come again or given up


class Admitted(msgspec.Struct):
    """A submission on its way to the state service, and how many requests wait for it."""

    permit: Permit
    spent: Spent
    requests: int
    used: bool = False  # by a request that was accepted, or of which nobody knows


class Intake:
    """Admits submissions against grants, each job once, and counts the others as demand."""

    def __init__(
        self, clock: SlotClock, grants: Grants, store: AllocationStore, weights: Weights, rng: random.Random
    ) -> None:
        self.clock = clock
        self.grants = grants
        self.store = store
        self.weights = weights
        self.rng = rng
        self.demand = DemandCounter()
        self._under_way: dict[str, Admitted] = {}
        store.opened.append(self._opened)

    def _opened(self, allocation: Allocation) -> None:
        self.grants.open(allocation)

    def decide(self, spec: JobSpec) -> Permit | Refusal:
        """Admit a submission of a job that isn't known, or say when to come back."""
        known = self._under_way.get(spec.id)
        if known is not None:  # a retry that meets the first attempt: one acceptance, one unit
            known.requests += 1
            return known.permit
        now = time_of_day()
        slot = self.clock.number(now)
        flow = Flow(spec.team, spec.job_class)
        stored = self.store.get(slot)
        spent = self.grants.take(slot, flow, self.weights.is_interactive(flow)) if stored is not None else None
        if stored is None or spent is None:
            return self._refuse(spec.id, flow, slot, now)
        self.demand.admitted(spec.id, flow, slot)
        permit = Permit(keys.allocation(slot, 0), stored.mod_revision, [slot, self.grants.life])
        self._under_way[spec.id] = Admitted(permit, spent, 1)
        return permit

    def concluded(self, spec: JobSpec, unused: bool) -> None:
        """A request that had been permitted is over; ``unused`` when it is certain that it accepted nothing."""
        admitted = self._under_way.get(spec.id)
        if admitted is None:
            return
        admitted.requests -= 1
        admitted.used = admitted.used or not unused
        if admitted.requests > 0:
            return
        del self._under_way[spec.id]
        if not admitted.used:
            self.grants.give_back(admitted.spent)

    def _refuse(self, job_id: str, flow: Flow, slot: int, now: float) -> Refusal:
        wait = self._come_back_s(flow, slot, now)
        until = now + wait + SLOTS_TO_RETURN * self.clock.length_s
        self.demand.refused(job_id, flow, slot, now, until)
        return Refusal(wait)

    def _come_back_s(self, flow: Flow, slot: int, now: float) -> int:
        """When the flow's queue is likely to have come to this submission, at the rate of its present grant."""
        following = self.clock.until(slot + 1, now)
        stored = self.store.get(slot)
        granted = 0 if stored is None else stored.granted.get(flow, 0)
        waiting = self.demand.waiting(flow)
        ahead = waiting / max(1, granted)
        if self.weights.is_interactive(flow) or waiting <= SMALL_FLOW or ahead < 1.0:
            return max(MIN_RETRY_AFTER_S, math.ceil(following))
        wait = following + (ahead - self.rng.random()) * self.clock.length_s
        # a user gives up after twice the most
        return max(MIN_RETRY_AFTER_S, math.ceil(min(wait, MAX_RETRY_AFTER_S / 2)))
