"""The one event loop of a process: twisted's reactor on asyncio.

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


def install() -> asyncio.AbstractEventLoop:
    """Install twisted's reactor on a new asyncio loop and return the loop."""
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    if 'twisted.internet.reactor' not in sys.modules:
        asyncioreactor.install(loop)
    return loop


def run(
    loop: asyncio.AbstractEventLoop,
    main: abc.Callable[[], abc.Coroutine[Any, Any, int]],
) -> int:
    """Run a coroutine under the reactor; return its exit status.

    :param main: the process; the reactor stops when it returns
    """
    # The module is replaced by the installed reactor at run time, which its
    # type declarations do not show.
    reactor: Any = importlib.import_module('twisted.internet.reactor')
    status = 1

    async def supervise() -> None:
        nonlocal status
        try:
            status = await main()
        except Exception:
            logging.exception('the process ends because of an error')
        finally:
            reactor.stop()

    def start() -> None:
        tasks.append(loop.create_task(supervise()))

    tasks: list[asyncio.Task[None]] = []
    reactor.callWhenRunning(start)
    reactor.run(installSignalHandlers=False)
    # The interpreter resets handlers as it ends, and a late signal would then
    # turn a finished stop into a kill. Ignored signals stay ignored.
    for number in (signal.SIGHUP, signal.SIGTERM):
        signal.signal(number, signal.SIG_IGN)
    return status


def watch_signals(
    loop: asyncio.AbstractEventLoop,
    on_stop: abc.Callable[[], None],
    on_abort: abc.Callable[[], None],
) -> None:
    """Call ``on_stop`` at the first SIGTERM or SIGINT, then ``on_abort``."""
    seen = 0

    def handle() -> None:
        nonlocal seen
        seen += 1
        if seen == 1:
            on_stop()
        else:
            on_abort()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, handle)


def watch_reload(
    loop: asyncio.AbstractEventLoop, on_reload: abc.Callable[[], None]
) -> None:
    """Call ``on_reload`` at each SIGHUP."""
    loop.add_signal_handler(signal.SIGHUP, on_reload)


async def wait_for_event(event: asyncio.Event, timeout_ms: int) -> bool:
    """Wait for an event; tell whether it was set before the timeout.

    ``asyncio.wait_for`` of Python 3.11 loses a cancellation that arrives
    together with the event, and the cancelled task then runs on for ever.
    """
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            await event.wait()
    except TimeoutError:
        return False
    return True


# Keeps a loop that fails at once from using the whole processor.
RESTART_DELAY_MS: Final = 200


class TaskGroup:
    """Background tasks of a component; a failure is logged, not lost."""

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
        """Run a coroutine in the background, again after each failure.

        For the loops without which the process would live on uselessly.

        :param on_failure: called with the error before each new run
        """

        async def run() -> None:
            while True:
                try:
                    await make_coroutine()
                    return
                except Exception as error:
                    logging.error('a loop failed', exc_info=error)
                    on_failure(error)
                await asyncio.sleep(RESTART_DELAY_MS / 1000)

        self.start(run())

    async def stop(self) -> None:
        """Cancel all tasks and wait for their end."""
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
            logging.error('a background task failed', exc_info=error)
