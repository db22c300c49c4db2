"""Machine holds: machines kept for one waiting job."""

from __future__ import annotations

import msgspec

from passrock.core.job import Job
from passrock.core.machine import Machine


class MachineHold(msgspec.Struct, frozen=True):
    """A machine that takes no tasks but those of one job.

    Either tasks are being preempted there for the job, or the job has waited too long and would never find
    all its machines free at the same time.
    """

    job_id: str
    expires_at: float  # monotonic time


class MachineHolds:
    """The holds by machine; each expires unless it is renewed."""

    def __init__(self) -> None:
        self.by_machine: dict[str, MachineHold] = {}

    def __len__(self) -> int:
        return len(self.by_machine)

    def expire(self, now: float) -> None:
        """Drop the holds that have ended."""
        self.by_machine = {name: hold for name, hold in self.by_machine.items() if hold.expires_at > now}

    def hold(self, machine: Machine, job: Job, expires_at: float) -> None:
        """Hold a machine for a job; replaces an earlier hold."""
        self.by_machine[machine.name] = MachineHold(job.spec.id, expires_at)

    def release(self, machine_name: str) -> None:
        """End the hold of a machine, if there is one."""
        self.by_machine.pop(machine_name, None)

    def allows(self, job: Job, machine: Machine) -> bool:
        """Whether the machine isn't held for another job."""
        hold = self.by_machine.get(machine.name)
        return hold is None or hold.job_id == job.spec.id

    def exist_for(self, job: Job) -> bool:
        """Whether any machine is held for the job."""
        return any(hold.job_id == job.spec.id for hold in self.by_machine.values())

    def machines_of(self, job: Job) -> set[str]:
        """Names of the machines held for the job."""
        return {name for name, hold in self.by_machine.items() if hold.job_id == job.spec.id}
