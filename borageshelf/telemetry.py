"""Metrics over statsd and log lines about changes of state.

Every metric is registered here with its kind, unit and description. A test
compares ``docs/metrics.md`` with the registry. Sending never blocks and never
raises: a datagram that cannot be sent immediately is dropped.
"""

import dataclasses
import enum
import re
from typing import Any, Final

from absl import flags
from absl import logging
import statsd

from borageshelf import options

_UNSAFE_CHARACTER: Final = re.compile(r'[^A-Za-z0-9_-]')


class Kind(enum.Enum):
    """How a statsd receiver aggregates a metric."""

    COUNTER = 'counter'
    TIMER = 'timer'
    GAUGE = 'gauge'


@dataclasses.dataclass(frozen=True)
class Metric:
    """One registered metric.

    :param label: meaning of the last part of the name, or ''
    """

    name: str
    kind: Kind
    unit: str
    description: str
    label: str = ''


METRICS: Final[dict[str, Metric]] = {}


def register(
    name: str, kind: Kind, unit: str, description: str, label: str = ''
) -> Metric:
    """Register a metric.

    :raises ValueError: if the name is already registered
    """
    if name in METRICS:
        raise ValueError(f'metric {name} is registered twice')
    metric = Metric(name, kind, unit, description, label)
    METRICS[name] = metric
    return metric


CALLS_RECEIVED = register(
    'calls.received', Kind.COUNTER, 'calls', 'Calls received.', 'service'
)
CALLS_ENDED = register(
    'calls.ended', Kind.COUNTER, 'calls', 'Calls ended.', 'result code'
)
CALL_LATENCY = register(
    'calls.latency',
    Kind.TIMER,
    'ms',
    'Time from the receipt of a call to the end of its answer.',
    'service',
)
CALL_QUEUE_WAIT = register(
    'calls.queue_wait',
    Kind.TIMER,
    'ms',
    'Time that an admitted call waited for a slot.',
    'service',
)
CALLS_RETRIED = register(
    'calls.retried', Kind.COUNTER, 'calls', 'Second tries of calls.', 'service'
)
CALLS_HEDGED = register(
    'calls.hedged', Kind.COUNTER, 'calls', 'Hedged calls.', 'service'
)
EXECUTORS_EJECTED = register(
    'executors.ejected', Kind.COUNTER, 'executors', 'Ejections of executors.'
)
TASKS_STARTED = register(
    'tasks.started', Kind.COUNTER, 'tasks', 'Attempts started.', 'family'
)
TASKS_EVICTED = register(
    'tasks.evicted', Kind.COUNTER, 'tasks', 'Evictions.', 'family'
)
TASKS_THROTTLED = register(
    'tasks.throttled', Kind.COUNTER, 'tasks', 'Throttle requests.', 'family'
)
SHARDS_OWNED = register(
    'shards.owned', Kind.GAUGE, 'shards', 'Shards that this entry owns.'
)
SHARD_TAKEOVERS = register(
    'shards.takeovers', Kind.COUNTER, 'shards', 'Shards taken over.'
)
STORE_ERRORS = register(
    'store.errors',
    Kind.COUNTER,
    'calls',
    'Failed calls to the store.',
    'result code',
)
CONFIG_VERSION = register(
    'config.version', Kind.GAUGE, 'version', 'Configuration in force.'
)
CONFIG_DELAY = register(
    'config.delay',
    Kind.TIMER,
    'ms',
    'Time from a publication to its effect in this process.',
)
CONFIG_WATCH_ERRORS = register(
    'config.watch_errors',
    Kind.COUNTER,
    'watches',
    'Failed watches of the configuration root.',
)
TARGETS_ATTACHED = register(
    'targets.attached', Kind.GAUGE, 'targets', 'Streams from agents.'
)
TARGETS_QUARANTINED = register(
    'targets.quarantined', Kind.COUNTER, 'targets', 'Quarantined targets.'
)
ADMIN_REQUESTS = register(
    'admin.requests',
    Kind.COUNTER,
    'requests',
    'Requests to the administration API.',
    'HTTP status',
)
REQUESTS_CUT = register(
    'requests.cut',
    Kind.COUNTER,
    'requests',
    'Requests refused and connections closed at a limit.',
    'cause',
)
REQUEST_MEMORY = register(
    'requests.memory',
    Kind.GAUGE,
    'bytes',
    'Memory that connections hold.',
)
CONNECTIONS = register(
    'connections', Kind.GAUGE, 'connections', 'Connections accepted.'
)


class Telemetry:
    """Sends the metrics of one process and logs its changes of state.

    :param process_kind: 'entry' or 'agent'
    :param process_id: entry id or target id
    :param address: address of the statsd receiver; None drops all metrics
    """

    def __init__(
        self,
        process_kind: str,
        process_id: str,
        address: options.Address | None,
    ) -> None:
        self._client: Any = None
        self._process = f'{process_kind} {process_id}'
        if address is None:
            return
        prefix = f'borageshelf.{process_kind}.{_sanitize(process_id)}'
        try:
            self._client = _make_client(address, prefix)
        except OSError as error:
            # A failure of the metrics must not prevent a start of the process.
            self.log_state(
                'metrics are disabled', address=address, error=error
            )

    def count(self, metric: Metric, label: str = '', amount: int = 1) -> None:
        """Increase a counter."""
        if self._client is not None:
            self._client.incr(_make_name(metric, label), amount)

    def time(
        self, metric: Metric, duration_ms: float, label: str = ''
    ) -> None:
        """Record a duration in milliseconds."""
        if self._client is not None:
            self._client.timing(_make_name(metric, label), duration_ms)

    def gauge(self, metric: Metric, value: float, label: str = '') -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(_make_name(metric, label), value)

    def log_state(self, change: str, **identifiers: object) -> None:
        """Write a log line for a change of state.

        :param change: what changed, such as ``shard acquired``
        :param identifiers: identifiers and values that the change concerns
        """
        pairs = ' '.join(
            f'{name}={_quote(value)}' for name, value in identifiers.items()
        )
        logging.info('%s: %s %s', self._process, change, pairs)

    def close(self) -> None:
        """Close the socket; later metrics are dropped."""
        if self._client is not None:
            self._client.close()
            self._client = None


# Log lines show the source line that calls log_state, not this module.
logging.ABSLLogger.register_frame_to_skip(__file__, 'log_state')


def start_logging() -> None:
    """Write log lines of level INFO and above to standard error."""
    # Flags are parsed by cleo, not by absl. Without this call absl warns that
    # its flags are not parsed.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)


def _make_client(address: options.Address, prefix: str) -> Any:
    client = statsd.StatsClient(
        address.host, address.port, prefix=prefix, ipv6=':' in address.host
    )
    # A blocking socket with a full send buffer would block the event loop.
    # The client library drops a datagram whose transmission raises OSError.
    client._sock.setblocking(False)
    return client


def _make_name(metric: Metric, label: str) -> str:
    return f'{metric.name}.{_sanitize(label)}' if label else metric.name


def _sanitize(part: str) -> str:
    """Replace characters that have a special meaning in statsd names."""
    return _UNSAFE_CHARACTER.sub('_', part)


def _quote(value: object) -> str:
    """Return text of a value that cannot imitate a field or a log line."""
    text = str(value)
    is_plain = text.isprintable() and ' ' not in text and text != ''
    return text if is_plain else repr(text)
