"""A gang with `spread` is submitted while a machine has no network: are at most half of its tasks in one zone?"""

import asyncio

import cbor2
from harness import Cluster, CouldNotRunError, run_case

MACHINE_ZONES = ("leicester-dc", "loughborough-lab", "leicester-dc")  # of host-000000, host-000001, host-000002
CUT_S = 30.0  # `machine_cut` of the site files: one machine for 25 to 35 s
UNNOTICED_S = 8.0  # until the gang is submitted: the controllers have missed the machine's reports by then


def tasks_by_zone(cluster, job):
    """Return the zones of the job's tasks that are on machines."""
    return sorted(
        cluster.zone_of[name]
        for (placed, _), places in cluster.checker.placements.items()
        if placed == job
        for name, _ in places
    )


async def scenario(cluster, trouble):
    await cluster.settle()
    if trouble:
        cluster.cut_machines.add("host-000001")
        cluster.record("trouble  host-000001 loses the network")
        asyncio.get_running_loop().call_later(CUT_S, cluster.cut_machines.discard, "host-000001")
    await asyncio.sleep(UNNOTICED_S)
    gang = cluster.job(1, format="group", volumes=4, spread=True, cards=1.0, ramGb=29.0, loanS=10.0)
    at_most = (gang["volumes"] + 1) // 2
    cluster.specs[gang["ref"]], cluster.run_times[gang["ref"]] = gang, 8.0
    for _ in range(20):
        status, _ = await cluster.request("POST", "/v2/runs", cbor2.dumps(gang), 5.0)
        if status in (200, 201, 422):
            break
        await asyncio.sleep(1.0)
    if status not in (200, 201):
        raise CouldNotRunError(f"the gang was not accepted: {status}")
    deadline = cluster.now() + 70.0
    while cluster.now() < deadline:
        zones = tasks_by_zone(cluster, gang["ref"])
        crowded = [zone for zone in set(zones) if zones.count(zone) > at_most]
        if crowded:
            return (
                f"wrong_place: {zones.count(crowded[0])} of 4 tasks are in zone {crowded[0]}, {at_most} are allowed"
            )
        if len({index for job, index in cluster.completed if job == gang["ref"]}) == gang["volumes"]:
            return None
        await asyncio.sleep(0.05)
    raise CouldNotRunError("the gang didn't complete, and no rule was broken")


if __name__ == "__main__":
    run_case(__file__, Cluster, scenario, machine_zones=MACHINE_ZONES)
