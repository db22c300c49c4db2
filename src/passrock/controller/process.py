"""A controller as a process: real clients, listening sockets, and settings of the interpreter."""

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
CLOUD_RATE_SHARE = 0.8  # the part of the cloud's rate that this controller uses
IDLE_TIMEOUT_S = 60.0  # of a client's connection
REQUEST_TIMEOUT_HEARTBEATS = 4.0  # heartbeat intervals in which a whole request has to arrive
GC_THRESHOLDS = (20_000, 20, 50)  # of the three generations: collections are rarer than by default


def build_node(settings: Settings, rng: random.Random) -> Node:
    """A node with real clients."""
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
    """Listen and work until cancelled."""
    settings = node.settings
    server = HttpServer(
        node.handle,
        node.max_sockets,
        idle_timeout_s=IDLE_TIMEOUT_S,
        head_timeout_s=settings.report_s * REQUEST_TIMEOUT_HEARTBEATS,
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
    """Run a controller until it is killed."""
    start_logging(settings.node)

    async def main() -> None:
        await run_node(build_node(settings, random.Random()))

    asyncio.run(main())


def _configure_garbage_collection() -> None:
    """Leave what the start has made out of all later collections."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
