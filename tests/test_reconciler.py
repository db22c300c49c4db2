"""Reports against the records: what counts as evidence, and what workers are told."""

import pytest

from builders import BOX, TERM, SchedulerHarness, heartbeat, row
from passrock.core.messages import Op, TaskState
from passrock.core.model import JobKind, Resources
from passrock.core.preemption import stop_softly
from passrock.core.reconciler import Reconciler

EXITED = TaskState.EXITED


def placed_harness(**fields):
    """One job placed and committed on m1, its launch sent in answer to report 1."""
    harness = SchedulerHarness()
    job = harness.job(**fields)
    harness.run()
    harness.commit()
    reconciler = Reconciler(harness.job_table, harness.inventory, TERM)
    commands = handle(harness, reconciler, sequence=2)
    assert [c.op for c in commands] == [Op.START] * job.attempt_count
    return harness, job, reconciler


def handle(harness, reconciler, now=1.0, launch=True, **fields):
    told = heartbeat(**fields)
    machine = harness.inventory.observe(told, BOX, now)
    return [] if machine is None else reconciler.handle(machine, told, now, launch)


# What a report shows -> commands, and whether the attempt still counts as possibly there.
REPORTS = [
    ("running", {"sequence": 3, "tasks": [row()]}, [], True),
    ("not listed, later report: the launch was dropped, so again", {"sequence": 3}, [Op.START], True),
    ("an older report is nothing new", {"sequence": 1}, [], True),
    ("a later session has forgotten it", {"incarnation": 2, "sequence": 3}, [], False),
    ("completed", {"sequence": 3, "tasks": [row(state=EXITED, why="done")]}, [], False),
    ("stopped", {"sequence": 3, "tasks": [row(state=EXITED, why="stopped")]}, [], False),
    ("another attempt runs there", {"sequence": 3, "tasks": [row(attempt_number=9)]}, [Op.STOP, Op.START], True),
    ("a job nobody knows", {"sequence": 3, "tasks": [row(), row(job="wk-99")]}, [Op.STOP], True),
]


@pytest.mark.parametrize(("name", "told", "ops", "there"), REPORTS, ids=[case[0] for case in REPORTS])
def test_reports(name, told, ops, there):
    harness, job, reconciler = placed_harness()
    assert [c.op for c in handle(harness, reconciler, **told)] == ops
    assert (job.attempt_count == 1) is there


def test_absence_needs_a_report_of_this_term():
    """A held-back report of an older term proves nothing: a former leader may have launched after it."""
    harness, job, reconciler = placed_harness()
    harness.job_table.cancel(job, 0.0)
    handle(harness, reconciler, sequence=3, token=TERM - 1)
    assert job.attempt_count == 1
    handle(harness, reconciler, sequence=4, token=TERM)
    assert job.attempt_count == 0 and "wk-1" in harness.job_table.finalizing


def test_exits_in_reports_of_older_terms():
    """A held-back exit may be of an attempt that was started again since; completion is final."""
    for why, there in (("alone", True), ("stopped", True), ("done", False)):
        harness, job, reconciler = placed_harness()
        next(job.attempts()).stop_grace_s = 0.0
        assert handle(harness, reconciler, sequence=3, token=TERM - 1, tasks=[row(state=EXITED, why=why)]) == []
        assert (job.attempt_count == 1) is there


def test_no_launch_before_the_commit_nor_without_firm_leadership():
    harness = SchedulerHarness()
    harness.job()
    harness.run()
    reconciler = Reconciler(harness.job_table, harness.inventory, TERM)
    assert handle(harness, reconciler, sequence=2) == []
    harness.commit()
    assert handle(harness, reconciler, sequence=3, launch=False) == []
    assert [c.op for c in handle(harness, reconciler, sequence=4)] == [Op.START]


def test_forget_only_what_is_committed():
    harness, _, reconciler = placed_harness()
    done = [row(state=EXITED, why="done")]
    assert handle(harness, reconciler, sequence=3, tasks=done) == []
    harness.commit()
    assert [c.op for c in handle(harness, reconciler, sequence=4, tasks=done)] == [Op.FORGET]


