"""Tables of cases for evidence, check-ins, placement, gangs and stops."""

import pytest

from passrock.core.admission import Limiter, fault
from passrock.core.budget import Budget
from passrock.core.checkin import Checkins
from passrock.core.jobs import Book, new_record
from passrock.core.messages import Op, TaskState
from passrock.core.model import NOTHING, Kind, Priority, Resources, Team
from passrock.core.preemption import stop_softly
from passrock.core.records import chunk_tasks
from passrock.core.renting import Market, Offer, plan_rentals, plan_returns
from tables import AIMS, BOX, TEAMS, TERM, Desk, report, row, spec

EXITED = TaskState.EXITED


def placed_desk(**fields):
    """One job placed and committed on m1, its launch sent in answer to report 1."""
    desk = Desk()
    job = desk.job(**fields)
    desk.run()
    desk.commit()
    checkins = Checkins(desk.book, desk.fleet, TERM)
    commands = handle(desk, checkins, seq=2)
    assert [c.op for c in commands] == [Op.START] * job.live_count
    return desk, job, checkins


def handle(desk, checkins, now=1.0, launch=True, **fields):
    told = report(**fields)
    machine = desk.fleet.observe(told, BOX, now)
    return [] if machine is None else checkins.handle(machine, told, now, launch)


# What a report shows -> commands, and whether the attempt still counts as possibly there.
REPORTS = [
    ("running", {"seq": 3, "tasks": [row()]}, [], True),
    ("not listed, later report: the launch was dropped, so again", {"seq": 3}, [Op.START], True),
    ("an older report is nothing new", {"seq": 1}, [], True),
    ("a later session has forgotten it", {"session": 2, "seq": 3}, [], False),
    ("completed", {"seq": 3, "tasks": [row(state=EXITED, why="done")]}, [], False),
    ("stopped", {"seq": 3, "tasks": [row(state=EXITED, why="stopped")]}, [], False),
    ("another attempt runs there", {"seq": 3, "tasks": [row(attempt=9)]}, [Op.STOP, Op.START], True),
    ("a job nobody knows", {"seq": 3, "tasks": [row(), row(job="wk-99")]}, [Op.STOP], True),
]


@pytest.mark.parametrize(("name", "told", "ops", "there"), REPORTS, ids=[case[0] for case in REPORTS])
def test_reports(name, told, ops, there):
    desk, job, checkins = placed_desk()
    assert [c.op for c in handle(desk, checkins, **told)] == ops
    assert (job.live_count == 1) is there


def test_absence_needs_a_report_of_this_term():
    """A held-back report of an older term proves nothing: a former leader may have launched after it."""
    desk, job, checkins = placed_desk()
    desk.book.cancel(job, 0.0)
    handle(desk, checkins, seq=3, token=TERM - 1)
    assert job.live_count == 1
    handle(desk, checkins, seq=4, token=TERM)
    assert job.live_count == 0 and "wk-1" in desk.book.finishing


def test_exits_in_reports_of_older_terms():
    """A held-back exit may be of an attempt that was started again since; completion is final."""
    for why, there in (("alone", True), ("stopped", True), ("done", False)):
        desk, job, checkins = placed_desk()
        next(job.lives()).stop = 0.0
        assert handle(desk, checkins, seq=3, token=TERM - 1, tasks=[row(state=EXITED, why=why)]) == []
        assert (job.live_count == 1) is there


def test_no_launch_before_the_commit_nor_without_firm_leadership():
    desk = Desk()
    desk.job()
    desk.run()
    checkins = Checkins(desk.book, desk.fleet, TERM)
    assert handle(desk, checkins, seq=2) == []
    desk.commit()
    assert handle(desk, checkins, seq=3, launch=False) == []
    assert [c.op for c in handle(desk, checkins, seq=4)] == [Op.START]


