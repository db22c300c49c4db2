"""What the service does when nothing happens, and for one report: counted, not timed, so that it repeats exactly."""

import asyncio
import sys

from passrock.io.http_server import Request, Response
from standins import virtual_time
from standins.simulated_cluster import SimulatedCluster

MACHINES = 20
SETTLED_S = 90.0  # by then surplus machines have gone back and all records are written
QUIET_S = 60.0
# A minute of three controllers at rest: renewals of the leader's key four times in its life, a watch each 4 s, a look
# at the state service by who has heard nothing of it for half of that life, and a read for what six users ask in 5 s.
STATE_REQUESTS = 360
CALLS_A_REPORT = 60  # Python functions called for an unchanged report of two tasks, parsing and answer included
CALLS_A_PASS = 4 * MACHINES  # and for a pass of placement over a fleet on which nothing waits


def calls_of(work, *arguments):
    """The result of a call, and how many Python functions it called."""
    count = 0

    def note(frame, event, argument):
        nonlocal count
        count += event == "call"

    sys.setprofile(note)
    try:
        result = work(*arguments)
    finally:
        sys.setprofile(None)
    return result, count


async def quiet_fleet():
    """Replicas run on twenty machines, and nothing else happens."""
    cluster = SimulatedCluster(3, machines=MACHINES, guarantee=16.0, limit=16.0, capacity=(MACHINES, 0))
    for number in range(6):
        spec = cluster.job(number, format="service", volumes=5, precedence="prod", loanS=0.0)
        cluster.spawn(cluster.user(spec, cancel_after=1e9))
    await asyncio.sleep(SETTLED_S)
    return cluster


async def quiet_minute():
    cluster = await quiet_fleet()
    leader = cluster.nodes[await cluster.wait_for_leader()].node
    scheduler = leader.leader_term.scheduler
    standings, requests = scheduler.queue.guaranteed, []
    handle = cluster.state.handle

    async def counted(method, path, body):
        requests.append((method, path))
        return await handle(method, path, body)

    cluster.state.handle = counted
    evaluations = leader.leader_term.evaluations.finished_count
    await asyncio.sleep(QUIET_S)
    assert leader.leader_term.evaluations.finished_count > evaluations
    assert cluster.checker.starts >= 30  # the minute was one of a leader with work placed
    return requests, standings is scheduler.queue.guaranteed


def test_a_quiet_minute_writes_nothing_and_reckons_no_standings():
    requests, kept = virtual_time.run(quiet_minute())
    assert [path for _, path in requests if path == "/commit"] == []
    assert len(requests) <= STATE_REQUESTS
    assert kept


async def one_report():
    cluster = await quiet_fleet()
    leader = cluster.nodes[await cluster.wait_for_leader()].node
    worker = next(one for one in cluster.workers.values() if len(one.tasks) == 2)
    body = worker.report()
    answer, calls = calls_of(leader.handle, Request("POST", "/checkin", body))
    assert isinstance(answer, Response)
    assert answer.status == 200  # answered at once: nothing had changed
    _, pass_calls = calls_of(
        leader.leader_term.scheduler.run, leader.leader_term.inventory.health.observing_since + QUIET_S
    )
    return calls, pass_calls


def test_an_unchanged_report_and_a_pass_without_work_are_cheap():
    calls, pass_calls = virtual_time.run(one_report())
    assert calls <= CALLS_A_REPORT
    assert pass_calls <= CALLS_A_PASS
