"""Hostile and broken clients of the administration API."""

import asyncio
from collections import abc
import contextlib
import datetime
import ipaddress
import json
import pathlib
import ssl
import time
from typing import Any
import urllib.parse

from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography import x509
import pytest

from borageshelf.commands import http_documents
from borageshelf.entry import admin
from borageshelf.entry import admin_channel
from borageshelf.entry import admin_documents
from borageshelf import errors
from borageshelf import options
from borageshelf import telemetry
from standins import http_server
from tests import loopback

TOKEN = 'correct-horse-battery'
AUTHORIZED = f'GET /v1/versions HTTP/1.1\r\nAuthorization: Bearer {TOKEN}\r\n'


class FakeProvider:
    """Provider with fixed documents that can be made to fail."""

    is_ready = True
    fails = False

    def describe_health(self) -> admin_documents.Health:
        state = 'serving' if self.is_ready else 'starting'
        return admin_documents.Health(
            'entry-1', 'north', state, self.is_ready, reasons=('secret',)
        )

    def list_targets(self) -> abc.Sequence[admin_documents.Target]:
        return [admin_documents.Target('vm-1', 'north')]

    def list_shards(self) -> abc.Sequence[admin_documents.Shard]:
        return []

    def list_queues(self) -> abc.Sequence[admin_documents.Queue]:
        return []

    def list_quotas(self) -> abc.Sequence[admin_documents.Quota]:
        return []

    def describe_versions(self) -> admin_documents.Versions:
        if self.fails:
            raise RuntimeError('internal path /secret')
        return admin_documents.Versions('entry-1', 7)


class Server:
    """A listening administration API, and a client for raw requests."""

    def __init__(
        self,
        provider: FakeProvider,
        site: admin_channel.AdminSite,
        base_url: str,
    ) -> None:
        self.provider = provider
        self.site = site
        self.port = urllib.parse.urlsplit(base_url).port

    async def open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection('127.0.0.1', self.port)

    async def send(self, text: str | bytes, half_close: bool = False) -> bytes:
        """Send bytes and return all that the server sends until it closes."""
        reader, writer = await self.open()
        writer.write(text.encode() if isinstance(text, str) else text)
        if half_close:
            writer.write_eof()
        answer = await asyncio.wait_for(reader.read(), 20)
        writer.close()
        return answer

    async def ask(self, path: str, token: str = TOKEN, more: str = '') -> Any:
        """Return status and document of a request."""
        answer = await self.send(
            f'GET {path} HTTP/1.1\r\nAuthorization: Bearer {token}\r\n'
            f'{more}Connection: close\r\n\r\n'
        )
        head, _separator, body = answer.partition(b'\r\n\r\n')
        return int(head.split()[1]), json.loads(body)


@contextlib.asynccontextmanager
async def serve(
    timeout_s: float = 10.0, clock: abc.Callable[[], float] = time.monotonic
) -> abc.AsyncIterator[Server]:
    provider = FakeProvider()
    sender = telemetry.Telemetry('entry', 'entry-1', None)
    root = admin.AdminResource(provider, TOKEN, sender, clock)
    reactor = http_server.find_reactor()
    site = admin_channel.AdminSite(root, reactor, timeout_s)
    async with loopback.serve(site) as base_url:
        yield Server(provider, site, base_url)
        # A connection that ended must not stay counted.
        await loopback.wait_for(lambda: site.connection_count == 0)


def test_documents_need_the_token() -> None:
    """Guards against documents that are served without a valid token.

    The token is absent, wrong, too short, too long or not ASCII.
    """

    async def check() -> None:
        async with serve() as server:
            for path in ('targets', 'shards', 'queues', 'quotas', 'versions'):
                assert (await server.ask(f'/v1/{path}'))[0] == 200
            for token in ('', 'wrong', TOKEN[:-1], TOKEN + 'x', 'ü'):
                status, document = await server.ask('/v1/versions', token)
                assert (status, document['code']) == (401, 106)
            # Without the token, unknown and known paths get the same answer.
            async with serve() as other:
                assert (await other.ask('/v1/nothing', 'wrong'))[0] == 401
                assert (await other.ask('/v1/nothing'))[0] == 404

    loopback.run(check())