def test_gang_ends_whole_and_starts_whole():
    harness = SchedulerHarness([(f"m{i}", "a", False) for i in range(3)])
    job = harness.job(kind=JobKind.GANG, tasks=3, resources=Resources(10, 2, 50))
    assert len(harness.run()) == 3
    assert {attempt.number for attempt in job.attempts()} == {1}
    for attempt in job.attempts():
        attempt.reported = True
    first = next(job.attempts())
    harness.job_table.attempt_lost(first, 5.0)
    assert [attempt.stop_grace_s for attempt in job.attempts()] == [0.0, 0.0]
    assert harness.run(6.0) == []  # not before every task of the old attempt is gone
    for attempt in list(job.attempts()):
        harness.job_table.attempt_lost(attempt, 7.0)
    harness.refresh(7.0)
    assert len(harness.run(7.0)) == 3
    assert {attempt.number for attempt in job.attempts()} == {2}


def test_impatient_gang_task_waits_on():
    harness = SchedulerHarness([("m1", "a", False), ("m2", "a", False)])
    job = harness.job(kind=JobKind.GANG, tasks=2, resources=Resources(10, 2, 50))
    harness.run()
    harness.commit()
    reconciler = Reconciler(harness.job_table, harness.inventory, TERM)
    handle(harness, reconciler, sequence=2)
    index = next(attempt.index for attempt in job.attempts() if attempt.machine == "m1")
    alone = [row(index=index, state=EXITED, why="alone")]
    assert [c.op for c in handle(harness, reconciler, sequence=3, tasks=alone)] == [Op.FORGET, Op.START]
    assert job.attempt_count == 2
    next(attempt for attempt in job.attempts() if attempt.machine == "m2").stop_grace_s = 0.0
    next(attempt for attempt in job.attempts() if attempt.machine == "m1").stop_grace_s = 0.0
    assert [c.op for c in handle(harness, reconciler, sequence=4, tasks=alone)] == []
    assert job.attempt_count == 0  # this one ended, and the other was never launched


# reports in a row (session, seq, token, whether the launch is listed), whether the machine may be used after them
HEARING = [
    ("a first report shows no token of this term", [(1, 1, 0, False)], False),
    ("the next one does", [(1, 1, 0, False), (1, 2, TERM, False)], True),
    ("a new session though it was answered, once", [(1, 1, TERM, False), (2, 2, TERM, False)], True),
    ("and again", [(1, 1, TERM, False), (2, 2, TERM, False), (3, 3, TERM, False)], False),
    ("launches without effect", [(1, n, TERM, False) for n in (1, 2, 3, 4)], False),
    ("a launch that took effect at last", [(1, 1, TERM, False), (1, 2, TERM, False), (1, 3, TERM, True)], True),
]


@pytest.mark.parametrize(("name", "told", "used"), HEARING, ids=[case[0] for case in HEARING])
def test_only_machines_that_hear_are_used(name, told, used):
    harness = SchedulerHarness([])
    reconciler = Reconciler(harness.job_table, harness.inventory, TERM)
    harness.job()
    for step, (incarnation, sequence, token, listed) in enumerate(told):
        handle(
            harness,
            reconciler,
            float(step),
            incarnation=incarnation,
            sequence=sequence,
            token=token,
            tasks=[row()] if listed else [],
        )
        harness.inventory.machines["m1"].last_answer_at = float(step)
        harness.run(float(step))
        harness.commit()
    assert harness.inventory.health.is_schedulable(harness.inventory.machines["m1"], float(len(told))) is used


