"""Service-level objectives of job classes, and by when a waiting job has to be placed to meet them."""

from __future__ import annotations

import msgspec

from passrock.core.job import Job
from passrock.core.model import JobSpec, MachineType

# Times the provisioning time of a machine: with no more than this left, a job can't wait for a spot instance.
PROVISIONING_MARGIN_RATIO = 1.5
# Times the owner's estimate of the run time, which is often too low, where a job has to end in time.
RUN_TIME_MARGIN_RATIO = 1.3


class Objective(msgspec.Struct, frozen=True):
    """A service-level objective of the platform.

    Attributes:
        kind: "wait" for starting, "finished" for finishing, "guarantee" for starting within a team's guarantee;
            others don't affect scheduling.
        job_class: the class of jobs that it applies to; unused for "guarantee".
        within_s: seconds from the submission.
        share: the part of the jobs that has to meet it.
    """

    kind: str
    job_class: str
    within_s: float
    share: float


class ServiceLevelObjectives:
    """The objectives by job class.

    Args:
        objectives: those of the platform.
        starvation_threshold_s: the wait after which a job counts as starving.
    """

    def __init__(self, objectives: tuple[Objective, ...], starvation_threshold_s: float) -> None:
        self.starvation_threshold_s = starvation_threshold_s
        self._start_limits: dict[str, list[float]] = {}
        self._finish_limits: dict[str, list[float]] = {}
        self._guarantee_limits = sorted(
            objective.within_s for objective in objectives if objective.kind == "guarantee"
        )
        for objective in objectives:
            if objective.kind == "wait":
                self._start_limits.setdefault(objective.job_class, []).append(objective.within_s)
            elif objective.kind == "finished":
                self._finish_limits.setdefault(objective.job_class, []).append(objective.within_s)
        for limits in (*self._start_limits.values(), *self._finish_limits.values()):
            limits.sort()
        self._guaranteed_start_limits = {
            job_class: sorted(limits + self._guarantee_limits) for job_class, limits in self._start_limits.items()
        }

    def latest_start(
        self, job: Job, now: float, *, guaranteed: bool = False, image_fetch_s: float = 0.0
    ) -> float | None:
        """The time by which the job has to be placed for the next objective that it can still meet.

        A job that has missed an objective no longer competes for it with those that can still meet it. The
        image fetch counts: an objective that the job can't meet because of it counts as missed.

        Args:
            job: the waiting job.
            now: monotonic time.
            guaranteed: whether the job is within its team's guarantee, which has objectives of its own.
            image_fetch_s: seconds from the placement until the job's image is on the machine.

        Returns:
            Monotonic time, or None when no objective is left.
        """
        spec = job.spec
        earliest_start = now + image_fetch_s
        if guaranteed:
            start_limits = self._guaranteed_start_limits.get(spec.job_class, self._guarantee_limits)
        else:
            start_limits = self._start_limits.get(spec.job_class, [])
        for within_s in start_limits:
            if earliest_start < job.submitted_at_monotonic + within_s:
                return job.submitted_at_monotonic + within_s - image_fetch_s
        finish_limits = self._finish_limits.get(spec.job_class, [])
        if spec.deadline_s is not None:
            finish_limits = sorted([*finish_limits, spec.deadline_s])
        for within_s in finish_limits:
            start = job.submitted_at_monotonic + within_s - spec.estimated_run_s * RUN_TIME_MARGIN_RATIO
            if earliest_start < start:
                return start - image_fetch_s
        return None

    def too_urgent_for_spot(self, job: Job, machine_type: MachineType, now: float) -> bool:
        """Whether the job has to start so soon that it can't wait for a spot instance of this type.

        A starving job can't either: one without any objective left would wait for ever where no spot
        instance is available.
        """
        if self.is_starving(job, now):
            return True
        latest = self.latest_start(job, now)
        return latest is not None and latest - now <= PROVISIONING_MARGIN_RATIO * provisioning_time(
            machine_type, job.spec
        )

    def is_starving(self, job: Job, now: float) -> bool:
        """Whether the job has waited so long that it goes first and machines are held for it."""
        return now - job.waiting_since > self.starvation_threshold_s * (1 if job.attempt_count == 0 else 2)


def image_fetch_time(spec: JobSpec, machine_type: MachineType) -> float:
    """Seconds to fetch a job's image on a machine that doesn't have it."""
    return spec.image_gb / machine_type.fetch_gb_per_s if machine_type.fetch_gb_per_s > 0 else 0.0


def provisioning_time(machine_type: MachineType, spec: JobSpec) -> float:
    """Seconds from the request for a machine until a task of the job runs on it."""
    return machine_type.boot_s + image_fetch_time(spec, machine_type)
