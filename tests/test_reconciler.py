"""Reconciliation of heartbeats with the job table: what counts as evidence, and what workers are commanded."""

import pytest

from builders import BOX, TERM, SchedulerHarness, heartbeat, task_status
from passrock.core.graceful_stop import stop_gracefully
from passrock.core.messages import CommandKind, ExitReason, TaskState
from passrock.core.model import JobKind, Resources
from passrock.core.reconciler import Reconciler


def placed_harness(**fields):
    """One job placed and committed on m1, its launch sent in answer to heartbeat 2."""
    harness = SchedulerHarness()
    job = harness.job(**fields)
    harness.run()
    harness.commit()
    reconciler = Reconciler(harness.job_table, harness.inventory, TERM)
    commands = handle(harness, reconciler, sequence=2)
    assert kinds(commands) == [CommandKind.START] * job.attempt_count
    return harness, job, reconciler


def handle(harness, reconciler, now=1.0, may_launch=True, **fields):
    """The commands in answer to a heartbeat with these fields."""
    received = heartbeat(**fields)
    machine = harness.inventory.observe(received, BOX, now)
    return [] if machine is None else reconciler.handle(machine, received, now, may_launch=may_launch).commands


def kinds(commands):
    return [command.kind for command in commands]


def exited(exit_reason, **fields):
    return task_status(state=TaskState.EXITED, exit_reason=exit_reason, **fields)


# What a heartbeat shows -> commands, and whether the attempt still counts as possibly on the machine.
HEARTBEATS = [
    pytest.param({"sequence": 3, "tasks": [task_status()]}, [], True, id="running"),
    pytest.param(
        {"sequence": 3}, [CommandKind.START], True, id="not listed in a later one: the launch was dropped, so again"
    ),
    pytest.param({"sequence": 1}, [], True, id="an older heartbeat is nothing new"),
    pytest.param({"incarnation": 2, "sequence": 3}, [], False, id="a later incarnation has forgotten it"),
    pytest.param({"sequence": 3, "tasks": [exited(ExitReason.COMPLETED)]}, [], False, id="completed"),
    pytest.param({"sequence": 3, "tasks": [exited(ExitReason.STOPPED)]}, [], False, id="stopped"),
    pytest.param(
        {"sequence": 3, "tasks": [task_status(attempt_number=9)]},
        [CommandKind.STOP, CommandKind.START],
        True,
        id="another attempt runs there",
    ),
    pytest.param(
        {"sequence": 3, "tasks": [task_status(), task_status(job="wk-99")]},
        [CommandKind.STOP],
        True,
        id="an unknown job",
    ),
]


@pytest.mark.parametrize(("fields", "commands", "is_recorded"), HEARTBEATS)
def test_evidence_of_a_heartbeat(fields, commands, is_recorded):
    harness, job, reconciler = placed_harness()
    assert kinds(handle(harness, reconciler, **fields)) == commands
    assert (job.attempt_count == 1) is is_recorded


def test_absence_needs_a_heartbeat_of_this_term():
    """A delayed heartbeat of an older term proves nothing: a former leader may have launched after it."""
    harness, job, reconciler = placed_harness()
    harness.job_table.cancel(job, 0.0)
    handle(harness, reconciler, sequence=3, token=TERM - 1)
    assert job.attempt_count == 1
    handle(harness, reconciler, sequence=4, token=TERM)
    assert job.attempt_count == 0
    assert "wk-1" in harness.job_table.finalizing


@pytest.mark.parametrize(
    ("exit_reason", "is_recorded"),
    [(ExitReason.GANG_INCOMPLETE, True), (ExitReason.STOPPED, True), (ExitReason.COMPLETED, False)],
)
def test_exits_in_heartbeats_of_older_terms(exit_reason, is_recorded):
    """A delayed exit may be of an attempt that was started again since; completion is final."""
    harness, job, reconciler = placed_harness()
    next(job.attempts()).stop_grace_s = 0.0
    commands = handle(harness, reconciler, sequence=3, token=TERM - 1, tasks=[exited(exit_reason)])
    assert commands == []
    assert (job.attempt_count == 1) is is_recorded


def test_no_launch_before_the_commit_nor_without_a_held_lease():
    harness = SchedulerHarness()
    harness.job()
    harness.run()
    reconciler = Reconciler(harness.job_table, harness.inventory, TERM)
    assert handle(harness, reconciler, sequence=2) == []
    harness.commit()
    assert handle(harness, reconciler, sequence=3, may_launch=False) == []
    assert kinds(handle(harness, reconciler, sequence=4)) == [CommandKind.START]


