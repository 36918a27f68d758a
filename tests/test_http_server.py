"""The wire of the HTTP sites that count against the request budget."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import os
from typing import Any, Final

import pytest
from twisted.web import resource
from twisted.web import server

from borageshelf.entry import callers
from borageshelf import events
from borageshelf.http_server import budget
from borageshelf.http_server import sites
from borageshelf import node_settings
from tests import loopback

BODY_LIMIT: Final = 262_144
SETTINGS: Final = node_settings.NodeSettings(
    'entry-0', 'tajo-norte', '127.0.0.1', '127.0.0.1:1'
)


STREAM_PARTS: Final = 400
STREAM_PART_BYTES: Final = 65_536


class Echo(resource.Resource):
    """Answers with the size of the body, later or at once.

    Below /stream the answer is longer than the buffers and is written as the
    caller takes it.
    """

    isLeaf = True  # noqa: N815

    def __init__(self) -> None:
        resource.Resource.__init__(self)
        self.bodies: list[bytes] = []
        self.streamed_parts = 0
        self.is_cut_off = False

    def render(self, request: server.Request) -> Any:
        """Answer a request; those below /later in a later turn."""
        assert request.content is not None
        self.bodies.append(request.content.read())
        if request.path == b'/stream':
            sending = asyncio.ensure_future(self._stream(request))
            finished = request.notifyFinish()
            finished.addErrback(lambda _: self._note_cut_off(sending))
            return server.NOT_DONE_YET
        answer = b'%s %d' % (request.path, len(self.bodies[-1]))
        if not request.path.startswith(b'/later'):
            return answer
        loop = asyncio.get_running_loop()
        loop.call_later(0.01, self._answer, request, answer)
        return server.NOT_DONE_YET

    async def _stream(self, request: server.Request) -> None:
        flow_control = callers.AnswerFlowControl()
        request.registerProducer(flow_control, True)
        length = STREAM_PARTS * STREAM_PART_BYTES
        request.setHeader(b'content-length', str(length).encode())
        for _ in range(STREAM_PARTS):
            request.write(b'x' * STREAM_PART_BYTES)
            self.streamed_parts += 1
            await flow_control.wait()
        request.unregisterProducer()
        request.finish()

    def _note_cut_off(self, sending: asyncio.Future[None]) -> None:
        sending.cancel()
        self.is_cut_off = True

    def _answer(self, request: server.Request, answer: bytes) -> None:
        request.setHeader(b'content-length', str(len(answer)).encode())
        request.write(answer)
        request.finish()


@dataclasses.dataclass
class Caller:
    """A connection to a site."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    echo: Echo

    async def send(self, data: bytes) -> None:
        """Send bytes."""
        self.writer.write(data)
        await self.writer.drain()

    async def read_answer(self) -> tuple[int, bytes]:
        """Return status and body of an answer."""
        head = await self.reader.readuntil(b'\r\n\r\n')
        length = head.lower().partition(b'content-length: ')[2].split()[0]
        body = await self.reader.readexactly(int(length))
        return int(head.split()[1]), body


def run(
    scenario: abc.Callable[[Caller], abc.Awaitable[None]], **settings: Any
) -> None:
    """Run a scenario with one caller of a site."""

    async def main() -> None:
        with open(os.devnull, 'wb') as null:
            account = budget.RequestBudget(
                dataclasses.replace(SETTINGS, **settings),
                events.EventLog('entry', 'entry-0', null.fileno()),
            )
            echo = Echo()
            site = sites.BudgetSite(
                echo, account, lambda: BODY_LIMIT, lambda status, reason: b'{}'
            )
            sweep = asyncio.ensure_future(account.run())
            async with loopback.serve(site) as url:
                host, _, port = url.removeprefix('http://').rpartition(':')
                reader, writer = await asyncio.open_connection(host, int(port))
                await scenario(Caller(reader, writer, echo))
                writer.close()
                with contextlib.suppress(OSError):
                    await writer.wait_closed()
            sweep.cancel()

    loopback.run(main())


@pytest.mark.parametrize('size_bytes', [1, 3, 4_096, BODY_LIMIT])
def test_largest_body_in_chunks_is_served(size_bytes: int) -> None:
    """Guards against limits that an ordinary body reaches."""
    body = os.urandom(BODY_LIMIT)
    wire = b''.join(
        b'%x\r\n%s\r\n' % (len(part), part)
        for start in range(0, BODY_LIMIT, size_bytes)
        for part in [body[start : start + size_bytes]]
    )

    async def scenario(caller: Caller) -> None:
        for path in (b'/', b'/later'):
            await caller.send(
                b'POST %s HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n%s'
                b'0\r\nTrailer: a\r\n\r\n' % (path, wire)
            )
            answer = b'%s %d' % (path, BODY_LIMIT)
            assert await caller.read_answer() == (200, answer)
            assert caller.echo.bodies[-1] == body

    run(scenario)


