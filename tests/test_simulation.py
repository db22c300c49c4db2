"""Seeded simulations of the real controllers in a cluster with faults, in which the checker verifies every rule."""

import asyncio
import math

import cbor2
import pytest

from passrock.core.inventory import MachineInventory
from passrock.core.machine_health import MachineHealth
from passrock.core.reconciler import Reconciler
from passrock.io.http_server import Request, Response
from standins import virtual_time
from standins.scenarios import machines_of
from standins.simulated_cluster import SimulatedCluster


def simulate(seed, duration_s=240.0, jobs=16, mean_fault_interval_s=12.0, **options):
    """Simulate one cluster; return its checker and the number of users whose job ended."""

    async def main():
        cluster = SimulatedCluster(seed, **options)
        checker = await cluster.run_workload(duration_s, jobs, mean_fault_interval_s)
        return checker, cluster.done_users

    return virtual_time.run(main())


def test_all_jobs_complete_without_faults():
    checker, done = simulate(1, mean_fault_interval_s=float("inf"))
    assert checker.violations == []
    assert done == 16


@pytest.mark.parametrize(
    ("seed", "options"),
    [(seed, {}) for seed in range(10, 16)]
    + [(seed, {"late_request_share": 0.05, "lost_answer_share": 0.05}) for seed in range(20, 26)]
    + [(seed, {"zones": ("a",), "late_request_share": 0.03}) for seed in range(30, 33)]
    + [
        (seed, {"duplicate_share": 0.1, "late_request_share": 0.03, "lost_answer_share": 0.03})
        for seed in range(70, 76)
    ]
    + [(seed, {"freezes": True, "late_request_share": 0.03, "duplicate_share": 0.05}) for seed in range(90, 96)]
    # watches that took a moment too long are answered with 410, and replicas are loaded again from many pages
    + [(seed, {"retained_changes": 3, "max_page_keys": 3, "duplicate_share": 0.1}) for seed in range(130, 134)],
)
def test_rules_hold_under_random_faults(seed, options):
    checker, done = simulate(seed, **options)
    assert checker.violations == []
    assert checker.starts > 0
    assert done >= 8  # most users are served in spite of the faults


@pytest.mark.parametrize(
    ("seed", "zones", "machines"),
    [
        (0, ("a", "b"), 3),
        (1, ("a",), 4),
        (7, ("a",), 4),
        (10, ("a", "b"), 7),
        (13, ("a",), 4),
        (17, ("a",), 8),
        (18, ("a", "b"), 3),
        (44, ("a", "b"), 5),
    ],
)
def test_no_job_waits_beside_machines_with_room_on_a_full_cloud(seed, zones, machines):
    """Regression: machines were held without a limit for gangs that never found enough, and all other jobs waited."""

    async def main():
        cluster = SimulatedCluster(
            seed, zones=zones, machines=machines, quota=2.0 * machines, capacity=(seed % 3 if seed % 4 == 0 else 0, 0)
        )
        return await cluster.run_workload_on_full_cloud(420.0, jobs=10, lost_machines=1)

    checker = virtual_time.run(main())
    assert checker.violations == []
    assert checker.starts > 0


def test_idle_machines_of_the_zone_buffer_and_of_reservations_take_tasks():
    """Machines that are kept for the loss of a zone, or assigned to another team, take waiting tasks."""

    async def main():
        cluster = SimulatedCluster(12)
        service = cluster.job(0, format="service", volumes=4, spread=True, precedence="prod", loanS=0.0)
        cluster.spawn(cluster.simulate_user(service, cancel_after_s=math.inf))
        await asyncio.sleep(120.0)  # by then machines that no reservation and no buffer needs are deleted
        cluster.cloud.capacity = dict.fromkeys(cluster.cloud.capacity, 0)
        scheduler = cluster.nodes[await cluster.wait_for_leader()].node.leader_term.scheduler
        idle = [name for name, worker in cluster.workers.items() if not worker.tasks]
        assigned_to_others = [name for name in idle if scheduler.assignments.get(name) == service["desk"]]
        array = cluster.job(1, volumes=len(idle), cards=2.0)
        cluster.spawn(cluster.simulate_user(array, run_s=1e6, cancel_after_s=math.inf))
        await asyncio.sleep(10.0)
        return idle, assigned_to_others, machines_of(cluster, array["ref"])

    idle, assigned_to_others, used = virtual_time.run(main())
    assert idle
    assert assigned_to_others
    assert used == sorted(idle)