def test_forget_only_what_is_committed():
    desk, _, checkins = placed_desk()
    done = [row(state=EXITED, why="done")]
    assert handle(desk, checkins, seq=3, tasks=done) == []
    desk.commit()
    assert [c.op for c in handle(desk, checkins, seq=4, tasks=done)] == [Op.FORGET]


def test_gang_ends_whole_and_starts_whole():
    desk = Desk([(f"m{i}", "a", False) for i in range(3)])
    job = desk.job(kind=Kind.GANG, tasks=3, need=Resources(10, 2, 50))
    assert len(desk.run()) == 3
    assert {live.attempt for live in job.lives()} == {1}
    for live in job.lives():
        live.seen = True
    first = next(job.lives())
    desk.book.gone(first, 5.0)
    assert [live.stop for live in job.lives()] == [0.0, 0.0]
    assert desk.run(6.0) == []  # not before every task of the old attempt is gone
    for live in list(job.lives()):
        desk.book.gone(live, 7.0)
    desk.refresh(7.0)
    assert len(desk.run(7.0)) == 3
    assert {live.attempt for live in job.lives()} == {2}


def test_impatient_gang_task_waits_on():
    desk = Desk([("m1", "a", False), ("m2", "a", False)])
    job = desk.job(kind=Kind.GANG, tasks=2, need=Resources(10, 2, 50))
    desk.run()
    desk.commit()
    checkins = Checkins(desk.book, desk.fleet, TERM)
    handle(desk, checkins, seq=2)
    index = next(live.index for live in job.lives() if live.machine == "m1")
    alone = [row(index=index, state=EXITED, why="alone")]
    assert [c.op for c in handle(desk, checkins, seq=3, tasks=alone)] == [Op.FORGET, Op.START]
    assert job.live_count == 2
    next(live for live in job.lives() if live.machine == "m2").stop = 0.0
    next(live for live in job.lives() if live.machine == "m1").stop = 0.0
    assert [c.op for c in handle(desk, checkins, seq=4, tasks=alone)] == []
    assert job.live_count == 0  # this one ended, and the other was never launched


# job fields, machines (name, zone, spot), tasks expected to be placed
PLACES = [
    ({"tasks": 3}, [("m1", "a", False)], 2),
    ({"tasks": 3, "kind": Kind.GANG}, [("m1", "a", False)], 0),
    ({"zone": "b"}, [("m1", "a", False)], 0),
    ({"types": ("other",)}, [("m1", "a", False)], 0),
    ({}, [("m1", "a", True)], 0),
    ({"spot": True}, [("m1", "a", True)], 1),
    ({"tasks": 2, "kind": Kind.SERVICE, "spread": True}, [("m1", "a", False)], 1),
    ({"tasks": 2, "kind": Kind.SERVICE, "spread": True}, [("m1", "a", False), ("m2", "b", False)], 2),
    ({"tasks": 3, "kind": Kind.GANG, "one_zone": True}, [("m1", "a", False), ("m2", "b", False)], 0),
    ({"tasks": 3, "kind": Kind.GANG}, [("m1", "a", False), ("m2", "b", False)], 3),
    ({"tasks": 3, "one_zone": True}, [("m1", "a", False), ("m2", "b", False)], 2),
    ({"tasks": 20}, [(f"m{i}", "a", False) for i in range(9)], 8),  # the team's limit
    ({"tasks": 9, "kind": Kind.GANG}, [(f"m{i}", "a", False) for i in range(9)], 0),
]


@pytest.mark.parametrize(("fields", "machines", "count"), PLACES)
def test_placement(fields, machines, count):
    desk = Desk(machines)
    desk.job(**fields)
    assert len(desk.run()) == count


def test_strays_count_against_limits_and_their_task():
    desk = Desk([("m1", "a", False), ("m2", "a", False)])
    desk.job()
    desk.fleet.machines["m2"].strays = {("wk-1", 0): Resources(5, 1, 20)}
    assert desk.run() == []
    desk.fleet.machines["m2"].strays = {}
    assert desk.run() == [("wk-1", 0, "m1")]


