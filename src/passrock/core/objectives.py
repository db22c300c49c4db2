"""Service-level objectives of job classes, and the time by which a waiting job has to be placed to meet them."""

from __future__ import annotations

import msgspec

from passrock.core.job import Job
from passrock.core.model import JobSpec, MachineType

# A job whose latest start is no further away than this multiple of a machine's provisioning time can't wait for a
# spot instance.
PROVISIONING_MARGIN_RATIO = 1.5
# Multiplies the owner's estimate of the run time, which is often too low, where a job has to finish in time.
RUN_TIME_MARGIN_RATIO = 1.3


class Objective(msgspec.Struct, frozen=True):
    """A service-level objective of the platform.

    Attributes:
        kind: "wait" limits the time to the start, "finished" the time to the end, and "guarantee" the time to the
            start of a job within its team's guarantee; other kinds don't affect scheduling.
        job_class: the job class to which the objective applies; unused for "guarantee".
        within_s: the limit, in seconds from the submission.
        share: the share of the jobs that have to meet the objective.
    """

    kind: str
    job_class: str
    within_s: float
    share: float


class ServiceLevelObjectives:
    """The objectives of the platform by job class.

    Attributes:
        starvation_threshold_s: the wait after which a job without attempts is starving.
        hold_horizon_s: machines are held for a starving job if it is expected to start within this time: the rest of
            ``begin_within_s``, or once more the time until it was starving if that is longer.

    Args:
        objectives: all objectives of the platform.
        starvation_threshold_s: see above.
        begin_within_s: the wait within which every job is expected to start.
    """

    def __init__(
        self, objectives: tuple[Objective, ...], starvation_threshold_s: float, begin_within_s: float
    ) -> None:
        self.starvation_threshold_s = starvation_threshold_s
        self.hold_horizon_s = max(begin_within_s - starvation_threshold_s, starvation_threshold_s)
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
        """Return the time by which the job has to be placed to meet its next objective.

        The next objective is the first that the job can still meet: a job that has missed an objective no longer
        competes for it with jobs that can still meet it. An objective that the job can't meet because of the image
        fetch counts as missed.

        Args:
            job: the waiting job.
            now: monotonic time.
            guaranteed: whether the job is within its team's guarantee, which has objectives of its own.
            image_fetch_s: seconds from the placement until the job's image is on the machine.

        Returns:
            The monotonic time, or None when the job can't meet any objective.
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

        A starving job can't wait either: if it can't meet any objective, it would wait for ever where no spot
        instance is available.
        """
        if self.is_starving(job, now):
            return True
        latest = self.latest_start(job, now)
        return latest is not None and latest - now <= PROVISIONING_MARGIN_RATIO * provisioning_time_s(
            machine_type, job.spec
        )

    def is_starving(self, job: Job, now: float) -> bool:
        """Whether the job has waited so long that it is placed first and machines are held for it.

        A job that already has attempts is starving after twice the threshold.
        """
        return now - job.waiting_since > self.starvation_threshold_s * (1 if job.attempt_count == 0 else 2)


def image_fetch_time_s(spec: JobSpec, machine_type: MachineType) -> float:
    """Return the seconds to fetch a job's image on a machine that doesn't have it in its cache."""
    return spec.image_gb / machine_type.fetch_gb_per_s if machine_type.fetch_gb_per_s > 0 else 0.0


def provisioning_time_s(machine_type: MachineType, spec: JobSpec) -> float:
    """Return the seconds from the request for a machine until a task of the job runs on it."""
    return machine_type.boot_s + image_fetch_time_s(spec, machine_type)
