"""What the users expect of each class of jobs, and by when a waiting job should start."""

from __future__ import annotations

import msgspec

from passrock.core.job import Job
from passrock.core.model import JobSpec, MachineType

AHEAD = 1.5  # times the time until a rented machine would run a task: then a due job can't wait any more
MARGIN = 1.3  # times the owner's estimate of the run time, which is often too low, where a job has to end in time
PAST = 1e9  # after every job that can still meet an aim


class Objective(msgspec.Struct, frozen=True):
    """An aim on starting or finishing that the platform hands over."""

    kind: str
    job_class: str
    within_s: float
    share: float


class ServiceLevelObjectives:
    """The objectives, by class."""

    def __init__(self, objectives: tuple[Objective, ...], keep_after: float) -> None:
        self.keep_after = keep_after
        self._waits: dict[str, list[float]] = {}
        self._ends: dict[str, list[float]] = {}
        self._guarantees = sorted(aim.within_s for aim in objectives if aim.kind == "guarantee")
        for aim in objectives:
            if aim.kind == "wait":
                self._waits.setdefault(aim.job_class, []).append(aim.within_s)
            elif aim.kind == "finished":
                self._ends.setdefault(aim.job_class, []).append(aim.within_s)
        for times in (*self._waits.values(), *self._ends.values()):
            times.sort()
        self._with_guarantee = {name: sorted(times + self._guarantees) for name, times in self._waits.items()}

    def due(self, job: Job, now: float, guaranteed: bool = False, fetch: float = 0.0) -> float:
        """When the job should start to meet the next aim that it can still meet.

        A job that has missed an aim no longer competes for it with those that can still make it. With
        the time that its image takes, the time is that of placing it, and an aim that a fetch would miss
        is taken for missed.
        """
        now += fetch
        spec = job.spec
        if guaranteed:
            waits = self._with_guarantee.get(spec.job_class, self._guarantees)
        else:
            waits = self._waits.get(spec.job_class, [])
        for within in waits:
            if now < job.submitted_at_monotonic + within:
                return job.submitted_at_monotonic + within - fetch
        ends = self._ends.get(spec.job_class, [])
        if spec.deadline_s is not None:
            ends = sorted([*ends, spec.deadline_s])
        for within in ends:
            start = job.submitted_at_monotonic + within - spec.estimated_run_s * MARGIN
            if now < start:
                return start - fetch
        return PAST + job.submitted_at_monotonic

    def presses(self, job: Job, kind: MachineType, now: float) -> bool:
        """Whether the job must begin so soon that it can't wait for a cheap machine.

        One without any aim left would wait for ever where none can be had.
        """
        return self.overdue(job, now) or self.due(job, now) - now <= AHEAD * lead_time(kind, job.spec)

    def overdue(self, job: Job, now: float) -> bool:
        """Whether the job has waited so long that it goes first and room is kept for it."""
        return now - job.waiting_since > self.keep_after * (1 if job.attempt_count == 0 else 2)


def fetch_time(spec: JobSpec, kind: MachineType) -> float:
    """Seconds to fetch a job's image on a machine without it."""
    return spec.image_gb / kind.fetch_rate if kind.fetch_rate > 0 else 0.0


def lead_time(kind: MachineType, spec: JobSpec) -> float:
    """Seconds from the request for a machine until a task of the job runs on it."""
    return kind.boot_s + fetch_time(spec, kind)