def test_images_and_packing_decide():
    desk = Desk([("m1", "a", False), ("m2", "a", False)])
    desk.fleet.machines["m2"].images["img"] = 2.0
    desk.job(1, image_gb=20.0)
    assert desk.run() == [("wk-1", 0, "m2")]
    desk.job(2, image="other", team="t1")
    assert desk.run() == [("wk-2", 0, "m2")]  # the half-full one


@pytest.mark.parametrize(
    ("fields", "now", "machine"),
    [
        ({"job_class": "late"}, 0.0, "cheap"),
        ({"job_class": "late"}, 5.0, "cheap"),
        ({"job_class": "none"}, 5.0, "cheap"),
        ({"job_class": "none"}, 60.0, "dear"),  # no aim, but it has waited for longer than keep_after
        ({"job_class": "soon"}, 15.0, "dear"),
        ({"job_class": "late", "kind": Kind.GANG}, 5.0, "dear"),
    ],
)
def test_patient_arrays_leave_dear_machines(fields, now, machine):
    """They took ordinary machines for minutes, and gangs that may use no others waited beside cheap room."""
    desk = Desk([("dear", "a", False), ("cheap", "a", True)])
    if machine == "dear" or now:
        desk.fleet.machines["cheap"].notice_until = 1.0
    desk.job(1, spot=True, **fields)
    desk.refresh(now)
    placed = [name for _, _, name in desk.run(now)]
    assert placed == ([machine] if machine == "dear" or not now else [])


def test_replicas_share_machines():
    """One to a machine, they stranded half of each for as long as they ran."""
    desk = Desk([(f"m{i}", "a", False) for i in range(4)])
    desk.job(1, kind=Kind.SERVICE, tasks=4, priority=Priority.PRODUCTION)
    assert len({machine for _, _, machine in desk.run()}) == 2


def test_a_fetch_under_way_is_left_alone():
    """Two images on one machine share its rate: the second made the first one's task late."""
    desk = Desk([("m1", "a", False), ("m2", "a", False)])
    desk.fleet.machines["m2"].images["old"] = 1.0
    desk.job(1, image="one", image_gb=20.0)
    assert desk.run() == [("wk-1", 0, "m1")]
    desk.job(2, image="two", image_gb=20.0, team="t1")
    assert desk.run() == [("wk-2", 0, "m2")]
    assert desk.fleet.machines["m1"].fetch_harm(spec(3, image="one")) == 0.0


def test_an_aim_that_the_fetch_would_miss_does_not_count():
    """Jobs with large images took room for an aim that was lost to them, before those that could meet it."""
    desk = Desk()
    for number, gb in (
        (1, 1.0),
        (2, 40.0),
        (3, 20.0),
    ):  # at 1 GB a second, with 30 s from the submission to the start
        desk.job(number, team="t1", tasks=6, job_class="soon", image_gb=gb, at=0.1 * number)
    desk.run(0.4)
    desk.placer.find_guaranteed()
    assert [job.spec.id for job in desk.placer.queue(0.5)] == ["wk-3", "wk-1", "wk-2"]


def test_queue_order():
    desk = Desk()
    desk.job(1, team="t1", tasks=6, job_class="late", at=0.0)
    desk.job(2, job_class="late", at=1.0)
    desk.job(3, job_class="soon", at=2.0)
    desk.job(4, priority=Priority.PRODUCTION, at=3.0)
    desk.placer.find_guaranteed()
    assert [job.spec.id for job in desk.placer.queue(5.0)] == ["wk-4", "wk-3", "wk-2", "wk-1"]