def test_machines_that_no_buffer_needs_are_returned_while_one_cannot_be_had():
    """Regression: with no capacity elsewhere, the buffer was rented in the zone of the service, without an end."""

    async def main():
        cluster = SimulatedCluster(12, zones=("a", "b"), machines=0, capacity=(1000, 0))
        cluster.cloud.capacity["box", "b", False] = 0
        service = cluster.job(0, format="service", volumes=2, cards=2.0, precedence="prod", loanS=0.0)
        cluster.spawn(cluster.simulate_user(service, cancel_after_s=math.inf))
        cluster.spawn(cluster.simulate_user(cluster.job(1, volumes=3, cards=2.0), run_s=5.0))
        await asyncio.sleep(150.0)
        return sorted(cluster.workers), machines_of(cluster, service["ref"])

    present, used = virtual_time.run(main())
    assert present == used


def test_failover_keeps_the_machines():
    """Regression: a new leader deleted every old machine from which it had not yet had a heartbeat."""

    async def main():
        cluster = SimulatedCluster(7)
        for number in range(6):
            spec = cluster.job(number, format="service", precedence="prod", loanS=0.0)
            cluster.spawn(cluster.simulate_user(spec, cancel_after_s=1e9))
        await asyncio.sleep(100.0)
        before = set(cluster.workers)
        running = dict(cluster.checker.placements)
        starts = cluster.checker.starts
        leader = next(name for name, controller in cluster.nodes.items() if controller.node.leadership.leading)
        await cluster.crash([leader], 4.0)
        await asyncio.sleep(30.0)
        return before, set(cluster.workers), running, cluster.checker, starts

    before, after, running, checker, starts = virtual_time.run(main())
    assert before == after
    assert len(running) == 6
    assert (checker.placements, checker.starts, checker.violations) == (running, starts, [])


def test_simulation_replays_exactly():
    first, second = simulate(42, duration_s=120.0), simulate(42, duration_s=120.0)
    assert (first[0].starts, first[0].confirmed_states, first[1]) == (
        second[0].starts,
        second[0].confirmed_states,
        second[1],
    )


def test_checker_catches_an_unsafe_scheduler(monkeypatch):
    """A scheduler that treats missed heartbeats as a lost machine starts tasks twice, which the checker reports."""
    monkeypatch.setattr(
        MachineHealth,
        "is_lease_expired",
        lambda self, machine, now, fence_effective_at: now - machine.last_heartbeat_at > 2.0,
    )
    rules = {rule for seed in range(50, 56) for _, rule, _ in simulate(seed, mean_fault_interval_s=6.0)[0].violations}
    assert "task_ran_twice" in rules


def test_checker_catches_answers_that_are_not_counted_as_renewals(monkeypatch):
    """A leader that counts a worker's lease from its heartbeats instead of the answers to them starts tasks twice."""

    def is_lease_expired_by_heartbeats(self, machine, now, fence_effective_at):
        return (
            fence_effective_at is not None
            and machine.heartbeat_received
            and now - max(machine.first_heartbeat_at, fence_effective_at) > self.lease_s
        )

    monkeypatch.setattr(MachineHealth, "is_lease_expired", is_lease_expired_by_heartbeats)
    runs = (simulate(seed, mean_fault_interval_s=8.0, duplicate_share=0.3)[0].violations for seed in range(80, 100))
    assert any(rule == "task_ran_twice" for violations in runs for _, rule, _ in violations)


def test_checker_catches_stale_heartbeats_accepted_as_new(monkeypatch):
    """A leader that accepts any heartbeat, however old, starts tasks twice when late duplicates arrive."""
    observe, handle = MachineInventory.observe, Reconciler.handle

    def accept_stale(self, heartbeat, kind, now):
        machine = self.machines.get(heartbeat.machine)
        if machine is not None and (heartbeat.incarnation, heartbeat.sequence) <= (
            machine.incarnation,
            machine.sequence,
        ):
            machine.incarnation, machine.sequence = heartbeat.incarnation, heartbeat.sequence - 1
        return observe(self, heartbeat, kind, now)

    def handle_any(self, machine, heartbeat, now, *, may_launch):
        for attempt in self.job_table.attempts_on(machine.name):
            attempt.launch_sequence = None if attempt.launch_sequence is None else -1
        return handle(self, machine, heartbeat, now, may_launch=may_launch)

    monkeypatch.setattr(MachineInventory, "observe", accept_stale)
    monkeypatch.setattr(Reconciler, "handle", handle_any)
    runs = (
        simulate(seed, jobs=40, mean_fault_interval_s=float("inf"), duplicate_share=0.3)[0].violations
        for seed in (105, 117, 123)
    )
    assert any(rule == "task_ran_twice" for violations in runs for _, rule, _ in violations)


