"""Event loops whose time is the model's clock.

Each process of the model has its own loop, so that one can be paused or
killed while the others go on. A loop runs only when the model calls it, and
in a fixed order, so a history depends on the model's choices alone.
"""

import asyncio
import collections
from collections import abc
import contextlib
import contextvars
import heapq
import itertools
import math
from typing import Any, TypeVarTuple, Unpack
from unittest import mock
import uuid

from borageshelf import clock

WALL_CLOCK_START_MS = 1_700_000_000_000

Arguments = TypeVarTuple('Arguments')


class ModelClock:
    """Time of the model; all processes read it."""

    def __init__(self) -> None:
        self.now_ms = 100_000

    def read_elapsed_ms(self) -> int:
        """Return the time since the boot."""
        return self.now_ms

    def read_wall_clock_ms(self) -> int:
        """Return the Unix time."""
        return WALL_CLOCK_START_MS + self.now_ms


class VirtualLoop(asyncio.AbstractEventLoop):
    """The event loop of one process of the model."""

    def __init__(self, model_clock: ModelClock, process: Any) -> None:
        self._clock = model_clock
        self.process = process
        self._ready: collections.deque[asyncio.Handle] = collections.deque()
        self._timers: list[tuple[float, int, asyncio.TimerHandle]] = []
        self._numbers = itertools.count()
        self.tasks: dict[asyncio.Task[Any], None] = {}
        self.failures: list[str] = []

    def time(self) -> float:
        """Return the model's time in seconds."""
        return self._clock.now_ms / 1000

    def get_debug(self) -> bool:
        """Tell asyncio that it is not in its debug mode."""
        return False

    def is_running(self) -> bool:
        """Tell asyncio that the loop accepts callbacks."""
        return True

    def is_closed(self) -> bool:
        """Tell asyncio that the loop accepts callbacks."""
        return False

    def call_soon(
        self,
        callback: abc.Callable[[Unpack[Arguments]], object],
        *args: Unpack[Arguments],
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        """Run a callback with the next call of ``run_ready``."""
        handle = asyncio.Handle(callback, args, self, context)
        self._ready.append(handle)
        return handle

    def call_later(
        self,
        delay: float,
        callback: abc.Callable[[Unpack[Arguments]], object],
        *args: Unpack[Arguments],
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Run a callback after some seconds of the model's time."""
        return self.call_at(
            self.time() + delay, callback, *args, context=context
        )

    def call_at(
        self,
        when: float,
        callback: abc.Callable[[Unpack[Arguments]], object],
        *args: Unpack[Arguments],
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Run a callback at a time of the model."""
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        heapq.heappush(self._timers, (when, next(self._numbers), handle))
        return handle

    def create_future(self) -> asyncio.Future[Any]:
        """Return a future of this loop."""
        return asyncio.Future(loop=self)

    def create_task(
        self, coro: Any, *, name: Any = None, context: Any = None
    ) -> asyncio.Task[Any]:
        """Start a task."""
        task: asyncio.Task[Any] = asyncio.Task(
            coro, loop=self, name=name, context=context
        )
        self.tasks[task] = None
        task.add_done_callback(self._forget_task)
        return task

    def _forget_task(self, task: asyncio.Task[Any]) -> None:
        self.tasks.pop(task, None)

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Note an error that no coroutine has handled."""
        self.failures.append(str(context))

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        """Do nothing: cancelled timers are dropped when they are due."""

    # Methods that the model calls.

    def find_next_timer_ms(self) -> int | None:
        """Return the time of the next timer."""
        while self._timers and self._timers[0][2].cancelled():
            heapq.heappop(self._timers)
        if not self._timers:
            return None
        return math.ceil(self._timers[0][0] * 1000 - 1e-6)

    def is_due(self) -> bool:
        """Tell whether there may be something to run."""
        return bool(self._ready) or bool(
            self._timers and self._timers[0][0] <= self.time() + 1e-9
        )

    def list_timers(self) -> list[int]:
        """Return the remaining time of each timer in milliseconds."""
        return sorted(
            round(when * 1000) - self._clock.now_ms
            for when, _, handle in self._timers
            if not handle.cancelled()
        )

    def run_ready(self) -> bool:
        """Run all callbacks that are due; tell whether there were any."""
        has_run = False
        asyncio.events._set_running_loop(self)
        try:
            while True:
                next_ms = self.find_next_timer_ms()
                while next_ms is not None and next_ms <= self._clock.now_ms:
                    self._ready.append(heapq.heappop(self._timers)[2])
                    next_ms = self.find_next_timer_ms()
                if not self._ready:
                    return has_run
                has_run = True
                for _ in range(len(self._ready)):
                    handle = self._ready.popleft()
                    if not handle.cancelled():
                        handle._run()
        finally:
            asyncio.events._set_running_loop(None)

    def cancel_all(self) -> None:
        """Cancel all tasks, so that none is left at the end of a history."""
        for _ in range(5):
            for task in list(self.tasks):
                task.cancel()
            self.run_ready()
            if not self.tasks:
                return


@contextlib.contextmanager
def install(model_clock: ModelClock) -> abc.Iterator[None]:
    """Let the program read the model's clock and draw repeatable ids."""
    numbers = itertools.count(1)
    with (
        mock.patch.object(
            clock, 'read_elapsed_ms', model_clock.read_elapsed_ms
        ),
        mock.patch.object(
            clock, 'read_running_ms', model_clock.read_elapsed_ms
        ),
        mock.patch.object(
            clock, 'read_wall_clock_ms', model_clock.read_wall_clock_ms
        ),
        mock.patch.object(uuid, 'uuid4', lambda: uuid.UUID(int=next(numbers))),
    ):
        yield


def make_loop(model_clock: ModelClock, process: Any) -> VirtualLoop:
    """Return a loop; it has no sockets, signals and threads."""
    loop_class: Any = VirtualLoop
    loop: VirtualLoop = loop_class(model_clock, process)
    return loop
