"""Settings file of the processes of the workflow scheduler.

The file is a JSON document. A file that can't be used is reported with all
its faults; at a reload the settings in force stay then.
"""

from collections import abc
import dataclasses
import pathlib
from typing import Final

import msgspec

from borageshelf import settings

CONNECTION_LIMIT: Final = 65_535


class SettingsError(Exception):
    """A settings file can't be used.

    :param faults: all faults, in the order of the fields
    """

    def __init__(self, faults: abc.Sequence[str]) -> None:
        super().__init__('; '.join(faults))
        self.faults = tuple(faults)


@dataclasses.dataclass(frozen=True)
class NodeSettings:
    """Settings of one process.

    Addresses have the form ADDRESS:PORT.

    :param caller_address: listen address for callers; entries only
    :param ready_address: listen address of the readiness check; entries only
    :param inner_address: listen address of the inner protocol; entries only
    :param inner_advertised_address: where other processes reach the inner
        protocol, if that differs from the listen address; entries only
    :param registration_address: where the executor beside an agent announces
        itself; agents only
    :param executor_address: the executor beside an agent; agents only
    :param service: service of that executor; agents only
    :param seeds: inner addresses of some entries
    :param metrics_port: port of the metrics page on ``host``
    :param executor_lease_limit_ms: longest lease that an executor takes
    :param grace_s: time between the request to stop and the kill
    :param status_retention_s: how long the end of a workflow is shown
    """

    node_id: str
    data_centre: str
    host: str
    store_address: str
    caller_address: str = ''
    ready_address: str = ''
    inner_address: str = ''
    inner_advertised_address: str = ''
    registration_address: str = ''
    executor_address: str = ''
    service: str = ''
    seeds: tuple[str, ...] = ()
    metrics_port: int = 9464
    executor_lease_limit_ms: int = 6_000
    grace_s: float = 6.0
    status_retention_s: float = 120.0


# Bounds of the numbers.
_RANGES: Final[dict[str, tuple[float, float]]] = {
    'metrics_port': (1, CONNECTION_LIMIT),
    'executor_lease_limit_ms': (1_000, 3_600_000),
    'grace_s': (0.5, 600),
    'status_retention_s': (1, 86_400),
}
_ADDRESSES: Final = (
    'store_address',
    'caller_address',
    'ready_address',
    'inner_address',
    'inner_advertised_address',
    'registration_address',
    'executor_address',
)
_ENTRY_FIELDS: Final = ('caller_address', 'ready_address', 'inner_address')
_AGENT_FIELDS: Final = ('registration_address', 'executor_address', 'service')


def read_file(path: str) -> NodeSettings:
    """Return the settings of a file.

    :raises SettingsError: with all faults
    """
    try:
        text = pathlib.Path(path).read_bytes()
    except OSError as error:
        raise SettingsError([f'{path}: {error.strerror}']) from error
    return parse(text)


def parse(text: bytes) -> NodeSettings:
    """Return the settings of a document.

    :raises SettingsError: with all faults
    """
    try:
        found = msgspec.json.decode(text, type=NodeSettings)
    except msgspec.MsgspecError as error:
        raise SettingsError([str(error)]) from error
    faults = list(_find_faults(found))
    if faults:
        raise SettingsError(faults)
    return found


def find_missing_settings(
    found: NodeSettings, is_entry: bool
) -> abc.Sequence[str]:
    """Return the settings that a role needs and the file lacks."""
    needed = _ENTRY_FIELDS if is_entry else _AGENT_FIELDS
    return [f'{name}: missing' for name in needed if not getattr(found, name)]


def _find_faults(found: NodeSettings) -> abc.Iterator[str]:
    for name in ('node_id', 'data_centre', 'host'):
        if not getattr(found, name):
            yield f'{name}: empty'
    for name in _ADDRESSES:
        value = getattr(found, name)
        if not value:
            continue
        try:
            settings.parse_address(value)
        except ValueError as error:
            yield f'{name}: {error}'
    if not found.store_address:
        yield 'store_address: missing'
    for seed in found.seeds:
        try:
            settings.parse_address(seed)
        except ValueError as error:
            yield f'seeds: {error}'
    for name, (minimum, maximum) in _RANGES.items():
        value = getattr(found, name)
        if not minimum <= value <= maximum:
            yield f'{name}: must be from {minimum} to {maximum}, not {value}'