@pytest.mark.parametrize(
    ("victim", "job", "displaced"),
    [
        ({"priority": Priority.LOW}, {"priority": Priority.PRODUCTION}, True),
        ({"priority": Priority.PRODUCTION}, {"priority": Priority.PRODUCTION}, False),
        ({"priority": Priority.HIGH}, {"priority": Priority.NORMAL}, False),
        ({"tasks": 6, "team": "t1"}, {"priority": Priority.NORMAL, "team": "t0"}, True),  # beyond t1's guarantee
        ({"tasks": 6, "team": "t0"}, {"priority": Priority.NORMAL, "team": "t0"}, False),
    ],
)
def test_preemption_has_reasons(victim, job, displaced):
    desk = Desk()
    desk.job(1, need=Resources(5, 1, 20), **victim)
    desk.run()
    waiting = desk.job(2, at=1.0, **{"need": Resources(5, 1, 20), "job_class": "now", **job})
    desk.job(
        3, at=0.5, team="t1", need=Resources(5, 1, 20), tasks=1, priority=victim.get("priority", Priority.NORMAL)
    )
    desk.run(1.0)
    if waiting.live_count:
        desk.book.gone(next(waiting.lives()), 1.0)
    desk.fleet.machines["m1"].used = BOX.size
    desk.placer.run(1.0)
    if waiting.spec.priority is not Priority.PRODUCTION:
        assert not desk.preemption.make_room(waiting, 1.0)  # a start that does not count yet is not taken back
        for live in desk.book.held["m1"].values():
            live.running_since = -60.0
    assert bool(desk.preemption.make_room(waiting, 1.0)) is displaced


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
    desk = Desk([])
    checkins = Checkins(desk.book, desk.fleet, TERM)
    desk.job()
    for step, (session, seq, token, listed) in enumerate(told):
        handle(desk, checkins, float(step), session=session, seq=seq, token=token, tasks=[row()] if listed else [])
        desk.fleet.machines["m1"].answered = float(step)
        desk.run(float(step))
        desk.commit()
    assert desk.fleet.usable(desk.fleet.machines["m1"], float(len(told))) is used


def test_room_is_kept_for_a_gang_that_has_waited_long():
    """Small tasks took each machine as it came free, and the gang never saw two at once."""
    desk = Desk([("m1", "a", False), ("m2", "a", False)])
    small = [desk.job(n, team="t1", need=Resources(10, 2, 50), job_class="soon") for n in (1, 2)]
    assert len(desk.run(0.0)) == 2
    desk.job(9, kind=Kind.GANG, tasks=2, need=Resources(10, 2, 50), one_zone=True, at=1.0)
    for turn in range(3, 9):  # one small task ends at a time, and another one waits
        now = 10.0 * turn
        desk.refresh(now)
        for name, machine in desk.fleet.machines.items():
            machine.used = BOX.size if desk.book.held.get(name) else NOTHING
        desk.book.completed(next(small.pop(0).lives()))
        small.append(desk.job(turn, team="t1", need=Resources(10, 2, 50), job_class="soon", at=now))
        for name, machine in desk.fleet.machines.items():
            machine.used = BOX.size if desk.book.held.get(name) else NOTHING
        if {job for job, _, _ in desk.run(now)} == {"wk-9"}:
            break
        small = [job for job in small if job.live_count]
    assert now == 70.0  # the first end after keep_after kept one machine, the second made it two


def test_stops_save_when_there_is_something_to_save():
    desk, job, checkins = placed_desk(checkpoint=5.0, save=3.0)
    live = next(job.lives())
    handle(desk, checkins, seq=3, tasks=[row()])
    stop_softly(live, 6.0)
    assert [(c.op, c.grace) for c in handle(desk, checkins, seq=4, tasks=[row()])] == [(Op.STOP, 6.0)]
    saving = [row(state=TaskState.SAVING)]
    assert handle(desk, checkins, seq=5, tasks=saving) == []  # a second stop would end the saving
    desk.book.cancel(job, 0.0)
    assert [(c.op, c.grace) for c in handle(desk, checkins, seq=6, tasks=saving)] == [(Op.STOP, 0.0)]


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
    desk = Desk()
    machine = desk.fleet.machines["m1"]
    machine.answered, machine.up = answered, up
    assert desk.fleet.lease_over(machine, now, fenced) is over


