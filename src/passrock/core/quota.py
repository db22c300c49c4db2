"""Team quotas: the resources that each team uses and demands, and whether its quota allows more."""

from __future__ import annotations

from passrock.core.inventory import MachineInventory
from passrock.core.job import Job
from passrock.core.job_table import JobTable
from passrock.core.model import ZERO_RESOURCES, Resources, Team


class TeamQuotas:
    """Checks jobs against the quotas of their teams; orphans count as usage, since they may still be running."""

    def __init__(self, job_table: JobTable, inventory: MachineInventory, teams: dict[str, Team]) -> None:
        self.job_table = job_table
        self.inventory = inventory
        self.teams = teams
        self._orphans: set[tuple[str, int]] = set()
        self._orphan_usage: dict[str, Resources] = {}

    def count_orphans(self) -> None:
        """Count the orphans in the latest heartbeats, for the scheduling pass that begins."""
        self._orphans = set()
        self._orphan_usage = {}
        for machine in self.inventory.machines.values():
            for (job_id, index), resources in machine.orphans.items():
                self._orphans.add((job_id, index))
                job = self.job_table.jobs.get(job_id)
                if job is not None:
                    team = job.spec.team
                    self._orphan_usage[team] = self._orphan_usage.get(team, ZERO_RESOURCES) + resources

    def is_orphaned(self, job: Job, index: int) -> bool:
        """Whether an orphan of this task may still be running."""
        return (job.spec.id, index) in self._orphans

    def has_orphans(self, job: Job) -> bool:
        """Whether an orphan of any of the job's tasks may still be running."""
        return any(job_id == job.spec.id for job_id, _ in self._orphans)

    def allows(self, job: Job, count: int) -> bool:
        """Whether the team's quota allows ``count`` more tasks of the job."""
        team = self.teams.get(job.spec.team)
        if team is None:
            return False  # the team was removed from the settings: its quota is unknown, but its jobs remain
        used = self.job_table.usage.get(team.name, ZERO_RESOURCES) + self._orphan_usage.get(team.name, ZERO_RESOURCES)
        return team.within_quota(used + job.spec.resources.scaled(count))

    def demand(self, team: str) -> Resources:
        """Return the resources for all uncompleted tasks of a team's jobs."""
        total = ZERO_RESOURCES
        for job in self.job_table.jobs.values():
            if job.spec.team == team and not job.cancelled:
                total = total + job.spec.resources.scaled(job.spec.task_count - job.completed_count)
        return total
