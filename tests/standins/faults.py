"""Fault injection: faults that tests request one by one, and random faults of all kinds."""

import asyncio

from standins.simulated_controller import SimulatedController

# kinds of random faults; recorded seeds replay only while their order and number stay the same
FAULT_KINDS = (
    "crash",
    "crash_all",
    "store_outage",
    "refuse_store_access",
    "partition_machine",
    "hang_machine",
    "delete_machine",
    "reclaim_machine",
    "fail_tasks",
    "partition_peers_of_one",
    "cloud_failure",
    "make_unreachable_inbound",
    "isolate",
    "elections",
    "partition_all_peers",
    "partition_from_workers",
)
FREEZE_WEIGHT = 4  # a freeze is as likely as this many other kinds, on clusters that allow freezes


class FaultInjection:
    """The part of the simulated cluster that injects faults."""

    async def crash(self, names, back_after_s):
        """Kill controller processes and start new ones after ``back_after_s`` seconds."""
        for name in names:
            self.nodes[name].kill()
        await asyncio.sleep(back_after_s)
        for name in names:
            self.nodes[name].kill()  # overlapping crashes must not leave two processes of one node
            self.nodes[name] = SimulatedController(self, int(name[1:]))

    async def store_outage(self, for_s):
        self.store.start_outage()
        await asyncio.sleep(for_s)
        self.store.end_outage()

    async def refuse_store_access(self, name, for_s):
        """Let the key-value store refuse all requests of one controller."""
        controller = self.nodes[name]
        controller.store_refused = True
        await asyncio.sleep(for_s)
        controller.store_refused = False

    async def isolate(self, name, for_s):
        """Cut a controller off from the key-value store and its peers, but not from its workers and users."""
        self.network_faults.append(("peers", name, self.now() + for_s))
        await self.refuse_store_access(name, for_s)

    async def force_elections(self, count):
        """Crash the leader, or any controller while none leads, ``count`` times; each restarts within 0.4 s."""
        for _ in range(count):
            alive = [name for name, controller in self.nodes.items() if controller.alive]
            leaders = [name for name in alive if self.nodes[name].node.leadership.leading]
            victim = self.rng.choice(leaders or alive) if alive else None
            if victim is not None:
                self.spawn(self.crash([victim], self.rng.uniform(0.02, 0.4)))
            await asyncio.sleep(self.rng.uniform(0.05, 1.0))

    async def cloud_failure(self, for_s):
        """Fail all requests to the cloud for ``for_s``, and the boot of half of new machines for twice as long."""
        self.cloud.outage, self.cloud.boot_failure_share = True, 0.5
        await asyncio.sleep(for_s)
        self.cloud.outage = False
        await asyncio.sleep(for_s)
        self.cloud.boot_failure_share = 0.0

    def random_worker(self):
        return self.rng.choice(sorted(self.workers.values(), key=lambda w: w.name)) if self.workers else None

    def inject_fault(self):
        """Inject a fault of a random kind, or none if that kind is not possible at the moment."""
        kinds = FAULT_KINDS + ("freeze",) * (FREEZE_WEIGHT if self.freezes else 0)
        kind = self.rng.choice(kinds)
        worker = self.random_worker()
        if kind in WORKER_FAULTS:
            if worker is not None:
                WORKER_FAULTS[kind](self, worker)
        else:
            CONTROLLER_FAULTS[kind](self)

    def _alive(self):
        return [name for name, controller in self.nodes.items() if controller.alive]

    def _all_alive(self):
        return len(self._alive()) == len(self.nodes)

    def _add_network_fault(self, kind, name, shortest_s, longest_s):
        self.network_faults.append((kind, name, self.now() + self.rng.uniform(shortest_s, longest_s)))

    # -- faults of controllers and services; recorded seeds replay only while the order of random draws stays --------

    def _crash_one(self):
        if alive := self._alive():
            self.spawn(self.crash([self.rng.choice(alive)], self.rng.choice([0.2, 4.0])))

    def _crash_all(self):
        if self._all_alive():
            self.spawn(self.crash(list(self.nodes), self.rng.uniform(0.2, 5.0)))

    def _start_store_outage(self):
        if not self.store.outage:
            self.spawn(self.store_outage(self.rng.uniform(2.0, 20.0)))

    def _refuse_store_access_of_one(self):
        if alive := self._alive():
            self.spawn(self.refuse_store_access(self.rng.choice(alive), self.rng.uniform(3.0, 25.0)))

    def _isolate_one(self):
        if alive := self._alive():
            self.spawn(self.isolate(self.rng.choice(alive), self.rng.uniform(3.0, 25.0)))

    def _force_some_elections(self):
        if self._all_alive():
            self.spawn(self.force_elections(self.rng.randint(2, 6)))

    def _freeze_one(self):
        if alive := self._alive():
            self.nodes[self.rng.choice(alive)].frozen_until = self.now() + self.rng.uniform(1.0, 30.0)

    def _partition_from_workers(self):
        self._add_network_fault("workers", self.rng.choice(list(self.nodes)), 5.0, 40.0)

    def _partition_all_peers(self):
        self._add_network_fault("peers", "all", 2.0, 25.0)

    def _partition_peers_of_one(self):
        self._add_network_fault("peers", self.rng.choice(list(self.nodes)), 2.0, 20.0)

    def _fail_cloud(self):
        self.spawn(self.cloud_failure(self.rng.uniform(5.0, 25.0)))

    # -- faults of machines -------------------------------------------------------------------------

    def _make_unreachable_inbound(self, worker):
        self._add_network_fault("unreachable_inbound", worker.name, 5.0, 60.0)

    def _partition_machine(self, worker):
        self._add_network_fault("machine", worker.name, 2.0, 30.0)

    def _hang_machine(self, worker):
        worker.hung_until = self.now() + self.rng.uniform(2.0, 30.0)

    def _delete_machine(self, worker):
        self.cloud.delete(worker.name)

    def _reclaim_machine(self, worker):
        worker.reclaim_at = self.now() + self.rng.uniform(4.0, 12.0)
        worker.state_changed.set()
        asyncio.get_running_loop().call_at(worker.reclaim_at, self.cloud.delete, worker.name)

    def _fail_tasks(self, worker):
        worker.tasks_fail = True

    async def inject_faults(self, until, mean_interval_s):
        """Inject random faults until some time, at exponentially distributed intervals."""
        while self.now() < until:
            await asyncio.sleep(self.rng.expovariate(1.0 / mean_interval_s))
            self.inject_fault()


CONTROLLER_FAULTS = {
    "crash": FaultInjection._crash_one,
    "crash_all": FaultInjection._crash_all,
    "store_outage": FaultInjection._start_store_outage,
    "refuse_store_access": FaultInjection._refuse_store_access_of_one,
    "partition_peers_of_one": FaultInjection._partition_peers_of_one,
    "cloud_failure": FaultInjection._fail_cloud,
    "isolate": FaultInjection._isolate_one,
    "elections": FaultInjection._force_some_elections,
    "partition_all_peers": FaultInjection._partition_all_peers,
    "partition_from_workers": FaultInjection._partition_from_workers,
    "freeze": FaultInjection._freeze_one,
}
WORKER_FAULTS = {
    "partition_machine": FaultInjection._partition_machine,
    "hang_machine": FaultInjection._hang_machine,
    "delete_machine": FaultInjection._delete_machine,
    "reclaim_machine": FaultInjection._reclaim_machine,
    "fail_tasks": FaultInjection._fail_tasks,
    "make_unreachable_inbound": FaultInjection._make_unreachable_inbound,
}
