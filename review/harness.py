"""What the cases share: controllers as real processes, the project's stand-ins behind sockets, proxies and a record.

The controllers are started with the command of deploy/service.toml. Each of them reaches the key-value store and its
peers through proxies of its own, so that a case can cut one controller off; each has its own address of the cloud, so
that the record names the controller that sent a request. All addresses are on loopback.
"""

import asyncio
import contextlib
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import cbor2
from passrock.io.http_client import HttpClient
from passrock.io.http_server import HttpServer, Response
from passrock.settings import Address
from standins import loopback_cluster
from standins.cloud_service import CloudService
from standins.deployment import platform_settings

ROOT = Path.cwd()
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TIME_LIMIT_S = 112.0  # a case may take 120 s
# The deployment clubtally-midlands: kit/sites/clubtally-midlands.toml and its section of the brief.
ZONES = ("leicester-dc", "loughborough-lab", "derby-spare")
WORKERS = {"report_s": 1.0, "lease_s": 11.0, "gang_wait_s": 30.0, "gang_peer_s": 8.0, "cancel_s": 31.0}
GPUS_GUARANTEED, GPUS_MAX = 6.0, 18.0
STATE = {"rps": 60.0, "write_rps": 15.0, "value_kb": 4.0, "txn_ops": 12}
CLOUD = {"rps": 6.0, "list_lag_s": 4.0}
RESOURCES = {"cpu": 0.36, "mem_mb": 146.0, "fd_limit": 600}
MACHINE = {
    "cores": 12.0, "cards": 2.0, "ramGb": 72.0, "localGb": 120.0, "fetchGbPerS": 0.2,
    "price": 5.93, "spotPrice": 2.1, "bootS": 60.0,
}  # fmt: skip
BOOT_S = 0.6 * MACHINE["bootS"]  # the lower end of the usual boot times

LOGGED_EVENTS = ("leadership_", "leader_term_ready", "machine_", "machines_", "worker_lease", "job_finalized")


def free_port():
    """Return a free port outside the range that connections use: a controller needs it again when it restarts."""
    while True:
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", random.randrange(20_000, 32_000)))
            except OSError:
                continue
            return probe.getsockname()[1]


class CouldNotRunError(Exception):
    """The situation that the case needs did not come about."""


