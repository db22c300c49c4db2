"""The stand-ins behind real sockets on loopback, with controllers as real processes."""

import asyncio
import socket
import sys
from pathlib import Path

import cbor2

from passrock.io.errors import NoAnswerError
from passrock.io.http_client import HttpClient
from passrock.io.http_server import HttpServer, Request, Response
from passrock.settings import Address
from standins.deployment import platform_settings
from standins.simulated_cluster import SimulatedCluster

ROOT = Path(__file__).resolve().parents[2]


def free_port():
    """Return a port that nothing listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def encode_toml(table, path=()):
    """Encode a settings table as TOML; only what settings need is supported."""
    lines, subtables = [], []
    for key, value in table.items():
        if isinstance(value, dict):
            subtables.append(f"[{'.'.join((*path, key))}]\n" + encode_toml(value, (*path, key)))
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            subtables += [f"[[{'.'.join((*path, key))}]]\n" + encode_toml(row, (*path, key)) for row in value]
        else:
            lines.append(f"{key} = {repr(value).replace(chr(39), chr(34))}")
    return "\n".join([*lines, *subtables]) + "\n"


class LoopbackCluster(SimulatedCluster):
    """Controller processes between stand-in services, workers and users, in real time."""

    def start_nodes(self):
        self.nodes = dict.fromkeys(f"n{number}" for number in range(self.node_count))
        self.clients, self.configs, self.processes = {}, {}, {}
        self.operator_files = []  # settings files of the operators, for --operator

    async def serve(self, folder):
        """Serve the stand-in services on sockets and write the controllers' settings files."""
        ports = {}
        for name, service in (("state", self.store), ("cloud", self.cloud)):
            server = HttpServer(
                self._handler(service), connection_limit=100, idle_timeout_s=600, request_timeout_s=60
            )
            listening = await server.start("127.0.0.1", 0)
            ports[name] = listening.sockets[0].getsockname()[1]
        peer_addresses = {name: f"127.0.0.1:{free_port()}" for name in self.nodes}
        for number, name in enumerate(self.nodes):
            port = free_port()
            table = platform_settings(number, self.node_count, self.zones)
            table["deployment"]["objectives"] = list(self.objectives)
            table["client_listen"] = f"127.0.0.1:{port}"
            table["peer_listen"] = peer_addresses[name]
            for peer in table["peers"]:
                peer["endpoint"] = peer_addresses[peer["node"]]
            table["outside"] = {service: f"127.0.0.1:{service_port}" for service, service_port in ports.items()}
            self.configs[name] = folder / f"{name}.toml"
            self.configs[name].write_text(encode_toml(table))
            self.clients[name] = HttpClient(Address("127.0.0.1", port), 32)

    @staticmethod
    def _handler(service):
        async def handle(request):
            status, body = await service.handle(request.method, request.path, request.body)
            return Response(status, body)

        return handle

    async def start(self, name="n0", checkout=ROOT):
        """Start a controller process from the sources of a checkout."""
        operator_options = [word for path in self.operator_files for word in ("--operator", str(path))]
        self.processes[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            str(checkout / "run.py"),
            *operator_options,
            "--config",
            str(self.configs[name]),
            stderr=asyncio.subprocess.DEVNULL,
        )

    async def kill(self, name="n0"):
        """Kill a controller process without a signal that it could handle."""
        self.processes[name].kill()
        await self.processes[name].wait()

    async def send_heartbeat(self, worker, name, body, timeout):
        return await self._send_and_decode(name, "POST", "/checkin", body, timeout)

    async def request(self, method, path, body=b"", timeout=2.0, node=None):
        try:
            return await self._send_and_decode(node or self.rng.choice(list(self.nodes)), method, path, body, timeout)
        except ConnectionError:
            return 0, {}

    async def _send(self, name, request):
        try:
            status, body = await self.clients[name].request(request.method, request.path, request.body, 5.0)
        except NoAnswerError as exc:
            raise ConnectionError(str(exc)) from exc
        return Response(status, body)

    async def _send_and_decode(self, name, method, path, body, timeout):
        if name not in self.clients:
            raise ConnectionError(f"{name} has no client yet")
        async with asyncio.timeout(timeout):
            response = await self._send(name, Request(method, path, body))
        return response.status, cbor2.loads(response.body) if response.body else {}
