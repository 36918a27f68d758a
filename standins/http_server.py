"""HTTP server of the stand-ins on twisted's asyncio reactor.

Maps methods and paths to coroutines, answers errors as JSON with their result
code, and closes the connection without an answer where an injected fault loses
the answer. Listens on loopback only.
"""

import argparse
import asyncio
from collections import abc
import dataclasses
import sys
from typing import Any, cast, Final, TypeVar

import msgspec
from twisted.internet import asyncioreactor
from twisted.web import http
from twisted.web import resource
from twisted.web import server

from borageshelf import errors

LISTEN_ADDRESS: Final = '127.0.0.1'
JSON_TYPE: Final = b'application/json'
# Twisted's default of 50 drops connections when an adapter opens all its 60
# at once; the client then retries only after a second.
BACKLOG: Final = 256
# Ends a stand-in that nobody stopped.
DEFAULT_LIFETIME_S: Final = 3600.0

Document = TypeVar('Document')
Handler = abc.Callable[[http.Request], abc.Awaitable[object]]

# Returned by a handler that has written its answer itself.
ALREADY_ANSWERED: Final = object()


class AnswerLost(Exception):
    """Raised by a handler to close the connection without an answer."""


class LoseAnswers:
    """Context manager that turns an uncertain outcome into a lost answer.

    A service whose answer is lost cannot report it; the client has to detect
    the broken connection.

    :param uncertain: result code of an uncertain outcome
    """

    def __init__(self, uncertain: errors.ResultCode) -> None:
        self._uncertain = uncertain

    def __enter__(self) -> None:
        return

    def __exit__(self, kind: object, error: object, trace: object) -> None:
        if isinstance(error, errors.BorageshelfError):
            if error.code is self._uncertain:
                raise AnswerLost from error


@dataclasses.dataclass(frozen=True)
class Route:
    """The handler of one method and path.

    :param cancel_on_disconnect: whether the handler is cancelled when the
        client disconnects; False for writes, which may still take effect
    """

    handler: Handler
    cancel_on_disconnect: bool = False


class ApiResource(resource.Resource):
    """Dispatches requests by method and path.

    :param find_route: finds the route of a path that is not in ``routes``
    """

    isLeaf = True

    def __init__(
        self,
        routes: abc.Mapping[tuple[str, str], Route],
        find_route: abc.Callable[[str, str], Route | None] | None = None,
    ) -> None:
        resource.Resource.__init__(self)
        self._routes = routes
        self._find_route = find_route
        self._tasks: set[asyncio.Task[None]] = set()

    def render(self, request: server.Request) -> int:
        """Start the handler of a request."""
        path = request.path.decode()
        method = request.method.decode()
        route = self._routes.get((method, path))
        if route is None and self._find_route is not None:
            route = self._find_route(method, path)
        if route is None:
            answer_error(request, errors.NOT_FOUND, path)
            return server.NOT_DONE_YET
        loop = asyncio.get_event_loop()
        task = loop.create_task(run_handler(route.handler, request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        finished = request.notifyFinish()
        if route.cancel_on_disconnect:
            finished.addErrback(lambda _: task.cancel())
        finished.addErrback(lambda _: None)
        return server.NOT_DONE_YET


async def run_handler(handler: Handler, request: http.Request) -> None:
    """Run a handler and write its answer."""
    try:
        answer = await handler(request)
    except errors.BorageshelfError as error:
        answer_error(request, error.code, error.detail)
    except AnswerLost:
        break_connection(request)
    except (msgspec.DecodeError, KeyError, ValueError) as error:
        answer_error(request, errors.BAD_REQUEST, repr(error))
    else:
        if answer is not ALREADY_ANSWERED:
            answer_document(request, http.OK, answer)


def answer_document(
    request: http.Request, status: int, document: object
) -> None:
    """Write a complete JSON answer unless the client has disconnected."""
    if is_disconnected(request):
        return
    body = msgspec.json.encode(document)
    request.setResponseCode(status)
    request.setHeader(b'content-type', JSON_TYPE)
    request.setHeader(b'content-length', str(len(body)).encode())
    request.write(body)
    request.finish()


def answer_error(
    request: http.Request, code: errors.ResultCode, detail: str
) -> None:
    """Write the JSON answer of an error."""
    document = {'code': code.number, 'name': code.name, 'detail': detail}
    answer_document(request, code.http_status, document)


def break_connection(request: http.Request) -> None:
    """Close the connection after the bytes written so far."""
    if not is_disconnected(request):
        cast(Any, request.transport).loseConnection()


def is_disconnected(request: http.Request) -> bool:
    """Tell whether the client's connection is closed."""
    return bool(request._disconnected) or request.channel is None


def read_document(request: http.Request, kind: type[Document]) -> Document:
    """Decode the JSON body of a request."""
    content = request.content
    body = content.read() if content is not None else b''
    return msgspec.json.decode(body, type=kind)


def read_argument(request: http.Request, name: str) -> str:
    """Return a query argument.

    :raises KeyError: if it is missing
    """
    args = cast(dict[bytes, list[bytes]], request.args)
    return args[name.encode()][0].decode()


def install_reactor() -> asyncio.AbstractEventLoop:
    """Install the asyncio reactor on a new loop and return the loop."""
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    return loop


def find_reactor() -> Any:
    """Return the installed reactor, which has no static type in twisted."""
    from twisted.internet import reactor

    return reactor


def listen(site: Any, port: int) -> Any:
    """Listen on loopback and return the listener; port 0 picks a free one."""
    return find_reactor().listenTCP(
        port, site, backlog=BACKLOG, interface=LISTEN_ADDRESS
    )


def find_port(listening: Any) -> int:
    """Return the port number of a listener."""
    return int(listening.getHost().port)


def run(
    make_site: abc.Callable[[], Any], port: int, lifetime_s: float
) -> None:
    """Serve until a signal arrives or the lifetime ends.

    :param make_site: creates the site; called when the event loop runs
    """
    install_reactor()
    reactor = find_reactor()

    def start() -> None:
        listening = listen(make_site(), port)
        print(f'listening on {LISTEN_ADDRESS}:{find_port(listening)}')
        sys.stdout.flush()

    reactor.callWhenRunning(start)
    reactor.callLater(lifetime_s, reactor.stop)
    reactor.run()


def add_lifetime_flag(parser: argparse.ArgumentParser) -> None:
    """Add the flag that limits the lifetime of the process."""
    parser.add_argument('--lifetime-s', type=float, default=DEFAULT_LIFETIME_S)
