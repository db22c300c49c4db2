"""Reconciliation of heartbeats with the job table: what a heartbeat proves, and the commands in its answer."""

import pytest

from builders import BOX, TERM, SchedulerHarness, heartbeat, task_status
from passrock.core.graceful_stop import stop_gracefully
from passrock.core.messages import CommandKind, ExitReason, TaskState
from passrock.core.model import JobKind, Resources
from passrock.core.reconciler import Reconciler


def placed_harness(**fields):
    """A harness with one job placed on m1 and committed; the answer to heartbeat 2 has carried its launch."""
    harness = SchedulerHarness()
    job = harness.job(**fields)
    harness.run()
    harness.commit()
    reconciler = Reconciler(harness.job_table, harness.inventory, TERM)
    commands = handle(harness, reconciler, sequence=2)
    assert kinds(commands) == [CommandKind.START] * job.attempt_count
    return harness, job, reconciler


def handle(harness, reconciler, now=1.0, may_launch=True, **fields):
    """Reconcile a heartbeat with these fields; returns the commands in its answer."""
    received = heartbeat(**fields)
    machine = harness.inventory.observe(received, BOX, now)
    return [] if machine is None else reconciler.handle(machine, received, now, may_launch=may_launch).commands


def kinds(commands):
    return [command.kind for command in commands]


def exited(exit_reason, **fields):
    return task_status(state=TaskState.EXITED, exit_reason=exit_reason, **fields)


# Fields of a heartbeat -> commands in its answer, and whether the attempt stays in the job table.
HEARTBEATS = [
    pytest.param({"sequence": 3, "tasks": [task_status()]}, [], True, id="running"),
    pytest.param(
        {"sequence": 3}, [CommandKind.START], True, id="not listed in a later heartbeat: the launch is repeated"
    ),
    pytest.param({"sequence": 1}, [], True, id="outdated heartbeat"),
    pytest.param({"incarnation": 2, "sequence": 3}, [], False, id="later incarnation without the attempt"),
    pytest.param({"sequence": 3, "tasks": [exited(ExitReason.COMPLETED)]}, [], False, id="completed"),
    pytest.param({"sequence": 3, "tasks": [exited(ExitReason.STOPPED)]}, [], False, id="stopped"),
    pytest.param(
        {"sequence": 3, "tasks": [task_status(attempt_number=9)]},
        [CommandKind.STOP, CommandKind.START],
        True,
        id="another attempt is listed",
    ),
    pytest.param(
        {"sequence": 3, "tasks": [task_status(), task_status(job="wk-99")]},
        [CommandKind.STOP],
        True,
        id="task of an unknown job",
    ),
]


@pytest.mark.parametrize(("fields", "commands", "is_recorded"), HEARTBEATS)
def test_commands_and_job_table_after_a_heartbeat(fields, commands, is_recorded):
    harness, job, reconciler = placed_harness()
    assert kinds(handle(harness, reconciler, **fields)) == commands
    assert (job.attempt_count == 1) is is_recorded


def test_absence_requires_a_heartbeat_of_this_term():
    """A delayed heartbeat of an older term proves no absence: a former leader may have launched the task after it."""
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
    """A delayed exit may belong to an attempt that has been restarted in place; only completion is final."""
    harness, job, reconciler = placed_harness()
    next(job.attempts()).stop_grace_s = 0.0
    commands = handle(harness, reconciler, sequence=3, token=TERM - 1, tasks=[exited(exit_reason)])
    assert commands == []
    assert (job.attempt_count == 1) is is_recorded


def test_launch_requires_a_committed_record_and_permission_to_launch():
    harness = SchedulerHarness()
    harness.job()
    harness.run()
    reconciler = Reconciler(harness.job_table, harness.inventory, TERM)
    assert handle(harness, reconciler, sequence=2) == []
    harness.commit()
    assert handle(harness, reconciler, sequence=3, may_launch=False) == []
    assert kinds(handle(harness, reconciler, sequence=4)) == [CommandKind.START]


