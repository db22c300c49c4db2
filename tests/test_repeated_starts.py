"""A start that reaches a worker once more, after it was carried out, starts nothing that has ended or moved."""

import asyncio
import math

import pytest

from passrock.controller import keys
from passrock.core.recent_launches import RecentLaunches
from standins import virtual_time
from standins.scenarios import machines_of
from standins.simulated_cluster import SimulatedCluster

JOB, TASK = "wk-000000", ("wk-000000", 0)
# What a transaction that is applied a second time may write: no rule depends on it (docs/safety.md, claim 36)
REPEATABLE_WRITES = (
    keys.PROVISIONING_INTENT,
    keys.RESERVATION,
    keys.RESERVATION_PAGE,
    keys.IMAGE_HINTS,
    keys.TASK_PAGE,
)
COPY_EVERY_S = 0.1
COPIES_FOR_S = 30.0  # three leases


class Copies:
    """Copies of every answer that carries a start, which reach the worker again and again."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.starts = 0  # answers with a start that were carried out
        self.delivered = True  # False: copies are lost
        cluster.on_answer_accepted = self.on_answer_accepted

    def on_answer_accepted(self, worker, answer):
        started = [command for command in answer.body["slips"] if command["slipKind"] == "launch"]
        if started:
            self.starts += 1
            self.cluster.spawn(self.repeat(worker, answer))

    async def repeat(self, worker, answer):
        until = self.cluster.now() + COPIES_FOR_S
        while self.cluster.now() < until:
            await asyncio.sleep(COPY_EVERY_S)
            if self.delivered:
                worker.receive_copy(answer)


async def run_task(cluster, run_s):
    """Submit the job and wait until its task is on a machine; returns the worker."""
    cluster.spawn(cluster.simulate_user(cluster.job(0), run_s=run_s, cancel_after_s=math.inf))
    while not cluster.checker.placements.get(TASK):
        await asyncio.sleep(0.05)
    [(name, _)] = cluster.checker.placements[TASK]
    return cluster.workers[name]


async def task_goes_on(cluster):
    await run_task(cluster, 60.0)


async def task_moves(cluster):
    worker = await run_task(cluster, 60.0)
    worker._exit(next(iter(worker.tasks.values())), "error")
    worker.tasks_fail = True


async def task_is_cancelled(cluster):
    await run_task(cluster, 60.0)
    assert await cluster.cancel(JOB)


async def task_completes(cluster):
    await run_task(cluster, 0.1)


async def nobody_returns(cluster, leader, worker):
    pass


async def leader_returns(cluster, leader, worker):
    await cluster.crash([leader], 0.3)


async def controllers_return(cluster, leader, worker):
    await cluster.crash(list(cluster.nodes), 0.3)


async def worker_resumes(cluster, leader, worker):
    worker.hung_until = cluster.now() + 0.7


async def machine_returns(cluster, leader, worker):
    await asyncio.sleep(0.3)
    worker.sequence = 0  # the numbers of its heartbeats begin again
    worker.begin_incarnation()


ENDS = (task_goes_on, task_moves, task_is_cancelled, task_completes)
RETURNS = (nobody_returns, leader_returns, controllers_return, worker_resumes, machine_returns)


async def repeat_starts(end, returns, seed, return_after_s):
    cluster = SimulatedCluster(seed, machines=3, zones=("a",), capacity=(0, 0))
    await asyncio.sleep(5.0)
    leader = await cluster.wait_for_leader()
    for worker in cluster.workers.values():
        worker.image_fetch_s = 0.05  # the machines have the image
    copies = Copies(cluster)
    cluster.spawn(end(cluster))
    while not copies.starts:
        await asyncio.sleep(0.05)
    worker = next(worker for worker in cluster.workers.values() if worker.tasks)
    await asyncio.sleep(return_after_s)
    await returns(cluster, leader, worker)
    await asyncio.sleep(COPIES_FOR_S + 5.0)
    return cluster


async def repeat_restart_in_place(end, seed):
    """Repeat the answers that restart a gang task in place, of which the other task still fetches its image."""
    cluster = SimulatedCluster(seed, machines=3, zones=("a",), capacity=(0, 0), limits={"gang_wait_s": 6.0})
    await asyncio.sleep(5.0)
    for worker in cluster.workers.values():
        worker.image_fetch_s = 0.2
    copies = Copies(cluster)
    spec = cluster.job(0, format="group", volumes=2, cores=14.0, cards=2.0, ramGb=50.0)
    cluster.spawn(cluster.simulate_user(spec, run_s=60.0, cancel_after_s=math.inf))
    while cluster.checker.starts < 2:
        await asyncio.sleep(0.05)
        for worker in cluster.workers.values():
            for task in worker.tasks.values():
                if task.index == 1:
                    task.timers[0].cancel()  # its image takes long
    [name] = machines_of(cluster, JOB)
    await end(cluster, copies, cluster.workers[name])
    assert copies.starts > 2
    await asyncio.sleep(COPIES_FOR_S)
    return cluster


async def member_fails(cluster, copies, worker):
    """The copies arrive once the gang's next attempt has started elsewhere."""
    copies.delivered = False
    worker._exit(next(task for task in worker.tasks.values() if task.on_machine), "error")
    while not set(machines_of(cluster, JOB)) - {worker.name}:
        await asyncio.sleep(0.05)
    copies.delivered = True


