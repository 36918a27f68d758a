"""Reports what the request budget decides, in the way of each program.

The processes of the workflow scheduler have a log of events and serve their
metrics; an entry of calls and jobs has both behind its telemetry.
"""

import dataclasses
import functools

from borageshelf import events
from borageshelf import measurements
from borageshelf import telemetry


@dataclasses.dataclass(frozen=True)
class Cut:
    """Requests refused and connections closed in a while.

    :param causes: number by cause
    :param held_bytes: what the connections of the process hold now
    :param connections: number of connections now
    :param since_ms: length of the while
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
def log(sink: object, cut: Cut) -> None:
    """Write a log line.

    :raises TypeError: if the sink is of no known kind
    """
    raise TypeError(f'no sink of reports: {sink!r}')


@log.register
def _(sink: events.EventLog, cut: Cut) -> None:
    sink.record('requests cut', **dataclasses.asdict(cut))


@log.register
def _(sink: telemetry.Telemetry, cut: Cut) -> None:
    sink.log_state('requests cut', **dataclasses.asdict(cut))
