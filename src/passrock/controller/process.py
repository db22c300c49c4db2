"""A controller process: network clients, listening sockets, and garbage collection settings."""

from __future__ import annotations

import asyncio
import gc
import random

from passrock import __version__
from passrock.controller.node import STORE_CONNECTIONS, Node
from passrock.core.token_bucket import TokenBucket
from passrock.io.cloud import CloudClient
from passrock.io.http_client import HttpClient
from passrock.io.http_server import HttpServer
from passrock.io.peer_link import PeerLink
from passrock.io.store import KeyValueStoreClient
from passrock.logs import info, start_logging
from passrock.settings import Settings, resource_warnings

WATCH_CONNECTIONS = 2
CLOUD_CONNECTIONS = 4
CLOUD_RATE_SHARE = 0.8  # of the cloud's request rate, used by this controller
IDLE_TIMEOUT_S = 60.0  # of client connections
REQUEST_TIMEOUT_HEARTBEATS = 4.0  # heartbeat intervals within which a request must arrive in full
GC_THRESHOLDS = (20_000, 20, 50)  # by generation; collections are less frequent than by default


def build_node(settings: Settings, rng: random.Random) -> Node:
    """Return a node with network clients."""
    store = KeyValueStoreClient(
        HttpClient(settings.state, STORE_CONNECTIONS),
        HttpClient(settings.state, WATCH_CONNECTIONS),
        TokenBucket(settings.state_rps, settings.state_rps),
        TokenBucket(settings.state_write_rps, settings.state_write_rps),
    )
    cloud = CloudClient(
        HttpClient(settings.cloud, CLOUD_CONNECTIONS),
        TokenBucket(settings.cloud_rps * CLOUD_RATE_SHARE, settings.cloud_rps),
    )
    return Node(settings, store, cloud, [PeerLink(peer) for peer in settings.peers], rng)


async def run_node(node: Node) -> None:
    """Listen for requests and run the node until cancelled."""
    settings = node.settings
    server = HttpServer(
        node.handle,
        node.max_sockets,
        idle_timeout_s=IDLE_TIMEOUT_S,
        request_timeout_s=settings.report_s * REQUEST_TIMEOUT_HEARTBEATS,
    )
    listening = await server.start(settings.client_listen.host, settings.client_listen.port)
    peer_listening = await node.peers.listen(settings.peer_listen)
    for warning in resource_warnings(settings):
        info("settings_warning", warning=warning)
    info("controller_started", version=__version__, node=settings.node, peers=len(settings.peers))
    _configure_garbage_collection()
    async with listening, peer_listening:
        await node.run()


def serve(settings: Settings) -> None:
    """Run a controller until the process ends."""
    start_logging(settings.node)

    async def main() -> None:
        await run_node(build_node(settings, random.Random()))

    asyncio.run(main())


def _configure_garbage_collection() -> None:
    """Exclude the objects created during startup from later collections."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
