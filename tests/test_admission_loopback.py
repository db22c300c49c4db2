"""Three controller processes with admission on, stand-ins on loopback, and an overload of batch jobs."""

import asyncio

from passrock.cli import main
from standins.admission_load import OBJECTIVES, AdmissionChecker, SubmissionLoad, record_starts
from standins.loopback_cluster import ROOT, LoopbackCluster

TIMEOUT_S = 90.0  # far above the usual duration; reached only when the test fails
BATCH, INTERACTIVE = 100_000, 900_000


async def run_overload(folder):
    cluster = LoopbackCluster(6, zones=("a",), machines=4, objectives=OBJECTIVES)
    cluster.operator_files = [folder / "admission.hcl"]
    text = (ROOT / "deploy" / "admission.hcl").read_text().replace('log_dir = ""', f'log_dir = "{folder / "log"}"')
    cluster.operator_files[0].write_text(text.replace("slot_ratio = 4.0", "slot_ratio = 2.0"))
    checker, starts = AdmissionChecker(cluster), record_starts(cluster)
    await cluster.serve(folder)
    for name in cluster.nodes:
        await cluster.start(name)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            while not checker.pages:
                await asyncio.sleep(0.2)
            batch = SubmissionLoad(cluster, checker, BATCH, shelfmark="batch", precedence="low")
            interactive = SubmissionLoad(cluster, checker, INTERACTIVE, shelfmark="look", precedence="prod")
            overload = cluster.spawn(batch.run(150.0, 12.0, run_s=0.5))
            await interactive.run(2.0, 12.0, run_s=0.5)
            await overload
            while any(
                job.startswith("wk-9") and job not in checker.answered_at for job in checker.first_submitted_at
            ):
                await asyncio.sleep(0.2)
            while "look" not in starts or "batch" not in starts:
                await asyncio.sleep(0.2)
    finally:
        for name in cluster.processes:
            await cluster.kill(name)
    return cluster, checker


def test_overload_of_three_processes(tmp_path, capsys):
    cluster, checker = asyncio.run(run_overload(tmp_path))
    assert checker.verify() == []
    assert cluster.checker.violations == []
    assert checker.without_grant_reference == 0  # every job was admitted against a grant
    assert len({incarnation for _, incarnation in checker.admitted}) == 3  # each controller admitted jobs
    submitted = sum(job.startswith("wk-1") for job in checker.first_submitted_at)
    # the load exceeds what can be admitted
    assert 0 < sum(job.startswith("wk-1") for job in checker.accepted_at) < submitted
    # the processes were killed; the blocks written before have to be readable
    main(["admission", "report", str(tmp_path / "log")])
    capsys.readouterr()
