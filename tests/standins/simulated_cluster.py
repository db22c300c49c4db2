"""A simulated deployment: real controllers, stand-in services, workers and users, fault injection and a checker."""

import asyncio
import math
import random

from passrock.io.clock import use_wall_clock
from standins import virtual_time
from standins.checker import Checker
from standins.cloud_service import CloudService
from standins.deployment import LIMITS, MACHINE_TYPE, TEAMS
from standins.faults import FaultInjection
from standins.gangs import GangCoordination
from standins.network import SimulatedNetwork
from standins.simulated_controller import SimulatedController
from standins.state_service import KeyValueStoreService
from standins.users import SimulatedUsers
from standins.worker import Worker


class SimulatedCluster(GangCoordination, SimulatedNetwork, SimulatedUsers, FaultInjection):
    """All parts of a simulated deployment, driven by one seeded random source."""

    def __init__(
        self,
        seed,
        zones=("a", "b", "c"),
        node_count=3,
        machines=6,
        late_request_share=0.0,
        lost_answer_share=0.0,
        duplicate_share=0.0,
        repeated_answer_share=0.0,
        repeated_request_share=0.0,
        teams=TEAMS,
        guarantee=4.0,
        quota=LIMITS["gpus_max"],
        capacity=(6, 3),
        limits=None,
        freezes=False,
        admission=None,
        objectives=(),
        write_rps=40.0,
        retained_changes=10_000,
        max_page_keys=1000,
        machine_types=None,
    ):
        self.rng = random.Random(seed)
        self.zones = zones
        self.node_count = node_count
        self.teams, self.guarantee = teams, guarantee
        self.limits = {**LIMITS, "gpus_max": quota, **(limits or {})}
        self.late_request_share, self.lost_answer_share = late_request_share, lost_answer_share
        self.specs, self.run_times, self.progress = {}, {}, {}
        self.completed = set()  # (job, index) of tasks that ran to completion
        self.invalid_jobs = set()  # jobs that can't run or lack a field: no submission of them may be accepted
        self.workers, self.zone_of = {}, {}
        self.network_faults = []  # (kind, name, until)
        self.freezes = freezes  # whether random faults include controllers that freeze
        self.duplicate_share = duplicate_share  # of heartbeats that arrive a second time, much later
        self.repeated_answer_share = repeated_answer_share  # of answers that reach their worker once more
        self.repeated_request_share = repeated_request_share  # of requests that arrive once more
        # settings of fair admission by node number; None: off
        self.admission = {i: admission for i in range(node_count)}
        self.objectives, self.write_rps = objectives, write_rps
        self.clock_offset = {}  # node -> seconds by which its wall clock is ahead
        self.disrupted_until = 0.0  # faults are over from then on; rules on delays hold only afterwards
        self.store_delay_s = 0.0  # added to each request to the key-value store
        self.checker = Checker(self)
        self.store = KeyValueStoreService()
        self.store.retained_events, self.store.max_page_keys = retained_changes, max_page_keys
        machine_types = machine_types or {"box": dict(MACHINE_TYPE, branches=list(zones))}
        capacity_by_kind = {
            (name, zone, spot): capacity[spot]
            for name, machine_type in machine_types.items()
            for zone in machine_type["branches"]
            for spot in (True, False)
        }
        self.cloud = CloudService(
            machine_types, capacity_by_kind, self.rng, 3.0, self._machine_up, self._machine_lost
        )
        self.tasks = set()
        self.nodes = {}
        self.done_users = 0  # users whose job is done or cancelled
        self.poll_failures = 0
        for i in range(machines):
            self.cloud.add_machine("box", zones[i % len(zones)], False, boot_s=0.1)
        self.start_nodes()
        self.spawn(self.store.expire_leases_periodically())
        self.spawn(self._run_checker())

    def start_nodes(self):
        """Start the controllers in this process, in virtual time."""
        use_wall_clock(self._time_of_day)
        for number in range(self.node_count):
            self.nodes[f"n{number}"] = SimulatedController(self, number)

    def _time_of_day(self):
        owner = virtual_time.OWNER.get()
        return self.now() + (self.clock_offset.get(owner.name, 0.0) if owner is not None else 0.0)

    def now(self):
        return asyncio.get_running_loop().time()

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def _run_checker(self):
        while True:
            await asyncio.sleep(0.25)
            self.checker.check_invariants()

    # -- machines ----------------------------------------------------------------------------------

    def _machine_up(self, machine):
        self.zone_of[machine["ref"]] = machine["branch"]
        self.workers[machine["ref"]] = Worker(self, machine, self.limits)

    def _machine_lost(self, name):
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.terminate()

    # -- controllers -------------------------------------------------------------------------------

    def serving(self):
        """Return the names of the nodes to which the load balancer sends users."""
        return [name for name, controller in self.nodes.items() if controller is None or controller.alive] or list(
            self.nodes
        )

    def leaders(self):
        """Return the names of the nodes that hold an unexpired leader lease."""
        return [
            name
            for name, controller in self.nodes.items()
            if controller.alive and controller.node.leadership.holds_lease()
        ]

    async def wait_for_leader(self):
        """Wait until a node leads, and return its name."""
        while not self.leaders():
            await asyncio.sleep(0.1)
        return self.leaders()[0]

    # -- runs --------------------------------------------------------------------------------------

    async def run_workload(self, duration_s, jobs, mean_fault_interval_s=math.inf):
        """Submit jobs over the first half and inject faults over the first 70 %; return the checker."""
        for number in range(jobs):
            spec = self.random_job(number)
            cancel_after_s = 15.0 if spec["format"] == "service" or self.rng.random() < 0.1 else None
            at = self.rng.uniform(0.0, duration_s / 2)
            asyncio.get_running_loop().call_later(
                at, lambda s=spec, c=cancel_after_s: self.spawn(self.simulate_user(s, self.rng.uniform(2.0, 15.0), c))
            )
        if mean_fault_interval_s < math.inf:
            self.disrupted_until = duration_s * 0.7 + 60.0  # the longest fault lasts a minute
            self.spawn(self.inject_faults(duration_s * 0.7, mean_fault_interval_s))
        await asyncio.sleep(duration_s)
        return self.checker

    async def run_workload_on_full_cloud(self, duration_s, jobs, lost_machines):
        """Submit jobs of any size, some with tasks that run for long, and lose machines for good; return the checker.

        The cluster has to be created without further capacity of the cloud, and with a quota for all its machines.
        """
        self.checker.check_waiting = True
        largest_gang = len(self.cloud.machines)
        for number in range(jobs):
            spec = self.random_job_of_any_size(number, largest_gang)
            is_cancelled = spec["format"] == "service" and self.rng.random() < 0.5
            cancel_after_s = self.rng.uniform(60.0, 120.0) if is_cancelled else math.inf
            run_s = self.rng.uniform(10.0, 200.0)
            at = self.rng.uniform(0.0, duration_s / 2)
            asyncio.get_running_loop().call_later(
                at, lambda s=spec, r=run_s, c=cancel_after_s: self.spawn(self.simulate_user(s, r, c))
            )
        for _ in range(lost_machines):
            await asyncio.sleep(self.rng.uniform(2.0, 20.0))
            self.cloud.delete(self.random_worker().name, restores_capacity=False)
        self.disrupted_until = self.now() + self.limits["lease_s"]
        await asyncio.sleep(duration_s - self.now())
        return self.checker
