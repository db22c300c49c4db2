"""A simulated deployment: real controllers, stand-in services, workers and users, faults and a checker."""

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
    """Everything, driven by one seeded random source."""

    def __init__(
        self,
        seed,
        zones=("a", "b", "c"),
        node_count=3,
        machines=6,
        late_request_share=0.0,
        lost_answer_share=0.0,
        duplicate_share=0.0,
        teams=TEAMS,
        guarantee=4.0,
        quota=LIMITS["gpus_max"],
        capacity=(6, 3),
        limits=None,
        freezes=False,
        admission=None,
        objectives=(),
        write_rps=40.0,
    ):
        self.rng = random.Random(seed)
        self.zones = zones
        self.node_count = node_count
        self.teams, self.guarantee = teams, guarantee
        self.limits = {**LIMITS, "gpus_max": quota, **(limits or {})}
        self.late_request_share, self.lost_answer_share = late_request_share, lost_answer_share
        self.specs, self.run_times, self.progress = {}, {}, {}
        self.completed = set()
        self.invalid_jobs = set()  # submitted though they can't run or lack a field
        self.workers, self.zone_of = {}, {}
        self.network_faults = []  # (kind, name, until)
        self.freezes = freezes  # whether controllers stand still now and then
        self.duplicate_share = duplicate_share  # of heartbeats that arrive once more, much later
        self.admission = {i: admission for i in range(node_count)}  # settings by node; None: switched off
        self.objectives, self.write_rps = objectives, write_rps
        self.clock_offset = {}  # of a node's time of day, in seconds
        self.disrupted_until = 0.0
        self.store_delay_s = 0.0  # the state service answers so much more slowly
        self.checker = Checker(self)
        self.store = KeyValueStoreService()
        types = {"box": dict(MACHINE_TYPE, branches=list(zones))}
        capacity_by_kind = {("box", zone, spot): capacity[spot] for zone in zones for spot in (True, False)}
        self.cloud = CloudService(types, capacity_by_kind, self.rng, 3.0, self._machine_up, self._machine_lost)
        self.tasks = set()
        self.nodes = {}
        self.done_users = 0
        self.poll_failures = 0
        for i in range(machines):
            self.cloud.add("box", zones[i % len(zones)], False, boot=0.1)
        self.start_nodes()
        self.spawn(self.store.tick())
        self.spawn(self._check())

    def start_nodes(self):
        """Controllers in this process, in virtual time."""
        use_wall_clock(self._time_of_day)
        for number in range(self.node_count):
            self.nodes[f"n{number}"] = SimulatedController(self, number)

    def _time_of_day(self):
        owner = virtual_time.OWNER.get()
        return self.now() + (self.clock_offset.get(owner.name, 0.0) if owner is not None else 0.0)

    def now(self):
        return asyncio.get_running_loop().time()

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def _check(self):
        while True:
            await asyncio.sleep(0.25)
            self.checker.step()

    # -- machines ----------------------------------------------------------------------------------

    def _machine_up(self, row):
        self.zone_of[row["ref"]] = row["branch"]
        self.workers[row["ref"]] = Worker(self, row, self.limits)

    def _machine_lost(self, name):
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.die()

    # -- controllers -------------------------------------------------------------------------------

    def serving(self):
        """Names of the nodes to which the load balancer sends users."""
        return [name for name, sim in self.nodes.items() if sim is None or sim.alive] or list(self.nodes)

    def leaders(self):
        """Names of the nodes that lead by an unexpired key at this moment."""
        return [name for name, sim in self.nodes.items() if sim.alive and sim.node.leadership.holds_lease()]

    async def wait_for_leader(self):
        """The leader's name, as soon as there is one."""
        while not self.leaders():
            await asyncio.sleep(0.1)
        return self.leaders()[0]

    # -- runs --------------------------------------------------------------------------------------

    async def run_workload(self, duration, jobs, gap=math.inf):
        """Jobs over the first half, faults over most of it; returns what the checker found."""
        for number in range(jobs):
            spec = self.random_job(number)
            cancel = 15.0 if spec["format"] == "service" or self.rng.random() < 0.1 else None
            at = self.rng.uniform(0.0, duration / 2)
            asyncio.get_running_loop().call_later(
                at, lambda s=spec, c=cancel: self.spawn(self.simulate_user(s, self.rng.uniform(2.0, 15.0), c))
            )
        if gap < math.inf:
            self.disrupted_until = duration * 0.7 + 60.0  # the longest fault lasts a minute
            self.spawn(self.inject_faults(duration * 0.7, gap))
        await asyncio.sleep(duration)
        return self.checker