def test_largest_headers_are_served() -> None:
    """Guards against limits that ordinary headers reach."""

    async def scenario(caller: Caller) -> None:
        lines = b'A: %s\r\n' % (b'x' * 78) * 200
        await caller.send(b'GET / HTTP/1.1\r\n' + lines + b'\r\n')
        assert await caller.read_answer() == (200, b'/ 0')

    run(scenario)


@pytest.mark.parametrize('piece_bytes', [1, 7, 100_000])
def test_pipelined_requests_are_answered_in_order(piece_bytes: int) -> None:
    """Guards against lost or reordered bytes between two requests."""
    parts = [
        b'POST /later/1 HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc',
        b'GET /2 HTTP/1.1\r\n\r\n',
        b'POST /3 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'2;a=b\r\nde\r\n0\r\n\r\n',
        b'GET /later/4 HTTP/1.1\r\n\r\n',
        b'POST /5 HTTP/1.1\r\nContent-Length: 2\r\n\r\nfg',
    ]
    wire = b''.join(parts)

    async def scenario(caller: Caller) -> None:
        for start in range(0, len(wire), piece_bytes):
            await caller.send(wire[start : start + piece_bytes])
            await asyncio.sleep(0)
        answers = [await caller.read_answer() for _ in parts]
        assert [body for _, body in answers] == [
            b'/later/1 3',
            b'/2 0',
            b'/3 2',
            b'/later/4 0',
            b'/5 2',
        ]

    run(scenario)


@pytest.mark.parametrize(
    ('status', 'wire'),
    [
        (413, b'Content-Length: 262145\r\n\r\n'),
        (
            413,
            b'Transfer-Encoding: chunked\r\n\r\n40001\r\n' + b'x' * 262_145,
        ),
        (400, b'Transfer-Encoding: chunked\r\n\r\n-1\r\n'),
        (400, b'Transfer-Encoding: chunked\r\n\r\n1\r\nabc'),
        (400, b'Transfer-Encoding: chunked\r\n\r\n' + b'1' * 2_000),
        (
            400,
            b'Transfer-Encoding: chunked\r\n\r\n'
            + b'1;%s\r\nx\r\n' % (b'e' * 1_000) * 20,
        ),
        (400, b'A: ' + b'x' * 20_000),
        (408, b'A: '),
        (408, b'Content-Length: 5\r\n\r\nabc'),
        (408, b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n'),
        (503, b'Content-Length: 200000\r\n\r\n' + b'x' * 100_000),
    ],
)
def test_refused_request_is_not_passed_on(status: int, wire: bytes) -> None:
    """Guards against missing limits and against refusals that run."""

    async def scenario(caller: Caller) -> None:
        with contextlib.suppress(OSError):
            await caller.send(b'POST / HTTP/1.1\r\n' + wire)
        assert (await caller.read_answer())[0] == status
        assert caller.echo.bodies == []
        assert await caller.reader.read() == b''

    run(
        scenario,
        headers_limit_ms=300,
        body_stall_limit_ms=300,
        unfinished_requests_limit_bytes=BODY_LIMIT * 2
        if status == 413
        else 80_000,
    )


def test_streamed_answer_follows_the_caller() -> None:
    """Guards against a streamed answer that is buffered or never resumed."""

    async def scenario(caller: Caller) -> None:
        await caller.send(b'GET /stream HTTP/1.1\r\n\r\n')
        await asyncio.sleep(0.1)
        assert caller.echo.streamed_parts < STREAM_PARTS
        status, body = await caller.read_answer()
        assert status == 200
        assert len(body) == STREAM_PARTS * STREAM_PART_BYTES
        await caller.send(b'GET / HTTP/1.1\r\n\r\n')
        assert await caller.read_answer() == (200, b'/ 0')

    run(scenario)


def test_streamed_answer_that_is_not_taken_ends() -> None:
    """Guards against a call that goes on for a caller that takes nothing."""

    async def scenario(caller: Caller) -> None:
        await caller.send(b'GET /stream HTTP/1.1\r\n\r\n')
        await loopback.wait_for(lambda: caller.echo.is_cut_off)
        assert caller.echo.streamed_parts < STREAM_PARTS

    run(scenario, answer_stall_limit_ms=300)
