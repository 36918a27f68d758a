"""Which processes have confirmed a configuration version.

Every entry reports its own version, the other entries that it knows and the
agents attached to it; the union over all asked entries covers the fleet.
"""

from collections import abc
import dataclasses
import time
from typing import Any, Final

from borageshelf.commands import http_documents
from borageshelf import errors

POLL_PAUSE_S: Final = 0.5


@dataclasses.dataclass(frozen=True)
class Confirmations:
    """The state of one version.

    :param confirmed: number of processes that have it in force
    :param missing: processes without it, such as ``agent vm-3 (version 4)``
    """

    confirmed: int
    missing: tuple[str, ...]


def wait_for_version(
    clients: abc.Mapping[str, http_documents.Client],
    version: int,
    limit_ms: int,
) -> Confirmations:
    """Ask until every process has the version or the time is over.

    :param clients: clients of the administration APIs, by URL
    """
    end = time.monotonic() + limit_ms / 1000
    while True:
        state = ask_versions(clients, version)
        if not state.missing or time.monotonic() >= end:
            return state
        time.sleep(POLL_PAUSE_S)


def ask_versions(
    clients: abc.Mapping[str, http_documents.Client], version: int
) -> Confirmations:
    """Ask every administration API once."""
    found: dict[tuple[str, str], int] = {}
    missing = []
    for url, client in clients.items():
        try:
            answer = client.send('GET', '/v1/versions')
            document = http_documents.check_answer(answer)
            _merge(document, found)
        except errors.BorageshelfError as error:
            missing.append(f'{url} ({error.code.name}: {error.detail})')
        except (KeyError, TypeError, ValueError) as error:
            missing.append(f'{url} (malformed answer: {error!r})')
    missing.extend(
        f'{kind} {process_id} (version {known})'
        for (kind, process_id), known in sorted(found.items())
        if known < version
    )
    confirmed = sum(known >= version for known in found.values())
    return Confirmations(confirmed, tuple(missing))


def _merge(document: Any, found: dict[tuple[str, str], int]) -> None:
    """Add the versions of one answer; the highest report counts."""
    reports = [
        ('entry', str(document['entry_id']), int(document['version'])),
        *(
            (str(item['kind']), str(item['process_id']), int(item['version']))
            for item in document['processes']
        ),
    ]
    for kind, process_id, version in reports:
        key = (kind, process_id)
        found[key] = max(found.get(key, 0), version)
