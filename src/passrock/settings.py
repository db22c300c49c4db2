"""The platform's TOML file and the operators' HCL file, checked as a whole."""

from __future__ import annotations

import os
import tomllib
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

import msgspec

from passrock.core.cancellations import renewal_horizon
from passrock.core.model import Team
from passrock.core.objectives import Objective

if TYPE_CHECKING:
    from passrock.admission.settings import AdmissionSettings

FilePath = str | os.PathLike[str]

LEAST_CPU = 0.05  # of a core: a start alone takes a seventh of a second of a whole one
LEAST_MEMORY_MB = 40.0  # twice what a controller takes at rest
KNOWN_WITHIN = 2  # report intervals, the least in which a cancellation can become known to the leader


class SettingsError(Exception):
    """A settings file that can't be used; carries every fault found."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


class Address(msgspec.Struct, frozen=True):
    """An IPv4 address and port."""

    host: str
    port: int


class Peer(msgspec.Struct, frozen=True):
    """Another controller."""

    node: str
    zone: str
    address: Address


class Operator(msgspec.Struct, frozen=True):
    """Operators' own settings: ratios to the platform's figures. Defaults stand in deploy/passrock.hcl."""

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


RANGES: dict[str, tuple[float, float]] = {
    "leader_lease_ratio": (0.1, 0.5),
    "silent_ratio": (0.2, 1.0),
    "round_s": (1.0, 600.0),
    "alpha_extra": (0.0, 1.0),
    "buffer_share": (0.0, 1.0),
    "idle_boot_ratio": (0.0, 20.0),
    "idle_floor_s": (0.0, 3600.0),
    "begin_within_s": (10.0, 86_400.0),
    "keep_room_ratio": (0.02, 1.0),
    "socket_share": (0.2, 0.95),
}


class Settings(msgspec.Struct, frozen=True):
    """Everything a controller is told at its start."""

    node: str
    zone: str
    client_listen: Address
    peer_listen: Address
    peers: tuple[Peer, ...]
    cloud: Address
    state: Address
    zones: tuple[str, ...]
    teams: dict[str, Team]
    objectives: tuple[Objective, ...]
    report_s: float
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
    cpu: float  # the share of a core that a controller has
    memory_mb: float
    operator: Operator = msgspec.field(default_factory=Operator)
    admission: AdmissionSettings | None = None  # switched off

    @property
    def nodes(self) -> int:
        """How many controllers there are, this one included."""
        return len(self.peers) + 1

    @property
    def leader_lease_s(self) -> float:
        """How long a leader's key lives without renewal."""
        return self.lease_s * self.operator.leader_lease_ratio


