"""The stand-ins behind real sockets on loopback, and controllers as real processes."""

import asyncio
import socket
import sys
from pathlib import Path

import cbor2

from passrock.io.http_client import HttpClient, NoAnswerError
from passrock.io.http_server import HttpServer, Response
from passrock.settings import Address
from standins.deployment import node_table
from standins.world import World

ROOT = Path(__file__).resolve().parents[2]


def free_port():
    """A port that nothing listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def toml(table, path=()):
    """Just enough TOML for a settings table."""
    lines, later = [], []
    for key, value in table.items():
        if isinstance(value, dict):
            later.append(f"[{'.'.join((*path, key))}]\n" + toml(value, (*path, key)))
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            later += [f"[[{'.'.join((*path, key))}]]\n" + toml(row, (*path, key)) for row in value]
        else:
            lines.append(f"{key} = {repr(value).replace(chr(39), chr(34))}")
    return "\n".join([*lines, *later]) + "\n"


class LoopbackWorld(World):
    """One controller process between stand-in services, workers and users, in real time."""

    def start_nodes(self):
        self.nodes = {"n0": None}
        self.client = None
        self.process = None

    async def serve(self, folder):
        """Put the services on sockets and write the controller's settings."""
        ports = {}
        for name, service in (("state", self.state), ("cloud", self.cloud)):
            server = HttpServer(self._handler(service), limit=100, idle_s=600, head_s=60)
            listening = await server.start("127.0.0.1", 0)
            ports[name] = listening.sockets[0].getsockname()[1]
        port = free_port()
        table = node_table(0, 1, self.zones)
        table["client_listen"] = f"127.0.0.1:{port}"
        table["peer_listen"] = f"127.0.0.1:{free_port()}"
        table["outside"] = {name: f"127.0.0.1:{number}" for name, number in ports.items()}
        self.config = folder / "node.toml"
        self.config.write_text(toml(table))
        self.client = HttpClient(Address("127.0.0.1", port), 32)

    @staticmethod
    def _handler(service):
        async def handle(request):
            status, body = await service.handle(request.method, request.path, request.body)
            return Response(status, body)

        return handle

    async def start(self):
        """Start the controller process."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, str(ROOT / "run.py"), "--config", str(self.config), stderr=asyncio.subprocess.DEVNULL
        )

    async def kill(self):
        """End it without a signal that it could handle."""
        self.process.kill()
        await self.process.wait()

    async def to_node(self, worker, name, body, timeout):
        return await self._call("POST", "/checkin", body, timeout)

    async def ask(self, method, path, body=b"", timeout=2.0, node=None):
        try:
            return await self._call(method, path, body, timeout)
        except ConnectionError:
            return 0, {}

    async def _call(self, method, path, body, timeout):
        if self.client is None:
            raise ConnectionError("not yet")
        try:
            status, answer = await self.client.request(method, path, body, timeout)
        except NoAnswerError as error:
            raise ConnectionError(str(error)) from error
        return status, cbor2.loads(answer) if answer else {}
