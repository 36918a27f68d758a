"""HTTP interface for callers and for the load balancer's readiness check."""

import asyncio
from collections import abc
from typing import Any, Final

from twisted.web import resource
from twisted.web import server

from borageshelf import clock
from borageshelf import decoding
from borageshelf.entry.workflows import request_service
from borageshelf import events
from borageshelf.http_server import budget
from borageshelf.http_server import sites
from borageshelf import measurements
from borageshelf.model import workflows
from borageshelf.platform import documents
from borageshelf.workflows import effects
from borageshelf.workflows import messages

READY_PATH: Final = b'/-/ready'
WORKFLOW_ID_DIGITS: Final = 16
# A cancellation is carried out although its caller has left.
_ABANDONED_METHODS: Final = frozenset({b'GET', b'POST'})
_HEX_DIGITS: Final = frozenset('0123456789abcdefABCDEF')
_HTTP_STATUSES: Final = {
    effects.Outcome.ACCEPTED: 200,
    effects.Outcome.FOUND: 200,
    effects.Outcome.ABSENT: 410,
    effects.Outcome.REFUSED: 503,
    effects.Outcome.INVALID: 400,
    # The caller may repeat the request with the same id at any entry.
    effects.Outcome.UNKNOWN: 504,
}
Serve = abc.Callable[[server.Request], abc.Coroutine[Any, Any, None]]


class PlatformSite:
    """HTTP sites of an entry.

    Implements ``entry.workflows.process.CallerSite``.

    :param find_configuration: returns the configuration in force
    :param is_ready: tells whether the entry accepts requests
    """

    def __init__(
        self,
        requests: request_service.RequestService,
        find_configuration: abc.Callable[[], workflows.QueueConfiguration],
        is_ready: abc.Callable[[], bool],
        event_log: events.EventLog,
    ) -> None:
        self._requests = requests
        self._find_configuration = find_configuration
        self._is_ready = is_ready
        self._event_log = event_log
        self.is_leaving = False
        self.active_requests = 0
        self.last_active_at_ms = 0

    def make_site(self, account: budget.RequestBudget) -> Any:
        """Return the site for callers."""
        return self._make_site(self._serve, account)

    def make_ready_site(self, account: budget.RequestBudget) -> Any:
        """Return the site for the readiness check."""
        return self._make_site(self._serve_ready, account)

    def _make_site(self, serve: Serve, account: budget.RequestBudget) -> Any:
        return sites.BudgetSite(
            _AsyncResource(serve),
            account,
            lambda: self._find_configuration().limits.body_bytes,
            lambda _, reason: documents.encode_refusal(reason),
        )

    async def _serve_ready(self, request: server.Request) -> None:
        status = 200 if self._is_ready() else 503
        if request.path != READY_PATH:
            status = 404
        self._write(request, status, b'{}')

    async def _serve(self, request: server.Request) -> None:
        self.active_requests += 1
        started_at_ms = clock.read_elapsed_ms()
        method = request.method.decode('latin-1')
        event = 'request answered'
        status = 0
        try:
            status = await self._answer(request, method, started_at_ms)
        except asyncio.CancelledError:
            event = 'request abandoned'
            raise
        finally:
            self.active_requests -= 1
            self.last_active_at_ms = clock.read_elapsed_ms()
            took_ms = self.last_active_at_ms - started_at_ms
            measurements.REQUESTS.labels(method, str(status)).inc()
            measurements.REQUEST_SECONDS.labels(method).observe(took_ms / 1000)
            self._event_log.record(
                event,
                method=method,
                path=request.path.decode('latin-1'),
                status=status,
                version=self._find_configuration().version,
                took_ms=took_ms,
            )

    async def _answer(
        self, request: server.Request, method: str, now_ms: int
    ) -> int:
        configuration = self._find_configuration()
        if not configuration.version:
            return self._write(request, 503, b'{}', retry_after_s=1)
        host = (request.getHeader('host') or '').partition(':')[0]
        path = request.path.decode('latin-1')
        queue = configuration.find_queue(host, path)
        if queue is None:
            return self._write(
                request, 404, documents.encode_refusal('no such queue')
            )
        workflow_id = path[len(queue.path_prefix) :]
        deadline_ms = now_ms + _read_timeout_ms(request, queue)
        if not workflow_id and method == 'GET':
            answer = await self._requests.count_pending(
                queue.name, deadline_ms
            )
            body = documents.encode_pending(answer.count)
            return self._write_answer(request, answer, body)
        if not _is_workflow_id(workflow_id):
            return self._write(
                request, 404, documents.encode_refusal('no such path')
            )
        if method == 'POST':
            return await self._submit(request, queue, workflow_id, deadline_ms)
        if method == 'GET':
            answer = await self._requests.find_state(workflow_id, deadline_ms)
            body = documents.encode_state(answer.state)
            return self._write_answer(request, answer, body)
        if method == 'DELETE':
            answer = await self._requests.cancel(workflow_id, deadline_ms)
            return self._write_answer(request, answer, b'{}')
        return self._write(
            request, 405, documents.encode_refusal('no such method')
        )

    async def _submit(
        self,
        request: server.Request,
        queue: workflows.Queue,
        workflow_id: str,
        deadline_ms: int,
    ) -> int:
        assert request.content is not None
        body = request.content.read()
        limit_bytes = self._find_configuration().limits.body_bytes
        if len(body) > limit_bytes:
            return self._write(
                request, 413, documents.encode_refusal('body too large')
            )
        try:
            workflow = documents.decode_workflow(workflow_id, body)
        except decoding.Unreadable as error:
            return self._write(
                request, 400, documents.encode_refusal(str(error))
            )
        problem = workflows.find_validation_error(workflow)
        if problem:
            return self._write(request, 400, documents.encode_refusal(problem))
        answer = await self._requests.submit(workflow, queue, deadline_ms)
        return self._write_answer(request, answer, b'{}')

    def _write_answer(
        self,
        request: server.Request,
        answer: messages.RequestAnswer,
        body: bytes,
    ) -> int:
        status = _HTTP_STATUSES[answer.outcome]
        if status != 200:
            body = documents.encode_refusal(answer.outcome.name.lower())
        return self._write(request, status, body, answer.retry_after_s)

    def _write(
        self,
        request: server.Request,
        status: int,
        body: bytes,
        retry_after_s: int = 0,
    ) -> int:
        channel: Any = request.channel
        if channel is None or request._disconnected:
            return status
        request.setResponseCode(status)
        request.setHeader(b'content-type', b'application/json')
        request.setHeader(b'content-length', str(len(body)).encode())
        if retry_after_s:
            request.setHeader(b'retry-after', str(retry_after_s).encode())
        if self.is_leaving:
            request.setHeader(b'connection', b'close')
            channel.persistent = False
        request.write(body)
        request.finish()
        return status


