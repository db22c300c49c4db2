"""A simulated deployment: real controllers, stand-in services, workers and users, faults and a checker."""

import asyncio
import math
import random

import cbor2

from passrock.io.clock import use_wall_clock
from passrock.io.http_server import Request
from standins import virtual_time
from standins.checker import Checker
from standins.cloud_service import CloudService
from standins.deployment import BOX, LIMITS, TEAMS
from standins.simulated_controller import SimulatedController
from standins.state_service import StateService
from standins.worker import Worker


class SimulatedCluster:
    """Everything, driven by one seeded random source."""

    def __init__(
        self,
        seed,
        zones=("a", "b", "c"),
        node_count=3,
        machines=6,
        late=0.0,
        lost=0.0,
        copies=0.0,
        teams=TEAMS,
        guarantee=4.0,
        limit=LIMITS["gpus_max"],
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
        self.limits = {**LIMITS, "gpus_max": limit, **(limits or {})}
        self.late_share, self.lost_share = late, lost
        self.specs, self.run_times, self.progress = {}, {}, {}
        self.completed = set()
        self.impossible = set()  # submitted though they can't run or lack a field
        self.workers, self.zone_of = {}, {}
        self.cuts = []  # (kind, name, until)
        self.freezes = freezes  # controllers stand still now and then
        self.copy_share = copies  # of reports that arrive once more, much later
        self.admission = {i: admission for i in range(node_count)}  # settings by node; None: switched off
        self.objectives, self.write_rps = objectives, write_rps
        self.clock_offset = {}  # of a node's time of day, in seconds
        self.trouble_until = 0.0
        self.state_delay = 0.0  # the state service answers so much more slowly
        self.checker = Checker(self)
        self.state = StateService()
        types = {"box": dict(BOX, branches=list(zones))}
        rooms = {("box", zone, spot): capacity[spot] for zone in zones for spot in (True, False)}
        self.cloud = CloudService(types, rooms, self.rng, 3.0, self._machine_up, self._machine_gone)
        self.tasks = set()
        self.nodes = {}
        self.done_users = 0
        self.poll_failures = 0
        for i in range(machines):
            self.cloud.add("box", zones[i % len(zones)], False, boot=0.1)
        self.start_nodes()
        self.spawn(self.state.tick())
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

    def _machine_gone(self, name):
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.die()

    # -- gangs ---------------------------------------------------------------------------------------

    def _mates(self, task):
        return [
            (worker, other)
            for worker in self.workers.values()
            for other in worker.tasks.values()
            if other.job == task.job and other.attempt_number == task.attempt_number and other.state != "exited"
        ]

    def gang_gathers(self, task):
        mates = self._mates(task)
        if {t.index for _, t in mates if t.state == "gathering"} == set(range(self.specs[task.job]["volumes"])):
            for worker, mate in mates:
                worker.begin(mate)

    def gang_whole(self, task):
        running = {t.index for w, t in self._mates(task) if t.state == "running" and w.hung_until <= self.now()}
        return running == set(range(self.specs[task.job]["volumes"]))

    def gang_done(self, task):
        for worker, mate in self._mates(task):
            worker.mate_done(mate)

    def gang_lost(self, task):
        for worker, mate in self._mates(task):
            if mate.state == "running":
                worker.mate_gone(mate)

    def remaining(self, task):
        """Run time left; kept results complete at once."""
        if (task.job, task.index) in self.completed:
            return 0.0
        times = self.run_times[task.job]
        return times[task.index] if isinstance(times, list) else times

    # -- network -------------------------------------------------------------------------------------

    def peers_cut(self, one, other):
        return any(
            kind == "peers" and until > self.now() and name in (one, other, "all") for kind, name, until in self.cuts
        )

    def cut_until(self, worker):
        ends = [until for kind, name, until in self.cuts if kind == "machine" and name == worker.name]
        return max(ends, default=0.0)

    def is_cut(self, what, name):
        """Whether a machine is ``deaf`` (reports leave it, nothing reaches it), ``mute`` (it opens no connection),
        or a ``slow_answer`` reaches it seconds late."""
        return any(kind == what and cut == name and until > self.now() for kind, cut, until in self.cuts)

    async def to_node(self, worker, name, body, timeout):
        """A worker's report and its answer."""
        async with asyncio.timeout(timeout):
            await asyncio.sleep(self.rng.uniform(0.001, 0.01))
            if self.is_cut("outside", worker.zone) != self.is_cut("outside", self.nodes[name].zone):
                await asyncio.Event().wait()  # one of the two is in a zone that is cut off
            if self.is_cut("mute", worker.name):
                raise ConnectionError("no connection opens")
            if any(kind == "workers" and cut == name and end > self.now() for kind, cut, end in self.cuts):
                await asyncio.Event().wait()  # this node is cut off from all workers
            if self.is_cut("link", (worker.name, name)):
                await asyncio.Event().wait()  # this worker alone can't reach this node
            until = self.cut_until(worker)
            if until > self.now():  # held back, and delivered after the worker has given it up
                asyncio.get_running_loop().call_at(until + self.rng.uniform(0, 1), self._late_report, name, body)
                await asyncio.Event().wait()
            if self.copy_share and self.rng.random() < self.copy_share:
                # a copy comes later, from a second to well over a lease, perhaps to another node or process
                delay = self.rng.choice([1.0, 5.0, 2.5 * self.limits["lease_s"]]) * self.rng.uniform(0.5, 1.5)
                target = self.rng.choice([name, *self.nodes])
                asyncio.get_running_loop().call_later(delay, self._late_report, target, body)
            response = await self._ask(name, Request("POST", "/checkin", body))
            await asyncio.sleep(self.rng.uniform(0.001, 0.01))
            if self.is_cut("slow_answer", worker.name):
                await asyncio.sleep(self.rng.uniform(2.0, 3.8))
            if self.cut_until(worker) > self.now() or self.is_cut("deaf", worker.name):
                await asyncio.Event().wait()
            return response.status, cbor2.loads(response.body) if response.body else {}

    def _late_report(self, name, body):
        if name in self.nodes and self.nodes[name].alive:
            self.spawn(self.nodes[name].answer(Request("POST", "/checkin", body)))

    async def _ask(self, name, request):
        sim = self.nodes.get(name)
        if sim is None or not sim.alive:
            raise ConnectionError("no process")
        # a handler goes on when its user has given up
        response = await asyncio.shield(self.spawn(sim.answer(request)))
        if not sim.alive:
            raise ConnectionError("process ended")
        return response

    # -- users -----------------------------------------------------------------------------------------

    async def ask(self, method, path, body=b"", timeout=2.0, node=None):
        """A user's request through the load balancer; status 0 when nothing came back."""
        up = [name for name, sim in self.nodes.items() if sim.alive]
        if not up:
            return 0, {}
        try:
            async with asyncio.timeout(timeout):
                response = await self._ask(node or self.rng.choice(up), Request(method, path, body))
        except (TimeoutError, ConnectionError):
            return 0, {}
        return response.status, cbor2.loads(response.body) if response.body else {}

    def job(self, number, **fields):
        """A job description."""
        spec = {
            "ref": f"wk-{number:06d}",
            "shelfmark": "x",
            "desk": f"t{number % TEAMS}",
            "format": "batch",
            "precedence": "standard",
            "volumes": 1,
            "cores": 5.0,
            "cards": 1.0,
            "ramGb": 20.0,
            "edition": f"img-{number % 4}",
            "imageGb": 2.0,
            "bindings": None,
            "branch": None,
            "samePlace": False,
            "spread": False,
            "loaners": False,
            "loanS": 10.0,
            "bookmarkS": 0.0,
            "shelveS": 0.0,
            "dueS": None,
        }
        return {**spec, **fields}

    def random_job(self, number):
        """A job of any kind."""
        rng = self.rng
        kind = rng.choice(["batch", "batch", "group", "group", "service"])
        fields = {"format": kind, "loaners": kind != "service" and rng.random() < 0.6}
        if kind == "batch":
            fields.update(volumes=rng.randint(1, 5), bookmarkS=5.0, shelveS=2.0)
        elif kind == "group":
            fields.update(volumes=rng.choice([1, 2, 3]), samePlace=rng.random() < 0.7, precedence="high")
            fields.update(bookmarkS=5.0, shelveS=2.0, cards=rng.choice([1.0, 2.0]))
        else:
            fields.update(volumes=rng.choice([1, 3]), spread=True, precedence="prod", loanS=0.0)
        return self.job(number, **fields)

    async def user(self, spec, run_s=8.0, cancel_after=None):
        """Submit a job and ask for it until it is over."""
        job = spec["ref"]
        self.specs[job], self.run_times[job] = spec, run_s
        body = cbor2.dumps(spec)
        while True:
            at = self.now()
            status, answer = await self.ask("POST", "/v2/runs", body, 5.0)
            if status:
                self.checker.answered(job, at, status, answer, submission=True)
            if status in (200, 201):
                break
            assert status not in (400, 422), (status, answer)
            await asyncio.sleep(1.0)
        began = self.now()
        while True:
            await asyncio.sleep(self.rng.uniform(1.0, 3.0))
            at = self.now()
            self.checker.asked(job)
            if cancel_after is not None and at - began > cancel_after:
                self.checker.cancel_asked.add(job)
                status, answer = await self.ask("POST", f"/v2/runs/{job}/withdraw", b"", 2.0)
            else:
                status, answer = await self.ask("GET", f"/v2/runs/{job}", b"", 2.0)
            if status:
                self.checker.answered(job, at, status, answer)
            if status in (200, 201) and answer["status"] in ("done", "cancelled"):
                break
        self.done_users += 1
        for _ in range(5):  # and now and then later
            await asyncio.sleep(self.rng.uniform(5.0, 15.0))
            at = self.now()
            status, answer = await self.ask("GET", f"/v2/runs/{job}")
            if status:
                self.checker.answered(job, at, status, answer)

    async def withdraw(self, job, node=None):
        """A user cancels, once; whether it was confirmed."""
        self.checker.cancel_asked.add(job)
        at = self.now()
        status, answer = await self.ask("POST", f"/v2/runs/{job}/withdraw", node=node)
        if status:
            self.checker.answered(job, at, status, answer)
        return status == 200 and answer["status"] == "cancelled"

    async def withdraw_until_told(self, job):
        """A user who repeats the request until it is answered."""
        while not await self.withdraw(job) and self.checker.told.get(job, (0, ""))[1] != "done":
            await asyncio.sleep(1.0)

    def serving(self):
        """Names of the nodes to which the load balancer sends users."""
        return [name for name, sim in self.nodes.items() if sim is None or sim.alive] or list(self.nodes)

    def leaders(self):
        """Names of the nodes that lead by an unexpired key at this moment."""
        return [name for name, sim in self.nodes.items() if sim.alive and sim.node.leadership.holds_lease()]

    async def a_leader(self):
        """The leader's name, as soon as there is one."""
        while not self.leaders():
            await asyncio.sleep(0.1)
        return self.leaders()[0]

    # -- faults ------------------------------------------------------------------------------------------

    async def crash(self, names, back_after):
        """End controllers and start them again."""
        for name in names:
            self.nodes[name].kill()
        await asyncio.sleep(back_after)
        for name in names:
            self.nodes[name].kill()  # crashes may overlap: never two processes of one node
            self.nodes[name] = SimulatedController(self, int(name[1:]))

    async def outage(self, for_s):
        self.state.start_outage()
        await asyncio.sleep(for_s)
        self.state.end_outage()

    async def refuse(self, name, for_s):
        """The state service refuses one controller."""
        sim = self.nodes[name]
        sim.refused = True
        await asyncio.sleep(for_s)
        sim.refused = False

    async def isolate(self, name, for_s):
        """A controller loses the state service and its peers, and keeps its workers and users."""
        self.cuts.append(("peers", name, self.now() + for_s))
        await self.refuse(name, for_s)

    async def elections(self, count):
        """Whoever leads ends and is back within a fraction of a second, again and again, also while electing."""
        for _ in range(count):
            alive = [name for name, sim in self.nodes.items() if sim.alive]
            leading = [name for name in alive if self.nodes[name].node.leadership.leading]
            victim = self.rng.choice(leading or alive) if alive else None
            if victim is not None:
                self.spawn(self.crash([victim], self.rng.uniform(0.02, 0.4)))
            await asyncio.sleep(self.rng.uniform(0.05, 1.0))

    async def cloud_trouble(self, for_s):
        """The cloud answers nothing, and for longer its machines boot badly."""
        self.cloud.outage, self.cloud.boot_fails = True, 0.5
        await asyncio.sleep(for_s)
        self.cloud.outage = False
        await asyncio.sleep(for_s)
        self.cloud.boot_fails = 0.0

    def some_worker(self):
        return self.rng.choice(sorted(self.workers.values(), key=lambda w: w.name)) if self.workers else None

    def one_fault(self):  # noqa: PLR0912 - a branch for each kind of fault
        """Something goes wrong."""
        rng = self.rng
        kind = rng.choice(
            ["crash", "crash_all", "outage", "refuse", "cut", "hang", "take", "notice", "sick", "peers", "cloud"]
            + ["deaf", "isolate", "elections", "all_peers", "workers"]
            + ["freeze"] * (4 if self.freezes else 0)
        )
        worker = self.some_worker()
        names = list(self.nodes)
        alive = [name for name in names if self.nodes[name].alive]
        if kind == "crash" and alive:
            self.spawn(self.crash([rng.choice(alive)], rng.choice([0.2, 4.0])))
        elif kind == "crash_all" and len(alive) == len(names):
            self.spawn(self.crash(names, rng.uniform(0.2, 5.0)))
        elif kind == "outage" and not self.state.outage:
            self.spawn(self.outage(rng.uniform(2.0, 20.0)))
        elif kind == "refuse" and alive:
            self.spawn(self.refuse(rng.choice(alive), rng.uniform(3.0, 25.0)))
        elif kind == "isolate" and alive:
            self.spawn(self.isolate(rng.choice(alive), rng.uniform(3.0, 25.0)))
        elif kind == "elections" and len(alive) == len(names):
            self.spawn(self.elections(rng.randint(2, 6)))
        elif kind == "freeze" and alive:
            self.nodes[rng.choice(alive)].frozen_until = self.now() + rng.uniform(1.0, 30.0)
        elif kind == "workers":
            self.cuts.append(("workers", rng.choice(names), self.now() + rng.uniform(5.0, 40.0)))
        elif kind == "all_peers":
            self.cuts.append(("peers", "all", self.now() + rng.uniform(2.0, 25.0)))
        elif worker is not None and kind == "deaf":
            self.cuts.append(("deaf", worker.name, self.now() + rng.uniform(5.0, 60.0)))
        elif kind == "cloud":
            self.spawn(self.cloud_trouble(rng.uniform(5.0, 25.0)))
        elif kind == "peers":
            self.cuts.append(("peers", rng.choice(names), self.now() + rng.uniform(2.0, 20.0)))
        elif worker is not None and kind == "cut":
            self.cuts.append(("machine", worker.name, self.now() + rng.uniform(2.0, 30.0)))
        elif worker is not None and kind == "hang":
            worker.hung_until = self.now() + rng.uniform(2.0, 30.0)
        elif worker is not None and kind == "take":
            self.cloud.take(worker.name)
        elif worker is not None and kind == "notice":
            worker.notice_end = self.now() + rng.uniform(4.0, 12.0)
            worker.changed.set()
            asyncio.get_running_loop().call_at(worker.notice_end, self.cloud.take, worker.name)
        elif worker is not None and kind == "sick":
            worker.sick = True

    async def faults(self, until, gap):
        """Faults of all kinds until some time."""
        while self.now() < until:
            await asyncio.sleep(self.rng.expovariate(1.0 / gap))
            self.one_fault()

    async def day(self, duration, jobs, gap=math.inf):
        """Jobs over the first half, faults over most of it; returns what the checker found."""
        for number in range(jobs):
            spec = self.random_job(number)
            cancel = 15.0 if spec["format"] == "service" or self.rng.random() < 0.1 else None
            at = self.rng.uniform(0.0, duration / 2)
            asyncio.get_running_loop().call_later(
                at, lambda s=spec, c=cancel: self.spawn(self.user(s, self.rng.uniform(2.0, 15.0), c))
            )
        if gap < math.inf:
            self.trouble_until = duration * 0.7 + 60.0  # the longest fault lasts a minute
            self.spawn(self.faults(duration * 0.7, gap))
        await asyncio.sleep(duration)
        return self.checker
