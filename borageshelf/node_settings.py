"""Settings file of the processes of the workflow scheduler.

The file is a JSON document. An invalid file is reported with all its faults;
if that happens at a reload, the settings in force stay in force.
"""

from collections import abc
import dataclasses
import pathlib
from typing import Final

from borageshelf.decisions import evacuation
from borageshelf import decoding
from borageshelf import settings

MAXIMUM_PORT: Final = 65_535


class SettingsError(Exception):
    """A settings file is invalid.

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
    :param inner_advertised_address: address at which other processes reach
        the inner protocol, if it differs from the listen address; entries
        only
    :param registration_address: listen address for the announcements of the
        executor on the agent's VM; agents only
    :param executor_address: address of the executor on the agent's VM; agents
        only
    :param service: service of that executor; agents only
    :param seeds: inner addresses of some entries
    :param metrics_port: port of the metrics page on ``host``
    :param processor_share: share of one processor that the process may use
    :param processor_speed: speed of that processor, as a multiple of the
        smallest processor of the deployment
    :param executor_lease_limit_ms: longest lease that an executor accepts
    :param evacuation_limit_ms: bound from the evacuation of a data centre to
        the last start there; 0 if the deployment uses no evacuations
    :param grace_s: time between the request to stop and the kill
    :param status_retention_s: how long the final state of a workflow can be
        queried after its end
    :param remote_factor: how many times as long a task takes on another rack
        than that of its data or its group; nothing waits if it is 1
    :param unfinished_requests_limit_bytes: memory for what callers have sent
        of requests and have not taken of answers
    :param connections_limit: connections that the process accepts; less if
        its limit of descriptors requires it
    :param headers_limit_ms: time from the first byte of a request to the end
        of its headers
    :param body_stall_limit_ms: time that a body may be without progress
    :param answer_stall_limit_ms: time in which a caller may take nothing of
        its answer
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
    inventory_address: str = ''
    seeds: tuple[str, ...] = ()
    metrics_port: int = 9464
    processor_share: float = 1.0
    processor_speed: float = 1.0
    executor_lease_limit_ms: int = 6_000
    evacuation_limit_ms: int = 0
    grace_s: float = 6.0
    status_retention_s: float = 120.0
    remote_factor: float = 1.0
    unfinished_requests_limit_bytes: int = 41_943_040
    connections_limit: int = 1_500
    headers_limit_ms: int = 15_000
    body_stall_limit_ms: int = 15_000
    answer_stall_limit_ms: int = 15_000

    @property
    def processor_millicores(self) -> int:
        """Processors that the process may use."""
        return round(self.processor_share * self.processor_speed * 1000)


# Smallest and largest value of each number.
_RANGES: Final[dict[str, tuple[float, float]]] = {
    'metrics_port': (1, MAXIMUM_PORT),
    'processor_share': (0.01, 1_024),
    'processor_speed': (0.01, 1_024),
    'executor_lease_limit_ms': (1_000, 3_600_000),
    'grace_s': (0.5, 600),
    'status_retention_s': (1, 86_400),
    'remote_factor': (1, 100),
    'unfinished_requests_limit_bytes': (1_000_000, 16_000_000_000),
    'connections_limit': (16, 1_000_000),
    'headers_limit_ms': (100, 600_000),
    'body_stall_limit_ms': (100, 600_000),
    'answer_stall_limit_ms': (100, 600_000),
}
# Checked unless they are 0, which switches their part off.
_OPTIONAL_RANGES: Final[dict[str, tuple[float, float]]] = {
    'evacuation_limit_ms': (evacuation.MIN_EVACUATION_LIMIT_MS, 600_000),
}
_ADDRESS_FIELDS: Final = (
    'store_address',
    'caller_address',
    'ready_address',
    'inner_address',
    'inner_advertised_address',
    'registration_address',
    'executor_address',
    'inventory_address',
)
_ENTRY_FIELDS: Final = ('caller_address', 'ready_address', 'inner_address')
_AGENT_FIELDS: Final = ('registration_address', 'executor_address', 'service')


def read_file(path: str) -> NodeSettings:
    """Return the settings of a file.

    :raises SettingsError: if the file is unreadable or invalid
    """
    try:
        text = pathlib.Path(path).read_bytes()
    except OSError as error:
        raise SettingsError([f'{path}: {error.strerror}']) from error
    return parse(text)


def parse(text: bytes) -> NodeSettings:
    """Return the settings of a JSON document.

    :raises SettingsError: with all faults
    """
    try:
        loaded = decoding.decode_json(text, NodeSettings)
    except decoding.Unreadable as error:
        raise SettingsError([str(error)]) from error
    faults = list(_find_faults(loaded))
    if faults:
        raise SettingsError(faults)
    return loaded


def find_missing_settings(
    loaded: NodeSettings, is_entry: bool
) -> abc.Sequence[str]:
    """Return a fault for each setting that a role needs and the file lacks.

    :param is_entry: whether the process is an entry, otherwise an agent
    """
    required = _ENTRY_FIELDS if is_entry else _AGENT_FIELDS
    return [
        f'{name}: missing' for name in required if not getattr(loaded, name)
    ]


def _find_faults(loaded: NodeSettings) -> abc.Iterator[str]:
    for name in ('node_id', 'data_centre', 'host'):
        if not getattr(loaded, name):
            yield f'{name}: empty'
    for name in _ADDRESS_FIELDS:
        value = getattr(loaded, name)
        if not value:
            continue
        try:
            settings.parse_address(value)
        except ValueError as error:
            yield f'{name}: {error}'
    if not loaded.store_address:
        yield 'store_address: missing'
    for seed in loaded.seeds:
        try:
            settings.parse_address(seed)
        except ValueError as error:
            yield f'seeds: {error}'
    for name, (minimum, maximum) in _RANGES.items():
        value = getattr(loaded, name)
        if not minimum <= value <= maximum:
            yield f'{name}: must be from {minimum} to {maximum}, not {value}'
    for name, (minimum, maximum) in _OPTIONAL_RANGES.items():
        value = getattr(loaded, name)
        if value and not minimum <= value <= maximum:
            yield (
                f'{name}: must be 0 or from {minimum} to {maximum},'
                f' not {value}'
            )
