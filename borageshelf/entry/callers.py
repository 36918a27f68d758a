"""HTTP interface of callers.

Every answer that is not a plain success is a JSON document with a registered
result code. A body that is cut off never reaches these resources, because
``twisted.web`` waits for the length that the caller announced.
"""

import asyncio
from collections import abc
from typing import Any, Final
import uuid

import msgspec
from twisted.internet import defer
from twisted.web import http
from twisted.web import resource
from twisted.web import server

from borageshelf import clock
from borageshelf.entry import bounded_site
from borageshelf.entry import call_tries
from borageshelf.entry import calls as calls_module
from borageshelf.entry import documents
from borageshelf.entry import jobs as jobs_module
from borageshelf import errors
from borageshelf.model import objects

WAIT_LIMIT_MS: Final = 60_000
WAIT_PAUSE_MS: Final = 200
IDLE_TIMEOUT_S: Final = 120

Handler = abc.Callable[[server.Request], abc.Coroutine[Any, Any, None]]


class Endpoint(resource.Resource):
    """A resource whose methods are coroutines.

    :param handlers: coroutine function by HTTP method
    """

    def __init__(self, handlers: abc.Mapping[bytes, Handler]) -> None:
        resource.Resource.__init__(self)
        self.isLeaf = True
        self._handlers = handlers

    def render(self, request: server.Request) -> int:
        """Start the handler of the request's method."""
        task = asyncio.ensure_future(self._serve(request))
        finished = request.notifyFinish()
        finished.addErrback(lambda _: task.cancel())
        return server.NOT_DONE_YET

    async def _serve(self, request: server.Request) -> None:
        try:
            handler = self._handlers.get(request.method)
            if handler is None:
                raise errors.BorageshelfError(
                    errors.WRONG_METHOD, request.method.decode('latin-1')
                )
            _check_length(request)
            await handler(request)
        except errors.BorageshelfError as error:
            _write_error(request, error)
        except asyncio.CancelledError:
            # The caller has hung up.
            return
        except Exception as error:
            _write_error(
                request,
                errors.BorageshelfError(errors.INTERNAL, type(error).__name__),
            )
            raise


class CallerSite:
    """The resources of callers.

    :param find_configuration: returns the configuration in force
    """

    def __init__(
        self,
        calls: calls_module.CallEngine,
        jobs: jobs_module.JobService,
        find_configuration: abc.Callable[[], objects.Configuration],
    ) -> None:
        self._calls = calls
        self._jobs = jobs
        self._find_configuration = find_configuration

    def make_site(self) -> server.Site:
        """Return the site to listen with."""
        root = Router(self._route)
        site: Any = bounded_site.BoundedSite
        made: server.Site = site(root, timeout=IDLE_TIMEOUT_S)
        return made

    def _route(self, path: tuple[str, ...]) -> Endpoint | None:
        """Return the resource of a path."""
        match path:
            case ('v1', 'services', name, 'calls'):
                return Endpoint({b'POST': lambda r: self._call(r, name)})
            case ('v1', 'jobs'):
                return Endpoint({b'POST': self._submit})
            case ('v1', 'jobs', job_id):
                return Endpoint(
                    {
                        b'GET': lambda r: self._find(r, job_id),
                        b'DELETE': lambda r: self._cancel(r, job_id),
                    }
                )
            case ('v1', 'jobs', job_id, 'wait'):
                return Endpoint({b'GET': lambda r: self._wait(r, job_id)})
        return None

    async def _call(self, request: server.Request, name: str) -> None:
        submission = self._read_call(request, name)
        request.setHeader(b'call-id', submission.call_id.encode())
        flow: AnswerFlow | None = None

        async def pass_chunk(data: bytes) -> None:
            nonlocal flow
            if flow is None:
                request.setHeader(b'content-type', b'application/octet-stream')
                flow = AnswerFlow()
                request.registerProducer(flow, True)
            request.write(data)
            await flow.wait()

        result = await self._calls.run(submission, pass_chunk)
        if flow is not None:
            request.unregisterProducer()
        if result.code is errors.OK:
            if flow is None:
                request.setHeader(b'content-type', b'application/octet-stream')
            request.finish()
        elif flow is not None:
            # Without the final chunk the caller sees that the answer is cut.
            request.loseConnection()
        else:
            raise errors.BorageshelfError(
                result.code, result.detail, result.retry_deadline_ms
            )

    def _read_call(
        self, request: server.Request, name: str
    ) -> call_tries.Submission:
        service = self._find_configuration().services.get(name)
        if service is None:
            raise errors.BorageshelfError(errors.UNKNOWN_SERVICE, name)
        timeout_ms = _read_integer(
            request, 'call-timeout-ms', service.call_timeout_ms, 600_000
        )
        mark = _read_header(request, 'call-idempotent')
        if mark not in ('', 'true', 'false'):
            raise errors.BorageshelfError(
                errors.BAD_REQUEST, 'call-idempotent must be true or false'
            )
        team = _read_header(request, 'call-team') or service.team
        if team not in self._find_configuration().teams:
            raise errors.BorageshelfError(errors.UNKNOWN_TEAM, team)
        return call_tries.Submission(
            call_id=uuid.uuid4().hex,
            service=name,
            team=team,
            deadline_ms=clock.read_wall_clock_ms() + timeout_ms,
            body=_read_body(request),
            kind=_read_header(request, 'call-kind'),
            urgency=_read_integer(request, 'call-urgency', 0, 9),
            idempotent=service.idempotent if not mark else mark == 'true',
            key=_read_header(request, 'call-key'),
        )

    async def _submit(self, request: server.Request) -> None:
        try:
            document = msgspec.json.decode(
                _read_body(request), type=documents.JobRequest
            )
        except msgspec.MsgspecError as error:
            raise errors.BorageshelfError(
                errors.BAD_REQUEST, str(error)
            ) from error
        _write_json(request, 202, await self._jobs.submit(document))

    async def _find(self, request: server.Request, job_id: str) -> None:
        _write_job(request, await self._jobs.find(job_id))

    async def _cancel(self, request: server.Request, job_id: str) -> None:
        _write_job(request, await self._jobs.cancel(job_id))

    async def _wait(self, request: server.Request, job_id: str) -> None:
        """Answer when the job has ended or the time limit is over."""
        text = request.args.get(b'timeout_ms', [b'30000'])[0]
        if not text.isdigit():
            raise errors.BorageshelfError(errors.BAD_REQUEST, 'timeout_ms')
        limit_ms = min(int(text), WAIT_LIMIT_MS)
        deadline_ms = clock.read_wall_clock_ms() + limit_ms
        while True:
            job = await self._jobs.find(job_id)
            is_over = clock.read_wall_clock_ms() >= deadline_ms
            if job.code != errors.PENDING.number or is_over:
                _write_job(request, job)
                return
            await asyncio.sleep(WAIT_PAUSE_MS / 1000)


