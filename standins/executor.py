"""Executor stand-in as a process: an HTTP server for the virtual executor.

``python -m standins.executor --port N``. With ``--worker-url`` it polls the
worker stand-in on the same VM and slows down while noisy tasks run there.
Control endpoints: ``POST /control/faults`` sets the faults, ``GET
/control/audit`` returns the executions and ``GET /control/counters`` the call
counts and the largest numbers of busy slots and open connections.
"""

import argparse
import asyncio
from typing import Any, Final

import msgspec
from twisted.protocols import policies
from twisted.web import http
from twisted.web import server

from borageshelf import errors
from borageshelf.ports import executor as executor_interface
from borageshelf.ports import http_client
from borageshelf.ports import http_executor
from standins import clocks
from standins import faults
from standins import http_server
from standins import virtual_executor

LOAD_POLL_INTERVAL_MS: Final = 200
LOAD_ANSWER_LIMIT_BYTES: Final = 10_000


class LimitedConnections(policies.WrappingFactory[Any]):
    """Counts the open connections and closes new ones beyond a limit.

    :ivar peak_connections: largest number of open connections so far
    :ivar refused_connections: number of connections closed at the limit
    """

    def __init__(self, site: server.Site, limit: int) -> None:
        policies.WrappingFactory.__init__(self, site)
        self.limit = limit
        self.peak_connections = 0
        self.refused_connections = 0

    def buildProtocol(self, addr: Any) -> Any:
        """Return the protocol of a new connection, or None to close it."""
        if len(self.protocols) >= self.limit:
            self.refused_connections += 1
            return None
        return policies.WrappingFactory.buildProtocol(self, addr)

    def registerProtocol(self, p: Any) -> None:
        """Count an open connection."""
        policies.WrappingFactory.registerProtocol(self, p)
        self.peak_connections = max(self.peak_connections, len(self.protocols))


class LoadAnswer(msgspec.Struct, frozen=True):
    """The part of the worker's load that slows its executors."""

    noise: float


class ExecutorHandlers:
    """The calls of the executor as HTTP handlers."""

    def __init__(self, executor: virtual_executor.VirtualExecutor) -> None:
        self._executor = executor
        self.connections: LimitedConnections | None = None

    def make_routes(self) -> dict[tuple[str, str], http_server.Route]:
        """Return the routes of the executor and its control endpoints."""
        route = http_server.Route
        return {
            ('GET', '/v1/describe'): route(self._describe, True),
            ('POST', http_executor.CALL_PATH): route(self._call),
            ('POST', '/control/faults'): route(self._set_faults),
            ('GET', '/control/audit'): route(self._read_audit),
            ('GET', '/control/counters'): route(self._count),
        }

    async def _describe(self, request: http.Request) -> object:
        return await self._executor.describe()

    async def _call(self, request: http.Request) -> object:
        call = _read_call(request)
        writer = _AnswerStream(request)
        status = await self._executor.call(call, writer.write)
        writer.end(status)
        return http_server.ALREADY_ANSWERED

    async def _set_faults(self, request: http.Request) -> object:
        plan = http_server.read_document(request, faults.FaultPlan)
        self._executor.fault_injector.set_plan(plan)
        return {}

    async def _read_audit(self, request: http.Request) -> object:
        return {
            'executions': self._executor.audit,
            'counts': self._executor.count_executions(),
        }

    async def _count(self, request: http.Request) -> object:
        counts: dict[str, object] = {
            'calls': self._executor.fault_injector.calls,
            'peak_busy': self._executor.peak_busy,
            'noise': self._executor.noise,
        }
        if self.connections is not None:
            counts['peak_connections'] = self.connections.peak_connections
            counts['refused_connections'] = (
                self.connections.refused_connections
            )
        return counts