class Proxy:
    """A TCP proxy in front of one address. While it is cut, it resets open connections and every new one."""

    def __init__(self, port):
        self.target = port
        self.is_cut = False
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    def cut(self):
        self.is_cut = True
        for writer in list(self.writers):
            writer.transport.abort()

    def heal(self):
        self.is_cut = False

    async def _accept(self, reader, writer):
        if self.is_cut:
            writer.transport.abort()
            return
        try:
            to_reader, to_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, to_writer}
        self.writers |= pair
        try:
            await asyncio.gather(self._pump(reader, to_writer), self._pump(to_reader, writer))
        finally:
            self.writers -= pair
            for end in pair:
                end.transport.abort()

    @staticmethod
    async def _pump(reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        writer.transport.abort()


class Cloud(CloudService):
    """The project's stand-in, with a list that lags by just `list_lag_s` and machines that boot in `BOOT_S`."""

    history = ((0.0, ()),)  # (time, machines), one for each change

    def _note(self):
        machines = tuple((dict(machine), requested_at) for machine, requested_at in self.machines.values())
        self.history = (*self.history, (self._now(), machines))

    def add_machine(self, type_name, zone, spot, boot_s=BOOT_S):
        name = super().add_machine(type_name, zone, spot, boot_s)
        self._note()
        return name

    def _finish_boot(self, name):
        super()._finish_boot(name)
        self._note()

    def delete(self, name):
        super().delete(name)
        self._note()

    def _list(self, query):
        described_at = self._now() - CLOUD["list_lag_s"]
        machines = [machines for at, machines in self.history if at <= described_at or not machines][-1]
        after, limit = query.get("after", [""])[0], int(query["page"][0])
        rows = [
            dict(machine, ageS=max(0.0, described_at - requested_at))
            for machine, requested_at in machines
            if machine["ref"] > after
        ]
        return 200, cbor2.dumps({"stacks": rows[:limit], "truncated": len(rows) > limit})


class Cluster(loopback_cluster.LoopbackCluster):
    """Controller processes between recorded stand-ins."""

    def __init__(self, record, folder, machine_zones):
        self.record, self.folder = record, folder
        self.cut_machines = set()  # machines that have lost the network
        self.store_proxies, self.peer_proxies = {}, {}
        self.tables = {}  # node -> its settings
        super().__init__(
            1, zones=ZONES, machines=0, guarantee=GPUS_GUARANTEED, quota=GPUS_MAX, limits=WORKERS, capacity=(8, 2)
        )
        self._record_checker()
        self.store.txn_ops, self.store.value_bytes = STATE["txn_ops"], int(STATE["value_kb"] * 1024)
        self.cloud.__class__ = Cloud
        self.cloud.addr = f"127.0.0.1:{free_port()}"  # of every worker; no controller connects to it
        self.cloud.machine_types["box"].update(MACHINE)
        for zone in machine_zones:
            self.cloud.add_machine("box", zone, False, boot_s=0.1)

    # -- addresses ----------------------------------------------------------------------------------

    async def serve_all(self):
        """Serve the stand-ins and write the settings file of each controller."""
        peer_ports = {name: free_port() for name in self.nodes}
        for number, name in enumerate(self.nodes):
            table = platform_settings(number, self.node_count, self.zones, self.teams, self.guarantee, self.limits)
            table["deployment"].update(state=STATE, cloud=CLOUD, resources=RESOURCES)
            port = free_port()
            table["client_listen"] = f"127.0.0.1:{port}"
            table["peer_listen"] = f"127.0.0.1:{peer_ports[name]}"
            for peer in table["peers"]:
                proxy = self.peer_proxies[(name, peer["node"])] = Proxy(peer_ports[peer["node"]])
                peer["endpoint"] = f"127.0.0.1:{await proxy.start()}"
            proxy = self.store_proxies[name] = Proxy(await self._listen(self.store.handle))
            cloud_port = await self._listen(self._cloud_handler(name))
            table["outside"] = {"state": f"127.0.0.1:{await proxy.start()}", "cloud": f"127.0.0.1:{cloud_port}"}
            self.configs[name], self.tables[name] = self.folder / f"{name}.toml", table
            self.configs[name].write_text(loopback_cluster.encode_toml(table))
            self.clients[name] = HttpClient(Address("127.0.0.1", port), 64)

    async def _listen(self, handle):
        async def answer(request):
            status, body = await handle(request.method, request.path, request.body)
            return Response(status, body)

        server = HttpServer(answer, connection_limit=200, idle_timeout_s=600, request_timeout_s=60)
        return (await server.start("127.0.0.1", 0)).sockets[0].getsockname()[1]

    def _cloud_handler(self, node):
        async def handle(method, path, body):
            status, answer = await self.cloud.handle(method, path, body)
            if method == "POST":
                self.record(f"cloud    {node} {path} {cbor2.loads(body)} -> {status} {cbor2.loads(answer)}")
                self.on_cloud_request(node, path, cbor2.loads(body), status, cbor2.loads(answer))
            return status, answer

        return handle

    def on_cloud_request(self, node, path, body, status, answer):
        """Called with each rental and each deletion, after the cloud has carried it out."""

    def change_state_settings(self, name, **values):
        """Change settings in the table `deployment.state`; the controller reads them when it starts again."""
        table = self.tables[name]
        table["deployment"]["state"] = {**table["deployment"]["state"], **values}
        self.configs[name].write_text(loopback_cluster.encode_toml(table))
        self.record(f"settings {name} deployment.state {table['deployment']['state']}")

    def lower_state_limits(self, value_kb, txn_ops):
        """Make the key-value store answer 400 to larger values and transactions; what is stored stays readable."""
        self.store.value_bytes, self.store.txn_ops = int(value_kb * 1024), txn_ops
        self.record(f"trouble  the key-value store takes values of {value_kb} KiB and {txn_ops} changes at most")

    # -- processes ----------------------------------------------------------------------------------

    async def start(self, name="n0", checkout=None):
        """Start a controller with the command of the deploy file."""
        command = tomllib.loads((ROOT / "deploy/service.toml").read_text())["run"]
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                *shlex.split(command),
                str(self.configs[name]),
                cwd=ROOT,
                env={**os.environ, "LOG_LEVEL": "info"},
                stdin=asyncio.subprocess.DEVNULL,
                stderr=log,
            )
        self.record(f"process  {name} started")

    async def start_all(self):
        for name in self.nodes:
            await self.start(name)

    async def kill(self, name="n0"):
        """Kill a controller as the platform does."""
        process = self.processes[name]
        if process.returncode is None:
            with contextlib.suppress(ProcessLookupError):  # it has ended by itself
                process.kill()
            await process.wait()
            self.record(f"process  {name} killed")
        else:
            self.record(f"process  {name} had ended with exit code {process.returncode}")

    async def stop(self):
        """End all processes, and copy what they logged of their decisions to the record."""
        for name in self.processes:
            await self.kill(name)
        for name in self.processes:
            for line in (self.folder / f"{name}.log").read_text(errors="replace").splitlines():
                if any(event in line for event in LOGGED_EVENTS):
                    self.record.raw(f"log {line}")

    def leader(self):
        """Return the node that the leader key in the store names, or None."""
        entry = self.store.data.get("p/lead")
        return entry[0]["node"] if entry is not None else None

    def term(self):
        entry = self.store.data.get("p/term")
        return entry[0] if entry is not None else 0

    def cut_off(self, name):
        """Cut a controller off from the key-value store and the other controllers, in both directions."""
        for proxy in self._proxies_of(name):
            proxy.cut()
        self.record(f"trouble  {name} is cut from the key-value store and from the other controllers")

    def reconnect(self, name):
        for proxy in self._proxies_of(name):
            proxy.heal()
        self.record(f"trouble  {name} is connected again")

    def _proxies_of(self, name):
        return [self.store_proxies[name], *(p for pair, p in self.peer_proxies.items() if name in pair)]

    # -- record -------------------------------------------------------------------------------------

    def _record_checker(self):
        checker, record = self.checker, self.record
        started, ended, violation = checker.on_task_started, checker.on_task_ended, checker.record_violation

        def on_task_started(worker, task):
            record(
                f"task     {task.job}/{task.index} attempt {task.attempt_number} is on {worker.name} ({worker.zone})"
            )
            started(worker, task)

        def on_task_ended(worker, task):
            record(f"task     {task.job}/{task.index} left {worker.name}: {task.exit_reason}")
            ended(worker, task)

        def record_violation(rule, detail):
            record(f"CHECKER  {rule}: {detail}")
            violation(rule, detail)

        checker.on_task_started, checker.on_task_ended = on_task_started, on_task_ended
        checker.record_violation = record_violation

    def _machine_up(self, machine):
        self.record(f"machine  {machine['ref']} in {machine['branch']} is up")
        super()._machine_up(machine)

    def _machine_lost(self, name):
        self.record(f"machine  {name} is gone")
        super()._machine_lost(name)

    async def send_heartbeat(self, worker, name, body, timeout):
        if worker.name in self.cut_machines:
            raise ConnectionError(f"{worker.name} has no network")
        report = cbor2.loads(body)
        tasks = [f"{t['volume']}#{t['renewal']}:{t['status']}" for t in report["volumes"]]
        sent = (
            f"checkin  {worker.name} -> {name} {report['shift']}.{report['accession']} w{report['warrant']} {tasks}"
        )
        try:
            status, answer = await super().send_heartbeat(worker, name, body, timeout)
        except (ConnectionError, TimeoutError) as exc:
            self.record(f"{sent} -> {type(exc).__name__}")
            raise
        if worker.name in self.cut_machines:
            raise ConnectionError(f"{worker.name} has no network")
        self.record(f"{sent} -> {status} {answer}")
        return status, answer

    async def request(self, method, path, body=b"", timeout=2.0, node=None):
        node = node or self.rng.choice(self.user_nodes())
        try:
            status, answer = await super().request(method, path, body, timeout, node)
        except TimeoutError:
            status, answer = 0, {}
        sent = cbor2.loads(body) if body else ""
        self.record(f"user     {method} {path} at {node} {sent} -> {status} {answer}")
        return status, answer

    def user_nodes(self):
        """Return the controllers to which the load balancer sends users."""
        return list(self.nodes)

    # -- situations ---------------------------------------------------------------------------------

    async def until(self, condition, timeout_s, what):
        """Wait for a condition; the case can't run if it doesn't come about."""
        deadline = self.now() + timeout_s
        while not condition():
            if self.now() > deadline:
                raise CouldNotRunError(f"not within {timeout_s} s: {what}")
            await asyncio.sleep(0.05)

    async def settle(self, timeout_s=30.0):
        """Wait until a leader's token is known to every worker; return the leader."""

        def settled():
            term = self.term()
            return (
                self.leader() is not None
                and self.workers
                and all(worker.fencing_token == term for worker in self.workers.values())
            )

        await self.until(settled, timeout_s, "all workers have the leader's token")
        await asyncio.sleep(2.0)
        await self.until(settled, timeout_s, "all workers have the leader's token")
        return self.leader()


