"""HTTP over real sockets on loopback: framing, and when connections are closed."""

import asyncio

import pytest

from passrock.io.errors import NoAnswerError
from passrock.io.http_client import HttpClient
from passrock.io.http_server import HttpServer, Request, Response
from passrock.settings import Address


def echo(request: Request) -> Response:
    return Response(200, f"{request.method} {request.path} {len(request.body)}".encode())


async def slow(request: Request) -> Response:
    await asyncio.sleep(0.01)
    return echo(request)


def handler(request):
    return slow(request) if request.path == "/slow" else echo(request)


async def send_raw(raw: bytes) -> bytes:
    """Send raw bytes to a server and read until it closes the connection."""
    server = HttpServer(handler, connection_limit=8, idle_timeout_s=0.1, request_timeout_s=0.2)
    listening = await server.start("127.0.0.1", 0)
    port = listening.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(raw)
    answer = await asyncio.wait_for(reader.read(), 10)
    writer.close()
    listening.close()
    return answer


@pytest.mark.parametrize(
    ("raw", "statuses", "body_end"),
    [
        (b"GET /a HTTP/1.1\r\nConnection: close\r\n\r\n", [200], b"GET /a 0"),
        (b"GET /slow HTTP/1.1\r\nConnection: close\r\n\r\n", [200], b"GET /slow 0"),
        (b"POST /a HTTP/1.1\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc", [200], b"POST /a 3"),
        (b"POST /a HTTP/1.1\r\nContent-Length: 65537\r\n\r\nabc", [413], b""),
        (
            b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            + b"10000\r\n"
            + b"x" * 65536
            + b"\r\n1\r\ny\r\n",
            [413],
            b"",
        ),
        (b"nonsense\r\n\r\n", [400], b""),
        (b"GET /" + b"a" * 20_000 + b" HTTP/1.1\r\n\r\n", [431], b""),
        (b"GET /slow HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n", [400], b""),
        (b"GET /a HTTP/1.1\r\n", [408], b""),
        (b"GET /a HTTP/1.1\r\n\r\n", [200], b"GET /a 0"),  # then closed as idle
    ],
)
def test_framing(raw, statuses, body_end):
    answer = asyncio.run(send_raw(raw))
    received_statuses = [int(part[:3]) for part in answer.split(b"HTTP/1.1 ")[1:]]
    assert received_statuses == statuses
    assert answer.endswith(body_end)


def test_connections_beyond_the_limit_displace_idle_ones():
    async def main():
        server = HttpServer(handler, connection_limit=2, idle_timeout_s=60, request_timeout_s=60)
        listening = await server.start("127.0.0.1", 0)
        port = listening.sockets[0].getsockname()[1]
        opened = []
        for _ in range(4):
            opened.append(await asyncio.open_connection("127.0.0.1", port))
            await asyncio.sleep(0.01)
        count = len(server.connections)
        for _, writer in opened:
            writer.close()
        listening.close()
        return count

    assert asyncio.run(main()) <= 2


def test_client_reuses_connections_and_raises_without_an_answer():
    async def main():
        server = HttpServer(handler, connection_limit=8, idle_timeout_s=60, request_timeout_s=60)
        listening = await server.start("127.0.0.1", 0)
        port = listening.sockets[0].getsockname()[1]
        client = HttpClient(Address("127.0.0.1", port), 2)
        answers = [await client.request("GET", "/a"), await client.request("POST", "/slow", b"xy")]
        count = len(server.connections)
        listening.close()
        refused = HttpClient(Address("127.0.0.1", 1), 1)
        with pytest.raises(NoAnswerError):
            await refused.request("GET", "/a")
        return answers, count

    answers, count = asyncio.run(main())
    assert answers == [(200, b"GET /a 0"), (200, b"POST /slow 2")]
    assert count == 1
