"""Random jobs with all limits on zones, types and kinds of machines that users may set, alone and in pairs."""

import asyncio
from functools import partial

import cbor2

LIMITS = ("spread", "samePlace", "branch", "bindings", "loaners", "no GPUs")
TROUBLE_UNTIL_S = 120.0  # the zone's machines or the cloud's capacity there are back by then


def random_limited_job(cluster, number, largest):
    """Return the spec of a random job of up to ``largest`` tasks with one to three limits."""
    rng = cluster.rng
    kind = rng.choice(["batch", "group", "group", "service"])
    fields = {"format": kind, "volumes": rng.choice([1, 2, 3, rng.randint(1, largest)])}
    fields["cards"] = rng.choice([1.0, 2.0])
    for limit in rng.sample(LIMITS, rng.choice([1, 1, 2, 2, 3])):
        fields |= {
            "spread": {"spread": True},
            "samePlace": {"samePlace": True},
            "branch": {"branch": rng.choice(cluster.zones)},
            "bindings": {"bindings": rng.choice([["box"], ["wide"], ["box", "wide"]])},
            "loaners": {"loaners": True},
            "no GPUs": {"cards": 0.0},
        }[limit]
    if kind == "service":
        return cluster.job(number, **fields, precedence="prod", loanS=0.0)
    fields["precedence"] = rng.choice(["low", "standard", "high"])
    return cluster.job(number, **fields, bookmarkS=5.0, shelveS=2.0)


def can_run_whole(cluster, spec):
    """Whether all tasks of a job can run on the machines that are offered, those of an array one after the other."""
    zones = {
        zone
        for name, machine_type in cluster.cloud.machine_types.items()
        if spec["bindings"] is None or name in spec["bindings"]
        for zone in machine_type["branches"]
        if spec["branch"] in (None, zone)
    }
    if spec["spread"] and spec["volumes"] > 1 and spec["format"] != "batch":
        return len(zones) > 1 and not spec["samePlace"]
    return bool(zones)


async def submit_refused(cluster, spec):
    """Submit a job that can never run, until it is refused."""
    cluster.invalid_jobs.add(spec["ref"])
    status = 0
    while status != 422:
        sent_at = cluster.now()
        status, answer = await cluster.request("POST", "/v2/runs", cbor2.dumps(spec), 5.0)
        if status:
            cluster.checker.on_answer(spec["ref"], sent_at, status, answer)
        await asyncio.sleep(1.0)


def submit_later(cluster, spec, at, run_s):
    """Have a user submit the job; services are cancelled after a while."""
    cancel_after_s = cluster.rng.uniform(60.0, 120.0) if spec["format"] == "service" else None
    if can_run_whole(cluster, spec):
        user = partial(cluster.simulate_user, spec, run_s, cancel_after_s)
    else:
        user = partial(submit_refused, cluster, spec)
    asyncio.get_running_loop().call_later(at, lambda: cluster.spawn(user()))


async def cut_machines(cluster, zone):
    """Half of the machines of a zone, or all of them, lose the network for half a minute."""
    await asyncio.sleep(cluster.rng.uniform(5.0, 60.0))
    names = [name for name, worker in cluster.workers.items() if worker.zone == zone]
    cut = names[:: cluster.rng.choice([1, 2])]
    cluster.network_faults += [("machine", name, cluster.now() + cluster.rng.uniform(25.0, 35.0)) for name in cut]


async def withdraw_capacity(cluster, zone):
    """The cloud has no capacity in a zone for a while."""
    withdrawn = {kind: count for kind, count in cluster.cloud.capacity.items() if kind[1] == zone}
    cluster.cloud.capacity.update(dict.fromkeys(withdrawn, 0))
    await asyncio.sleep(TROUBLE_UNTIL_S - cluster.now())
    for kind, count in withdrawn.items():
        cluster.cloud.capacity[kind] += count


async def replace_leader(cluster, zone):
    """The leader ends twice, while tasks of its jobs are placed."""
    for _ in range(2):
        await asyncio.sleep(cluster.rng.uniform(10.0, 40.0))
        await cluster.crash([await cluster.wait_for_leader()], cluster.rng.choice([0.3, 4.0]))


TROUBLES = (cut_machines, withdraw_capacity, replace_leader)


async def run_limited_jobs(cluster, duration_s, jobs, largest):
    """Submit jobs in the first third, with one or two troubles.

    Returns:
        The checker, and the jobs that were accepted and have not ended.
    """
    rng = cluster.rng
    cluster.checker.check_waiting = True
    for number in range(jobs):
        spec = random_limited_job(cluster, number, largest)
        submit_later(cluster, spec, rng.uniform(0.0, duration_s / 3), rng.uniform(5.0, 30.0))
    cluster.disrupted_until = TROUBLE_UNTIL_S
    for trouble in rng.sample(TROUBLES, rng.choice([1, 2])):
        cluster.spawn(trouble(cluster, rng.choice(cluster.zones)))
    await asyncio.sleep(duration_s)
    ended = {job for job, (_, state) in cluster.checker.confirmed_states.items() if state in ("done", "cancelled")}
    return cluster.checker, sorted(cluster.checker.accepted - ended)
