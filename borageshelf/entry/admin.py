"""The administration API: a read-only HTTP interface for operators.

It listens on its own address, so that load from callers cannot block
operators. No request changes state: operators make changes by publishing a
configuration. ``/v1/health`` and ``/v1/ready`` need no token, because load
balancers send none; without a token the answer omits the details.
"""

# mypy: allow-untyped-calls
# Most classes of twisted.web have no type annotations.

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
from borageshelf.http_server import listeners
from borageshelf import options
from borageshelf import telemetry as telemetry_module

# An operator's live view polls a few documents every two seconds.
REQUESTS_PER_SECOND: Final = 50
# Limits attempts to guess the token. An operator who uses a wrong token by
# mistake retries slowly and stays below the limit.
WRONG_TOKENS_PER_SECOND: Final = 5

_SCHEME: Final = 'Bearer '
_SERVICE_UNAVAILABLE: Final = 503


class TokenBucket:
    """Rate limiter; the bucket holds the tokens of one second.

    :param tokens_per_second: number of requests admitted per second
    :param clock: monotonic time in seconds
    """

    def __init__(
        self, tokens_per_second: int, clock: abc.Callable[[], float]
    ) -> None:
        self._tokens_per_second = tokens_per_second
        self._clock = clock
        self._tokens = float(tokens_per_second)
        self._refilled_at_s = clock()

    def try_take(self) -> bool:
        """Take a token; return False if the bucket is empty."""
        now_s = self._clock()
        refill = (now_s - self._refilled_at_s) * self._tokens_per_second
        self._tokens = min(
            self._tokens + refill, float(self._tokens_per_second)
        )
        self._refilled_at_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class AdminResource(resource.Resource):
    """Answers the requests to all paths of the API.

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
        self._request_bucket = TokenBucket(REQUESTS_PER_SECOND, clock)
        self._wrong_token_bucket = TokenBucket(WRONG_TOKENS_PER_SECOND, clock)

    def render(self, request: server.Request) -> bytes:
        """Return the JSON answer of a request."""
        try:
            status, document = self._answer(request)
        except errors.BorageshelfError as error:
            status = error.code.http_status
            document = documents.describe_error(error)
        except Exception:
            logging.exception(
                'administration request failed; answering INTERNAL'
            )
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
        if not self._has_valid_token(request):
            self._raise_unauthenticated()
        _check_rate(self._request_bucket)
        _check_method(request)
        make_document = _DOCUMENT_MAKERS.get(path)
        if make_document is None:
            raise errors.BorageshelfError(errors.NOT_FOUND, 'no such path')
        return 200, make_document(self._provider)

    def _answer_probe(
        self, request: server.Request, path: str
    ) -> tuple[int, object]:
        # Probes are not rate-limited: a refusal would cost as much as the
        # answer, and under a flood of requests the load balancer could be
        # refused and remove the entry.
        _check_method(request)
        health = self._provider.describe_health()
        is_unready = path == '/v1/ready' and not health.is_ready
        if not self._has_valid_token(request):
            health = admin_documents.Health(
                '', '', health.state, health.is_ready
            )
        return _SERVICE_UNAVAILABLE if is_unready else 200, health

    def _has_valid_token(self, request: server.Request) -> bool:
        """Tell whether the request carries the valid token.

        Digests are compared, because ``hmac.compare_digest`` takes constant
        time only for values of equal length.
        """
        header = request.getHeader('authorization') or ''
        has_scheme = header[: len(_SCHEME)].lower() == _SCHEME.lower()
        sent_token = header[len(_SCHEME) :].strip() if has_scheme else ''
        return hmac.compare_digest(_digest(sent_token), self._token_digest)

    def _raise_unauthenticated(self) -> None:
        _check_rate(self._wrong_token_bucket)
        raise errors.BorageshelfError(
            errors.UNAUTHENTICATED,
            'the Authorization header has no valid bearer token',
        )


def listen(
    reactor: Any,
    settings: options.EntryOptions,
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
    if settings.admin_certificate_path:
        context = make_tls_context(settings)
        listener = reactor.listenSSL(
            address.port, site, context, interface=address.host
        )
    else:
        listener = reactor.listenTCP(
            address.port, site, interface=address.host
        )
    listeners.bound_buffers(listener)
    return listener


def make_tls_context(settings: options.EntryOptions) -> Any:
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
        raise options.OptionsError(
            [
                options.Fault(
                    'admin-certificate-path, admin-key-path',
                    f'cannot be used: {error}',
                )
            ]
        ) from error
    return factory


def _make_list_document(
    name: str,
    list_items: abc.Callable[[Any], abc.Sequence[Any]],
    provider: Any,
) -> object:
    """Return a list wrapped in an object, so that fields can be added."""
    return {name: list(list_items(provider))}


_DOCUMENT_MAKERS: Final[
    dict[str, abc.Callable[[admin_documents.Provider], object]]
] = {
    '/v1/targets': functools.partial(
        _make_list_document,
        'targets',
        lambda provider: provider.list_targets(),
    ),
    '/v1/drains': functools.partial(
        _make_list_document,
        'drains',
        lambda provider: [
            target for target in provider.list_targets() if target.is_leaving
        ],
    ),
    '/v1/shards': functools.partial(
        _make_list_document, 'shards', lambda provider: provider.list_shards()
    ),
    '/v1/queues': functools.partial(
        _make_list_document, 'queues', lambda provider: provider.list_queues()
    ),
    '/v1/quotas': functools.partial(
        _make_list_document, 'quotas', lambda provider: provider.list_quotas()
    ),
    '/v1/versions': lambda provider: provider.describe_versions(),
}


def _check_method(request: server.Request) -> None:
    if request.method not in (b'GET', b'HEAD'):
        raise errors.BorageshelfError(
            errors.WRONG_METHOD, 'the API is read-only'
        )


def _check_rate(bucket: TokenBucket) -> None:
    if not bucket.try_take():
        raise errors.BorageshelfError(
            errors.OVERLOADED, 'too many requests per second'
        )


def _digest(token: str) -> bytes:
    return hashlib.sha256(token.encode('utf-8', 'surrogateescape')).digest()