def test_faulty_machine_or_faulty_job():
    desk = Desk([("m1", "a", False), ("m2", "a", False)])
    job = desk.job()
    checkins = Checkins(desk.book, desk.fleet, TERM)
    for seq in (2, 4):
        desk.refresh(float(seq))
        desk.run(float(seq))
        desk.commit()
        live = next(job.lives())
        handle(desk, checkins, machine=live.machine, seq=seq, now=float(seq))
        failed = [row(attempt=live.attempt, state=EXITED, why="error")]
        handle(desk, checkins, machine=live.machine, seq=seq + 1, now=float(seq), tasks=failed)
    assert job.avoid == {"m1", "m2"} and job.not_before > 4.0  # failed on both: the job waits longer and longer
    assert all(machine.blocked_until > 4.0 for machine in desk.fleet.machines.values())


def test_huge_array_stays_inside_record_sizes():
    size = chunk_tasks(4096)
    book = Book(size)
    job = book.load(new_record(spec(tasks=100_000), 0.0), 1, 0.0, 0.0)
    desk = Desk()
    machine = desk.fleet.machines["m1"]
    for index in job.next_waiting(3 * size):
        book.start(job, index, machine, job.attempt_for(index), 0.0)
    job.advance()
    assert job.next_waiting(1) == [3 * size]
    assert max(len(str(chunk.encode())) for chunk in job.chunks.values()) < 4096 - 1000
    assert len(job.chunks) == 3 + 1 or len(job.chunks) == 3
    for live in list(job.lives()):
        book.completed(live)
    assert (job.done_count, job.live_count, job.waiting) == (3 * size, 0, 100_000 - 3 * size)


# waiting jobs -> machines to rent
RENTALS = [
    ([{"tasks": 3}], {Offer("box", "a", False): 2}),
    ([{"tasks": 3, "spot": True}], {Offer("box", "a", True): 2}),
    ([{"tasks": 3, "kind": Kind.GANG, "one_zone": True}], {Offer("box", "a", False): 2}),
    ([{"tasks": 20}], {Offer("box", "a", False): 4}),  # up to the team's limit
    ([{"zone": "b"}], {Offer("box", "b", False): 1}),
]


@pytest.mark.parametrize(("jobs", "wanted"), RENTALS)
def test_rentals(jobs, wanted):
    desk = Desk([])
    for number, fields in enumerate(jobs):
        desk.job(number, **fields)
    queue = desk.placer.queue(0.0)
    market = Market({"box": BOX})
    assert plan_rentals(queue, desk.book, desk.fleet, TEAMS, market, AIMS, 0.0) == wanted
    for offer in wanted:  # machines on their way are enough
        for i in range(wanted[offer]):
            desk.fleet.add(f"new{i}", BOX, offer.zone, offer.spot, 0.0)
    assert plan_rentals(queue, desk.book, desk.fleet, TEAMS, market, AIMS, 0.0) == {}


def test_refused_offers_rest_and_dear_ones_wait_until_needed():
    desk = Desk([])
    desk.job(1, spot=True, job_class="late")
    market = Market({"box": BOX})
    for zone in BOX.zones:
        market.refuse(Offer("box", zone, True), 50.0)
    queue = desk.placer.queue(0.0)
    assert plan_rentals(queue, desk.book, desk.fleet, TEAMS, market, AIMS, 0.0) == {}
    late = plan_rentals(queue, desk.book, desk.fleet, TEAMS, market, AIMS, 285.0)
    assert late == {Offer("box", "a", True): 1}  # no longer refused by then
    for zone in BOX.zones:
        market.refuse(Offer("box", zone, True), 500.0)
    assert plan_rentals(queue, desk.book, desk.fleet, TEAMS, market, AIMS, 285.0) == {Offer("box", "a", False): 1}