def test_probes_need_no_token_and_hide_details() -> None:
    """Guards against probes that fail or reveal details without a token."""

    async def check() -> None:
        async with serve() as server:
            status, document = await server.ask('/v1/ready', '')
            assert (status, document['entry_id']) == (200, '')
            assert document['reasons'] == []
            server.provider.is_ready = False
            assert (await server.ask('/v1/ready', ''))[0] == 503
            status, document = await server.ask('/v1/health')
            assert (status, document['reasons']) == (200, ['secret'])

    loopback.run(check())


def test_provider_failure_reveals_no_details() -> None:
    """Guards against the text of an exception in an error answer."""

    async def check() -> None:
        async with serve() as server:
            server.provider.fails = True
            status, document = await server.ask('/v1/versions')
            assert (status, document['code']) == (500, 999)
            assert 'secret' not in json.dumps(document)

    loopback.run(check())


def test_token_guesses_do_not_block_operators() -> None:
    """Guards against a rate limit that guesses and operators share."""

    async def check() -> None:
        # While the clock stands still, the token buckets are not refilled.
        async with serve(clock=lambda: 0.0) as server:
            statuses = [
                (await server.ask('/v1/versions', f'guess-{number}'))[0]
                for number in range(30)
            ]
            admitted = admin.WRONG_TOKENS_PER_SECOND
            assert statuses == [401] * admitted + [429] * (30 - admitted)
            assert (await server.ask('/v1/versions'))[0] == 200

    loopback.run(check())


@pytest.mark.parametrize(
    ('request_bytes', 'expected'),
    [
        (b'\x16\x03\x01\x02\x00\x01\x00\x01\xfc\r\n\r\n', b' 400 '),
        (b'GET\r\n\r\n', b' 400 '),
        (b'GET /v1/versions HTTP/1.1\r\nbroken header\r\n\r\n', b' 400 '),
        (AUTHORIZED.encode() + b'Content-Length: -1\r\n\r\n', b' 400 '),
        (AUTHORIZED.encode() + b'X: a\x00b\r\n\r\n', b' 400 '),
        (AUTHORIZED.encode() + b'X: ' + b'a' * 9000 + b'\r\n\r\n', b' 400 '),
        (AUTHORIZED.encode() + b'X: a\r\n' * 100 + b'\r\n', b' 400 '),
        (AUTHORIZED.encode() + b'Content-Length: 9000000\r\n\r\n', b' 413 '),
        (
            AUTHORIZED.encode()
            + b'Content-Length: 9000000\r\n\r\n'
            + b'a' * 900_000,
            b' 413 ',
        ),
        (
            AUTHORIZED.encode() + b'Transfer-Encoding: chunked\r\n\r\n5\r\n',
            b' 413 ',
        ),
        (
            AUTHORIZED.replace('GET', 'DELETE').encode()
            + b'Connection: close\r\n\r\n',
            b' 405 ',
        ),
    ],
)
def test_malformed_and_oversized_requests(
    request_bytes: bytes, expected: bytes
) -> None:
    """Guards against a crash, a hang or a stored body after bad input."""

    async def check() -> None:
        async with serve() as server:
            answer = await server.send(request_bytes)
            assert expected in answer.partition(b'\r\n')[0] + b' '
            assert (await server.ask('/v1/versions'))[0] == 200

    loopback.run(check())


def test_slow_and_silent_clients_lose_their_connection() -> None:
    """Guards against connections held by slow or silent clients.

    Each byte that a client sends restarts an idle timeout.
    """

    async def send_slowly(server: Server, text: str) -> float:
        loop = asyncio.get_running_loop()
        start = loop.time()
        reader, writer = await server.open()
        closed = asyncio.ensure_future(reader.read())
        for character in text * 100:
            if closed.done():
                break
            writer.write(character.encode())
            await asyncio.sleep(0.05)
        with contextlib.suppress(ConnectionError):
            await closed
        writer.close()
        return loop.time() - start

    async def check() -> None:
        async with serve(0.5) as server:
            elapsed = await asyncio.gather(
                send_slowly(server, AUTHORIZED),
                send_slowly(server, ''),
                send_slowly(server, 'Content-Length: 10\r\n\r\n'),
            )
            # The time limit of a request plus a margin for a busy machine.
            assert max(elapsed) < 5
            assert (await server.ask('/v1/versions'))[0] == 200

    loopback.run(check())