def test_exit_is_acknowledged_only_after_its_commit():
    harness, _, reconciler = placed_harness()
    completed = [exited(ExitReason.COMPLETED)]
    assert handle(harness, reconciler, sequence=3, tasks=completed) == []
    assert handle(harness, reconciler, now=6.0, sequence=4, tasks=completed) == []
    harness.commit()
    assert kinds(handle(harness, reconciler, now=7.0, sequence=5, tasks=completed)) == [CommandKind.ACKNOWLEDGE_EXIT]


@pytest.mark.parametrize("exit_reason", [ExitReason.COMPLETED, ExitReason.FAILED, ExitReason.INSUFFICIENT_CAPACITY])
def test_exit_is_acknowledged_only_when_no_copy_of_the_launch_can_arrive(exit_reason):
    """Guards against a worker that forgets an attempt while it may still receive a copy of the launch."""
    harness, _, reconciler = placed_harness()  # the answer at 1.0 carried the launch
    ended = [exited(exit_reason)]
    handle(harness, reconciler, now=2.0, sequence=3, tasks=ended)
    harness.commit()
    assert handle(harness, reconciler, now=4.9, sequence=4, tasks=ended) == []
    assert kinds(handle(harness, reconciler, now=5.1, sequence=5, tasks=ended)) == [CommandKind.ACKNOWLEDGE_EXIT]


def test_gang_stops_and_starts_as_a_whole():
    harness = SchedulerHarness([(f"m{i}", "a", False) for i in range(3)])
    job = harness.job(kind=JobKind.GANG, task_count=3, resources=Resources(10, 2, 50))
    assert len(harness.run()) == 3
    assert {attempt.number for attempt in job.attempts()} == {1}
    for attempt in job.attempts():
        attempt.reported = True
    first = next(job.attempts())
    harness.job_table.record_attempt_lost(first, 5.0)
    assert [attempt.stop_grace_s for attempt in job.attempts()] == [0.0, 0.0]
    assert harness.run(6.0) == []  # not before all tasks of the gang's previous attempt have ended
    for attempt in list(job.attempts()):
        harness.job_table.record_attempt_lost(attempt, 7.0)
    harness.refresh_heartbeats(7.0)
    assert len(harness.run(7.0)) == 3
    assert {attempt.number for attempt in job.attempts()} == {2}


def test_gang_member_whose_wait_timed_out_restarts_in_place():
    harness = SchedulerHarness([("m1", "a", False), ("m2", "a", False)])
    job = harness.job(kind=JobKind.GANG, task_count=2, resources=Resources(10, 2, 50))
    harness.run()
    harness.commit()
    reconciler = Reconciler(harness.job_table, harness.inventory, TERM)
    handle(harness, reconciler, sequence=2)
    index = next(attempt.index for attempt in job.attempts() if attempt.machine == "m1")
    timed_out = [exited(ExitReason.GANG_INCOMPLETE, index=index)]
    # no answer carries both commands: a copy of it would end and start the attempt whatever its state is by then
    assert kinds(handle(harness, reconciler, now=6.0, sequence=3, tasks=timed_out)) == [CommandKind.ACKNOWLEDGE_EXIT]
    assert handle(harness, reconciler, now=6.5, sequence=4) == []
    assert handle(harness, reconciler, now=9.9, sequence=5) == []
    [launch] = handle(harness, reconciler, now=10.1, sequence=6)
    assert (launch.kind, launch.index, launch.attempt_number) == (CommandKind.START, index, 1)
    assert job.attempt_count == 2
    next(attempt for attempt in job.attempts() if attempt.machine == "m2").stop_grace_s = 0.0
    next(attempt for attempt in job.attempts() if attempt.machine == "m1").stop_grace_s = 0.0
    assert kinds(handle(harness, reconciler, now=10.5, sequence=7, tasks=timed_out)) == []
    assert job.attempt_count == 0  # the attempt on m1 has exited, and the one on m2 was never launched


