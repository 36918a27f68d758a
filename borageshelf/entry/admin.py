"""The administration API: a read-only HTTP interface for operators.

It listens on its own address, so that load from callers cannot shut operators
out. No request changes anything: operators act by publishing configuration.
``/v1/health`` and ``/v1/ready`` need no token, because load balancers carry
none; they tell the details only with one.
"""

# mypy: allow-untyped-calls
# Most classes of twisted.web carry no type declarations.

from collections import abc
import functools
import hashlib
import hmac
import time
from typing import Any, Final

from absl import logging
import msgspec
import OpenSSL.SSL
from twisted.internet import ssl
from twisted.web import resource
from twisted.web import server

from borageshelf.entry import admin_channel
from borageshelf.entry import admin_documents
from borageshelf.entry import documents
from borageshelf import errors
from borageshelf import options as options_module
from borageshelf import telemetry as telemetry_module

# An operator's view polls a handful of documents every two seconds.
REQUESTS_PER_SECOND: Final = 50
# Bounds guessing; a wrong token is a mistake that repeats slowly.
WRONG_TOKENS_PER_SECOND: Final = 5

_SCHEME: Final = 'Bearer '
_SERVICE_UNAVAILABLE: Final = 503


class TokenBucket:
    """Token bucket that holds one second's worth of requests.

    :param clock: monotonic time in seconds
    """

    def __init__(
        self, per_second: int, clock: abc.Callable[[], float]
    ) -> None:
        self._per_second = per_second
        self._clock = clock
        self._tokens = float(per_second)
        self._filled_at = clock()

    def try_take(self) -> bool:
        """Take one token; return False if there is none."""
        now = self._clock()
        gain = (now - self._filled_at) * self._per_second
        self._tokens = min(self._tokens + gain, float(self._per_second))
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class AdminResource(resource.Resource):
    """Answers every path of the API.

    :param token: token that operators send as ``Authorization: Bearer``
    """

    isLeaf = True

    def __init__(
        self,
        provider: admin_documents.Provider,
        token: str,
        telemetry: telemetry_module.Telemetry,
        clock: abc.Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._provider = provider
        self._token_digest = _digest(token)
        self._telemetry = telemetry
        self._requests = TokenBucket(REQUESTS_PER_SECOND, clock)
        self._wrong_tokens = TokenBucket(WRONG_TOKENS_PER_SECOND, clock)

    def render(self, request: server.Request) -> bytes:
        """Return the JSON answer of a request."""
        try:
            status, document = self._answer(request)
        except errors.BorageshelfError as error:
            status = error.code.http_status
            document = documents.describe_error(error)
        except Exception:
            logging.exception('an administration request failed')
            status = errors.INTERNAL.http_status
            document = documents.describe_error(
                errors.BorageshelfError(errors.INTERNAL)
            )
        self._telemetry.count(telemetry_module.ADMIN_REQUESTS, str(status))
        body = msgspec.json.encode(document)
        request.setResponseCode(status)
        request.setHeader(b'content-type', b'application/json')
        request.setHeader(b'cache-control', b'no-store')
        request.setHeader(b'content-length', str(len(body)).encode())
        if status == errors.UNAUTHENTICATED.http_status:
            request.setHeader(b'www-authenticate', b'Bearer')
        return b'' if request.method == b'HEAD' else body

    def _answer(self, request: server.Request) -> tuple[int, object]:
        path = request.path.decode('ascii', 'replace')
        if path in ('/v1/health', '/v1/ready'):
            return self._answer_probe(request, path)
        if not self._has_token(request):
            self._refuse_token()
        _take(self._requests)
        _check_method(request)
        find = _DOCUMENTS.get(path)
        if find is None:
            raise errors.BorageshelfError(errors.NOT_FOUND, 'no such path')
        return 200, find(self._provider)

    def _answer_probe(
        self, request: server.Request, path: str
    ) -> tuple[int, object]:
        # A refusal would cost as much as the answer, and a flood of requests
        # could then make the load balancer drop the entry.
        _check_method(request)
        health = self._provider.describe_health()
        is_failing = path == '/v1/ready' and not health.is_ready
        if not self._has_token(request):
            health = admin_documents.Health(
                '', '', health.state, health.is_ready
            )
        return _SERVICE_UNAVAILABLE if is_failing else 200, health

    def _has_token(self, request: server.Request) -> bool:
        """Tell whether the request carries the token.

        Digests are compared, because the comparison in constant time is so
        only for values of equal length.
        """
        header = request.getHeader('authorization') or ''
        is_scheme = header[: len(_SCHEME)].lower() == _SCHEME.lower()
        sent = header[len(_SCHEME) :].strip() if is_scheme else ''
        return hmac.compare_digest(_digest(sent), self._token_digest)

    def _refuse_token(self) -> None:
        _take(self._wrong_tokens)
        raise errors.BorageshelfError(
            errors.UNAUTHENTICATED, 'send the token as a bearer token'
        )


def listen(
    reactor: Any,
    settings: options_module.EntryOptions,
    provider: admin_documents.Provider,
    telemetry: telemetry_module.Telemetry,
) -> Any:
    """Start the listener and return it.

    :param reactor: the installed twisted reactor
    :raises OptionsError: if the certificate or the key cannot be used
    """
    root = AdminResource(provider, settings.admin_token, telemetry)
    site = admin_channel.AdminSite(root, reactor)
    address = settings.admin_address
    if not settings.admin_certificate_path:
        return reactor.listenTCP(address.port, site, interface=address.host)
    context = make_tls_context(settings)
    return reactor.listenSSL(
        address.port, site, context, interface=address.host
    )


def make_tls_context(settings: options_module.EntryOptions) -> Any:
    """Return the TLS settings of the listener.

    :raises OptionsError: if the certificate or the key cannot be used
    """
    try:
        factory = ssl.DefaultOpenSSLContextFactory(
            settings.admin_key_path,
            settings.admin_certificate_path,
            sslmethod=OpenSSL.SSL.TLS_SERVER_METHOD,
        )
        context = factory.getContext()
        context.set_min_proto_version(OpenSSL.SSL.TLS1_2_VERSION)
        context.check_privatekey()
    except (OpenSSL.SSL.Error, OSError) as error:
        raise options_module.OptionsError(
            [
                options_module.Fault(
                    'admin-certificate-path, admin-key-path',
                    f'cannot be used: {error}',
                )
            ]
        ) from error
    return factory


def _list(
    name: str, find: abc.Callable[[Any], abc.Sequence[Any]], provider: Any
) -> object:
    """Return the document of a list; an object leaves room for fields."""
    return {name: list(find(provider))}


_DOCUMENTS: Final[
    dict[str, abc.Callable[[admin_documents.Provider], object]]
] = {
    '/v1/targets': functools.partial(
        _list, 'targets', lambda provider: provider.list_targets()
    ),
    '/v1/drains': functools.partial(
        _list,
        'drains',
        lambda provider: [
            target for target in provider.list_targets() if target.is_leaving
        ],
    ),
    '/v1/shards': functools.partial(
        _list, 'shards', lambda provider: provider.list_shards()
    ),
    '/v1/queues': functools.partial(
        _list, 'queues', lambda provider: provider.list_queues()
    ),
    '/v1/quotas': functools.partial(
        _list, 'quotas', lambda provider: provider.list_quotas()
    ),
    '/v1/versions': lambda provider: provider.describe_versions(),
}


def _check_method(request: server.Request) -> None:
    if request.method not in (b'GET', b'HEAD'):
        raise errors.BorageshelfError(
            errors.WRONG_METHOD, 'the API is read-only'
        )


def _take(bucket: TokenBucket) -> None:
    if not bucket.try_take():
        raise errors.BorageshelfError(
            errors.OVERLOADED, 'too many requests a second'
        )


def _digest(token: str) -> bytes:
    return hashlib.sha256(token.encode('utf-8', 'surrogateescape')).digest()
