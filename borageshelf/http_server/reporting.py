"""Reports the decisions of the request budget to the log and the metrics.

The processes of the workflow scheduler have an event log and serve their
metrics. ``entry.budget_reports`` reports for an entry of calls and jobs.
"""

import dataclasses
import functools

from borageshelf import events
from borageshelf import measurements


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


@functools.singledispatch
def log(sink: object, summary: Summary) -> None:
    """Write a log line.

    :raises TypeError: if the sink is of no known kind
    """
    raise TypeError(f'no sink of reports: {sink!r}')


@log.register
def _(sink: events.EventLog, summary: Summary) -> None:
    sink.record('requests cut', **dataclasses.asdict(summary))
