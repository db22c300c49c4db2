"""Decision logic of admission: allocations, grants, demand and starts, and their encodings."""

import msgspec
import pytest

from passrock.admission.controller.allocator import halve_rows
from passrock.admission.core.admitted import AdmittedJobs
from passrock.admission.core.allocation import (
    Allocation,
    CapacityShares,
    FairShareAllocator,
    NodeGrant,
    ReceivedService,
)
from passrock.admission.core.demand import DemandCounter, DemandReport, DemandTable, FlowDemand
from passrock.admission.core.flows import Flow, Weights
from passrock.admission.core.grants import GrantLedger, GrantSource
from passrock.admission.core.rate_pacer import MIN_SHARE, RatePacer
from passrock.admission.core.slots import SlotClock
from passrock.admission.core.starvation import Obstacle, StartTracker, WaitingJob
from passrock.admission.wire.allocation_record import UnreadableAllocationError, decode_allocation, encode_allocation
from passrock.admission.wire.demand_message import (
    MAX_MESSAGE_BYTES,
    DemandMessage,
    MalformedDemandError,
    decode_demand,
    encode_demand,
)
from passrock.core.model import Team
from passrock.core.objectives import Objective

OBJECTIVES = (
    Objective("wait", "look", 20.0, 0.9),
    Objective("wait", "train", 70.0, 0.9),
    Objective("finished", "quick", 5.0, 0.9),
)
NO_RESERVES = CapacityShares(0.0, 0.0, 0.0)


def team(name, gpus=4.0, limit=8.0):
    return Team(name, 0.0, 0.0, gpus, limit)


def weights(teams=("a", "b"), team_weights=None, class_weights=None, ratio=1.5):
    return Weights({name: team(name) for name in teams}, OBJECTIVES, team_weights or {}, class_weights or {}, ratio)


def wanted(**counts):
    """Return the demand at one controller from ``team_class=count``."""
    return {Flow(*name.split("_")): FlowDemand(count) for name, count in counts.items()}


def totals(node_grants):
    return {
        f"{flow.team}_{flow.job_class}": sum(grant.flows.get(flow, 0) for grant in node_grants.values())
        for grant in node_grants.values()
        for flow in grant.flows
    }


@pytest.mark.parametrize(
    ("capacity", "demand", "team_weights", "expected"),
    [
        pytest.param(
            {"x": 10}, {"x": wanted(a_batch=3, b_batch=2)}, {}, {"a_batch": 3, "b_batch": 2}, id="capacity for all"
        ),
        pytest.param(
            {"x": 10}, {"x": wanted(a_batch=90, b_batch=90)}, {}, {"a_batch": 5, "b_batch": 5}, id="equal shares"
        ),
        pytest.param({"x": 10}, {"x": wanted(a_batch=90, b_batch=2)}, {}, {"a_batch": 8, "b_batch": 2}, id="max-min"),
        pytest.param(
            {"x": 12},
            {"x": wanted(a_batch=90, b_batch=90)},
            {"a": 8.0},
            {"a_batch": 8, "b_batch": 4},
            id="weights of teams",
        ),
        pytest.param(
            {"x": 12},
            {"x": wanted(a_one=90, a_two=90, b_batch=90)},
            {},
            {"a_one": 3, "a_two": 3, "b_batch": 6},
            id="classes within a team",
        ),
        pytest.param(
            {"x": 10},
            {"x": wanted(a_tiny=9000, a_huge=1)},
            {},
            {"a_tiny": 9, "a_huge": 1},
            id="one job beside thousands",
        ),
        pytest.param(
            {"x": 5, "y": 5},
            {"x": wanted(a_batch=90), "y": wanted(b_batch=90)},
            {},
            {"a_batch": 5, "b_batch": 5},
            id="demand at two controllers",
        ),
        pytest.param(
            {"x": 9, "y": 9},
            {"x": wanted(a_batch=90, b_batch=90)},
            {},
            {"a_batch": 5, "b_batch": 4},
            id="a controller without submissions",
        ),
        pytest.param(
            {"x": 8}, {"x": wanted(a_batch=9, gone_batch=9)}, {}, {"a_batch": 4, "gone_batch": 4}, id="a removed team"
        ),
    ],
)
def test_capacity_is_divided_fairly(capacity, demand, team_weights, expected):
    node_grants = FairShareAllocator(
        capacity, demand, ReceivedService(), weights(team_weights=team_weights), NO_RESERVES
    ).run()
    assert totals(node_grants) == expected
    # capacity without demand is added to the shared reserve
    assert {node: grant.total for node, grant in node_grants.items()} == capacity


