"""Coordination between the tasks of a gang, which may run on different machines."""


class GangCoordination:
    """The part of the simulated cluster that starts gangs, completes them and notifies their tasks of losses."""

    def _gang_members(self, task):
        """Return (worker, task) for each task of this attempt of the gang that has not exited."""
        return [
            (worker, other)
            for worker in self.workers.values()
            for other in worker.tasks.values()
            if other.job == task.job and other.attempt_number == task.attempt_number and other.state != "exited"
        ]

    def start_gang_if_gathered(self, task):
        """Start the gang as soon as all its tasks are gathering."""
        members = self._gang_members(task)
        if {t.index for _, t in members if t.state == "gathering"} == set(range(self.specs[task.job]["volumes"])):
            for worker, member in members:
                worker.start_running(member)

    def is_gang_running(self, task):
        """Whether all tasks of the gang run on machines that are not hung."""
        running = {
            t.index for w, t in self._gang_members(task) if t.state == "running" and w.hung_until <= self.now()
        }
        return running == set(range(self.specs[task.job]["volumes"]))

    def finish_gang(self, task):
        for worker, member in self._gang_members(task):
            worker.complete_member(member)

    def notify_gang_of_loss(self, task):
        for worker, member in self._gang_members(task):
            if member.state == "running":
                worker.notify_member_lost(member)

    def remaining_run_time(self, task):
        """Return the run time left in seconds; 0 for a task that completed in an earlier attempt."""
        if (task.job, task.index) in self.completed:
            return 0.0
        run_times = self.run_times[task.job]
        return run_times[task.index] if isinstance(run_times, list) else run_times
