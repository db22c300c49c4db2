"""Cost of a minute without events, of an unchanged heartbeat and of a scheduling pass without work.

The tests count requests and function calls instead of measuring time, so that they are reproducible.
"""

import asyncio
import sys

from passrock.io.http_server import Request, Response
from standins import virtual_time
from standins.simulated_cluster import SimulatedCluster

MACHINES = 20
SETTLED_S = 90.0  # by then surplus machines are deleted and all records are written
QUIET_S = 60.0
# In a minute of three idle controllers: renewals of the leader key four times per lease, a watch every 4 s, a probe
# of the key-value store by each controller without an answer from it for half of that lease, and one read per 5 s for
# the queries of six users.
MAX_STORE_REQUESTS = 360
# Python functions called for an unchanged heartbeat of two tasks, parsing and answer included
MAX_CALLS_PER_HEARTBEAT = 60
MAX_CALLS_PER_PASS = 4 * MACHINES  # for a scheduling pass over all machines while no task waits


def count_calls(function, *arguments):
    """Return the result of a call, and how many Python functions it called."""
    count = 0

    def on_profile_event(frame, event, argument):
        nonlocal count
        count += event == "call"

    sys.setprofile(on_profile_event)
    try:
        result = function(*arguments)
    finally:
        sys.setprofile(None)
    return result, count


async def quiet_cluster():
    """Start a cluster whose only tasks are the service_fields of services on twenty machines."""
    cluster = SimulatedCluster(3, machines=MACHINES, guarantee=16.0, quota=16.0, capacity=(MACHINES, 0))
    for number in range(6):
        spec = cluster.job(number, format="service", volumes=5, precedence="prod", loanS=0.0)
        cluster.spawn(cluster.simulate_user(spec, cancel_after_s=1e9))
    await asyncio.sleep(SETTLED_S)
    return cluster


async def quiet_minute():
    cluster = await quiet_cluster()
    leader = cluster.nodes[await cluster.wait_for_leader()].node
    scheduler = leader.leader_term.scheduler
    guaranteed, requests = scheduler.queue.guaranteed, []
    handle = cluster.store.handle

    async def counted(method, path, body):
        requests.append((method, path))
        return await handle(method, path, body)

    cluster.store.handle = counted
    evaluations = leader.leader_term.evaluations.finished_count
    await asyncio.sleep(QUIET_S)
    assert leader.leader_term.evaluations.finished_count > evaluations
    assert cluster.checker.starts >= 30  # the leader had running tasks in that minute
    return requests, guaranteed is scheduler.queue.guaranteed


def test_a_quiet_minute_writes_nothing_and_recomputes_no_guarantees():
    requests, guarantees_kept = virtual_time.run(quiet_minute())
    assert [path for _, path in requests if path == "/commit"] == []
    assert len(requests) <= MAX_STORE_REQUESTS
    assert guarantees_kept


async def heartbeat_and_pass():
    cluster = await quiet_cluster()
    leader = cluster.nodes[await cluster.wait_for_leader()].node
    worker = next(candidate for candidate in cluster.workers.values() if len(candidate.tasks) == 2)
    body = worker.encode_heartbeat()
    answer, calls = count_calls(leader.handle, Request("POST", "/checkin", body))
    assert isinstance(answer, Response)
    assert answer.status == 200  # answered at once, since nothing had changed
    _, pass_calls = count_calls(
        leader.leader_term.scheduler.run, leader.leader_term.inventory.health.observing_since + QUIET_S
    )
    return calls, pass_calls


def test_an_unchanged_heartbeat_and_a_pass_without_work_are_cheap():
    calls, pass_calls = virtual_time.run(heartbeat_and_pass())
    assert calls <= MAX_CALLS_PER_HEARTBEAT
    assert pass_calls <= MAX_CALLS_PER_PASS