def test_forget_only_what_is_committed():
    harness, _, reconciler = placed_harness()
    done = [exited(ExitReason.COMPLETED)]
    assert handle(harness, reconciler, sequence=3, tasks=done) == []
    harness.commit()
    assert kinds(handle(harness, reconciler, sequence=4, tasks=done)) == [CommandKind.FORGET]


def test_gang_stops_and_starts_as_a_whole():
    harness = SchedulerHarness([(f"m{i}", "a", False) for i in range(3)])
    job = harness.job(kind=JobKind.GANG, tasks=3, resources=Resources(10, 2, 50))
    assert len(harness.run()) == 3
    assert {attempt.number for attempt in job.attempts()} == {1}
    for attempt in job.attempts():
        attempt.reported = True
    first = next(job.attempts())
    harness.job_table.record_attempt_lost(first, 5.0)
    assert [attempt.stop_grace_s for attempt in job.attempts()] == [0.0, 0.0]
    assert harness.run(6.0) == []  # not before every task of the old attempt has ended
    for attempt in list(job.attempts()):
        harness.job_table.record_attempt_lost(attempt, 7.0)
    harness.refresh_heartbeats(7.0)
    assert len(harness.run(7.0)) == 3
    assert {attempt.number for attempt in job.attempts()} == {2}


def test_gang_task_that_gave_up_waiting_starts_again_in_place():
    harness = SchedulerHarness([("m1", "a", False), ("m2", "a", False)])
    job = harness.job(kind=JobKind.GANG, tasks=2, resources=Resources(10, 2, 50))
    harness.run()
    harness.commit()
    reconciler = Reconciler(harness.job_table, harness.inventory, TERM)
    handle(harness, reconciler, sequence=2)
    index = next(attempt.index for attempt in job.attempts() if attempt.machine == "m1")
    gave_up = [exited(ExitReason.GANG_INCOMPLETE, index=index)]
    assert kinds(handle(harness, reconciler, sequence=3, tasks=gave_up)) == [
        CommandKind.FORGET,
        CommandKind.START,
    ]
    assert job.attempt_count == 2
    next(attempt for attempt in job.attempts() if attempt.machine == "m2").stop_grace_s = 0.0
    next(attempt for attempt in job.attempts() if attempt.machine == "m1").stop_grace_s = 0.0
    assert kinds(handle(harness, reconciler, sequence=4, tasks=gave_up)) == []
    assert job.attempt_count == 0  # this one ended, and the other was never launched


# successive heartbeats (incarnation, sequence, token, whether the launch is listed) -> whether the machine is usable
ACKNOWLEDGEMENTS = [
    pytest.param([(1, 1, 0, False)], False, id="a first heartbeat shows no token of this term"),
    pytest.param([(1, 1, 0, False), (1, 2, TERM, False)], True, id="the next one does"),
    pytest.param(
        [(1, 1, TERM, False), (2, 2, TERM, False)], True, id="a new incarnation though it was answered, once"
    ),
    pytest.param([(1, 1, TERM, False), (2, 2, TERM, False), (3, 3, TERM, False)], False, id="and again"),
    pytest.param([(1, n, TERM, False) for n in (1, 2, 3, 4)], False, id="launches without effect"),
    pytest.param(
        [(1, 1, TERM, False), (1, 2, TERM, False), (1, 3, TERM, True)], True, id="a launch that took effect at last"
    ),
]


@pytest.mark.parametrize(("heartbeats", "is_usable"), ACKNOWLEDGEMENTS)
def test_only_machines_that_answers_reach_are_used(heartbeats, is_usable):
    harness = SchedulerHarness([])
    reconciler = Reconciler(harness.job_table, harness.inventory, TERM)
    harness.job()
    for step, (incarnation, sequence, token, is_listed) in enumerate(heartbeats):
        handle(
            harness,
            reconciler,
            float(step),
            incarnation=incarnation,
            sequence=sequence,
            token=token,
            tasks=[task_status()] if is_listed else [],
        )
        harness.inventory.machines["m1"].last_answer_at = float(step)
        harness.run(float(step))
        harness.commit()
    assert (
        harness.inventory.health.is_schedulable(harness.inventory.machines["m1"], float(len(heartbeats))) is is_usable
    )


