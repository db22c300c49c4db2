"""Types of the settings. Most fields, and all of ``OperatorSettings``, are named like the settings in the files."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

import msgspec

from passrock.core.model import Team
from passrock.core.objectives import Objective

if TYPE_CHECKING:
    from passrock.admission.settings import AdmissionSettings


FilePath = str | os.PathLike[str]


class Address(msgspec.Struct, frozen=True):
    """An IPv4 address and port."""

    host: str
    port: int


class Peer(msgspec.Struct, frozen=True):
    """Another controller."""

    node: str
    zone: str
    address: Address


class OperatorSettings(msgspec.Struct, frozen=True):
    """Settings that operators choose, mostly ratios to the platform's; deploy/passrock.hcl repeats the defaults."""

    leader_lease_ratio: float = 0.25
    silent_ratio: float = 0.36
    round_s: float = 20.0
    alpha_extra: float = 0.1
    buffer_share: float = 1.0
    idle_boot_ratio: float = 0.4
    idle_floor_s: float = 8.0
    begin_within_s: float = 240.0
    keep_room_ratio: float = 0.3
    socket_share: float = 0.85


class Settings(msgspec.Struct, frozen=True):
    """All settings of a controller; names in ``_s`` are in seconds, names in ``_rps`` in requests per second."""

    node: str
    zone: str
    client_listen: Address
    peer_listen: Address
    peers: tuple[Peer, ...]
    cloud: Address
    state: Address  # of the key-value store
    zones: tuple[str, ...]
    teams: dict[str, Team]
    objectives: tuple[Objective, ...]
    report_s: float  # interval between the heartbeats of a worker
    lease_s: float
    gang_peer_s: float
    cancel_s: float
    state_rps: float
    state_write_rps: float
    value_bytes: int
    txn_ops: int
    cloud_rps: float
    list_lag_s: float
    fd_limit: int
    cpu: float  # cores available to a controller
    memory_mb: float
    operator: OperatorSettings = msgspec.field(default_factory=OperatorSettings)
    admission: AdmissionSettings | None = None  # None: disabled

    @property
    def node_count(self) -> int:
        """The number of controllers, including this one."""
        return len(self.peers) + 1

    @property
    def leader_lease_s(self) -> float:
        """The duration of the lease on the leader key."""
        return self.lease_s * self.operator.leader_lease_ratio