async def gang_is_cancelled(cluster, copies, worker):
    assert await cluster.cancel(JOB)


def starts_that_break_a_rule(cluster):
    checker = cluster.checker
    rules = {rule for _, rule, _ in checker.violations}
    counts = {
        "by_copy": checker.starts_by_copies,
        "after_cancellation": checker.starts_after_cancellation,
        "after_done": checker.starts_after_done,
    }
    return rules | {rule for rule, count in counts.items() if count}


@pytest.mark.parametrize("return_after_s", [0.2, 1.5, 3.0])
@pytest.mark.parametrize("returns", RETURNS, ids=lambda returns: returns.__name__)
@pytest.mark.parametrize("end", ENDS, ids=lambda end: end.__name__)
def test_a_repeated_start_starts_nothing_that_has_ended_or_moved(end, returns, return_after_s):
    """Guards against a copy of a start that runs a task twice, after its cancellation or after its end."""
    cluster = virtual_time.run(repeat_starts(end, returns, 500, return_after_s))
    assert starts_that_break_a_rule(cluster) == set()


@pytest.mark.parametrize("seed", range(520, 524))
@pytest.mark.parametrize("end", [member_fails, gang_is_cancelled], ids=lambda end: end.__name__)
def test_a_repeated_restart_in_place_starts_nothing_that_has_ended_or_moved(end, seed):
    """Guards against a copy of an answer that drops a gang task and starts it again under the same number."""
    cluster = virtual_time.run(repeat_restart_in_place(end, seed))
    assert starts_that_break_a_rule(cluster) == set()


async def leader_is_replaced(cluster, leader, worker):
    await cluster.crash([leader], 5.0)


async def repeat_heartbeats(end, returns, seed):
    """Deliver copies of all heartbeats so far, before those that the workers send, to whoever leads next."""
    cluster = SimulatedCluster(seed, machines=3, zones=("a",), capacity=(0, 0))
    bodies, send_heartbeat = [], cluster.send_heartbeat

    def record_and_send(worker, name, body, timeout):
        bodies.append(body)
        return send_heartbeat(worker, name, body, timeout)

    cluster.send_heartbeat = record_and_send
    await asyncio.sleep(5.0)
    leader = await cluster.wait_for_leader()
    cluster.spawn(end(cluster))
    while not cluster.checker.starts:
        await asyncio.sleep(0.05)
    worker = next(worker for worker in cluster.workers.values() if worker.tasks)
    await asyncio.sleep(6.0)  # the exit is stored and acknowledged
    copies = list(bodies)
    returned = cluster.spawn(returns(cluster, leader, worker))
    until = cluster.now() + 8.0
    while cluster.now() < until:
        for name, controller in cluster.nodes.items():
            if controller.alive and controller.node.leadership.leading:
                for body in copies:
                    cluster.deliver_late_heartbeat(name, body)
        await asyncio.sleep(0.2)
    await returned
    await asyncio.sleep(15.0)
    return cluster


