"""Load generators for submissions, and a checker for the invariants of fair admission."""

import asyncio
from itertools import pairwise

import cbor2

from passrock.admission.core.flows import Flow
from passrock.admission.settings import AdmissionSettings
from passrock.admission.wire.allocation_record import decode_allocation
from passrock.controller import keys
from passrock.io.http_server import Request
from standins.simulated_cluster import SimulatedCluster

RETRY_FOR_S = 60.0  # how long users retry a submission
OBJECTIVES = (
    {"kind": "wait", "class": "look", "within_s": 20.0, "share": 0.9},
    {"kind": "wait", "class": "batch", "within_s": 100.0, "share": 0.9},
)
ADMISSION = AdmissionSettings()
SLOT_S = 4.0  # ADMISSION.slot_ratio times the simulation's heartbeat interval


def overloaded_cluster(seed, admission=ADMISSION, **options):
    """Return a cluster of three controllers with a low write rate of the store, and its checker."""
    options = {"write_rps": 10.0, "objectives": OBJECTIVES, "admission": admission, **options}
    cluster = SimulatedCluster(seed, **options)
    return cluster, AdmissionChecker(cluster)


class AdmissionChecker:
    """Checks each write that the store applies; collects violations as (rule, detail).

    Attributes:
        pages: every page of an allocation that was ever written, by key.
        admitted: number of jobs by flow, by (slot, incarnation) of the grant reference.
        without_grant_reference: number of jobs accepted without a grant reference.
        accepted_at: time at which the job's record was written, by job.
        first_submitted_at: time of the first attempt to submit, by job.
        answered_at: time of the first answer that confirmed the job, by job.
        abandoned: jobs whose users stopped retrying.
    """

    def __init__(self, cluster):
        self.cluster = cluster
        self.violations = []
        self.pages = {}
        self.admitted = {}
        self.without_grant_reference = 0
        self.accepted_at = {}
        self.first_submitted_at, self.answered_at, self.abandoned = {}, {}, set()
        self._change, cluster.store._apply = cluster.store._apply, self._on_writes

    def _on_writes(self, writes):
        for write in writes:
            key = write.get("set", "")
            if key.startswith(keys.ALLOCATION):
                if self.pages.setdefault(key, write["v"]) != write["v"]:
                    self.violations.append(("two_allocations", key))
            elif key.startswith(keys.JOB) and key not in self.cluster.store.data:
                self._accepted(key[len(keys.JOB) :], write["v"])
        self._change(writes)

    def _accepted(self, job, record):
        if job in self.accepted_at:
            self.violations.append(("accepted_twice", job))
        self.accepted_at[job] = self.cluster.now()
        grant_reference = record.get("ad")
        if grant_reference is None:
            self.without_grant_reference += 1
            return
        flow = Flow(record["s"]["t"], record["s"]["c"])
        flows = self.admitted.setdefault(tuple(grant_reference), {})
        flows[flow] = flows.get(flow, 0) + 1

    def allocation(self, slot):
        pages = [value for key, value in sorted(self.pages.items()) if keys.allocation_slot(key)[0] == slot]
        return decode_allocation(pages) if pages else None

    def verify(self):
        """Compare admitted jobs with grants, by slot and controller; returns all violations found so far."""
        for (slot, incarnation), flows in self.admitted.items():
            allocation = self.allocation(slot)
            node_grants = (
                []
                if allocation is None
                else [grant for grant in allocation.node_grants.values() if grant.incarnation == incarnation]
            )
            if len(node_grants) != 1:
                self.violations.append(("no_grant", (slot, incarnation)))
                continue
            self._compare(slot, node_grants[0], flows)
        return self.violations

    def _compare(self, slot, grant, flows):
        excess = {flow: max(0, count - grant.flows.get(flow, 0)) for flow, count in flows.items()}
        interactive = sum(count for flow, count in excess.items() if flow.job_class == "look")
        others = sum(excess.values()) - interactive
        if others > grant.shared or others + interactive > grant.shared + grant.interactive:
            self.violations.append(("over_grant", (slot, flows, grant)))

    def admission_waits_s(self, prefix, begin=0.0):
        """Return the seconds from first submission to confirmation; infinite for a job that was never confirmed.

        Only jobs with this prefix that were first submitted at ``begin`` or later are included.
        """
        return [
            self.answered_at.get(job, float("inf")) - at
            for job, at in self.first_submitted_at.items()
            if job.startswith(prefix) and at >= begin
        ]