def test_machine_that_hangs_across_a_failover_is_replaced():
    """A new leader, which finds the machine only in the list and the records, must not wait for a heartbeat of it."""

    async def main():
        cluster = SimulatedCluster(8)
        spec = cluster.job(1, format="service", precedence="prod", loanS=0.0)
        cluster.spawn(cluster.simulate_user(spec, cancel_after_s=1e9))
        await asyncio.sleep(60.0)
        ((machine, _),) = cluster.checker.placements[("wk-000001", 0)]
        cluster.workers[machine].hung_until = cluster.now() + 60.0
        leader = next(name for name, controller in cluster.nodes.items() if controller.node.leadership.leading)
        await cluster.crash([leader], 4.0)
        await asyncio.sleep(12.0)
        return machine, cluster.checker

    machine, checker = virtual_time.run(main())
    assert checker.violations == []
    assert checker.placements[("wk-000001", 0)]
    assert machine not in dict(checker.placements[("wk-000001", 0)])


@pytest.mark.parametrize(
    ("survivors", "outage_s", "tasks_survive"),
    [
        (1, 30.0, True),  # longer than a lease; the survivor holds the cancellations that the leader sent it
        (2, 30.0, True),
        (0, 16.0, True),  # shorter than the leases
        (0, 40.0, False),  # no controller has the cancellations that were confirmed before: leases must expire
    ],
)
def test_restarts_of_controllers_during_an_outage(survivors, outage_s, tasks_survive):
    """No controller can lead then; workers are renewed with their own token while all cancellations are known."""

    async def main():
        cluster = SimulatedCluster(9)
        for number in range(4):
            spec = cluster.job(number, format="service", precedence="prod", loanS=0.0)
            cluster.spawn(cluster.simulate_user(spec, cancel_after_s=1e9))
        await asyncio.sleep(60.0)
        starts = cluster.checker.starts
        leader = next(name for name, controller in cluster.nodes.items() if controller.node.leadership.leading)
        cluster.spawn(cluster.store_outage(outage_s))
        await asyncio.sleep(8.0)
        names = [leader, *(name for name in cluster.nodes if name != leader)]
        await cluster.crash(names[: len(names) - survivors], 3.0)
        await asyncio.sleep(60.0)
        return starts, cluster.checker

    starts, checker = virtual_time.run(main())
    assert starts == 4
    assert checker.violations == []
    assert checker.starts == (starts if tasks_survive else 2 * starts)
    assert all(checker.placements[(f"wk-{number:06d}", 0)] for number in range(4))


def test_invalid_requests_are_answered_under_load():
    """The limit on requests in progress refuses valid requests; invalid ones still get their error."""

    async def main():
        cluster = SimulatedCluster(10)
        await asyncio.sleep(5.0)
        node = cluster.nodes["n0"].node
        for limiter in (node.user_api.read_limiter, node.user_api.write_limiter):
            limiter.in_progress = int(limiter.limit)
        valid = cluster.job(1)
        cases = [
            ("POST", "/v2/runs", b"junk"),
            ("POST", "/v2/runs", cbor2.dumps({**valid, "volumes": 0})),
            ("POST", "/v2/runs", cbor2.dumps({**valid, "edition": "x" * 200, "bindings": ["y" * 200] * 9})),
            ("POST", "/v2/runs", cbor2.dumps({**valid, "desk": "nobody"})),
            ("GET", "/v2/runs/nonsense", b""),
            ("POST", "/v2/runs/nonsense/withdraw", b""),
            ("PUT", "/v2/runs", b""),
            ("GET", "/v2/runs/wk-1/withdraw", b""),
            ("GET", "/elsewhere", b""),
            ("POST", "/checkin", b"junk"),
            ("GET", "/up", b""),
            ("POST", "/v2/runs", cbor2.dumps(valid)),
        ]
        answers = []
        for case in cases:
            answer = node.handle(Request(*case))
            answers.append(answer if isinstance(answer, Response) else await answer)
        return answers

    answers = virtual_time.run(main())
    assert [a.status for a in answers] == [400, 400, 400, 422, 404, 404, 405, 405, 404, 400, 200, 429]
    assert answers[-1].retry_after is not None