# heartbeats (incarnation, sequence, token, whether the task is listed) -> whether the machine is schedulable
ACKNOWLEDGEMENTS = [
    pytest.param([(1, 1, 0, False)], False, id="first heartbeat without this term's token"),
    pytest.param([(1, 1, 0, False), (1, 2, TERM, False)], True, id="next heartbeat with this term's token"),
    pytest.param([(1, 1, TERM, False), (2, 2, TERM, False)], True, id="one new incarnation despite answers"),
    pytest.param(
        [(1, 1, TERM, False), (2, 2, TERM, False), (3, 3, TERM, False)],
        False,
        id="two new incarnations despite answers",
    ),
    pytest.param([(1, n, TERM, False) for n in (1, 2, 3, 4)], False, id="launches without effect"),
    pytest.param(
        [(1, 1, TERM, False), (1, 2, TERM, False), (1, 3, TERM, True)], True, id="launch that took effect at last"
    ),
]


@pytest.mark.parametrize(("heartbeats", "schedulable"), ACKNOWLEDGEMENTS)
def test_only_machines_that_acknowledge_answers_are_schedulable(heartbeats, schedulable):
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
        harness.inventory.health.is_schedulable(harness.inventory.machines["m1"], float(len(heartbeats)))
        is schedulable
    )


@pytest.mark.parametrize(
    ("last_answer_at", "fence_effective_at", "now", "heartbeat_received", "is_expired"),
    [
        (0.0, None, 100.0, True, False),
        (0.0, 0.0, 10.5, True, False),
        (0.0, 0.0, 11.1, True, True),
        (0.0, 50.0, 60.0, True, False),
        # A machine that is unreachable throughout a failover: without the expiry of its lease, its tasks and the
        # other members of their gangs waited until the machine was deleted.
        (0.0, 2.0, 11.1, False, False),
        (0.0, 2.0, 13.1, False, True),
    ],
)
def test_lease_expiry_requires_the_fencing_of_older_leaders(
    last_answer_at, fence_effective_at, now, heartbeat_received, is_expired
):
    harness = SchedulerHarness()
    machine = harness.inventory.machines["m1"]
    machine.last_answer_at, machine.heartbeat_received = last_answer_at, heartbeat_received
    assert harness.inventory.health.is_lease_expired(machine, now, fence_effective_at) is is_expired


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
    """Start the job's first task on a machine, and report its failure."""
    attempt = harness.job_table.add_attempt(
        job, 0, harness.inventory.machines[machine], job.next_attempt_number(0), now
    )
    attempt.launch_sequence = 0
    sequence = harness.inventory.machines[machine].sequence + 1
    failed = exited(ExitReason.FAILED, job=job.spec.id, attempt_number=attempt.number)
    handle(harness, reconciler, now, machine=machine, sequence=sequence, tasks=[failed])


def test_a_faulty_job_is_distinguished_from_a_faulty_machine():
    """Machines on which two jobs had failed were replaced even when both jobs failed on every machine."""
    harness = SchedulerHarness([("m1", "a", False), ("m2", "a", False), ("m3", "a", False)])
    reconciler = Reconciler(harness.job_table, harness.inventory, TERM)
    first_faulty, second_faulty, first_sound, second_sound = (harness.job(number) for number in (1, 2, 3, 4))
    for now, machine in enumerate(("m1", "m2")):
        fail_on(harness, reconciler, first_faulty, machine, float(now))
    assert first_faulty.is_presumed_faulty
    assert first_faulty.retry_not_before > 1.0  # the job is retried later
    quarantined_until = harness.inventory.machines["m3"].quarantined_until
    fail_on(harness, reconciler, first_faulty, "m3", 2.0)
    # a job that is presumed faulty quarantines no machine
    assert harness.inventory.machines["m3"].quarantined_until == quarantined_until
    for now, machine in enumerate(("m2", "m1"), start=3):
        fail_on(harness, reconciler, second_faulty, machine, float(now))
    m1 = harness.inventory.machines["m1"]
    assert len(m1.failed_jobs) == 2
    assert harness.job_table.failed_job_count(m1) == 0
    fail_on(harness, reconciler, first_sound, "m1", 5.0)
    fail_on(harness, reconciler, second_sound, "m1", 6.0)
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
    assert stops(5, saving) == []  # a second stop command would interrupt the saving
    harness.job_table.cancel(job, 0.0)
    assert stops(6, saving) == [(CommandKind.STOP, 0.0)]
