"""The event loop of a process: Twisted's reactor on asyncio.

``install`` must run before any module imports ``twisted.internet.reactor``.
"""

import asyncio
from collections import abc
import importlib
import signal
import sys
from typing import Any, Final

from absl import logging
from twisted.internet import asyncioreactor

from borageshelf import clock

# Timers of a busy loop are late by some tens of milliseconds.
MIN_PAUSE_MS: Final = 150


def install() -> asyncio.AbstractEventLoop:
    """Install Twisted's reactor on a new asyncio loop and return the loop."""
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    if 'twisted.internet.reactor' not in sys.modules:
        asyncioreactor.install(loop)
    return loop


def run(
    loop: asyncio.AbstractEventLoop,
    main: abc.Callable[[], abc.Coroutine[Any, Any, int]],
) -> int:
    """Run the main coroutine of the process; return its exit status.

    :param main: makes the coroutine; the reactor stops when it returns
    """
    # The installed reactor replaces this module at run time, which the type
    # declarations of Twisted do not show.
    reactor: Any = importlib.import_module('twisted.internet.reactor')
    status = 1

    async def supervise() -> None:
        nonlocal status
        try:
            status = await main()
        except Exception:
            logging.exception('the main coroutine failed; the process ends')
        finally:
            reactor.stop()

    def start() -> None:
        tasks.append(loop.create_task(supervise()))

    tasks: list[asyncio.Task[None]] = []
    reactor.callWhenRunning(start)
    reactor.run(installSignalHandlers=False)
    # The interpreter restores the default handlers while it shuts down, so a
    # late signal would kill a process that has already stopped cleanly.
    # Ignored signals stay ignored.
    for signal_number in (signal.SIGHUP, signal.SIGTERM):
        signal.signal(signal_number, signal.SIG_IGN)
    return status


def watch_signals(
    loop: asyncio.AbstractEventLoop,
    on_stop: abc.Callable[[], None],
    on_abort: abc.Callable[[], None],
) -> None:
    """Call ``on_stop`` at the first SIGTERM or SIGINT.

    Each further signal calls ``on_abort``.
    """
    signal_count = 0

    def handle() -> None:
        nonlocal signal_count
        signal_count += 1
        if signal_count == 1:
            on_stop()
        else:
            on_abort()

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, handle)


def watch_reload(
    loop: asyncio.AbstractEventLoop, on_reload: abc.Callable[[], None]
) -> None:
    """Call ``on_reload`` at each SIGHUP."""
    loop.add_signal_handler(signal.SIGHUP, on_reload)


async def wait_for_event(event: asyncio.Event, timeout_ms: int) -> bool:
    """Wait for an event; return whether it was set before the timeout.

    ``asyncio.wait_for`` of Python 3.11 loses a cancellation that arrives
    in the same step as the event, and the cancelled task then never ends.
    """
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            await event.wait()
    except TimeoutError:
        return False
    return True


async def finish_by(
    coroutine: abc.Coroutine[Any, Any, Any], deadline_ms: int
) -> bool:
    """Run a coroutine; return whether it ended in time.

    One that is late goes on in the background, as it may not even end when it
    is cancelled.

    :param deadline_ms: elapsed time
    """
    task = asyncio.ensure_future(coroutine)
    left_ms = max(deadline_ms - clock.read_elapsed_ms(), 0)
    done, _ = await asyncio.wait({task}, timeout=left_ms / 1000)
    if done:
        task.result()
    return bool(done)


# Keeps a coroutine that fails immediately from using a whole processor.
RESTART_DELAY_MS: Final = 200


class PauseWatch:
    """Measures pauses of this process, in a loop that sleeps.

    A process that was stopped, or whose event loop was busy, must not take
    that time for the silence of others: their messages wait in its sockets.

    :param interval_ms: how long the loop sleeps
    """

    def __init__(self, interval_ms: int) -> None:
        self._interval_ms = interval_ms
        self._measured_at_ms = clock.read_elapsed_ms()

    def excuse(self, received_at_ms: abc.Iterable[int]) -> list[int]:
        """Return times of messages, moved on by the pause since the last call.

        :param received_at_ms: elapsed times at which messages arrived
        """
        now_ms = clock.read_elapsed_ms()
        pause_ms = now_ms - self._measured_at_ms - self._interval_ms
        self._measured_at_ms = now_ms
        if pause_ms < MIN_PAUSE_MS:
            pause_ms = 0
        return [min(at_ms + pause_ms, now_ms) for at_ms in received_at_ms]


class TaskGroup:
    """Background tasks of a component; their failures are logged."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, coroutine: abc.Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine in the background."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finish)

    def start_with_restarts(
        self,
        make_coroutine: abc.Callable[[], abc.Coroutine[Any, Any, None]],
        on_failure: abc.Callable[[Exception], None],
    ) -> None:
        """Run a coroutine in the background and restart it after a failure.

        Used for coroutines without which the process would keep running but
        do no useful work.

        :param on_failure: called with the error before each restart
        """

        async def run() -> None:
            while True:
                try:
                    await make_coroutine()
                    return
                except Exception as error:
                    logging.error(
                        'a background task failed; it is restarted',
                        exc_info=error,
                    )
                    on_failure(error)
                await asyncio.sleep(RESTART_DELAY_MS / 1000)

        self.start(run())

    async def stop(self) -> None:
        """Cancel all tasks and wait until they end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _finish(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            logging.error(
                'a background task failed; it is not restarted',
                exc_info=error,
            )