def test_returns():
    desk = Desk([("m1", "a", False), ("m2", "a", True), ("m3", "a", False)])
    desk.job()
    desk.run()
    for machine in desk.fleet.machines.values():
        machine.since = -100.0
    patience = {"box": 10.0}
    going = [m.name for m in plan_returns(desk.fleet, desk.book, patience, 12.0)]
    assert len(going) == 1 and going[0] in ("m1", "m3")  # the busy one and the cheap one stay
    assert len(plan_returns(desk.fleet, desk.book, patience, 40.0)) == 2


@pytest.mark.parametrize(
    ("fields", "refused"),
    [
        ({}, False),
        ({"team": "nobody"}, True),
        ({"need": Resources(17, 1, 1)}, True),
        ({"types": ("other",)}, True),
        ({"zone": "z"}, True),
        ({"tasks": 100}, False),
        ({"tasks": 9, "kind": Kind.GANG}, True),
        ({"tasks": 9, "kind": Kind.SERVICE}, True),
        ({"tasks": 8, "kind": Kind.GANG}, False),
    ],
)
def test_jobs_that_can_never_run(fields, refused):
    assert (fault(spec(**fields), TEAMS, {"box": BOX}) is not None) is refused


def test_limits_of_zero_are_none():
    assert Team("t", 0, 0, 0, 0).within_limit(Resources(1e6, 1e6, 0))
    assert not Team("t", 0, 0, 0, 0).within_guarantee(Resources(1, 0, 0))


def test_limiter_follows_measured_times():
    limiter = Limiter(start=4, least=2, most=64, slack=0.01)
    assert [limiter.enter() for _ in range(5)] == [True] * 4 + [False]
    for _ in range(4):
        limiter.leave(0.01, False)
    for _ in range(400):
        while limiter.enter():
            pass
        while limiter.busy:
            limiter.leave(0.01, False)
    assert limiter.limit == 64
    for _ in range(200):
        limiter.enter()
        limiter.leave(1.0, False)
    assert limiter.limit == 2
    assert 1 <= limiter.retry_after() <= 30


def test_budget_spreads_what_exceeds_the_rate():
    budget = Budget(10.0, 5.0)
    waits = [budget.take(0.0, 1) for _ in range(8)]
    assert waits[:5] == [0.0] * 5 and waits[5:] == pytest.approx([0.1, 0.2, 0.3])
    assert budget.take(10.0, 1) == 0.0


def test_a_displaced_gang_is_stopped_whole():
    """Every mate is told to stop with time to save, also those on machines that nobody asked for."""
    desk = Desk([("m1", "a", False), ("m2", "a", False)])
    gang = desk.job(1, kind=Kind.GANG, tasks=2, need=Resources(10, 2, 50), team="t1", checkpoint=5.0, save=3.0)
    desk.run()
    for live in gang.lives():
        live.state, live.seen = TaskState.RUNNING, True
    replica = desk.job(2, priority=Priority.PRODUCTION, at=1.0)
    desk.run(1.0)
    victims = desk.preemption.make_room(replica, 1.0)
    assert {live.machine for live in victims} == {"m1", "m2"}
    for live in victims:
        stop_softly(live, 6.0)
    assert [live.stop for live in gang.lives()] == [6.0, 6.0]
    assert desk.preemption.make_room(replica, 2.0) == []  # one set of victims at a time


ELASTIC = [
    ("low-priority work without a guarantee", "guest", Priority.LOW, Kind.GANG, 1, True),
    ("a guarantee stands behind it", "t1", Priority.LOW, Kind.GANG, 1, False),
    ("it is more than idle-time work", "guest", Priority.NORMAL, Kind.GANG, 1, False),
    ("the job is beyond its own guarantee", "guest", Priority.LOW, Kind.GANG, 3, False),
    ("an array starts task by task anyway", "guest", Priority.LOW, Kind.ARRAY, 1, False),
]