def test_reserves_come_first_and_count_in_the_sums():
    shares = CapacityShares(0.2, 0.1, 0.5)
    demand = {"x": wanted(a_look=50, a_batch=50, b_batch=50)}
    node_grants = FairShareAllocator({"x": 20, "y": 10}, demand, ReceivedService(), weights(), shares).run()
    assert (node_grants["x"].interactive, node_grants["x"].shared, node_grants["x"].total) == (4, 2, 20)
    assert (node_grants["y"].interactive, node_grants["y"].shared, node_grants["y"].total) == (2, 8, 10)
    granted = totals(node_grants)
    assert granted["a_look"] >= 10  # interactive flows get half of the grants first, but not all
    assert granted["b_batch"] > 0


def test_a_small_flow_has_a_unit_at_each_controller():
    node_grants = FairShareAllocator(
        {"x": 9, "y": 9}, {"x": wanted(a_batch=90, b_batch=1)}, ReceivedService(), weights(), NO_RESERVES
    ).run()
    few = Flow("b", "batch")
    assert [grant.flows.get(few, 0) for grant in node_grants.values()] == [1, 1]


def test_more_flows_than_capacity_take_turns():
    """With 1,000 flows and 37 grants per slot, all flows are served once before a flow is served again."""
    flows = [Flow(f"team-{n % 50}", f"class-{n}") for n in range(1000)]
    flow_weights = weights(teams=[f"team-{n}" for n in range(50)])
    service, served = ReceivedService(), dict.fromkeys(flows, 0)
    for _ in range(1000 // 37 + 1):
        node_grants = FairShareAllocator(
            {"x": 37},
            {"x": {waiting_flow: FlowDemand(5) for waiting_flow in flows}},
            service,
            flow_weights,
            NO_RESERVES,
        ).run()
        for flow, units in node_grants["x"].flows.items():
            served[flow] += units
    assert min(served.values()) >= 1
    assert max(served.values()) <= 2


def test_an_idle_flow_accumulates_no_credit():
    service, flow_weights = ReceivedService(), weights()
    for _ in range(50):
        FairShareAllocator({"x": 10}, {"x": wanted(a_batch=90)}, service, flow_weights, NO_RESERVES).run()
    node_grants = FairShareAllocator(
        {"x": 10}, {"x": wanted(a_batch=90, b_batch=90)}, service, flow_weights, NO_RESERVES
    ).run()
    assert totals(node_grants) == {"a_batch": 5, "b_batch": 5}


def test_unused_grants_are_credited_back():
    service, flow_weights = ReceivedService(), weights()
    service.charge(Flow("a", "batch"), 6, flow_weights)
    service.charge(Flow("a", "batch"), -6, flow_weights)
    assert service.teams == {"a": 0.0}


@pytest.mark.parametrize(("ratio", "expected"), [(1.0, {"look"}), (1.5, {"look"}), (4.0, {"look", "train"})])
def test_interactive_classes_are_those_with_the_shortest_objectives(ratio, expected):
    flow_weights = weights(ratio=ratio)
    assert {
        name for name in ("look", "train", "quick", "batch") if flow_weights.is_interactive(Flow("a", name))
    } == expected


def test_slots_of_the_time_of_day():
    clock = SlotClock(4.0)
    assert [clock.slot_at(at) for at in (-0.001, 0.0, 3.999, 4.0)] == [-1, 0, 0, 1]
    assert clock.elapsed_fraction(6.0) == 0.5
    assert clock.seconds_until(3, 6.0) == 6.0
    assert clock.seconds_until(1, 6.0) == 0.0


def allocation(slot=7, incarnation=5, **flows):
    grant = NodeGrant(incarnation, 1, 1, {Flow(*name.split("_")): count for name, count in flows.items()})
    return Allocation(slot, 3, "n1", {"n1": grant, "n2": NodeGrant(9, 2, 2)}, ReceivedService({"a": 1.5}), 5)


def test_each_unit_is_consumed_once():
    grants = GrantLedger("n1", 5)
    grants.add(allocation(a_batch=1))
    grants.add(allocation(a_batch=50))  # the allocation of a slot is final
    batch, interactive = Flow("a", "batch"), Flow("a", "look")
    sources = [
        grants.consume(7, flow, interactive=flow is interactive)
        for flow in (batch, interactive, batch, interactive, batch)
    ]
    assert [consumed and consumed.source for consumed in sources] == [
        GrantSource.FLOW,
        GrantSource.INTERACTIVE,
        GrantSource.SHARED,
        None,
        None,
    ]
    grants.restore(sources[0])
    assert grants.consume(7, interactive, interactive=True) is None
    assert grants.consume(7, batch, interactive=False).source is GrantSource.FLOW
    assert grants.consume(8, batch, interactive=False) is None  # no allocation was added for that slot


def test_grants_of_a_former_incarnation_are_not_used():
    grants = GrantLedger("n1", 6)
    grants.add(allocation(incarnation=5, a_batch=9))
    assert grants.consume(7, Flow("a", "batch"), interactive=False) is None


def test_demand_counts_each_submission_once():
    counter = DemandCounter()
    flow = Flow("a", "batch")
    for job in ("one", "two", "one"):
        counter.record_refused(job, flow, 4, 10.0, 30.0)
    assert counter.demand(4, 12.0)[flow] == FlowDemand(waiting=2, arriving=2, refused=0, oldest_age_s=2.0)
    assert counter.demand(5, 14.0)[flow] == FlowDemand(waiting=2, arriving=2, refused=3, oldest_age_s=4.0)
    counter.record_admitted("one", flow, 5)
    counter.record_accepted("two")  # by another controller
    assert counter.waiting_count(flow) == 0
    counter.record_refused("three", flow, 6, 18.0, 20.0)
    assert flow not in counter.demand(8, 21.0)  # not retried in time


def demand_report(node="n1", incarnation=5, started=1000, sequence_number=1, term=3, **flows):
    return DemandReport(node, incarnation, started, sequence_number, term, wanted(**flows))


@pytest.mark.parametrize(
    ("reports", "accepted", "waiting"),
    [
        ([demand_report(a_batch=1), demand_report(sequence_number=2, a_batch=2)], [True, True], 2),
        ([demand_report(sequence_number=2, a_batch=2), demand_report(a_batch=1)], [True, False], 2),  # out of order
        ([demand_report(a_batch=1), demand_report(a_batch=1)], [True, False], 1),  # duplicate
        (
            [demand_report(sequence_number=9, a_batch=1), demand_report(incarnation=6, started=2000, a_batch=4)],
            [True, True],
            4,
        ),  # restarted
        # a late report of the former incarnation
        (
            [demand_report(incarnation=6, started=2000, a_batch=4), demand_report(sequence_number=9, a_batch=1)],
            [True, False],
            4,
        ),
        (
            [demand_report(a_batch=1), demand_report(sequence_number=2, term=2, a_batch=7)],
            [True, False],
            1,
        ),  # of an older term
    ],
)
def test_reports_of_demand(reports, accepted, waiting):
    table = DemandTable(8.0)
    assert [table.update(received, 3, 100.0) for received in reports] == accepted
    assert table.demand(107.0)["n1"][Flow("a", "batch")].waiting == waiting
    assert table.demand(109.0) == {}
    assert table.incarnations()["n1"] in (5, 6)  # a controller without recent reports still gets its reserves


def test_demand_message_is_bounded_and_round_trips():
    many = {Flow(f"team-{n}", "batch" * 10): FlowDemand(n, 1, 2, float(n)) for n in range(2000)}
    body = encode_demand(DemandReport("n1", 5, 1000, 1, 3, many))
    assert len(body) <= MAX_MESSAGE_BYTES
    read = decode_demand("n1", body)
    assert read.omitted_flows + len(read.flows) == 2000
    assert Flow("team-1999", "batch" * 10) in read.flows
    small = demand_report(a_batch=1)
    assert decode_demand("n1", encode_demand(small)) == small


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"junk",
        b"\x00" * (MAX_MESSAGE_BYTES + 1),
        msgspec.msgpack.encode({"version": 1}),
        msgspec.msgpack.encode(DemandMessage(2, 1, 1, 1, 1, 0)),
        msgspec.msgpack.encode(DemandMessage(1, -1, 1, 1, 1, 0)),
        msgspec.msgpack.encode(DemandMessage(1, 1, 1, 1, 1, 0, [("a", "b", -1, 0, 0, 0.0)])),
        msgspec.msgpack.encode(DemandMessage(1, 1, 1, 1, 1, 0, [("a", "b", 1 << 40, 0, 0, 0.0)])),
        msgspec.msgpack.encode(DemandMessage(1, 1, 1, 1, 1, 0, [("a", "b", 1, 0, 0, float("nan"))])),
        msgspec.msgpack.encode(DemandMessage(1, 1, 1, 1, 1, 0, [("a" * 300, "b", 1, 0, 0, 0.0)])),
    ],
)
def test_malformed_demand(body):
    with pytest.raises(MalformedDemandError):
        decode_demand("n1", body)