@pytest.mark.parametrize(
    ("answered", "fenced", "now", "up", "over"),
    [
        (0.0, None, 100.0, True, False),
        (0.0, 0.0, 10.5, True, False),
        (0.0, 0.0, 11.1, True, True),
        (0.0, 50.0, 60.0, True, False),
        # cut off across a takeover: its tasks, and the mates of its gangs, once waited until it was deleted
        (0.0, 2.0, 11.1, False, False),
        (0.0, 2.0, 13.1, False, True),
    ],
)
def test_lease_evidence(answered, fenced, now, up, over):
    harness = SchedulerHarness()
    machine = harness.inventory.machines["m1"]
    machine.last_answer_at, machine.heartbeat_received = answered, up
    assert harness.inventory.health.is_lease_expired(machine, now, fenced) is over


def test_faulty_machine_or_faulty_job():
    harness = SchedulerHarness([("m1", "a", False), ("m2", "a", False)])
    job = harness.job()
    reconciler = Reconciler(harness.job_table, harness.inventory, TERM)
    for sequence in (2, 4):
        harness.refresh(float(sequence))
        harness.run(float(sequence))
        harness.commit()
        attempt = next(job.attempts())
        handle(harness, reconciler, machine=attempt.machine, sequence=sequence, now=float(sequence))
        failed = [row(attempt_number=attempt.number, state=EXITED, why="error")]
        handle(harness, reconciler, machine=attempt.machine, sequence=sequence + 1, now=float(sequence), tasks=failed)
    assert job.avoid == {"m1", "m2"} and job.not_before > 4.0  # failed on both: the job waits longer and longer
    assert all(machine.quarantined_until > 4.0 for machine in harness.inventory.machines.values())


def fail_on(harness, reconciler, job, machine, now):
    """One of the job's tasks is started on a machine and fails there."""
    attempt = harness.job_table.start(job, 0, harness.inventory.machines[machine], job.next_attempt_number(0), now)
    attempt.launch_sequence = 0
    state = harness.inventory.machines[machine]
    failed = row(job.spec.id, 0, attempt.number, TaskState.EXITED, "error")
    handle(harness, reconciler, now, machine=machine, sequence=state.sequence + 1, tasks=[failed])


def test_a_faulty_job_is_told_from_a_faulty_machine():
    """Machines on which two jobs had failed were replaced, also where both jobs fail wherever they start."""
    harness = SchedulerHarness([("m1", "a", False), ("m2", "a", False), ("m3", "a", False)])
    reconciler = Reconciler(harness.job_table, harness.inventory, TERM)
    first, second, sound, other = (harness.job(number) for number in (1, 2, 3, 4))
    for now, machine in enumerate(("m1", "m2")):
        fail_on(harness, reconciler, first, machine, float(now))
    assert first.is_suspect and first.not_before > 1.0  # it is tried again, later
    blocked = harness.inventory.machines["m3"].quarantined_until
    fail_on(harness, reconciler, first, "m3", 2.0)
    assert harness.inventory.machines["m3"].quarantined_until == blocked  # and blocks nothing any more
    for now, machine in enumerate(("m2", "m1"), start=3):
        fail_on(harness, reconciler, second, machine, float(now))
    m1 = harness.inventory.machines["m1"]
    assert len(m1.failed_jobs) == 2 and harness.job_table.failures_against(m1) == 0
    fail_on(harness, reconciler, sound, "m1", 5.0)
    fail_on(harness, reconciler, other, "m1", 6.0)
    assert harness.job_table.failures_against(m1) == 2


def test_stops_save_when_there_is_something_to_save():
    harness, job, reconciler = placed_harness(checkpoint_interval_s=5.0, checkpoint_save_s=3.0)
    attempt = next(job.attempts())
    handle(harness, reconciler, sequence=3, tasks=[row()])
    stop_softly(attempt, 6.0)
    assert [(c.op, c.grace) for c in handle(harness, reconciler, sequence=4, tasks=[row()])] == [(Op.STOP, 6.0)]
    saving = [row(state=TaskState.SAVING)]
    assert handle(harness, reconciler, sequence=5, tasks=saving) == []  # a second stop would end the saving
    harness.job_table.cancel(job, 0.0)
    assert [(c.op, c.grace) for c in handle(harness, reconciler, sequence=6, tasks=saving)] == [(Op.STOP, 0.0)]
