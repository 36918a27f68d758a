"""Fingerprints of complete states, by which a state is recognised.

A fingerprint covers the objects of all processes, the position and the local
values of each coroutine, the timers, what is in transit, the store, the
executors and the monitor. Times count relative to the present, and a deadline
that has passed counts as passed. Two states with the same fingerprint have the
same futures, except for progress and latencies, which do not matter here.
"""

import asyncio
from collections import abc
import enum
import types
from typing import Any, Final

from borageshelf.workflows import journal
from borageshelf.workflows import records
from tests.model import executors
from tests.model import items
from tests.model import monitor
from tests.model import processes
from tests.model import virtual_time
from tests.model import world as model_world

_PRIMITIVES: Final = (str, bytes, bool, float, type(None))
# Attributes that have no influence on the promise, or that belong to the
# model around a process.
_IGNORED: Final = frozenset(
    {
        '_clock_resolution',
        '_copier',
        '_crash_tracker',
        '_event_log',
        '_latency_version',
        '_next_latency_refresh_ms',
        '_pace_gains',
        '_recent_filler_shares',
        '_store',
        'filler_effects',
        'health',
        'log',
        'measured',
        'progress_at_ms',
        'progress_percent',
        'progress_reported_at_ms',
        'running_percent',
    }
)
# Times on an executor's clock, whose offset the executor's start defines.
_EXECUTOR_TIMES: Final = frozenset(
    {
        '_executor_ms',
        '_inherited_deadline_ms',
        '_latest_deadline_ms',
        'clock_ms',
        'executor_ms',
        'lease_deadline_ms',
    }
)
_OPAQUE: Final = (
    abc.Coroutine,
    asyncio.AbstractEventLoop,
    asyncio.Handle,
    model_world.World,
    monitor.Monitor,
    processes.Process,
    processes.ModelLog,
    types.FunctionType,
    types.MethodType,
    types.ModuleType,
    types.CodeType,
    type,
)


class _Walker:
    """Turns objects into tuples of primitive values."""

    def __init__(self, now_ms: int) -> None:
        self._now_ms = now_ms
        self._known: dict[int, int] = {}

    def freeze(self, value: Any, name: str = '') -> Any:
        """Return the frozen form of a value.

        :param name: name of the attribute that holds the value
        """
        if isinstance(value, enum.Enum):
            return value.name
        if isinstance(value, _PRIMITIVES):
            return value
        if isinstance(value, int):
            return self._freeze_number(value, name)
        known = self._known.get(id(value))
        if known is not None:
            return ('known', known)
        if isinstance(value, tuple | list | abc.Sequence):
            return tuple(self.freeze(item, name) for item in value)
        if isinstance(value, set | frozenset):
            return tuple(sorted(map(repr, map(self.freeze, value))))
        self._known[id(value)] = len(self._known)
        if isinstance(value, dict):
            return tuple(
                (self.freeze(key), self.freeze(item, name))
                for key, item in value.items()
            )
        if isinstance(value, asyncio.Future):
            return ('future', value.done())
        if isinstance(value, executors.Executor):
            return value.full_name
        if isinstance(value, items.Stream):
            return ('stream', value.number)
        if isinstance(value, _OPAQUE):
            return type(value).__name__
        return (type(value).__name__, *self.freeze_attributes(value))

    def freeze_attributes(self, value: Any) -> abc.Iterator[Any]:
        """Yield the frozen attributes of an object."""
        names: abc.Iterable[str] = ()
        for kind in ('__struct_fields__', '__dict__', '__slots__'):
            if hasattr(value, kind):
                names = getattr(value, kind)
                break
        for name in names:
            if name not in _IGNORED:
                yield self.freeze(getattr(value, name, None), name)

    def _freeze_number(self, value: int, name: str) -> Any:
        if not value or not name.endswith('_ms'):
            return value
        if 'grant' in name and 'deadline' not in name:
            return value
        if name in _EXECUTOR_TIMES:
            return value - self._now_ms
        if value > virtual_time.WALL_CLOCK_START_MS:
            value -= virtual_time.WALL_CLOCK_START_MS
        relative_ms = value - self._now_ms
        if 'deadline' in name or 'until' in name or 'resumes' in name:
            return max(relative_ms, 0)
        return relative_ms

    def freeze_task(self, task: asyncio.Task[Any]) -> tuple[Any, ...]:
        """Return the positions and local values of a task's coroutines."""
        chain: list[Any] = []
        awaited: Any = task.get_coro()
        while awaited is not None:
            frame = getattr(awaited, 'cr_frame', None) or getattr(
                awaited, 'ag_frame', None
            )
            if frame is None:
                break
            chain.append(frame.f_code.co_qualname)
            chain.append(frame.f_lasti)
            for name, value in frame.f_locals.items():
                if name != 'self':
                    chain.append(self.freeze(value, name))
            awaited = getattr(awaited, 'cr_await', None) or getattr(
                awaited, 'ag_await', None
            )
        return tuple(chain)


def compute(world: model_world.World) -> int:
    """Return the fingerprint of a state."""
    walker = _Walker(world.clock.now_ms)
    parts: list[Any] = [
        world.owner_name,
        walker.freeze(world.promise.running),
        walker.freeze(world.promise.ends),
        walker.freeze(world.promise.cancelled_ids),
        walker.freeze(world.late_ids),
        tuple(
            tuple(walker.freeze_attributes(executor))
            for executor in world.executors.values()
        ),
        _freeze_store(world),
        walker.freeze(world.in_transit),
        walker.freeze(world.kept_orders),
        walker.freeze(world.kept_calls),
        walker.freeze(world.parked),
        walker.freeze(world.unhealthy_until_ms, 'until_ms'),
        walker.freeze(world.refusing_until_ms, 'until_ms'),
        walker.freeze(world.cut_off_until_ms, 'until_ms'),
        walker.freeze(world.owner_lease_deadline_ms, 'deadline_ms'),
        tuple(world.list_event_times()),
    ]
    for process in world.all_processes:
        if process.is_alive:
            parts.append(_freeze_process(walker, process))
    for stream in world.streams:
        if not stream.handler.done():
            parts.append(_freeze_stream(walker, stream))
    return hash(tuple(parts))


def _freeze_process(walker: _Walker, process: processes.Process) -> Any:
    parts: list[Any] = [
        process.name,
        walker.freeze(process.resumes_at_ms, 'resumes_at_ms'),
        tuple(process.loop.list_timers()),
    ]
    if isinstance(process, processes.OwnerProcess):
        parts.append(walker.freeze(process.runtime))
    elif isinstance(process, processes.AgentProcess):
        parts.append(walker.freeze(process.driver))
        parts.append(walker.freeze(process.link))
    parts += [walker.freeze_task(task) for task in process.loop.tasks]
    return tuple(parts)


def _freeze_stream(walker: _Walker, stream: items.Stream) -> Any:
    return (
        stream.number,
        stream.agent_side.is_closed,
        stream.owner_side.is_closed,
        walker.freeze(stream.stalled_until_ms, 'until_ms'),
        walker.freeze(stream.agent_side.list_received()),
        walker.freeze(stream.owner_side.list_received()),
    )


def _read_silent_targets(head: bytes) -> Any:
    return journal.decode(head, records.HeadRecord).silent_targets


def _freeze_store(world: model_world.World) -> Any:
    """Return the items; the head's id of the last commit is arbitrary."""
    return tuple(
        (
            key,
            entry.revision - world.platform_store.revision,
            _read_silent_targets(entry.value)
            if key == records.HEAD_KEY
            else entry.value,
        )
        for key, entry in sorted(world.platform_store.items.items())
    )
