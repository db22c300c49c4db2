"""Checks the users' rules against what really happens in the simulated cluster."""

import math

FINAL = ("done", "cancelled")  # states of a job that stay


class Checker:
    """Collects broken rules as (time, rule, detail)."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.violations = []
        self.placements = {}  # (job, index) -> set of (machine, attempt)
        self.starts = 0
        self.confirmed_cancelled_at = {}
        self.confirmed_states = {}
        self.accepted = set()
        self.cancel_requested = set()
        self.unanswered_since = {}
        self.check_waiting = False  # whether jobs are looked at that wait although there is room
        self.waiting_since = {}
        self.starts_cancelled = 0  # within cancel_s of the confirmation: allowed for commands under way, and counted

    def record_violation(self, rule, detail):
        self.violations.append((round(self.cluster.now(), 3), rule, detail))

    # -- tasks ------------------------------------------------------------------------------------

    def on_task_started(self, worker, task):
        """A task has its image on a machine."""
        self.starts += 1
        key = (task.job, task.index)
        if self.placements.get(key):
            self.record_violation("task_ran_twice", f"{key} on {worker.name} while on {self.placements[key]}")
        self._check_place(worker, task)
        self.placements.setdefault(key, set()).add((worker.name, task.attempt_number))
        self._check_quota(self.cluster.specs[task.job]["desk"])
        told = self.confirmed_cancelled_at.get(task.job)
        if told is not None and self.cluster.now() - told > self.cluster.limits["cancel_s"]:
            self.record_violation("cancelled_job_ran", f"{key} started")
        self.starts_cancelled += told is not None

    def on_task_ended(self, worker, task):
        self.placements.get((task.job, task.index), set()).discard((worker.name, task.attempt_number))

    def _check_place(self, worker, task):
        spec = self.cluster.specs[task.job]
        zones = [
            self.cluster.zone_of[name]
            for (job, index), places in self.placements.items()
            if job == task.job and index != task.index
            for name, _ in places
        ]
        cap = (spec["volumes"] + 1) // 2
        wrong = (
            (spec["bindings"] is not None and worker.type not in spec["bindings"])
            or (spec["branch"] is not None and worker.zone != spec["branch"])
            or (worker.spot and not spec["loaners"])
            or (spec["samePlace"] and any(zone != worker.zone for zone in zones))
            or (spec["spread"] and zones.count(worker.zone) + 1 > cap)
        )
        if wrong:
            self.record_violation(
                "placement_constraint", f"{task.job}/{task.index} on {worker.name} in {worker.zone}"
            )

    def _check_quota(self, team):
        used = sum(
            self.cluster.specs[job]["cards"] * len(places)
            for (job, _), places in self.placements.items()
            if self.cluster.specs[job]["desk"] == team
        )
        if used > self.cluster.limits["gpus_max"] + 1e-6:
            self.record_violation("quota", f"{team} uses {used}")

    def step(self):
        """What has to hold at any moment."""
        now = self.cluster.now()
        for (job, index), places in self.placements.items():
            told = self.confirmed_cancelled_at.get(job)
            if places and told is not None and now - told > self.cluster.limits["cancel_s"]:
                self.record_violation("cancelled_job_ran", f"{job}/{index} still on {places}")
                self.confirmed_cancelled_at[job] = now

        if self.check_waiting and now > self.cluster.disrupted_until:
            self._look_at_waits(now)

    def _look_at_waits(self, now):
        """Once faults are over, no job may wait for 90 s while a fitting machine has room."""
        placed = {job for (job, _), places in self.placements.items() if places}
        for job in self.accepted:
            spec = self.cluster.specs[job]
            over = job in self.cancel_requested or self.confirmed_states[job][1] in FINAL
            tasks = 1 if spec["format"] == "batch" else spec["volumes"]
            if over or job in placed or not self._has_room(spec, tasks):
                self.waiting_since.pop(job, None)
            elif now - max(self.waiting_since.setdefault(job, now), self.cluster.disrupted_until) > 90.0:
                self.record_violation("schedulable_job_waited", job)
                self.waiting_since[job] = now

    def _has_room(self, spec, tasks):
        """Whether a job could begin on what is up."""
        used = sum(
            self.cluster.specs[job]["cards"] * len(places)
            for (job, _), places in self.placements.items()
            if self.cluster.specs[job]["desk"] == spec["desk"]
        )
        if used + spec["cards"] * tasks > self.cluster.limits["gpus_max"]:
            return False
        zones = {}
        for worker in self.cluster.workers.values():
            if worker.hung_until > self.cluster.now() or worker.reclaim_at is not None or worker.tasks_fail:
                continue
            if (spec["branch"] not in (None, worker.zone)) or (worker.spot and not spec["loaners"]):
                continue
            size = self.cluster.cloud.types[worker.type]
            held = [self.cluster.specs[t.job] for t in worker.tasks.values() if t.state != "exited"]
            fits = min(
                int((size[field] - sum(one[field] for one in held) + 1e-6) / spec[field])
                for field in ("cores", "cards", "ramGb")
            )
            zones[worker.zone] = zones.get(worker.zone, 0) + fits
        return (max(zones.values(), default=0) if spec["samePlace"] else sum(zones.values())) >= tasks

    def on_query(self, job):
        """A user asks about an accepted job; once faults are over it may not go unanswered for 75 s."""
        now = self.cluster.now()
        since = max(self.unanswered_since.setdefault(job, now), self.cluster.disrupted_until)
        if now - since > 75.0:
            self.record_violation("job_lost_or_unanswered", f"{job} unanswered since {since}")
            self.unanswered_since[job] = now

    # -- answers -------------------------------------------------------------------------------------

    def on_answer(self, job, asked_at, status, body, submission=False):
        """A user got an answer to a question asked at ``asked_at``."""
        if status in (400, 422) and job in self.accepted:
            self.record_violation("job_lost_or_unanswered", f"{job} refused with {status}")
        if status == 404 and self.confirmed_states.get(job, (math.inf, ""))[0] <= asked_at:
            self.record_violation("job_lost_or_unanswered", f"{job} unknown")
        if status not in (200, 201):
            return
        if job in self.cluster.invalid_jobs:
            self.record_violation("invalid_job_accepted", job)
        self.unanswered_since.pop(job, None)
        if job not in self.cluster.specs:
            self.record_violation("unknown_job_confirmed", job)
            return
        self._check_state(job, asked_at, body["status"])
        self.accepted.add(job)

    def _check_state(self, job, asked_at, state):
        """A state that a user is told has to be true, and to follow from what users were told before."""
        if state == "done":
            spec = self.cluster.specs[job]
            if any((job, index) not in self.cluster.completed for index in range(spec["volumes"])):
                self.record_violation("done_before_completion", job)
        if state == "cancelled" and job not in self.cancel_requested:
            self.record_violation("state_contradicted", f"{job} cancelled by nobody")
        before_at, before = self.confirmed_states.get(job, (math.inf, ""))
        if before in FINAL and state != before and before_at <= asked_at:
            self.record_violation("state_contradicted", f"{job} was {before}, is {state}")
        if state == "cancelled":
            self.confirmed_cancelled_at.setdefault(job, self.cluster.now())
        if before not in FINAL:
            self.confirmed_states[job] = (self.cluster.now(), state)