def record_starts(cluster):
    """Return a dictionary in which the times of all starts are recorded by class."""
    starts = {}
    started = cluster.checker.on_task_started

    def record(worker, task):
        starts.setdefault(cluster.specs[task.job]["shelfmark"], []).append(cluster.now())
        started(worker, task)

    cluster.checker.on_task_started = record
    return starts


def longest_gap_s(times, begin, end):
    """Return the longest time without a start between ``begin`` and ``end``."""
    points = [begin, *(at for at in times if begin <= at <= end), end]
    return max(later - earlier for earlier, later in pairwise(points))


class ClassWaits:
    """Measures the longest time for which each class had accepted jobs waiting and no start."""

    def __init__(self, cluster, checker):
        self.cluster, self.checker = cluster, checker
        self.starts = record_starts(cluster)
        self.longest_s = {}

    async def run(self):
        """Update the measurement every two seconds."""
        while True:
            await asyncio.sleep(2.0)
            started = {job for (job, _), places in self.cluster.checker.placements.items() if places}
            started |= {job for job, _ in self.cluster.completed}
            oldest = {}
            for job, at in self.checker.accepted_at.items():
                if job not in started:
                    name = self.cluster.specs[job]["shelfmark"]
                    oldest[name] = min(at, oldest.get(name, at))
            for name, at in oldest.items():
                since = max(at, self.starts.get(name, [0.0])[-1])
                self.longest_s[name] = max(self.longest_s.get(name, 0.0), self.cluster.now() - since)


async def submit(cluster, checker, spec, run_s=1.0, node=None):
    """Submit a job and retry as a user does, after the time given in answers; returns whether it was accepted."""
    job = spec["ref"]
    cluster.specs[job], cluster.run_times[job] = spec, run_s
    body = cbor2.dumps(spec)
    first_at = checker.first_submitted_at.setdefault(job, cluster.now())
    while cluster.now() - first_at < RETRY_FOR_S:
        sent_at, retry_after_s = cluster.now(), 1.0
        try:
            async with asyncio.timeout(5.0):
                target = node or cluster.rng.choice(cluster.serving())
                response = await cluster._send(target, Request("POST", "/v2/runs", body))
        except (TimeoutError, ConnectionError):
            response = None
        if response is not None:
            if response.status in (200, 201):
                checker.answered_at.setdefault(job, cluster.now())
                cluster.checker.on_answer(job, sent_at, response.status, cbor2.loads(response.body), submission=True)
                return True
            retry_after_s = max(retry_after_s, response.retry_after or 0.0)
        await asyncio.sleep(retry_after_s)
    checker.abandoned.add(job)
    return False


class SubmissionLoad:
    """Submits jobs of one class at a constant mean rate."""

    def __init__(self, cluster, checker, first_number, **fields):
        self.cluster, self.checker, self.number, self.fields = cluster, checker, first_number, fields

    async def run(self, rate, for_s, run_s=1.0, node=None):
        """Submit jobs at random intervals, all to one controller if ``node`` is given."""
        until = self.cluster.now() + for_s
        while self.cluster.now() < until:
            self.number += 1
            spec = self.cluster.job(self.number, **self.fields)
            self.cluster.spawn(submit(self.cluster, self.checker, spec, run_s, node))
            await asyncio.sleep(self.cluster.rng.expovariate(rate))