def test_array_of_100_000_tasks():
    """A large array keeps to the limits of the store, survives a failover, and leaves one record after its end."""

    async def main():
        cluster = SimulatedCluster(11)
        spec = cluster.job(1, volumes=100_000)
        cluster.spawn(cluster.simulate_user(spec, run_s=2.0, cancel_after_s=40.0))
        await asyncio.sleep(25.0)
        leader = next(name for name, controller in cluster.nodes.items() if controller.node.leadership.leading)
        await cluster.crash([leader], 0.2)
        await asyncio.sleep(10.0)
        status, answer = await cluster.request("GET", "/v2/runs/wk-000001")
        await asyncio.sleep(20.0)
        remaining_keys = [key for key in cluster.store.data if "wk-000001" in key]
        return cluster, status, answer, remaining_keys

    cluster, status, answer, remaining_keys = virtual_time.run(main())
    assert cluster.checker.violations == []
    assert cluster.store.oversized_commits == 0
    assert status == 200
    assert answer["done"] >= 20
    assert remaining_keys == ["p/f/wk-000001"]
    assert cluster.checker.confirmed_states["wk-000001"][1] == "cancelled"


def test_malformed_answers_never_end_the_process():
    """Malformed answers of the store and the cloud are logged and count as no answer; no controller ends."""

    async def main():
        cluster = SimulatedCluster(12)
        cluster.spawn(cluster.simulate_user(cluster.job(1), cancel_after_s=1e9))
        await asyncio.sleep(20.0)
        handlers = cluster.store.handle, cluster.cloud.handle
        malformed_answers = [
            (200, b"junk"),
            (200, cbor2.dumps([])),
            (200, cbor2.dumps({"ledger": -1, "events": 5})),
            (418, b""),
        ]

        async def answer_malformed(method, path, body):
            await asyncio.sleep(0.01)
            return cluster.rng.choice(malformed_answers)

        cluster.store.handle = cluster.cloud.handle = answer_malformed
        await asyncio.sleep(15.0)
        cluster.store.handle, cluster.cloud.handle = handlers
        cluster.spawn(cluster.simulate_user(cluster.job(2)))
        await asyncio.sleep(60.0)
        return cluster, [controller.main_task.done() for controller in cluster.nodes.values()]

    cluster, ended = virtual_time.run(main())
    assert cluster.checker.violations == []
    assert cluster.done_users == 2
    assert ended == [False, False, False]


async def simulate_mass_failures(seed):
    """Simulate hundreds of machines: a mass restart, a leader frozen during a mass loss, an outage with losses."""
    limits = {"report_s": 2.5, "lease_s": 15.0}
    cluster = SimulatedCluster(
        seed,
        machines=200,
        teams=6,
        guarantee=50.0,
        quota=200.0,
        capacity=(50, 20),
        limits=limits,
        duplicate_share=0.02,
    )
    services = [
        cluster.job(n, desk=f"t{n % 6}", format="service", volumes=6, spread=True, precedence="prod", loanS=0.0)
        for n in range(20)
    ]
    batch = [
        cluster.job(
            n, desk=f"t{n % 6}", format="group", volumes=n % 4 * 4 + 1, samePlace=True, precedence="high", cards=2.0
        )
        for n in range(20, 60)
    ] + [cluster.job(n, desk=f"t{n % 6}", volumes=20, loaners=True, bookmarkS=5.0) for n in range(60, 80)]
    for number, spec in enumerate(services + batch):
        cancel = 1e9 if spec["format"] == "service" else None
        at = number * 0.1 if number < 60 else number * 1.5
        asyncio.get_running_loop().call_later(
            at, lambda s=spec, c=cancel: cluster.spawn(cluster.simulate_user(s, cluster.rng.uniform(10.0, 40.0), c))
        )
    await asyncio.sleep(25.0)
    await cluster.crash(list(cluster.nodes), 0.3)
    await asyncio.sleep(15.0)
    names = sorted(cluster.workers)
    for name in cluster.rng.sample(names, 50):
        cluster.network_faults.append(("machine", name, cluster.now() + 40.0))
    await asyncio.sleep(4.0)
    leader = next(controller for controller in cluster.nodes.values() if controller.node.leadership.leading)
    leader.frozen_until = cluster.now() + 20.0
    await asyncio.sleep(56.0)
    cluster.spawn(cluster.store_outage(8.0))
    for name in cluster.rng.sample(sorted(cluster.workers), 20):
        cluster.cloud.delete(name)
    await asyncio.sleep(6.0)
    await cluster.crash(list(cluster.nodes), 2.0)
    await asyncio.sleep(150.0)  # arrays that allow spot machines wait for them for a while
    running_service_replicas = sum(
        bool(places) for (job, _), places in cluster.checker.placements.items() if int(job[3:]) < 20
    )
    return cluster, running_service_replicas


def test_hundreds_of_machines_through_mass_restart_freeze_loss_and_outage():
    cluster, running_service_replicas = virtual_time.run(simulate_mass_failures(1))
    assert cluster.checker.violations == []
    assert cluster.store.oversized_commits == 0
    assert running_service_replicas == 120  # every task of the services runs again
    assert cluster.done_users == 60  # every other job has ended
