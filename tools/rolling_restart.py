"""Run a rolling restart between two versions, with real controller processes on loopback.

Usage: python tools/rolling_restart.py OLD_CHECKOUT [--seed S] [--interval S]

Three controllers run the sources of OLD_CHECKOUT. They are restarted one by one with the sources of this checkout,
and then one by one with the old sources. Meanwhile users submit job arrays, gangs and services, and cancel some of
them. The tool prints the jobs served and the violated rules; the exit code is 1 when a rule was violated or a job was
not served. Not a test: it runs in real time.
"""

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT / "tests"), str(ROOT / "src")]

from standins.loopback_cluster import LoopbackCluster  # noqa: E402

START_S = 15.0  # in which the first leader loads its records
DRAIN_TIMEOUT_S = 60.0  # in which the last jobs must end
SUBMISSION_INTERVAL_S = 0.6
RUN_S = 4.0
CANCEL_AFTER_S = 6.0
KINDS = (
    {"volumes": 3, "format": "batch"},
    {"volumes": 2, "format": "group"},
    {"volumes": 1, "format": "batch", "precedence": "high"},
    {"volumes": 1, "format": "service", "loanS": 0.0},
)


class RollingRestartCluster(LoopbackCluster):
    """A cluster whose users treat a request without an answer as a failed one."""

    async def request(self, method, path, body=b"", timeout=2.0, node=None):
        try:
            return await super().request(method, path, body, timeout, node)
        except TimeoutError:
            return 0, {}


async def submit_jobs(cluster, users_by_job):
    """Submit jobs until cancelled; users cancel services and every ninth job."""
    number = 0
    while True:
        number += 1
        fields = KINDS[number % len(KINDS)]
        is_cancelled = fields["format"] == "service" or number % 9 == 0
        spec = cluster.job(number, **fields)
        user = cluster.spawn(
            cluster.simulate_user(spec, run_s=RUN_S, cancel_after_s=CANCEL_AFTER_S if is_cancelled else None)
        )
        users_by_job[spec["ref"]] = user
        await asyncio.sleep(SUBMISSION_INTERVAL_S)


async def restart_each(cluster, checkout, interval_s):
    """Restart one controller after the other with the sources of a checkout."""
    for name in cluster.nodes:
        await cluster.kill(name)
        await cluster.start(name, checkout)
        print(f"{cluster.now():7.1f} s: {name} runs {checkout.name}, leader {leader_of(cluster)}", flush=True)
        await asyncio.sleep(interval_s)


def leader_of(cluster):
    """Return the name of the controller in the leader key, or None."""
    entry = cluster.store.data.get("p/lead")
    return entry[0]["node"] if entry is not None else None


async def run_scenario(options, folder):
    """Restart to the new sources and back; return the cluster and the users' asyncio tasks by job."""
    cluster = RollingRestartCluster(options.seed, zones=("a",), machines=8)
    users_by_job = {}
    await cluster.serve(folder)
    for name in cluster.nodes:
        await cluster.start(name, options.old)
    try:
        await asyncio.sleep(START_S)
        submissions = cluster.spawn(submit_jobs(cluster, users_by_job))
        await asyncio.sleep(options.interval)
        await restart_each(cluster, ROOT, options.interval)
        await restart_each(cluster, options.old, options.interval)
        submissions.cancel()
        deadline = cluster.now() + DRAIN_TIMEOUT_S
        while cluster.done_users < len(users_by_job) and cluster.now() < deadline:
            await asyncio.sleep(0.5)
    finally:
        for name in cluster.processes:
            await cluster.kill(name)
    return cluster, users_by_job


def main():
    """Run the scenario and print the result."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("old", type=Path, metavar="OLD_CHECKOUT")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--interval", type=float, default=15.0, metavar="S", help="seconds between two restarts")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        cluster, users_by_job = asyncio.run(run_scenario(options, Path(folder)))
    failed = [job for job, user in users_by_job.items() if user.done() and not user.cancelled() and user.exception()]
    print(f"jobs submitted {len(users_by_job)}, served {cluster.done_users}, users that failed {failed}")
    print(f"tasks started {cluster.checker.starts}, rules violated {cluster.checker.violations}")
    return 1 if cluster.checker.violations or failed or cluster.done_users < len(users_by_job) else 0


if __name__ == "__main__":
    sys.exit(main())
