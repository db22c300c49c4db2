"""A controller's connection to one peer, over real sockets of this machine."""

import asyncio
import contextlib

from passrock.io.peer_link import MAX_UNANSWERED_REQUESTS, PeerConnection, PeerLink
from passrock.io.peer_messages import PeerHeartbeat
from passrock.settings import Address, Peer

QUESTION = PeerHeartbeat("n0", 1, False, False, True)
TIMEOUT_S = 5.0


@contextlib.asynccontextmanager
async def connected_peer(answer):
    """A peer that gives each question to ``answer``, which may send one; and a link to it."""
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


async def until(condition):
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.001)


def test_an_answer_counts_from_its_question_and_reaches_the_listeners():
    async def main():
        notified = []
        async with connected_peer(
            lambda connection, _: connection.send(PeerHeartbeat("n1", 4, True, False, True))
        ) as (
            link,
            _,
        ):
            link.subscribe(notified.append)
            before = asyncio.get_running_loop().time()
            await link.send_heartbeat(QUESTION, TIMEOUT_S)
            after = asyncio.get_running_loop().time()
            assert link.waiting_since is not None
            assert link.answer is None
            await until(lambda: link.answer is not None)
        assert notified == [link.answer]
        assert link.answer.heartbeat.term == 4
        assert before <= link.answer.requested_at <= after
        assert link.waiting_since is None

    asyncio.run(main())


def test_a_refused_connection_is_not_waited_for():
    async def main():
        async with connected_peer(None) as (link, _):
            pass  # nobody listens at its address any more
        await link.send_heartbeat(QUESTION, TIMEOUT_S)
        assert link.waiting_since is None
        assert link.answer is None

    asyncio.run(main())


def test_the_connection_to_an_unresponsive_peer_is_replaced():
    async def main():
        async with connected_peer(lambda connection, _: None) as (link, connections):
            for _ in range(MAX_UNANSWERED_REQUESTS + 1):
                await link.send_heartbeat(QUESTION, TIMEOUT_S)
            since = link.waiting_since
            assert since is not None
            assert link.connection is not None
            await link.send_heartbeat(QUESTION, TIMEOUT_S)
            assert link.connection is None
            await link.send_heartbeat(QUESTION, TIMEOUT_S)
            await until(lambda: len(connections) == 2)
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
            await link.send_heartbeat(QUESTION, TIMEOUT_S)
            await until(lambda: link.connection.transport is None)
            assert link.answer is None
            assert link.waiting_since is not None

    asyncio.run(main())
