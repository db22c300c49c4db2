"""Machine holds: machines that are kept free for a particular waiting job."""

from __future__ import annotations

import msgspec

from passrock.core.instants import NEVER
from passrock.core.job import Job
from passrock.core.machine import Machine


class MachineHold(msgspec.Struct, frozen=True):
    """Restricts a machine to the tasks of one job.

    Either tasks on the machine are being preempted for the job, or the job is starving and would never find all the
    machines that it needs free at the same time.

    Attributes:
        job_id: the job that the machine is held for.
        expires_at: monotonic time.
        needed_at: the monotonic time at which the job is expected to start. Tasks of other jobs that are expected to
            end before may use the machine.
    """

    job_id: str
    expires_at: float
    needed_at: float = NEVER


class MachineHolds:
    """The holds by machine name; each expires unless it is renewed."""

    def __init__(self) -> None:
        self.by_machine: dict[str, MachineHold] = {}

    def __len__(self) -> int:
        return len(self.by_machine)

    def expire(self, now: float) -> None:
        """Remove the holds that have expired."""
        self.by_machine = {name: hold for name, hold in self.by_machine.items() if hold.expires_at > now}

    def hold(self, machine: Machine, job: Job, expires_at: float, needed_at: float = NEVER) -> None:
        """Hold a machine for a job, which replaces an earlier hold of the machine."""
        self.by_machine[machine.name] = MachineHold(job.spec.id, expires_at, needed_at)

    def release(self, machine_name: str) -> None:
        """Remove the hold of a machine, if there is one."""
        self.by_machine.pop(machine_name, None)

    def allows(self, job: Job, machine: Machine) -> bool:
        """Whether the machine isn't held for another job."""
        hold = self.by_machine.get(machine.name)
        return hold is None or hold.job_id == job.spec.id

    def allows_until(self, ends_at: float, job: Job, machine: Machine) -> bool:
        """Whether the machine isn't held for another job, or isn't needed by that job before ``ends_at``."""
        hold = self.by_machine.get(machine.name)
        return hold is None or hold.job_id == job.spec.id or ends_at <= hold.needed_at

    def exist_for(self, job: Job) -> bool:
        """Whether any machine is held for the job."""
        return any(hold.job_id == job.spec.id for hold in self.by_machine.values())

    def machines_of(self, job: Job) -> set[str]:
        """Return the names of the machines that are held for the job."""
        return {name for name, hold in self.by_machine.items() if hold.job_id == job.spec.id}