def test_half_closed_client_gets_its_answer() -> None:
    """Guards against a lost answer when a client half-closes.

    The client closes its sending side before it has read the answer.
    """

    async def check() -> None:
        async with serve() as server:
            text = AUTHORIZED + '\r\n'
            answer = await server.send(text, half_close=True)
            assert answer.endswith(b'}') and b'200 OK' in answer
            # An incomplete request is not answered.
            assert await server.send(AUTHORIZED, half_close=True) == b''

    loopback.run(check())


def test_connections_are_bounded() -> None:
    """Guards against idle connections that use up file descriptors."""

    async def check() -> None:
        async with serve(5) as server:
            opened = [
                await server.open()
                for _ in range(admin_channel.MAX_CONNECTIONS)
            ]
            assert await server.send('') == b''
            for _reader, writer in opened:
                writer.close()
            await loopback.wait_for(lambda: server.site.connection_count == 0)
            assert (await server.ask('/v1/versions'))[0] == 200

    loopback.run(check())


def test_tls_uses_the_listeners_certificate(tmp_path: pathlib.Path) -> None:
    """Guards against a listener that falls back to plain HTTP."""
    certificate, key = tmp_path / 'cert.pem', tmp_path / 'key.pem'
    write_certificate(certificate, key)

    async def check() -> None:
        settings = make_settings(str(certificate), str(key))
        reactor = http_server.find_reactor()
        sender = telemetry.Telemetry('entry', 'entry-1', None)
        listener = admin.listen(reactor, settings, FakeProvider(), sender)
        port_number = http_server.find_port(listener)
        context = ssl.create_default_context(cafile=str(certificate))
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', port_number, ssl=context, server_hostname='127.0.0.1'
        )
        writer.write((AUTHORIZED + 'Connection: close\r\n\r\n').encode())
        assert b'200 OK' in await reader.read()
        writer.close()
        client = http_documents.Client(
            f'https://127.0.0.1:{port_number}', TOKEN, str(certificate)
        )
        answer = await asyncio.to_thread(client.send, 'GET', '/v1/versions')
        assert (answer.status, answer.document['version']) == (200, 7)
        client_without_ca = http_documents.Client(
            f'https://127.0.0.1:{port_number}'
        )
        with pytest.raises(errors.BorageshelfError, match='NO_TARGET'):
            await asyncio.to_thread(
                client_without_ca.send, 'GET', '/v1/health'
            )
        await listener.stopListening().asFuture(asyncio.get_running_loop())

    loopback.run(check())


def test_invalid_certificate_names_the_setting(tmp_path: pathlib.Path) -> None:
    """Guards against a traceback instead of the name of the setting."""
    path = tmp_path / 'cert.pem'
    path.write_text('no certificate')
    with pytest.raises(options.OptionsError, match='admin-certificate-path'):
        admin.make_tls_context(make_settings(str(path), str(path)))


def make_settings(certificate: str, key: str) -> options.EntryOptions:
    """Return entry options with an administration port chosen at start."""
    free = options.Address('127.0.0.1', 0)
    return options.EntryOptions(
        data_centre='north',
        entry_id='entry-1',
        region='west',
        caller_address=free,
        inner_address=free,
        admin_address=free,
        admin_token=TOKEN,
        admin_certificate_path=certificate,
        admin_key_path=key,
        store_url='http://127.0.0.1:1',
    )


def write_certificate(path: pathlib.Path, key_path: pathlib.Path) -> None:
    """Write a self-signed certificate for the loopback address."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, 'test')])
    address = x509.IPAddress(ipaddress.ip_address('127.0.0.1'))
    now = datetime.datetime.now(datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(x509.SubjectAlternativeName([address]), False)
        .sign(key, hashes.SHA256())
    )
    path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    key_path.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