class Router(resource.Resource):
    """Finds the endpoint of a whole path."""

    def __init__(
        self, route: abc.Callable[[tuple[str, ...]], Endpoint | None]
    ) -> None:
        resource.Resource.__init__(self)
        self._route = route

    def getChild(  # noqa: N802
        self, path: bytes, request: server.Request
    ) -> resource.Resource:
        """Return the endpoint for the rest of the path."""
        parts = [path, *(request.postpath or ())]
        request.postpath = []
        try:
            names = tuple(part.decode() for part in parts)
        except UnicodeDecodeError:
            names = ()
        return self._route(names) or Endpoint(_NO_RESOURCE)


async def _not_found(request: server.Request) -> None:
    path = request.path.decode('latin-1')
    raise errors.BorageshelfError(errors.NOT_FOUND, path)


_NO_RESOURCE: Final[dict[bytes, Handler]] = {
    method: _not_found
    for method in (b'GET', b'POST', b'PUT', b'DELETE', b'HEAD', b'PATCH')
}


class AnswerFlow:
    """Follows the flow control of one HTTP connection."""

    def __init__(self) -> None:
        self._resumed: defer.Deferred[None] | None = None

    def pauseProducing(self) -> None:  # noqa: N802
        if self._resumed is None:
            self._resumed = defer.Deferred()

    def resumeProducing(self) -> None:  # noqa: N802
        resumed, self._resumed = self._resumed, None
        if resumed is not None:
            resumed.callback(None)

    def stopProducing(self) -> None:  # noqa: N802
        self.resumeProducing()

    async def wait(self) -> None:
        if self._resumed is not None:
            await asyncio.shield(
                self._resumed.asFuture(asyncio.get_running_loop())
            )


def _check_length(request: server.Request) -> None:
    if request.content is None:
        raise errors.BorageshelfError(errors.BAD_REQUEST, 'no content')


def _read_body(request: server.Request) -> bytes:
    assert request.content is not None
    request.content.seek(0)
    body: bytes = request.content.read()
    return body


def _read_header(request: server.Request, name: str) -> str:
    value = request.getHeader(name)
    return value if value is not None else ''


def _read_integer(
    request: server.Request, name: str, default: int, limit: int
) -> int:
    text = _read_header(request, name)
    if not text:
        return default
    if not text.isdigit() or int(text) > limit:
        raise errors.BorageshelfError(
            errors.BAD_REQUEST, f'{name} must be a number from 0 to {limit}'
        )
    return int(text)


def _write_job(request: server.Request, job: documents.JobAnswer) -> None:
    _write_json(request, 200, job)


def _write_json(request: server.Request, status: int, answer: object) -> None:
    body = msgspec.json.encode(answer)
    request.setResponseCode(status)
    request.setHeader(b'content-type', b'application/json')
    request.setHeader(b'content-length', str(len(body)).encode())
    request.write(body)
    request.finish()


def _write_error(
    request: server.Request, error: errors.BorageshelfError
) -> None:
    if request.finished or request.startedWriting:
        request.loseConnection()
        return
    if error.retry_deadline_ms:
        deadline = str(error.retry_deadline_ms).encode()
        request.setHeader(b'call-retry-deadline-ms', deadline)
    if request.method == b'HEAD':
        request.setResponseCode(error.code.http_status)
        request.finish()
        return
    status = error.code.http_status or http.INTERNAL_SERVER_ERROR
    _write_json(request, status, documents.describe_error(error))
