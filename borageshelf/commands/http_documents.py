"""Blocking HTTP client of the commands, for JSON documents.

Commands send one request at a time, so the standard library's client
suffices. A request that may have reached the server but got no complete
answer is reported as unknown, never as "not run".
"""

import dataclasses
import http.client
import json
import ssl
from typing import Any, Final
import urllib.parse

from borageshelf import decoding
from borageshelf import errors

REQUEST_TIMEOUT_S: Final = 15.0
# The largest answer is the list of all targets: about 500 bytes for each of
# 460 targets.
ANSWER_LIMIT_BYTES: Final = 4_000_000


@dataclasses.dataclass(frozen=True)
class Answer:
    """HTTP status and decoded JSON document of an answer."""

    status: int
    document: Any


class Client:
    """Client of one server.

    :param token: bearer token; '' to send none
    :param ca_path: file of certificates to trust; '' for the system's
    """

    def __init__(
        self, base_url: str, token: str = '', ca_path: str = ''
    ) -> None:
        self._url = urllib.parse.urlsplit(base_url)
        self._token = token
        self._ca_path = ca_path

    def send(
        self,
        method: str,
        path: str,
        document: object = None,
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> Answer:
        """Send one request and return its answer.

        :raises BorageshelfError: ``NO_TARGET`` if the server cannot be
            reached, ``OUTCOME_UNKNOWN`` if no complete answer arrived
        """
        connection = self._make_connection(timeout_s)
        headers = {'Connection': 'close'}
        if self._token:
            headers['Authorization'] = f'Bearer {self._token}'
        body = None
        if document is not None:
            body = json.dumps(document).encode()
            headers['Content-Type'] = 'application/json'
        try:
            connection.connect()
        except OSError as error:
            raise errors.BorageshelfError(
                errors.NO_TARGET, f'{self._url.netloc}: {error}'
            ) from error
        try:
            target = self._url.path + path
            connection.request(method, target, body, headers)
            response = connection.getresponse()
            data = response.read(ANSWER_LIMIT_BYTES)
            return Answer(response.status, decoding.decode_json(data, object))
        except (
            OSError,
            http.client.HTTPException,
            decoding.Unreadable,
        ) as error:
            raise errors.BorageshelfError(
                errors.OUTCOME_UNKNOWN,
                f'{self._url.netloc} sent no complete answer: {error!r}',
            ) from error
        finally:
            connection.close()

    def _make_connection(self, timeout_s: float) -> http.client.HTTPConnection:
        host = self._url.hostname or ''
        if self._url.scheme != 'https':
            return http.client.HTTPConnection(
                host, self._url.port, timeout=timeout_s
            )
        context = ssl.create_default_context(cafile=self._ca_path or None)
        return http.client.HTTPSConnection(
            host, self._url.port, timeout=timeout_s, context=context
        )


def check_answer(answer: Answer) -> Any:
    """Return the document of a successful answer.

    :raises BorageshelfError: with the code that the server sent, or
        ``OUTCOME_UNKNOWN`` if it sent none
    """
    document = answer.document
    if answer.status < 400:
        return document
    code = document.get('code') if isinstance(document, dict) else None
    if not isinstance(code, int):
        raise errors.BorageshelfError(
            errors.OUTCOME_UNKNOWN, f'HTTP status {answer.status}'
        )
    retry_deadline_ms = document.get('retry_deadline_ms')
    raise errors.BorageshelfError(
        errors.find(code),
        str(document.get('detail', '')),
        retry_deadline_ms if isinstance(retry_deadline_ms, int) else 0,
    )