def large_allocation(count):
    flows = {Flow(f"team-{n % 1000:04d}", f"class-{n}"): n for n in range(count)}
    node_grants = {f"n{i}": NodeGrant(1 << 47, 3, 4, dict(flows)) for i in range(3)}
    service = ReceivedService(
        {f"team-{n:04d}": n * 1.237 for n in range(count)}, {flow: n / 7 for flow, n in flows.items()}
    )
    return Allocation(123_456_789, 41, "n0", node_grants, service, 5, {flow: 1.8e9 + n for flow, n in flows.items()})


def test_allocation_of_a_thousand_flows_is_stored_on_pages():
    original = large_allocation(1000)
    pages = encode_allocation(original, 4096)
    assert all(len(msgspec.json.encode(page)) <= 4096 for page in pages)
    read = decode_allocation(pages)
    assert read.node_grants == original.node_grants
    assert read.last_start_at == original.last_start_at
    assert read.slot == original.slot
    assert read.service.flows[Flow("team-0700", "class-700")] == 100.0
    total = {node: grant.total for node, grant in original.node_grants.items()}
    halve_rows(original)
    assert len(encode_allocation(original, 4096)) < len(pages)
    assert {node: grant.total for node, grant in original.node_grants.items()} == total  # the sums stay the same


@pytest.mark.parametrize(
    "damage",
    [
        lambda pages: pages[:-1],
        lambda pages: [{**pages[0], "v": 2}, *pages[1:]],
        lambda pages: ["text"],
        lambda pages: [{**pages[0], "pages": "3"}, *pages[1:]],
        lambda pages: [{**pages[0], "z": pages[0]["z"][:-4]}, *pages[1:]],
        lambda pages: [{**pages[0], "z": "~~~~" + pages[0]["z"][4:]}, *pages[1:]],
        lambda pages: [{**pages[0], "z": 5}, *pages[1:]],
        lambda pages: encode_allocation(allocation(a_batch=-1), 4096),
    ],
)
def test_unreadable_allocations(damage):
    pages = encode_allocation(large_allocation(300), 1024)
    with pytest.raises(UnreadableAllocationError):
        decode_allocation(damage(pages))


