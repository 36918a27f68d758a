"""Worker stand-in as a process: an HTTP server for the virtual worker.

``python -m standins.worker --port N``. Control endpoints: ``POST
/control/faults`` sets the faults, ``POST /control/failures`` sets the mode
that fails starts, ``POST /control/replace`` replaces the VM; ``GET
/control/audit``, ``/control/load`` and ``/control/counters`` return the
intervals that ran, the noise that slows executors, and the call counts.
"""

import argparse
import asyncio
from collections import abc
import pathlib
from typing import Final

import msgspec
from twisted.web import http
from twisted.web import server

from borageshelf import errors
from borageshelf.model import resources
from borageshelf.ports import http_worker
from borageshelf.ports import worker as worker_interface
from standins import audits
from standins import clocks
from standins import faults
from standins import http_server
from standins import virtual_worker

# Maximum delay with which ends of tasks reach the audit file.
ADVANCE_INTERVAL_MS: Final = 100


class FailureMode(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of the control call that makes starts fail.

    :param fail_starts: as in ``virtual_worker.WorkerSettings``
    """

    fail_starts: str


class WorkerHandlers:
    """The calls of the worker as HTTP handlers."""

    def __init__(self, worker: virtual_worker.VirtualWorker) -> None:
        self._worker = worker

    def make_routes(self) -> dict[tuple[str, str], http_server.Route]:
        """Return the routes of the worker and its control endpoints."""
        route = http_server.Route
        return {
            ('GET', '/v1/describe'): route(self._describe, True),
            ('GET', '/v1/list'): route(self._list, True),
            ('GET', '/v1/usage'): route(self._usage, True),
            ('POST', '/v1/start'): route(self._start),
            ('POST', '/v1/renew'): route(self._renew),
            ('POST', '/v1/throttle'): route(self._throttle),
            ('POST', '/v1/checkpoint'): route(self._checkpoint),
            ('POST', '/v1/stop'): route(self._stop),
            ('POST', '/v1/release'): route(self._release),
            ('POST', '/control/faults'): route(self._set_faults),
            ('POST', '/control/failures'): route(self._set_failures),
            ('POST', '/control/replace'): route(self._replace),
            ('GET', '/control/audit'): route(self._read_audit),
            ('GET', '/control/load'): route(self._read_load),
            ('GET', '/control/counters'): route(self._count),
        }

    async def _describe(self, request: http.Request) -> object:
        return await self._worker.describe()

    async def _list(self, request: http.Request) -> object:
        return http_worker.ListAnswer(await self._worker.list())

    async def _usage(self, request: http.Request) -> object:
        return http_worker.UsageAnswer(await self._worker.usage())

    async def _start(self, request: http.Request) -> object:
        start = http_server.read_document(
            request, worker_interface.StartRequest
        )
        with _lose_uncertain_answers():
            await self._worker.start(start)
        return {}

    async def _renew(self, request: http.Request) -> object:
        renew = http_server.read_document(request, http_worker.RenewRequest)
        with _lose_uncertain_answers():
            await self._worker.renew(
                renew.task_id, renew.attempt, renew.lease_deadline_ms
            )
        return {}

    async def _throttle(self, request: http.Request) -> object:
        throttle = http_server.read_document(
            request, http_worker.ThrottleRequest
        )
        with _lose_uncertain_answers():
            await self._worker.throttle(
                throttle.task_id, throttle.attempt, throttle.fraction
            )
        return {}

    async def _checkpoint(self, request: http.Request) -> object:
        reference = _read_reference(request)
        with _lose_uncertain_answers():
            return await self._worker.checkpoint(
                reference.task_id, reference.attempt
            )

    async def _stop(self, request: http.Request) -> object:
        reference = _read_reference(request)
        with _lose_uncertain_answers():
            return await self._worker.stop(
                reference.task_id, reference.attempt
            )

    async def _release(self, request: http.Request) -> object:
        reference = _read_reference(request)
        with _lose_uncertain_answers():
            await self._worker.release(reference.task_id, reference.attempt)
        return {}

    async def _set_faults(self, request: http.Request) -> object:
        plan = http_server.read_document(request, faults.FaultPlan)
        self._worker.fault_injector.set_plan(plan)
        return {}

    async def _set_failures(self, request: http.Request) -> object:
        mode = http_server.read_document(request, FailureMode)
        self._worker.settings = msgspec.structs.replace(
            self._worker.settings, fail_starts=mode.fail_starts
        )
        return {}

    async def _replace(self, request: http.Request) -> object:
        self._worker.replace()
        return {}

    async def _read_audit(self, request: http.Request) -> object:
        return {'intervals': self._worker.audit}

    async def _read_load(self, request: http.Request) -> object:
        return {'noise': self._worker.measure_noise()}

    async def _count(self, request: http.Request) -> object:
        return {'calls': self._worker.fault_injector.calls}


def _lose_uncertain_answers() -> http_server.LoseAnswers:
    return http_server.LoseAnswers(errors.WORKER_UNAVAILABLE)


def _read_reference(request: http.Request) -> http_worker.AttemptReference:
    return http_server.read_document(request, http_worker.AttemptReference)


def make_site(worker: virtual_worker.VirtualWorker) -> server.Site:
    """Return the HTTP site of a worker."""
    handlers = WorkerHandlers(worker)
    return server.Site(http_server.ApiResource(handlers.make_routes()))


def make_audit_writer(
    path: pathlib.Path | None,
) -> abc.Callable[[audits.Interval], None]:
    """Return a function that appends intervals to a file, one per line.

    An interval is written at its start and again at its end, so the audit of
    a worker that is killed survives the process.
    """

    def write(interval: audits.Interval) -> None:
        if path is not None:
            with path.open('ab') as file:
                file.write(msgspec.json.encode(interval) + b'\n')

    return write


def read_audit_file(path: pathlib.Path) -> list[audits.Interval]:
    """Return the latest state of each interval in an audit file."""
    found: dict[tuple[str, str, int, int], audits.Interval] = {}
    for line in path.read_bytes().splitlines():
        item = msgspec.json.decode(line, type=audits.Interval)
        key = (item.worker, item.task_id, item.attempt, item.start_ms)
        found[key] = item
    return list(found.values())


async def _advance_periodically(worker: virtual_worker.VirtualWorker) -> None:
    while True:
        worker.advance_to_now()
        await asyncio.sleep(ADVANCE_INTERVAL_MS / clocks.MS_PER_S)


def main() -> None:
    """Run the stand-in."""
    defaults = virtual_worker.WorkerSettings()
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--name', default=defaults.name)
    parser.add_argument('--rack', default=defaults.rack)
    parser.add_argument(
        '--millicores',
        type=int,
        default=defaults.capacity.processor_millicores,
    )
    parser.add_argument(
        '--memory-mb', type=int, default=defaults.capacity.memory_mb
    )
    parser.add_argument('--accelerators', type=int, default=0)
    parser.add_argument('--fail-starts', default='')
    parser.add_argument(
        '--usage-lag-ms', type=int, default=defaults.usage_lag_ms
    )
    parser.add_argument('--audit-file', type=pathlib.Path)
    parser.add_argument('--seed', type=int, default=0)
    http_server.add_lifetime_flag(parser)
    flags = parser.parse_args()
    tasks: list[asyncio.Task[None]] = []

    def start() -> server.Site:
        worker = virtual_worker.VirtualWorker(
            _read_settings(flags),
            clocks.SystemClock(),
            flags.seed,
            make_audit_writer(flags.audit_file),
        )
        loop = asyncio.get_event_loop()
        tasks.append(loop.create_task(_advance_periodically(worker)))
        return make_site(worker)

    http_server.run(start, flags.port, flags.lifetime_s)


def _read_settings(
    flags: argparse.Namespace,
) -> virtual_worker.WorkerSettings:
    return virtual_worker.WorkerSettings(
        name=flags.name,
        rack=flags.rack,
        capacity=resources.Resources(
            flags.millicores, flags.memory_mb, flags.accelerators
        ),
        fail_starts=flags.fail_starts,
        usage_lag_ms=flags.usage_lag_ms,
    )


if __name__ == '__main__':
    main()
