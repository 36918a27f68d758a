"""Reports of the request budget of an entry of calls and jobs.

They are apart from ``http_server.reporting``, so that the processes of the
workflow scheduler don't load the client of statsd.
"""

import dataclasses

from borageshelf.http_server import budget
from borageshelf.http_server import reporting
from borageshelf import options
from borageshelf import telemetry


def make_budget(
    settings: options.EntryOptions, sink: telemetry.Telemetry
) -> budget.RequestBudget:
    """Return a budget that reports to the telemetry of the entry."""
    return budget.RequestBudget(settings, sink)


@reporting.count.register
def _(sink: telemetry.Telemetry, cause: str) -> None:
    sink.count(telemetry.REQUESTS_CUT, cause)


@reporting.gauge.register
def _(sink: telemetry.Telemetry, held_bytes: int, connections: int) -> None:
    sink.gauge(telemetry.REQUEST_MEMORY, held_bytes)
    sink.gauge(telemetry.CONNECTIONS, connections)


@reporting.log.register
def _(sink: telemetry.Telemetry, summary: reporting.Summary) -> None:
    sink.log_state('requests cut', **dataclasses.asdict(summary))
