"""Finds out which processes have confirmed a configuration version.

Every entry reports its own version and those of the other entries that it
knows and of its attached agents. The union of the reports of all entries
covers the fleet.
"""

from collections import abc
import dataclasses
import time
from typing import Any, Final

from borageshelf.commands import http_documents
from borageshelf import errors

POLL_INTERVAL_S: Final = 0.5


@dataclasses.dataclass(frozen=True)
class Confirmations:
    """The confirmations of one version.

    :param confirmed: number of processes that have it in force
    :param missing: processes without it, such as ``agent vm-3 (version 4)``,
        and entries whose report could not be read
    """

    confirmed: int
    missing: tuple[str, ...]


def wait_for_version(
    clients: abc.Mapping[str, http_documents.Client],
    version: int,
    limit_ms: int,
) -> Confirmations:
    """Poll until every process has the version or the time limit passes.

    :param clients: clients of the administration APIs, by URL
    """
    deadline_s = time.monotonic() + limit_ms / 1000
    while True:
        state = read_confirmations(clients, version)
        if not state.missing or time.monotonic() >= deadline_s:
            return state
        time.sleep(POLL_INTERVAL_S)


def read_confirmations(
    clients: abc.Mapping[str, http_documents.Client], version: int
) -> Confirmations:
    """Read the reports of all administration APIs once."""
    versions: dict[tuple[str, str], int] = {}
    missing = []
    for url, client in clients.items():
        try:
            answer = client.send('GET', '/v1/versions')
            document = http_documents.check_answer(answer)
            _merge_versions(document, versions)
        except errors.BorageshelfError as error:
            missing.append(f'{url} ({error.code.name}: {error.detail})')
        except (KeyError, TypeError, ValueError) as error:
            missing.append(f'{url} (malformed answer: {error!r})')
    missing.extend(
        f'{kind} {process_id} (version {known})'
        for (kind, process_id), known in sorted(versions.items())
        if known < version
    )
    confirmed = sum(known >= version for known in versions.values())
    return Confirmations(confirmed, tuple(missing))


def _merge_versions(
    document: Any, versions: dict[tuple[str, str], int]
) -> None:
    """Merge the versions of one report; the highest of a process counts."""
    reports = [
        ('entry', str(document['entry_id']), int(document['version'])),
        *(
            (str(item['kind']), str(item['process_id']), int(item['version']))
            for item in document['processes']
        ),
    ]
    for kind, process_id, version in reports:
        key = (kind, process_id)
        versions[key] = max(versions.get(key, 0), version)
