"""Conversion of the platform's TOML file into settings."""

from __future__ import annotations

from typing import Any

from passrock.core.model import Team
from passrock.core.objectives import Objective
from passrock.settings.checks import cancellation_time_faults
from passrock.settings.model import OperatorSettings, Peer, Settings
from passrock.settings.table_reader import TableReader

MIN_VALUE_KB = 1.0
MIN_TXN_OPS = 4  # a submission or a page of tasks with its condition, and the leader key
MIN_FD_LIMIT = 32
BYTES_PER_KB = 1024


def parse_settings(data: dict[str, Any], operator: OperatorSettings, faults: list[str]) -> Settings:
    """Convert the platform's table into settings.

    Args:
        data: the file as nested tables; unknown keys are ignored, since the platform may add some.
        operator: the operators' settings.
        faults: the list to which every fault is appended. If there are any, the settings returned must not be used.
    """
    root = TableReader(data, "", faults)
    outside = root.subtable("outside")
    deployment = root.subtable("deployment")
    workers = deployment.subtable("workers")
    store = deployment.subtable("state")
    cloud = deployment.subtable("cloud")
    resources = deployment.subtable("resources")
    zones = deployment.strings("zones")
    peers = _read_peers(root)
    teams = _read_teams(deployment)
    objectives = _read_objectives(deployment)
    faults += cancellation_time_faults(workers.table)
    return Settings(
        node=root.string("node"),
        zone=root.string("area"),
        client_listen=root.address("client_listen"),
        peer_listen=root.address("peer_listen"),
        peers=peers,
        cloud=outside.address("cloud"),
        state=outside.address("state"),
        zones=zones,
        teams=teams,
        objectives=objectives,
        report_s=workers.positive_number("report_s"),
        lease_s=workers.positive_number("lease_s"),
        gang_peer_s=workers.positive_number("gang_peer_s"),
        cancel_s=workers.positive_number("cancel_s"),
        state_rps=store.positive_number("rps"),
        state_write_rps=store.positive_number("write_rps"),
        value_bytes=int(store.number("value_kb", minimum=MIN_VALUE_KB) * BYTES_PER_KB),
        txn_ops=int(store.number("txn_ops", minimum=MIN_TXN_OPS)),
        cloud_rps=cloud.positive_number("rps"),
        list_lag_s=cloud.number("list_lag_s"),
        fd_limit=int(resources.number("fd_limit", minimum=MIN_FD_LIMIT)),
        cpu=resources.positive_number("cpu"),
        memory_mb=resources.positive_number("mem_mb"),
        operator=operator,
    )


def _read_peers(root: TableReader) -> tuple[Peer, ...]:
    return tuple(Peer(row.string("node"), row.string("area"), row.address("endpoint")) for row in root.rows("peers"))


def _read_teams(deployment: TableReader) -> dict[str, Team]:
    teams: dict[str, Team] = {}
    for row in deployment.rows("teams"):
        name = row.string("name")
        if name in teams:
            row.add_fault("name", f"{name} stands there twice")
        teams[name] = Team(
            name=name,
            guaranteed_cpus=row.number("cpus", default=0.0),
            max_cpus=row.number("cpus_max", default=0.0),
            guaranteed_gpus=row.number("gpus", default=0.0),
            max_gpus=row.number("gpus_max", default=0.0),
        )
    return teams


def _read_objectives(deployment: TableReader) -> tuple[Objective, ...]:
    return tuple(
        Objective(
            kind=row.string("kind"),
            job_class=row.string("class", default=""),
            within_s=row.number("within_s", default=0.0),
            share=row.number("share", default=0.0),
        )
        for row in deployment.rows("objectives")
    )
