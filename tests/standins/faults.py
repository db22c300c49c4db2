"""Fault injection: single faults that tests ask for, and random ones of all kinds."""

import asyncio

from standins.simulated_controller import SimulatedController

# a random fault is one of these; seeds replay, so their order and number stay
FAULT_KINDS = (
    "crash",
    "crash_all",
    "outage",
    "refuse",
    "cut",
    "hang",
    "delete",
    "notice",
    "sick",
    "peers",
    "cloud",
    "unreachable_inbound",
    "isolate",
    "elections",
    "all_peers",
    "workers",
)
FREEZE_WEIGHT = 4  # as likely as so many others, on clusters whose controllers may stand still


class FaultInjection:
    """The part of the simulated cluster that breaks it."""

    async def crash(self, names, back_after):
        """End controllers and start them again."""
        for name in names:
            self.nodes[name].kill()
        await asyncio.sleep(back_after)
        for name in names:
            self.nodes[name].kill()  # crashes may overlap: never two processes of one node
            self.nodes[name] = SimulatedController(self, int(name[1:]))

    async def store_outage(self, for_s):
        self.store.start_outage()
        await asyncio.sleep(for_s)
        self.store.end_outage()

    async def refuse_store_access(self, name, for_s):
        """The state service refuses one controller."""
        sim = self.nodes[name]
        sim.store_refused = True
        await asyncio.sleep(for_s)
        sim.store_refused = False

    async def isolate(self, name, for_s):
        """A controller loses the state service and its peers, and keeps its workers and users."""
        self.network_faults.append(("peers", name, self.now() + for_s))
        await self.refuse_store_access(name, for_s)

    async def force_elections(self, count):
        """Whoever leads ends and is back within a fraction of a second, again and again, also while electing."""
        for _ in range(count):
            alive = [name for name, sim in self.nodes.items() if sim.alive]
            leading = [name for name in alive if self.nodes[name].node.leadership.leading]
            victim = self.rng.choice(leading or alive) if alive else None
            if victim is not None:
                self.spawn(self.crash([victim], self.rng.uniform(0.02, 0.4)))
            await asyncio.sleep(self.rng.uniform(0.05, 1.0))

    async def cloud_failure(self, for_s):
        """The cloud answers nothing, and for longer its machines boot badly."""
        self.cloud.outage, self.cloud.boot_fails = True, 0.5
        await asyncio.sleep(for_s)
        self.cloud.outage = False
        await asyncio.sleep(for_s)
        self.cloud.boot_fails = 0.0

    def some_worker(self):
        return self.rng.choice(sorted(self.workers.values(), key=lambda w: w.name)) if self.workers else None

    def inject_fault(self):
        """Something goes wrong: a fault of a random kind, or nothing where it can't happen now."""
        kinds = FAULT_KINDS + ("freeze",) * (FREEZE_WEIGHT if self.freezes else 0)
        kind = self.rng.choice(kinds)
        worker = self.some_worker()
        if kind in WORKER_FAULTS:
            if worker is not None:
                WORKER_FAULTS[kind](self, worker)
        else:
            CONTROLLER_FAULTS[kind](self)

    def _alive(self):
        return [name for name, sim in self.nodes.items() if sim.alive]

    def _all_alive(self):
        return len(self._alive()) == len(self.nodes)

    def _cut(self, kind, name, shortest, longest):
        self.network_faults.append((kind, name, self.now() + self.rng.uniform(shortest, longest)))

    # -- faults of controllers and services; each draws its random numbers in a fixed order, which seeds replay ------

    def _crash_one(self):
        if alive := self._alive():
            self.spawn(self.crash([self.rng.choice(alive)], self.rng.choice([0.2, 4.0])))

    def _crash_all(self):
        if self._all_alive():
            self.spawn(self.crash(list(self.nodes), self.rng.uniform(0.2, 5.0)))

    def _state_outage(self):
        if not self.store.outage:
            self.spawn(self.store_outage(self.rng.uniform(2.0, 20.0)))

    def _refuse_one(self):
        if alive := self._alive():
            self.spawn(self.refuse_store_access(self.rng.choice(alive), self.rng.uniform(3.0, 25.0)))

    def _isolate_one(self):
        if alive := self._alive():
            self.spawn(self.isolate(self.rng.choice(alive), self.rng.uniform(3.0, 25.0)))

    def _some_elections(self):
        if self._all_alive():
            self.spawn(self.force_elections(self.rng.randint(2, 6)))

    def _freeze_one(self):
        if alive := self._alive():
            self.nodes[self.rng.choice(alive)].frozen_until = self.now() + self.rng.uniform(1.0, 30.0)

    def _cut_from_workers(self):
        self._cut("workers", self.rng.choice(list(self.nodes)), 5.0, 40.0)

    def _cut_all_peers(self):
        self._cut("peers", "all", 2.0, 25.0)

    def _cut_peers_of_one(self):
        self._cut("peers", self.rng.choice(list(self.nodes)), 2.0, 20.0)

    def _fail_cloud(self):
        self.spawn(self.cloud_failure(self.rng.uniform(5.0, 25.0)))

    # -- faults of machines -------------------------------------------------------------------------

    def _make_unreachable(self, worker):
        self._cut("unreachable_inbound", worker.name, 5.0, 60.0)

    def _cut_machine(self, worker):
        self._cut("machine", worker.name, 2.0, 30.0)

    def _hang(self, worker):
        worker.hung_until = self.now() + self.rng.uniform(2.0, 30.0)

    def _delete(self, worker):
        self.cloud.delete(worker.name)

    def _give_notice(self, worker):
        worker.reclaim_at = self.now() + self.rng.uniform(4.0, 12.0)
        worker.changed.set()
        asyncio.get_running_loop().call_at(worker.reclaim_at, self.cloud.delete, worker.name)

    def _make_sick(self, worker):
        worker.tasks_fail = True

    async def inject_faults(self, until, gap):
        """Faults of all kinds until some time."""
        while self.now() < until:
            await asyncio.sleep(self.rng.expovariate(1.0 / gap))
            self.inject_fault()


CONTROLLER_FAULTS = {
    "crash": FaultInjection._crash_one,
    "crash_all": FaultInjection._crash_all,
    "outage": FaultInjection._state_outage,
    "refuse": FaultInjection._refuse_one,
    "peers": FaultInjection._cut_peers_of_one,
    "cloud": FaultInjection._fail_cloud,
    "isolate": FaultInjection._isolate_one,
    "elections": FaultInjection._some_elections,
    "all_peers": FaultInjection._cut_all_peers,
    "workers": FaultInjection._cut_from_workers,
    "freeze": FaultInjection._freeze_one,
}
WORKER_FAULTS = {
    "cut": FaultInjection._cut_machine,
    "hang": FaultInjection._hang,
    "delete": FaultInjection._delete,
    "notice": FaultInjection._give_notice,
    "sick": FaultInjection._make_sick,
    "unreachable_inbound": FaultInjection._make_unreachable,
}
