"""Parsers of the values of settings.

A parser converts text to a value. It raises ValueError with a message that
follows the name of the setting, such as "must be a whole number".
"""

from collections import abc
import dataclasses
import ipaddress
import re
from typing import Final
import urllib.parse

# A shorter token could be guessed at the admitted rate of requests.
TOKEN_MINIMUM_CHARACTERS: Final = 16


_NAME: Final = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,62}')


@dataclasses.dataclass(frozen=True)
class Address:
    """An IP address and a port.

    :param host: IPv4 or IPv6 address, without brackets
    """

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address as it is written in settings."""
        host = f'[{self.host}]' if ':' in self.host else self.host
        return f'{host}:{self.port}'


def parse_name(text: str) -> str:
    """Return an identifier that is valid in keys and metric names."""
    if _NAME.fullmatch(text) is None:
        raise ValueError(
            'must be 1 to 63 letters, digits, ".", "_" or "-", starting '
            'with a letter or digit'
        )
    return text


def parse_address(text: str) -> Address:
    """Return the address that ``ADDRESS:PORT`` denotes."""
    host, separator, port = text.rpartition(':')
    if not separator:
        raise ValueError('must have the form ADDRESS:PORT')
    if host.startswith('[') and host.endswith(']'):
        host = host[1:-1]
    elif ':' in host:
        raise ValueError('an IPv6 address needs brackets')
    try:
        ipaddress.ip_address(host)
    except ValueError:
        # Processes connect to one another by IP address, because a host
        # name would make their start depend on a name server.
        raise ValueError(f'"{host}" is not an IP address') from None
    return Address(host, parse_integer(1, 65_535, 'the port')(port))


def parse_reachable_address(text: str) -> Address:
    """Return an address to which other processes can connect."""
    address = parse_address(text)
    if ipaddress.ip_address(address.host).is_unspecified:
        raise ValueError(
            'must not be a wildcard, because other processes connect to it'
        )
    return address


def parse_addresses(text: str) -> tuple[Address, ...]:
    """Return the addresses of a comma-separated list."""
    parts = [part.strip() for part in text.split(',')]
    addresses = tuple(map(parse_reachable_address, parts))
    if len(set(addresses)) != len(addresses):
        raise ValueError('contains an address twice')
    return addresses


def parse_url(text: str) -> str:
    """Return an HTTP URL without a trailing slash."""
    parts = urllib.parse.urlsplit(text)
    if parts.scheme not in ('http', 'https') or not parts.hostname:
        raise ValueError('must be an http:// or https:// URL')
    try:
        _ = parts.port
    except ValueError:
        raise ValueError('has an invalid port') from None
    if parts.query or parts.fragment or parts.username:
        raise ValueError('must not have a query, a fragment or a user')
    return text.rstrip('/')


def parse_urls(text: str) -> tuple[str, ...]:
    """Return the URLs of a comma-separated list."""
    return tuple(parse_url(part.strip()) for part in text.split(','))


def parse_integer(
    minimum: int, maximum: int, subject: str = ''
) -> abc.Callable[[str], int]:
    """Return a parser of a decimal integer within bounds."""
    prefix = f'{subject} ' if subject else ''

    def parse(text: str) -> int:
        # int() also accepts underscores, signs and digits of other scripts.
        if not (text.isascii() and text.isdigit() and len(text) <= 18):
            raise ValueError(f'{prefix}must be a whole number')
        if not minimum <= int(text) <= maximum:
            raise ValueError(
                f'{prefix}must be from {minimum} to {maximum}, not {text}'
            )
        return int(text)

    return parse


def parse_token(text: str) -> str:
    """Return a token that can be sent in a header."""
    if not (text.isascii() and text.isprintable() and ' ' not in text):
        raise ValueError('must be printable ASCII without spaces')
    if len(text) < TOKEN_MINIMUM_CHARACTERS:
        raise ValueError(
            f'must have at least {TOKEN_MINIMUM_CHARACTERS} characters'
        )
    return text


def parse_path(text: str) -> str:
    """Return a path of a file."""
    if '\0' in text:
        raise ValueError('must not contain a null character')
    return text