@pytest.mark.parametrize(
    ("answered", "fenced", "now", "up", "is_expired"),
    [
        (0.0, None, 100.0, True, False),
        (0.0, 0.0, 10.5, True, False),
        (0.0, 0.0, 11.1, True, True),
        (0.0, 50.0, 60.0, True, False),
        # cut off across a failover: its tasks, and the other members of its gangs, once waited until it was deleted
        (0.0, 2.0, 11.1, False, False),
        (0.0, 2.0, 13.1, False, True),
    ],
)
def test_lease_evidence(answered, fenced, now, up, is_expired):
    harness = SchedulerHarness()
    machine = harness.inventory.machines["m1"]
    machine.last_answer_at, machine.heartbeat_received = answered, up
    assert harness.inventory.health.is_lease_expired(machine, now, fenced) is is_expired


def test_a_job_that_fails_on_several_machines_is_retried_later():
    harness = SchedulerHarness([("m1", "a", False), ("m2", "a", False)])
    job = harness.job()
    reconciler = Reconciler(harness.job_table, harness.inventory, TERM)
    for sequence in (2, 4):
        now = float(sequence)
        harness.refresh_heartbeats(now)
        harness.run(now)
        harness.commit()
        attempt = next(job.attempts())
        handle(harness, reconciler, now, machine=attempt.machine, sequence=sequence)
        failed = [exited(ExitReason.FAILED, attempt_number=attempt.number)]
        handle(harness, reconciler, now, machine=attempt.machine, sequence=sequence + 1, tasks=failed)
    assert job.avoided_machines == {"m1", "m2"}
    assert job.retry_not_before > 4.0
    assert all(machine.quarantined_until > 4.0 for machine in harness.inventory.machines.values())


def fail_on(harness, reconciler, job, machine, now):
    """One of the job's tasks is started on a machine and fails there."""
    attempt = harness.job_table.add_attempt(
        job, 0, harness.inventory.machines[machine], job.next_attempt_number(0), now
    )
    attempt.launch_sequence = 0
    sequence = harness.inventory.machines[machine].sequence + 1
    failed = exited(ExitReason.FAILED, job=job.spec.id, attempt_number=attempt.number)
    handle(harness, reconciler, now, machine=machine, sequence=sequence, tasks=[failed])


def test_a_faulty_job_is_distinguished_from_a_faulty_machine():
    """Machines on which two jobs had failed were replaced, also where both jobs fail wherever they start."""
    harness = SchedulerHarness([("m1", "a", False), ("m2", "a", False), ("m3", "a", False)])
    reconciler = Reconciler(harness.job_table, harness.inventory, TERM)
    first, second, sound, other = (harness.job(number) for number in (1, 2, 3, 4))
    for now, machine in enumerate(("m1", "m2")):
        fail_on(harness, reconciler, first, machine, float(now))
    assert first.is_suspect
    assert first.retry_not_before > 1.0  # it is tried again, later
    blocked = harness.inventory.machines["m3"].quarantined_until
    fail_on(harness, reconciler, first, "m3", 2.0)
    assert harness.inventory.machines["m3"].quarantined_until == blocked  # and blocks nothing any more
    for now, machine in enumerate(("m2", "m1"), start=3):
        fail_on(harness, reconciler, second, machine, float(now))
    m1 = harness.inventory.machines["m1"]
    assert len(m1.failed_jobs) == 2
    assert harness.job_table.failed_job_count(m1) == 0
    fail_on(harness, reconciler, sound, "m1", 5.0)
    fail_on(harness, reconciler, other, "m1", 6.0)
    assert harness.job_table.failed_job_count(m1) == 2


def test_a_stopped_task_gets_time_to_save_a_checkpoint():
    harness, job, reconciler = placed_harness(checkpoint_interval_s=5.0, checkpoint_save_s=3.0)
    attempt = next(job.attempts())
    running, saving = [task_status()], [task_status(state=TaskState.SAVING)]

    def stops(sequence, tasks):
        return [
            (command.kind, command.grace_s) for command in handle(harness, reconciler, sequence=sequence, tasks=tasks)
        ]

    handle(harness, reconciler, sequence=3, tasks=running)
    stop_gracefully(attempt, 6.0)
    assert stops(4, running) == [(CommandKind.STOP, 6.0)]
    assert stops(5, saving) == []  # a second stop would end the saving
    harness.job_table.cancel(job, 0.0)
    assert stops(6, saving) == [(CommandKind.STOP, 0.0)]
