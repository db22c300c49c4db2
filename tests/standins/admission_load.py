"""Floods of submissions, and a checker of what fair admission promises."""

import asyncio
from itertools import pairwise

import cbor2

from passrock.admission.core.flows import Flow
from passrock.admission.settings import AdmissionSettings
from passrock.admission.wire.allocation_record import decode_allocation
from passrock.controller import keys
from passrock.io.http_server import Request
from standins.simulated_cluster import SimulatedCluster

GIVES_UP_S = 60.0  # users repeat a submission for so long
OBJECTIVES = (
    {"kind": "wait", "class": "look", "within_s": 20.0, "share": 0.9},
    {"kind": "wait", "class": "batch", "within_s": 100.0, "share": 0.9},
)
ADMISSION = AdmissionSettings()
SLOT_S = 4.0  # with the simulation's report interval


def overloaded_cluster(seed, admission=ADMISSION, **options):
    """Three controllers with few changes a second, and the checker."""
    options = {"write_rps": 10.0, "objectives": OBJECTIVES, "admission": admission, **options}
    cluster = SimulatedCluster(seed, **options)
    return cluster, AdmissionChecker(cluster)


class AdmissionChecker:
    """Sees each write that the state service applies; keeps (rule, detail) of what should not be."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.broken = []
        self.pages = {}  # every page of an allocation that was ever written
        self.admitted = {}  # (slot, incarnation) -> flow -> jobs
        self.unmarked = 0
        self.accepted_at = {}
        self.first_asked, self.got_in, self.given_up = {}, {}, set()
        self._change, cluster.store._apply = cluster.store._apply, self._note

    def _note(self, writes):
        for write in writes:
            key = write.get("set", "")
            if key.startswith(keys.ALLOCATION):
                if self.pages.setdefault(key, write["v"]) != write["v"]:
                    self.broken.append(("two_allocations", key))
            elif key.startswith(keys.JOB) and key not in self.cluster.store.data:
                self._accepted(key[len(keys.JOB) :], write["v"])
        self._change(writes)

    def _accepted(self, job, record):
        if job in self.accepted_at:
            self.broken.append(("accepted_twice", job))
        self.accepted_at[job] = self.cluster.now()
        mark = record.get("ad")
        if mark is None:
            self.unmarked += 1
            return
        flow = Flow(record["s"]["t"], record["s"]["c"])
        flows = self.admitted.setdefault(tuple(mark), {})
        flows[flow] = flows.get(flow, 0) + 1

    def allocation(self, slot):
        pages = [value for key, value in sorted(self.pages.items()) if keys.allocation_slot(key)[0] == slot]
        return decode_allocation(pages) if pages else None

    def verify(self):
        """Compare what was admitted with what was granted, slot by slot and controller by controller."""
        for (slot, incarnation), flows in self.admitted.items():
            allocation = self.allocation(slot)
            node_grants = (
                []
                if allocation is None
                else [c for c in allocation.node_grants.values() if c.incarnation == incarnation]
            )
            if len(node_grants) != 1:
                self.broken.append(("no_grant", (slot, incarnation)))
                continue
            self._compare(slot, node_grants[0], flows)
        return self.broken

    def _compare(self, slot, grant, flows):
        over = {flow: max(0, count - grant.flows.get(flow, 0)) for flow, count in flows.items()}
        interactive = sum(count for flow, count in over.items() if flow.job_class == "look")
        others = sum(over.values()) - interactive
        if others > grant.shared or others + interactive > grant.shared + grant.interactive:
            self.broken.append(("over_grant", (slot, flows, grant)))

    def waits(self, prefix, begin=0.0):
        """Seconds from the first attempt to the acceptance of jobs that were first submitted after ``begin``."""
        return [
            self.got_in.get(job, float("inf")) - at
            for job, at in self.first_asked.items()
            if job.startswith(prefix) and at >= begin
        ]


def note_starts(cluster):
    """Times of all starts, by class."""
    starts = {}
    started = cluster.checker.on_task_started

    def note(worker, task):
        starts.setdefault(cluster.specs[task.job]["shelfmark"], []).append(cluster.now())
        started(worker, task)

    cluster.checker.on_task_started = note
    return starts


def longest_gap(times, begin, end):
    """The longest time without a start."""
    points = [begin, *(at for at in times if begin <= at <= end), end]
    return max(later - earlier for earlier, later in pairwise(points))


class ClassWaits:
    """The longest time for which each class had accepted jobs waiting and no start."""

    def __init__(self, cluster, checker):
        self.cluster, self.checker = cluster, checker
        self.starts = note_starts(cluster)
        self.longest = {}

    async def run(self):
        """Look every two seconds."""
        while True:
            await asyncio.sleep(2.0)
            begun = {job for (job, _), places in self.cluster.checker.placements.items() if places}
            begun |= {job for job, _ in self.cluster.completed}
            oldest = {}
            for job, at in self.checker.accepted_at.items():
                if job not in begun:
                    name = self.cluster.specs[job]["shelfmark"]
                    oldest[name] = min(at, oldest.get(name, at))
            for name, at in oldest.items():
                since = max(at, self.starts.get(name, [0.0])[-1])
                self.longest[name] = max(self.longest.get(name, 0.0), self.cluster.now() - since)


async def submit(cluster, checker, spec, run_s=1.0, node=None):
    """A user who repeats a submission as told until it is accepted, or gives up; whether it was accepted."""
    job = spec["ref"]
    cluster.specs[job], cluster.run_times[job] = spec, run_s
    body = cbor2.dumps(spec)
    first = checker.first_asked.setdefault(job, cluster.now())
    while cluster.now() - first < GIVES_UP_S:
        asked, wait = cluster.now(), 1.0
        try:
            async with asyncio.timeout(5.0):
                to = node or cluster.rng.choice(cluster.serving())
                response = await cluster._send(to, Request("POST", "/v2/runs", body))
        except (TimeoutError, ConnectionError):
            response = None
        if response is not None:
            if response.status in (200, 201):
                checker.got_in.setdefault(job, cluster.now())
                cluster.checker.on_answer(job, asked, response.status, cbor2.loads(response.body), submission=True)
                return True
            wait = max(wait, response.retry_after or 0.0)
        await asyncio.sleep(wait)
    checker.given_up.add(job)
    return False


class SubmissionLoad:
    """Submits jobs of one class at a steady rate."""

    def __init__(self, cluster, checker, first, **fields):
        self.cluster, self.checker, self.number, self.fields = cluster, checker, first, fields

    async def run(self, rate, for_s, run_s=1.0, node=None):
        """Jobs at random moments; ``node``: a single controller hears them all."""
        until = self.cluster.now() + for_s
        while self.cluster.now() < until:
            self.number += 1
            spec = self.cluster.job(self.number, **self.fields)
            self.cluster.spawn(submit(self.cluster, self.checker, spec, run_s, node))
            await asyncio.sleep(self.cluster.rng.expovariate(rate))
