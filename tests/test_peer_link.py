"""A controller's connection to one peer, over real sockets on loopback."""

import asyncio
import contextlib

from passrock.io.peer_link import MAX_UNANSWERED_REQUESTS, PeerConnection, PeerLink
from passrock.io.peer_messages import PeerHeartbeat
from passrock.settings import Address, Peer

HEARTBEAT = PeerHeartbeat("n0", 1, False, False, True)
TIMEOUT_S = 5.0


@contextlib.asynccontextmanager
async def connected_peer(answer):
    """Serve a peer that passes heartbeats to ``answer``, which may reply; yield a link to it and its connections."""
    connections = []

    def accept():
        connections.append(PeerConnection(answer))
        return connections[-1]

    server = await asyncio.get_running_loop().create_server(accept, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with server:
        yield PeerLink(Peer(node="n1", zone="za", address=Address("127.0.0.1", port))), connections
        for connection in connections:
            if connection.transport is not None:
                connection.transport.abort()


async def wait_until(condition):
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.001)


def test_an_answer_is_dated_from_its_request_and_reaches_the_listeners():
    async def main():
        received = []
        async with connected_peer(
            lambda connection, _: connection.send(PeerHeartbeat("n1", 4, True, False, True))
        ) as (
            link,
            _,
        ):
            link.subscribe(received.append)
            before = asyncio.get_running_loop().time()
            await link.send_heartbeat(HEARTBEAT, TIMEOUT_S)
            after = asyncio.get_running_loop().time()
            assert link.waiting_since is not None
            assert link.answer is None
            await wait_until(lambda: link.answer is not None)
        assert received == [link.answer]
        assert link.answer.heartbeat.term == 4
        assert before <= link.answer.requested_at <= after
        assert link.waiting_since is None

    asyncio.run(main())


def test_a_peer_that_refuses_connections_is_not_unresponsive():
    async def main():
        async with connected_peer(None) as (link, _):
            pass  # its address is no longer listened on
        await link.send_heartbeat(HEARTBEAT, TIMEOUT_S)
        assert link.waiting_since is None
        assert link.answer is None

    asyncio.run(main())


def test_the_connection_to_an_unresponsive_peer_is_replaced():
    async def main():
        async with connected_peer(lambda connection, _: None) as (link, connections):
            for _ in range(MAX_UNANSWERED_REQUESTS + 1):
                await link.send_heartbeat(HEARTBEAT, TIMEOUT_S)
            since = link.waiting_since
            assert since is not None
            assert link.connection is not None
            await link.send_heartbeat(HEARTBEAT, TIMEOUT_S)
            assert link.connection is None
            await link.send_heartbeat(HEARTBEAT, TIMEOUT_S)
            await wait_until(lambda: len(connections) == 2)
            assert link.connection is not None
            assert link.waiting_since == since
            assert link.answer is None

    asyncio.run(main())


def test_an_answer_of_another_node_is_ignored():
    async def main():
        async with connected_peer(
            lambda connection, _: connection.send(PeerHeartbeat("n2", 4, True, False, True))
        ) as (
            link,
            _,
        ):
            await link.send_heartbeat(HEARTBEAT, TIMEOUT_S)
            await wait_until(lambda: link.connection.transport is None)
            assert link.answer is None
            assert link.waiting_since is not None

    asyncio.run(main())