def test_jobs_are_counted_once_in_their_slot():
    jobs = AdmittedJobs()
    for job, slot in (("one", 4), ("two", 4), ("one", 4), ("three", 5)):
        jobs.record(job, Flow("a", "batch"), slot)
    assert (jobs.counts(4), jobs.counts(5), jobs.counts(6)) == ({Flow("a", "batch"): 2}, {Flow("a", "batch"): 1}, {})


def waiting(job, flow, submitted, obstacle=Obstacle.OTHERS):
    return WaitingJob(job, Flow("a", flow), submitted, obstacle)


@pytest.mark.parametrize(
    ("jobs", "starts", "prioritized"),
    [
        pytest.param([waiting("j", "low", 0.0)], [("high", 250.0)], ["j"], id="a long wait"),
        pytest.param([waiting("j", "low", 100.0)], [("high", 250.0)], [], id="not for long"),
        pytest.param([waiting("j", "low", 0.0)], [], [], id="nobody is served"),
        pytest.param([waiting("j", "low", 0.0)], [("low", 250.0)], [], id="it is served itself"),
        pytest.param(
            [waiting("j", "low", 0.0)],
            [("high", 150.0), ("low", 160.0), ("low", 170.0)],
            [],
            id="it was served within the window",
        ),
        pytest.param([waiting("j", "low", 0.0, Obstacle.NO_MACHINE)], [("high", 250.0)], [], id="no machine"),
        pytest.param([waiting("j", "low", 0.0, Obstacle.TEAM_LIMIT)], [("high", 250.0)], [], id="the team's limit"),
        pytest.param(
            [waiting("j", "low", 0.0, Obstacle.FAILING), waiting("k", "low", 9.0)],
            [("high", 250.0)],
            ["k"],
            id="a failing job beside a waiting one",
        ),
        pytest.param(
            [waiting("j", "low", 5.0), waiting("k", "other", 0.0)], [("high", 250.0)], ["k", "j"], id="longest first"
        ),
    ],
)
def test_which_jobs_are_prioritized_after_a_long_wait(jobs, starts, prioritized):
    tracker = StartTracker(200.0)
    for flow, at in starts:
        tracker.record_start(Flow("a", flow), at)
    waits = tracker.flow_waits(jobs)
    assert [wait.oldest_job_id for wait in tracker.prioritized(waits, 300.0, 5)] == prioritized


def test_a_new_leader_restores_the_last_starts():
    tracker = StartTracker(200.0)
    tracker.restore({Flow("a", "low"): 90.0})
    tracker.record_start(Flow("a", "high"), 250.0)
    # the time is neither reset nor lost
    assert tracker.prioritized(tracker.flow_waits([waiting("j", "low", 0.0)]), 280.0, 1) == []
    assert [
        wait.waiting_since for wait in tracker.prioritized(tracker.flow_waits([waiting("j", "low", 0.0)]), 291.0, 1)
    ] == [90.0]


def test_pacing_share_follows_the_measured_delay():
    pacer = RatePacer(1.0)
    for _ in range(20):
        pacer.record_delay(5.0)
    assert pacer.share == MIN_SHARE
    pacer.record_delay(1.5)
    assert pacer.share == MIN_SHARE  # between the target and twice the target the share stays
    for _ in range(30):
        pacer.record_delay(0.2)
    assert pacer.share == 1.0
