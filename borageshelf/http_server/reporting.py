"""Reports the decisions of the request budget to the log and the metrics.

The processes of the workflow scheduler have an event log and serve their
metrics; an entry of calls and jobs has both behind its telemetry.
"""

import dataclasses
import functools

from borageshelf import events
from borageshelf import measurements
from borageshelf import telemetry


@dataclasses.dataclass(frozen=True)
class Summary:
    """Requests refused and connections closed since the last log line.

    :param causes: number by cause
    :param held_bytes: what the connections of the process hold now
    :param connections: number of connections now
    :param since_ms: time since the last line
    """

    causes: dict[str, int]
    held_bytes: int
    connections: int
    since_ms: int


@functools.singledispatch
def count(sink: object, cause: str) -> None:
    """Count a refusal or a closed connection by its cause.

    :raises TypeError: if the sink is of no known kind
    """
    raise TypeError(f'no sink of reports: {sink!r}')


@count.register
def _(sink: events.EventLog, cause: str) -> None:
    measurements.REQUESTS_CUT.labels(cause).inc()


@count.register
def _(sink: telemetry.Telemetry, cause: str) -> None:
    sink.count(telemetry.REQUESTS_CUT, cause)


@functools.singledispatch
def gauge(sink: object, held_bytes: int, connections: int) -> None:
    """Report what the connections of the process hold.

    :raises TypeError: if the sink is of no known kind
    """
    raise TypeError(f'no sink of reports: {sink!r}')


@gauge.register
def _(sink: events.EventLog, held_bytes: int, connections: int) -> None:
    measurements.REQUEST_MEMORY_BYTES.set(held_bytes)
    measurements.CONNECTIONS.set(connections)


@gauge.register
def _(sink: telemetry.Telemetry, held_bytes: int, connections: int) -> None:
    sink.gauge(telemetry.REQUEST_MEMORY, held_bytes)
    sink.gauge(telemetry.CONNECTIONS, connections)


@functools.singledispatch
def log(sink: object, summary: Summary) -> None:
    """Write a log line.

    :raises TypeError: if the sink is of no known kind
    """
    raise TypeError(f'no sink of reports: {sink!r}')


@log.register
def _(sink: events.EventLog, summary: Summary) -> None:
    sink.record('requests cut', **dataclasses.asdict(summary))


@log.register
def _(sink: telemetry.Telemetry, summary: Summary) -> None:
    sink.log_state('requests cut', **dataclasses.asdict(summary))