@pytest.mark.parametrize(
    ("name", "team", "priority", "kind", "tasks", "revoked"), ELASTIC, ids=[c[0] for c in ELASTIC]
)
def test_elastic_work_is_revoked_at_once(name, team, priority, kind, tasks, revoked):
    """Guaranteed gangs waited for a minute beside machines full of work of a team without a guarantee."""
    desk = Desk([(f"m{n}", "a", False) for n in range(tasks)])
    desk.placer.teams = {**TEAMS, "guest": Team("guest", 0, 0, 0, 8)}
    desk.job(1, team=team, priority=priority, tasks=4 * tasks, need=Resources(4, 0, 10), checkpoint=30.0, save=3.0)
    desk.run()
    gang = desk.job(
        2, at=1.0, kind=kind, tasks=tasks, need=Resources(14, 2, 50), priority=Priority.HIGH, job_class="late"
    )
    assert desk.run(1.0) == []
    victims = desk.preemption.make_room(gang, 1.0, early=True)
    assert (len(victims) == 4 * tasks) is revoked and bool(victims) is revoked
    assert desk.preemption.stopping_for(gang) is False  # until they are told


def test_elastic_work_is_left_alone_when_its_room_is_not_enough():
    desk = Desk([("m1", "a", False), ("m2", "a", False)])
    desk.placer.teams = {**TEAMS, "guest": Team("guest", 0, 0, 0, 8)}
    desk.job(1, team="t1", priority=Priority.HIGH, tasks=1, need=Resources(16, 2, 60))
    desk.run()
    desk.job(2, team="guest", priority=Priority.LOW, tasks=4, need=Resources(4, 0, 10))
    desk.run()
    gang = desk.job(3, at=1.0, kind=Kind.GANG, tasks=2, need=Resources(14, 2, 50), priority=Priority.HIGH)
    assert desk.run(1.0) == [] and desk.preemption.make_room(gang, 1.0) == []


def fail_on(desk, checkins, job, machine, now):
    """One of the job's tasks is started on a machine and fails there."""
    live = desk.book.start(job, 0, desk.fleet.machines[machine], job.attempt_for(0), now)
    live.sent_seq = 0
    state = desk.fleet.machines[machine]
    failed = row(job.spec.id, 0, live.attempt, TaskState.EXITED, "error")
    handle(desk, checkins, now, machine=machine, seq=state.seq + 1, tasks=[failed])


def test_a_faulty_job_is_told_from_a_faulty_machine():
    """Machines on which two jobs had failed were replaced, also where both jobs fail wherever they start."""
    desk = Desk([("m1", "a", False), ("m2", "a", False), ("m3", "a", False)])
    checkins = Checkins(desk.book, desk.fleet, TERM)
    first, second, sound, other = (desk.job(number) for number in (1, 2, 3, 4))
    for now, machine in enumerate(("m1", "m2")):
        fail_on(desk, checkins, first, machine, float(now))
    assert first.is_suspect and first.not_before > 1.0  # it is tried again, later
    blocked = desk.fleet.machines["m3"].blocked_until
    fail_on(desk, checkins, first, "m3", 2.0)
    assert desk.fleet.machines["m3"].blocked_until == blocked  # and blocks nothing any more
    for now, machine in enumerate(("m2", "m1"), start=3):
        fail_on(desk, checkins, second, machine, float(now))
    m1 = desk.fleet.machines["m1"]
    assert len(m1.failed_jobs) == 2 and desk.book.failures_against(m1) == 0
    fail_on(desk, checkins, sound, "m1", 5.0)
    fail_on(desk, checkins, other, "m1", 6.0)
    assert desk.book.failures_against(m1) == 2