class Record:
    """Writes record.txt, one line an event, with the seconds since the start."""

    def __init__(self, path):
        self.file = path.open("w")
        self.started_at = time.monotonic()

    def __call__(self, text):
        self.raw(f"{time.monotonic() - self.started_at:8.3f} {text}")

    def raw(self, text):
        self.file.write(text + "\n")
        self.file.flush()


def run_case(script, cluster_type, scenario, **options):
    """Run a scenario, a coroutine function of the cluster and of whether there is trouble; exit with its result.

    The scenario returns None if the rule held, and otherwise how it was broken.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(script).resolve().parent / "record.txt")
    record(f"case     trouble={trouble}")

    async def main():
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        with tempfile.TemporaryDirectory() as folder:
            cluster = cluster_type(record, Path(folder), **options)
            try:
                async with asyncio.timeout(TIME_LIMIT_S):
                    await cluster.serve_all()
                    await cluster.start_all()
                    broken = await scenario(cluster, trouble)
                record(f"result   {broken or 'the rule held'}")
                return BROKEN if broken else HELD
            except (CouldNotRunError, TimeoutError, asyncio.CancelledError, OSError) as exc:
                record(f"result   could not run: {exc!r}")
                return COULD_NOT_RUN
            finally:
                for worker in list(cluster.workers.values()):
                    worker.terminate()
                for task_ in list(cluster.tasks):
                    task_.cancel()
                await cluster.stop()

    code = asyncio.run(main())
    print(("the rule held", "the rule was broken", "the case could not run")[code], file=sys.stderr)
    sys.exit(code)


__all__ = ["BOOT_S", "CLOUD", "WORKERS", "Cluster", "CouldNotRunError", "run_case"]
