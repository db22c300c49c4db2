"""How the tasks of a gang see each other, on whatever machines they are."""


class GangCoordination:
    """The part of the simulated cluster through which members of a gang gather, end and miss each other."""

    def _gang_members(self, task):
        """Pairs of worker and task, for the tasks of this attempt of the gang that have not exited."""
        return [
            (worker, other)
            for worker in self.workers.values()
            for other in worker.tasks.values()
            if other.job == task.job and other.attempt_number == task.attempt_number and other.state != "exited"
        ]

    def gather_gang(self, task):
        """Begin the gang once all its members gather."""
        members = self._gang_members(task)
        if {t.index for _, t in members if t.state == "gathering"} == set(range(self.specs[task.job]["volumes"])):
            for worker, member in members:
                worker.begin(member)

    def gang_is_complete(self, task):
        """Whether all members run on machines that respond."""
        running = {
            t.index for w, t in self._gang_members(task) if t.state == "running" and w.hung_until <= self.now()
        }
        return running == set(range(self.specs[task.job]["volumes"]))

    def finish_gang(self, task):
        for worker, member in self._gang_members(task):
            worker.member_done(member)

    def notify_gang_of_loss(self, task):
        for worker, member in self._gang_members(task):
            if member.state == "running":
                worker.member_lost(member)

    def remaining(self, task):
        """Run time left; kept results complete at once."""
        if (task.job, task.index) in self.completed:
            return 0.0
        times = self.run_times[task.job]
        return times[task.index] if isinstance(times, list) else times
