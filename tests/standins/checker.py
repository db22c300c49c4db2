"""Checks the guarantees that the scheduler gives to users against the events in the simulated cluster."""

import math

FINAL_STATES = ("done", "cancelled")  # a job never leaves these states


class Checker:
    """Collects violations of the rules as (time, rule, detail)."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.violations = []
        self.placements = {}  # (job, index) -> set of (machine, attempt number) of tasks that are on machines
        self.starts = 0
        self.confirmed_cancelled_at = {}  # job -> time
        self.confirmed_states = {}  # job -> (time, state) of the last confirmed state, or of the first final one
        self.accepted = set()
        self.cancel_requested = set()
        self.unanswered_since = {}  # job -> time of the first query since its last answer
        self.check_waiting = False  # whether to check that no schedulable job waits
        self.waiting_since = {}  # job -> time since when it waits while a machine has room for it
        # starts after a confirmed cancellation; within cancel_s they are allowed, since commands may be under way
        self.starts_after_cancellation = 0
        self.starts_by_copies = 0  # attempts that a copy of an answer started after the answer had been carried out
        self.starts_after_done = 0  # starts of tasks of jobs that a user was told are done

    def record_violation(self, rule, detail):
        self.violations.append((round(self.cluster.now(), 3), rule, detail))

    # -- tasks ------------------------------------------------------------------------------------

    def on_task_started(self, worker, task):
        """Check a task that is about to start: its image is on the machine."""
        self.starts += 1
        key = (task.job, task.index)
        if self.placements.get(key):
            self.record_violation("task_ran_twice", f"{key} started on {worker.name} while on {self.placements[key]}")
        self._check_placement(worker, task)
        self.placements.setdefault(key, set()).add((worker.name, task.attempt_number))
        self._check_quota(self.cluster.specs[task.job]["desk"])
        cancelled_at = self.confirmed_cancelled_at.get(task.job)
        if cancelled_at is not None and self.cluster.now() - cancelled_at > self.cluster.limits["cancel_s"]:
            self.record_violation("cancelled_job_ran", f"{key} started on {worker.name}")
        self.starts_after_cancellation += cancelled_at is not None
        self.starts_after_done += self.confirmed_states.get(task.job, (0.0, ""))[1] == "done"

    def on_task_ended(self, worker, task):
        self.placements.get((task.job, task.index), set()).discard((worker.name, task.attempt_number))

    def _check_placement(self, worker, task):
        spec = self.cluster.specs[task.job]
        zones = [
            self.cluster.zone_of[name]
            for (job, index), places in self.placements.items()
            if job == task.job and index != task.index
            for name, _ in places
        ]
        max_per_zone = (spec["volumes"] + 1) // 2
        violated = (
            (spec["bindings"] is not None and worker.type not in spec["bindings"])
            or (spec["branch"] is not None and worker.zone != spec["branch"])
            or (worker.spot and not spec["loaners"])
            or (spec["samePlace"] and any(zone != worker.zone for zone in zones))
            or (spec["spread"] and zones.count(worker.zone) + 1 > max_per_zone)
        )
        if violated:
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
            self.record_violation("quota", f"{team} uses {used} GPUs")

    def check_invariants(self):
        """Check the rules that must hold at any moment."""
        now = self.cluster.now()
        for (job, index), places in self.placements.items():
            cancelled_at = self.confirmed_cancelled_at.get(job)
            if places and cancelled_at is not None and now - cancelled_at > self.cluster.limits["cancel_s"]:
                self.record_violation("cancelled_job_ran", f"{job}/{index} still on {places}")
                self.confirmed_cancelled_at[job] = now

        if self.check_waiting and now > self.cluster.disrupted_until:
            self._check_waiting_jobs(now)

    def _check_waiting_jobs(self, now):
        """Check that, once faults are over, no task waits for 90 s while a suitable machine has room."""
        placed = {}  # job -> indexes of its tasks that are on machines
        for (job, index), places in self.placements.items():
            if places:
                placed.setdefault(job, set()).add(index)
        for job in self.accepted:
            spec = self.cluster.specs[job]
            ended = job in self.cancel_requested or self.confirmed_states[job][1] in FINAL_STATES
            count = 0 if ended else self._count_waiting(spec, placed.get(job, set()))
            if count == 0 or not self._has_room(spec, count, placed.get(job, set())):
                self.waiting_since.pop(job, None)
            elif now - max(self.waiting_since.setdefault(job, now), self.cluster.disrupted_until) > 90.0:
                self.record_violation("schedulable_job_waited", job)
                self.waiting_since[job] = now

    def _count_waiting(self, spec, placed):
        """Return how many tasks of a job must find room together: all of a gang, otherwise one; 0 if none waits."""
        job = spec["ref"]
        waits = any(
            index not in placed and (job, index) not in self.cluster.completed for index in range(spec["volumes"])
        )
        if spec["format"] == "group":
            return spec["volumes"] if waits and not placed else 0
        return 1 if waits else 0

    def _has_room(self, spec, tasks, placed):
        """Whether ``tasks`` more tasks of a job, of which some are ``placed``, could start on the machines."""
        used = sum(
            self.cluster.specs[job]["cards"] * len(places)
            for (job, _), places in self.placements.items()
            if self.cluster.specs[job]["desk"] == spec["desk"]
        )
        if used + spec["cards"] * tasks > self.cluster.limits["gpus_max"]:
            return False
        present = [
            self.cluster.zone_of[name]
            for index in placed
            for name, _ in self.placements[(spec["ref"], index)]  # tasks of the job by zone
        ]
        zones = {}
        for worker in self.cluster.workers.values():
            if worker.hung_until > self.cluster.now() or worker.reclaim_at is not None or worker.tasks_fail:
                continue
            if spec["samePlace"] and present and worker.zone not in present:
                continue
            zones[worker.zone] = zones.get(worker.zone, 0) + self._count_fitting(spec, worker)
        if spec["spread"]:
            max_per_zone = (spec["volumes"] + 1) // 2
            zones = {zone: min(count, max_per_zone - present.count(zone)) for zone, count in zones.items()}
        return (max(zones.values(), default=0) if spec["samePlace"] else sum(zones.values())) >= tasks

    def _count_fitting(self, spec, worker):
        """Return how many tasks of a job fit into the room on a machine."""
        if spec["branch"] not in (None, worker.zone) or (worker.spot and not spec["loaners"]):
            return 0
        if spec["bindings"] is not None and worker.type not in spec["bindings"]:
            return 0
        size = self.cluster.cloud.machine_types[worker.type]
        placed_specs = [self.cluster.specs[task.job] for task in worker.tasks.values() if task.state != "exited"]
        return min(
            int((size[field] - sum(placed_spec[field] for placed_spec in placed_specs) + 1e-6) / spec[field])
            for field in ("cores", "cards", "ramGb")
            if spec[field] > 0
        )

    def on_query(self, job):
        """Record a user's query of an accepted job, which once faults are over must not go unanswered for 75 s."""
        now = self.cluster.now()
        since = max(self.unanswered_since.setdefault(job, now), self.cluster.disrupted_until)
        if now - since > 75.0:
            self.record_violation("job_lost_or_unanswered", f"{job} unanswered since {since}")
            self.unanswered_since[job] = now

    # -- answers -------------------------------------------------------------------------------------

    def on_answer(self, job, sent_at, status, body, submission=False):
        """Check an answer to a user's request that was sent at ``sent_at``."""
        if status in (400, 422) and job in self.accepted:
            self.record_violation("job_lost_or_unanswered", f"{job} refused with status {status}")
        if status == 404 and self.confirmed_states.get(job, (math.inf, ""))[0] <= sent_at:
            self.record_violation("job_lost_or_unanswered", f"{job} answered with status 404")
        if status not in (200, 201):
            return
        if job in self.cluster.invalid_jobs:
            self.record_violation("invalid_job_accepted", job)
        self.unanswered_since.pop(job, None)
        if job not in self.cluster.specs:
            self.record_violation("unknown_job_confirmed", job)
            return
        self._check_state(job, sent_at, body["status"])
        self.accepted.add(job)

    def _check_state(self, job, sent_at, state):
        """Check that a state given to a user is true and doesn't contradict the states given before."""
        if state == "done":
            spec = self.cluster.specs[job]
            if any((job, index) not in self.cluster.completed for index in range(spec["volumes"])):
                self.record_violation("done_before_completion", job)
        if state == "cancelled" and job not in self.cancel_requested:
            self.record_violation("state_contradicted", f"{job} is cancelled though no user requested it")
        previous_at, previous = self.confirmed_states.get(job, (math.inf, ""))
        if previous in FINAL_STATES and state != previous and previous_at <= sent_at:
            self.record_violation("state_contradicted", f"{job} was {previous}, is {state}")
        if state == "cancelled":
            self.confirmed_cancelled_at.setdefault(job, self.cluster.now())
        if previous not in FINAL_STATES:
            self.confirmed_states[job] = (self.cluster.now(), state)
