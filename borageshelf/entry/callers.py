"""HTTP interface for callers: calls and jobs.

Each answer that is not a success is a JSON document with a registered result
code. A truncated request body never reaches these resources, because
``twisted.web`` waits for the number of bytes that the caller announced.
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
from borageshelf import decoding
from borageshelf.entry import call_tries
from borageshelf.entry import calls
from borageshelf.entry import documents
from borageshelf.entry import jobs
from borageshelf import errors
from borageshelf.http_server import budget
from borageshelf.http_server import sites
from borageshelf.model import objects
from borageshelf import settings

MAX_WAIT_MS: Final = 60_000
# int() raises an error for texts of thousands of digits.
TIMEOUT_DIGITS_LIMIT: Final = 18
JOB_POLL_INTERVAL_MS: Final = 200
IDLE_LIMIT_MS: Final = 120_000
BODY_LIMIT_BYTES: Final = 1_000_000
_REFUSAL_CODES: Final = {
    code.http_status: code
    for code in (
        errors.BAD_REQUEST,
        errors.REQUEST_TIMEOUT,
        errors.BODY_TOO_LARGE,
        errors.NO_ROOM,
    )
}

Handler = abc.Callable[[server.Request], abc.Coroutine[Any, Any, None]]


class Endpoint(resource.Resource):
    """A resource whose HTTP methods are handled by coroutines.

    :param handlers: coroutine function by HTTP method
    """

    def __init__(self, handlers: abc.Mapping[bytes, Handler]) -> None:
        resource.Resource.__init__(self)
        self.isLeaf = True
        self._handlers = handlers

    def render(self, request: server.Request) -> int:
        """Start the handler of the method; cancel it on a disconnect."""
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
            _check_content(request)
            await handler(request)
        except errors.BorageshelfError as error:
            _write_error(request, error)
        except asyncio.CancelledError:
            # The caller has disconnected.
            return
        except Exception as error:
            _write_error(
                request,
                errors.BorageshelfError(errors.INTERNAL, type(error).__name__),
            )
            raise


class CallerSite:
    """Site with the resources for callers.

    :param find_configuration: returns the current configuration
    """

    def __init__(
        self,
        call_engine: calls.CallEngine,
        job_service: jobs.JobService,
        find_configuration: abc.Callable[[], objects.Configuration],
    ) -> None:
        self._call_engine = call_engine
        self._job_service = job_service
        self._find_configuration = find_configuration

    def make_site(self, account: budget.RequestBudget) -> sites.BudgetSite:
        """Return the site that serves the resources.

        :param account: what its connections count against
        """
        return sites.BudgetSite(
            Router(self._find_endpoint),
            account,
            lambda: BODY_LIMIT_BYTES,
            _encode_refusal,
            IDLE_LIMIT_MS,
        )

    def _find_endpoint(self, path: tuple[str, ...]) -> Endpoint | None:
        """Return the endpoint of a path, or None if there is none."""
        match path:
            case ('v1', 'services', name, 'calls'):
                return Endpoint(
                    {b'POST': lambda request: self._call(request, name)}
                )
            case ('v1', 'jobs'):
                return Endpoint({b'POST': self._submit_job})
            case ('v1', 'jobs', job_id):
                return Endpoint(
                    {
                        b'GET': lambda request: self._get_job(request, job_id),
                        b'DELETE': lambda request: self._cancel_job(
                            request, job_id
                        ),
                    }
                )
            case ('v1', 'jobs', job_id, 'wait'):
                return Endpoint(
                    {
                        b'GET': lambda request: self._wait_for_job(
                            request, job_id
                        )
                    }
                )
        return None

    async def _call(self, request: server.Request, name: str) -> None:
        submission = self._read_call(request, name)
        request.setHeader(b'call-id', submission.call_id.encode())
        flow_control: AnswerFlowControl | None = None

        async def forward_chunk(data: bytes) -> None:
            nonlocal flow_control
            if flow_control is None:
                request.setHeader(b'content-type', b'application/octet-stream')
                flow_control = AnswerFlowControl()
                request.registerProducer(flow_control, True)
            request.write(data)
            await flow_control.wait()

        result = await self._call_engine.run(submission, forward_chunk)
        if flow_control is not None:
            request.unregisterProducer()
        if result.code is errors.OK:
            if flow_control is None:
                request.setHeader(b'content-type', b'application/octet-stream')
            request.finish()
        elif flow_control is not None:
            # The missing final chunk tells the caller that the answer is
            # truncated.
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
        idempotent_text = _read_header(request, 'call-idempotent')
        if idempotent_text not in ('', 'true', 'false'):
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
            idempotent=service.idempotent
            if not idempotent_text
            else idempotent_text == 'true',
            key=_read_header(request, 'call-key'),
        )

    async def _submit_job(self, request: server.Request) -> None:
        try:
            document = decoding.decode_json(
                _read_body(request), documents.JobRequest
            )
        except decoding.Unreadable as error:
            raise errors.BorageshelfError(
                errors.BAD_REQUEST, str(error)
            ) from error
        _write_json(request, 202, await self._job_service.submit(document))

    async def _get_job(self, request: server.Request, job_id: str) -> None:
        _write_job(request, await self._job_service.find(job_id))

    async def _cancel_job(self, request: server.Request, job_id: str) -> None:
        _write_job(request, await self._job_service.cancel(job_id))

    async def _wait_for_job(
        self, request: server.Request, job_id: str
    ) -> None:
        """Answer when the job has ended or the wait has timed out."""
        text = request.args.get(b'timeout_ms', [b'30000'])[0]
        if not text.isdigit() or len(text) > TIMEOUT_DIGITS_LIMIT:
            raise errors.BorageshelfError(errors.BAD_REQUEST, 'timeout_ms')
        limit_ms = min(int(text), MAX_WAIT_MS)
        deadline_ms = clock.read_wall_clock_ms() + limit_ms
        while True:
            job = await self._job_service.find(job_id)
            has_timed_out = clock.read_wall_clock_ms() >= deadline_ms
            if job.code != errors.PENDING.number or has_timed_out:
                _write_job(request, job)
                return
            await asyncio.sleep(JOB_POLL_INTERVAL_MS / 1000)


class Router(resource.Resource):
    """Root resource that finds the endpoint by the whole path.

    :param find_endpoint: returns the endpoint of a path, or None
    """

    def __init__(
        self, find_endpoint: abc.Callable[[tuple[str, ...]], Endpoint | None]
    ) -> None:
        resource.Resource.__init__(self)
        self._find_endpoint = find_endpoint

    def getChild(  # noqa: N802
        self, path: bytes, request: server.Request
    ) -> resource.Resource:
        """Return the endpoint of the path, or one that answers 404."""
        parts = [path, *(request.postpath or ())]
        request.postpath = []
        try:
            names = tuple(part.decode() for part in parts)
        except UnicodeDecodeError:
            names = ()
        return self._find_endpoint(names) or Endpoint(_NOT_FOUND_HANDLERS)


async def _raise_not_found(request: server.Request) -> None:
    path = request.path.decode('latin-1')
    raise errors.BorageshelfError(errors.NOT_FOUND, path)


_NOT_FOUND_HANDLERS: Final[dict[bytes, Handler]] = {
    method: _raise_not_found
    for method in (b'GET', b'POST', b'PUT', b'DELETE', b'HEAD', b'PATCH')
}


class AnswerFlowControl:
    """Producer that follows the flow control of one HTTP connection.

    Guards against an answer that is buffered in memory while the caller does
    not read.
    """

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


def _encode_refusal(status: int, reason: str) -> bytes:
    error = errors.BorageshelfError(_REFUSAL_CODES[status], reason)
    return msgspec.json.encode(documents.describe_error(error))


def _check_content(request: server.Request) -> None:
    if request.content is None:
        raise errors.BorageshelfError(
            errors.BAD_REQUEST, 'the request has no content'
        )


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
    try:
        return settings.parse_integer(0, limit)(text)
    except ValueError as error:
        raise errors.BorageshelfError(
            errors.BAD_REQUEST, f'{name} must be an integer from 0 to {limit}'
        ) from error


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