@pytest.mark.parametrize("returns", [*RETURNS, leader_is_replaced], ids=lambda returns: returns.__name__)
@pytest.mark.parametrize("end", ENDS, ids=lambda end: end.__name__)
def test_copies_of_heartbeats_that_a_new_term_receives_first_start_nothing(end, returns):
    """Guards against a heartbeat from before the start, the exit or its acknowledgement that counts as evidence."""
    cluster = virtual_time.run(repeat_heartbeats(end, returns, 540))
    assert starts_that_break_a_rule(cluster) == set()


async def random_short_tasks(seed):
    """Run tasks that end, fail or are cancelled within seconds, while every message may arrive once more."""
    cluster = SimulatedCluster(
        seed,
        machines=8,
        quota=16.0,
        repeated_answer_share=1.0,
        repeated_request_share=0.1,
        duplicate_share=0.1,
        limits={"gang_wait_s": 8.0},
    )
    rng = cluster.rng

    async def user(number):
        await asyncio.sleep(rng.uniform(3.0, 60.0))
        spec = cluster.random_job(number)
        is_cancelled = spec["format"] == "service" or rng.random() < 0.4
        cancel_after_s = rng.uniform(0.0, 3.0) if is_cancelled else None
        await cluster.simulate_user(spec, run_s=rng.uniform(0.05, 1.5), cancel_after_s=cancel_after_s)

    for number in range(60):
        cluster.spawn(user(number))
    while cluster.now() < 70.0:
        await asyncio.sleep(rng.uniform(0.5, 3.0))
        for worker in cluster.workers.values():
            worker.image_fetch_s = rng.choice([0.05, 0.05, 0.3, 12.0])
            worker.tasks_fail = rng.random() < 0.15
        if rng.random() < 0.15:
            cluster.spawn(cluster.crash([rng.choice(list(cluster.nodes))], rng.uniform(0.05, 0.9)))
        if rng.random() < 0.1:
            cluster.random_worker().hung_until = cluster.now() + rng.uniform(0.2, 3.0)
        if rng.random() < 0.1:
            cluster.random_worker().begin_incarnation()
    await asyncio.sleep(40.0)
    return cluster


@pytest.mark.parametrize("seed", range(2000, 2010))
def test_short_tasks_while_every_message_may_arrive_once_more(seed):
    """Guards against copies of answers, heartbeats, transactions and requests that start a task or bring one back."""
    cluster = virtual_time.run(random_short_tasks(seed))
    assert starts_that_break_a_rule(cluster) <= {"after_cancellation"}  # starts that were under way are allowed
    assert cluster.checker.starts > 60
    assert cluster.done_users > 50
    written = {op.get("set", "") for commit in cluster.store.repeated_commits for op in commit["apply"]}
    assert all(key.startswith(REPEATABLE_WRITES) for key in written - {""})


def forget_launches(monkeypatch):
    monkeypatch.setattr(RecentLaunches, "may_repeat", lambda self, attempt, now: False)


def restart_in_place_at_once(monkeypatch):
    monkeypatch.setattr("passrock.core.reconciler.ANSWER_LIFETIME_S", 0.0)


@pytest.mark.parametrize(
    ("make_unsafe", "run", "rule"),
    [
        (forget_launches, lambda: repeat_starts(task_moves, nobody_returns, 500, 0.2), "task_ran_twice"),
        (forget_launches, lambda: repeat_starts(task_is_cancelled, nobody_returns, 500, 0.2), "after_cancellation"),
        (forget_launches, lambda: repeat_starts(task_completes, nobody_returns, 500, 0.2), "after_done"),
        (restart_in_place_at_once, lambda: repeat_restart_in_place(member_fails, 520), "task_ran_twice"),
        (restart_in_place_at_once, lambda: repeat_restart_in_place(gang_is_cancelled, 520), "after_cancellation"),
        (forget_launches, lambda: random_short_tasks(2000), "by_copy"),
        (restart_in_place_at_once, lambda: random_short_tasks(2000), "by_copy"),
    ],
    ids=["moved", "cancelled", "done", "gang task moved", "gang cancelled", "short tasks", "short tasks in gangs"],
)
def test_checker_catches_repeated_starts(monkeypatch, make_unsafe, run, rule):
    """Without the protection the copies do start tasks, and the checker reports it."""
    make_unsafe(monkeypatch)
    assert rule in starts_that_break_a_rule(virtual_time.run(run()))