class _AnswerStream:
    """Streams an answer no faster than its reader reads.

    Registered as a push producer, so that the transport pauses it.
    """

    def __init__(self, request: http.Request) -> None:
        self._request = request
        self._may_write = asyncio.Event()
        self._may_write.set()
        request.notifyFinish().addErrback(lambda _: self.stopProducing())
        request.registerProducer(self, True)

    def pauseProducing(self) -> None:
        """Delay the next chunk until the transport resumes."""
        self._may_write.clear()

    def resumeProducing(self) -> None:
        """Write the next chunk."""
        self._may_write.set()

    def stopProducing(self) -> None:
        """Stop waiting, because the reader has disconnected."""
        self._may_write.set()

    async def write(self, chunk: bytes) -> None:
        """Write a chunk; do nothing once the reader has disconnected."""
        await self._may_write.wait()
        if not http_server.is_disconnected(self._request):
            self._request.write(chunk)

    def end(self, status: executor_interface.CallStatus) -> None:
        """Finish the answer, break it off, or answer an error.

        :param status: how the call ended
        """
        if http_server.is_disconnected(self._request):
            return
        self._request.unregisterProducer()
        code = errors.find(status.code)
        if code is errors.OK:
            self._request.finish()
        elif code in (errors.OUTCOME_UNKNOWN, errors.ANSWER_TRUNCATED):
            http_server.break_connection(self._request)
        else:
            http_server.answer_document(
                self._request,
                code.http_status,
                http_executor.ErrorAnswer(
                    code.number, status.detail, status.ran
                ),
            )


def _read_call(request: http.Request) -> executor_interface.CallRequest:
    def read_header(name: str) -> str:
        value = request.getHeader(name)
        if value is None:
            raise ValueError(f'header {name} is missing')
        return str(value)

    content = request.content
    return executor_interface.CallRequest(
        read_header(http_executor.CALL_ID_HEADER),
        read_header(http_executor.SERVICE_HEADER),
        int(read_header(http_executor.DEADLINE_HEADER)),
        content.read() if content is not None else b'',
    )


def make_site(
    executor: virtual_executor.VirtualExecutor,
) -> LimitedConnections:
    """Return the HTTP site of an executor with its connection limit."""
    handlers = ExecutorHandlers(executor)
    site = server.Site(http_server.ApiResource(handlers.make_routes()))
    handlers.connections = LimitedConnections(
        site, executor.settings.connections
    )
    return handlers.connections


async def poll_noise(
    executor: virtual_executor.VirtualExecutor, worker_url: str
) -> None:
    """Poll the noise of the worker on the same VM until cancelled.

    The noise is 0 while the worker does not answer.
    """
    client = http_client.HttpClient(worker_url, 1)
    while True:
        try:
            answer = await client.get(
                '/control/load', {}, 1_000, LOAD_ANSWER_LIMIT_BYTES
            )
            load = msgspec.json.decode(answer.body, type=LoadAnswer)
            executor.noise = load.noise
        except (http_client.RequestFailed, msgspec.MsgspecError):
            executor.noise = 0.0
        await asyncio.sleep(LOAD_POLL_INTERVAL_MS / clocks.MS_PER_S)


def main() -> None:
    """Run the stand-in."""
    defaults = virtual_executor.ExecutorSettings()
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--service', default=defaults.service)
    parser.add_argument('--slots', type=int, default=defaults.slots)
    parser.add_argument(
        '--connections', type=int, default=defaults.connections
    )
    parser.add_argument('--jitter-ms', type=int, default=0)
    parser.add_argument('--worker-url', default='')
    parser.add_argument('--seed', type=int, default=0)
    http_server.add_lifetime_flag(parser)
    flags = parser.parse_args()
    tasks: list[asyncio.Task[None]] = []

    def start() -> LimitedConnections:
        settings = virtual_executor.ExecutorSettings(
            flags.service, flags.slots, flags.connections, flags.jitter_ms
        )
        executor = virtual_executor.VirtualExecutor(
            settings, clocks.SystemClock(), flags.seed
        )
        if flags.worker_url:
            loop = asyncio.get_event_loop()
            polling = poll_noise(executor, flags.worker_url)
            tasks.append(loop.create_task(polling))
        return make_site(executor)

    http_server.run(start, flags.port, flags.lifetime_s)


if __name__ == '__main__':
    main()