class _Reader:
    """Takes typed fields out of nested tables and collects the faults."""

    def __init__(self, faults: list[str]) -> None:
        self.faults = faults

    def table(self, where: dict[str, Any], key: str, path: str) -> dict[str, Any]:
        """A sub-table, empty when it is missing or something else."""
        value = where.get(key)
        if isinstance(value, dict):
            return value
        self.faults.append(f"{path}{key}: a table is required")
        return {}

    def rows(self, where: dict[str, Any], key: str, path: str) -> list[dict[str, Any]]:
        """A list of tables; a missing list is an empty one."""
        value = where.get(key, [])
        if isinstance(value, list) and all(isinstance(row, dict) for row in value):
            return value
        self.faults.append(f"{path}{key}: a list of tables is required")
        return []

    def text(self, where: dict[str, Any], key: str, path: str, default: str | None = None) -> str:
        """A non-empty text."""
        value = where.get(key, default)
        if isinstance(value, str) and (value or default == ""):
            return value
        self.faults.append(f"{path}{key}: a text is required")
        return ""

    def number(
        self,
        where: dict[str, Any],
        key: str,
        path: str,
        low: float = 0.0,
        default: float | None = None,
        above: bool = False,
    ) -> float:
        """A number of at least ``low`` (or above it)."""
        value = where.get(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            self.faults.append(f"{path}{key}: a number is required")
            return 1.0
        if not (value > low if above else value >= low):
            self.faults.append(f"{path}{key}: {value} must be {'above' if above else 'at least'} {low}")
            return 1.0
        return float(value)

    def address(self, where: dict[str, Any], key: str, path: str) -> Address:
        """An address written as IP:port."""
        value = where.get(key)
        if isinstance(value, str):
            host, colon, port = value.rpartition(":")
            numbers = host.split(".")
            good_host = len(numbers) == 4 and all(n.isdigit() and int(n) < 256 for n in numbers)
            if colon and good_host and port.isdigit() and 0 < int(port) < 65536:
                return Address(host, int(port))
        self.faults.append(f"{path}{key}: an address like 10.0.0.1:8080 is required")
        return Address("0.0.0.0", 1)


class OperatorFiles(msgspec.Struct):
    """What the operators' files hold: ratios, and the blocks of subsystems that they switch on."""

    operator: Operator = msgspec.field(default_factory=Operator)
    admission: AdmissionSettings | None = None


def read_settings(path: FilePath, operator_paths: Sequence[FilePath] = ()) -> Settings:
    """Read and check all files; raises SettingsError with every fault."""
    try:
        with open(path, "rb") as file:
            data = tomllib.load(file)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError([f"{path}: {error}"]) from error
    faults: list[str] = []
    files = read_operator_files(operator_paths, faults) if operator_paths else OperatorFiles()
    settings = parse_settings(data, files.operator, faults)
    if files.admission is not None:
        faults += unknown_teams(files.admission, settings)
    if faults:
        raise SettingsError(faults)
    return msgspec.structs.replace(settings, admission=files.admission)


def unknown_teams(admission: AdmissionSettings, settings: Settings) -> list[str]:
    """Weights for teams that the platform doesn't name."""
    strangers = sorted(admission.team_weights.keys() - settings.teams.keys())
    return [f"admission.team_weights.{name}: no such team" for name in strangers]


def parse_settings(data: dict[str, Any], operator: Operator, faults: list[str]) -> Settings:
    """Turn the platform's table into settings; appends to ``faults``."""
    read = _Reader(faults)
    outside = read.table(data, "outside", "")
    deployment = read.table(data, "deployment", "")
    workers = read.table(deployment, "workers", "deployment.")
    state = read.table(deployment, "state", "deployment.")
    cloud = read.table(deployment, "cloud", "deployment.")
    limits = read.table(deployment, "resources", "deployment.")
    zones = deployment.get("zones")
    if not isinstance(zones, list) or not zones or not all(isinstance(z, str) and z for z in zones):
        faults.append("deployment.zones: a list of names is required")
        zones = ["?"]
    peers = []
    for i, row in enumerate(read.rows(data, "peers", "")):
        where = f"peers[{i}]."
        peers.append(
            Peer(read.text(row, "node", where), read.text(row, "area", where), read.address(row, "endpoint", where))
        )
    teams: dict[str, Team] = {}
    for i, row in enumerate(read.rows(deployment, "teams", "deployment.")):
        where = f"deployment.teams[{i}]."
        name = read.text(row, "name", where)
        if name in teams:
            faults.append(f"{where}name: {name} stands there twice")
        teams[name] = Team(
            name, *(read.number(row, key, where, default=0.0) for key in ("cpus", "cpus_max", "gpus", "gpus_max"))
        )
    objectives = []
    for i, row in enumerate(read.rows(deployment, "objectives", "deployment.")):
        where = f"deployment.objectives[{i}]."
        objectives.append(
            Objective(
                read.text(row, "kind", where),
                read.text(row, "class", where, default=""),
                read.number(row, "within_s", where, default=0.0),
                read.number(row, "share", where, default=0.0),
            )
        )
    _check_times(workers, faults)
    return Settings(
        node=read.text(data, "node", ""),
        zone=read.text(data, "area", ""),
        client_listen=read.address(data, "client_listen", ""),
        peer_listen=read.address(data, "peer_listen", ""),
        peers=tuple(peers),
        cloud=read.address(outside, "cloud", "outside."),
        state=read.address(outside, "state", "outside."),
        zones=tuple(zones),
        teams=teams,
        objectives=tuple(objectives),
        report_s=read.number(workers, "report_s", "deployment.workers.", above=True),
        lease_s=read.number(workers, "lease_s", "deployment.workers.", above=True),
        gang_peer_s=read.number(workers, "gang_peer_s", "deployment.workers.", above=True),
        cancel_s=read.number(workers, "cancel_s", "deployment.workers.", above=True),
        state_rps=read.number(state, "rps", "deployment.state.", above=True),
        state_write_rps=read.number(state, "write_rps", "deployment.state.", above=True),
        value_bytes=int(read.number(state, "value_kb", "deployment.state.", low=1.0) * 1024),
        txn_ops=int(read.number(state, "txn_ops", "deployment.state.", low=4)),
        cloud_rps=read.number(cloud, "rps", "deployment.cloud.", above=True),
        list_lag_s=read.number(cloud, "list_lag_s", "deployment.cloud."),
        fd_limit=int(read.number(limits, "fd_limit", "deployment.resources.", low=32)),
        cpu=read.number(limits, "cpu", "deployment.resources.", above=True),
        memory_mb=read.number(limits, "mem_mb", "deployment.resources.", above=True),
        operator=operator,
    )


def warnings(settings: Settings) -> list[str]:
    """What in the settings is so small that the service may be slow or refuse requests; it serves all the same."""
    found = []
    if settings.cpu < LEAST_CPU:
        found.append(
            f"deployment.resources.cpu: {settings.cpu} of a core is less than {LEAST_CPU}: answers will be late"
        )
    if settings.memory_mb < LEAST_MEMORY_MB:
        found.append(f"deployment.resources.mem_mb: {settings.memory_mb} is less than {LEAST_MEMORY_MB}")
    return found


def _check_times(workers: dict[str, Any], faults: list[str]) -> None:
    """A cancellation needs a worker's lease, and knowledge of it a few reports more, to take effect."""
    times = [workers.get(key) for key in ("cancel_s", "lease_s", "report_s")]
    if not all(isinstance(time, int | float) and not isinstance(time, bool) for time in times):
        return  # named already
    cancel, lease, report = (float(time) for time in times if time is not None)
    if renewal_horizon(cancel, lease, report) < KNOWN_WITHIN * report:
        faults.append(
            f"deployment.workers.cancel_s: {cancel} must be above lease_s ({lease}) and "
            f"{KNOWN_WITHIN + 1} times report_s ({report})"
        )


def read_operator_files(paths: Sequence[FilePath], faults: list[str]) -> OperatorFiles:
    """Read HCL files, each setting from one of them; unknown and out-of-range entries are faults by name."""
    import hcl2  # a slow import, and only needed where operators have such a file

    values: dict[str, float] = {}
    files = OperatorFiles()
    for path in paths:
        try:
            with open(path, encoding="utf-8") as file:
                data = hcl2.load(file)
        except Exception as error:  # the parser raises many kinds, all of which mean an unreadable file
            faults.append(f"{path}: {' '.join(str(error).split())[:200]}")
            continue
        for key, value in data.items():
            if key == "admission":
                _read_admission(files, value, f"{path}", faults)
            elif not key.startswith("__"):
                _read_ratio(values, key, value, f"{path}", faults)
    files.operator = Operator(**values)
    return files


def _read_ratio(values: dict[str, float], key: str, value: object, where: str, faults: list[str]) -> None:
    if key not in RANGES:
        faults.append(f"{where}: {key}: unknown setting")
        return
    if key in values:
        faults.append(f"{where}: {key}: stands there twice")
    if isinstance(value, bool) or not isinstance(value, int | float):
        faults.append(f"{where}: {key}: a number is required")
        return
    low, high = RANGES[key]
    if not low <= value <= high:
        faults.append(f"{where}: {key}: {value} is outside {low} to {high}")
    values[key] = float(value)


def _read_admission(files: OperatorFiles, value: object, where: str, faults: list[str]) -> None:
    from passrock.admission.settings import parse_admission  # not loaded where it is switched off

    blocks = value if isinstance(value, list) else [value]
    if files.admission is not None or len(blocks) != 1 or not isinstance(blocks[0], dict):
        faults.append(f"{where}: admission: one block is required")
        return
    files.admission = parse_admission(blocks[0], where, faults)