class _AsyncResource(resource.Resource):
    """Serves every request with one coroutine function."""

    isLeaf = True  # noqa: N815

    def __init__(self, serve: Serve) -> None:
        resource.Resource.__init__(self)
        self._serve = serve

    def render(self, request: server.Request) -> int:
        """Start the handler of a request; drop one whose caller leaves."""
        task = asyncio.ensure_future(self._run(request))

        def abandon(_: object) -> None:
            if request.method in _ABANDONED_METHODS:
                task.cancel()

        request.notifyFinish().addErrback(abandon)
        _running_tasks.add(task)
        task.add_done_callback(_running_tasks.discard)
        return server.NOT_DONE_YET

    async def _run(self, request: server.Request) -> None:
        try:
            await self._serve(request)
        except Exception:
            if not request._disconnected:
                request.setResponseCode(500)
                request.finish()
            raise


# Strong references: the event loop holds only weak references to its tasks.
_running_tasks: Final[set[asyncio.Task[None]]] = set()


def _is_workflow_id(text: str) -> bool:
    return len(text) == WORKFLOW_ID_DIGITS and _HEX_DIGITS.issuperset(text)


def _read_timeout_ms(request: server.Request, queue: workflows.Queue) -> int:
    text = request.getHeader('deadline-ms') or ''
    if text.isascii() and text.isdigit() and len(text) < 8:
        return int(text)
    return queue.timeout_ms
