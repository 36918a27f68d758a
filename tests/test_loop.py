"""Tests of the event loop's helpers."""

import asyncio
import subprocess
import sys

import pytest

from borageshelf import loop


def test_cancellation_together_with_the_event_is_not_lost() -> None:
    """Guards against a planned stop that waits for a task forever.

    An entry did not end because its last announcement woke the membership
    task in the same step of the loop in which the task was cancelled.
    """

    async def main() -> None:
        event = asyncio.Event()
        waiting = asyncio.ensure_future(loop.wait_for_event(event, 60_000))
        await asyncio.sleep(0)
        event.set()
        waiting.cancel()
        with pytest.raises(asyncio.CancelledError):
            await waiting

    asyncio.run(main())


def test_wait_without_the_event_ends_at_the_timeout() -> None:
    """Guards against a wait that ignores its timeout."""

    async def main() -> None:
        assert not await loop.wait_for_event(asyncio.Event(), 1)

    asyncio.run(main())


def test_background_task_is_restarted_after_a_failure() -> None:
    """Guards against a process that keeps running without one of its loops."""
    failures: list[str] = []
    runs = 0

    async def fail_twice() -> None:
        nonlocal runs
        runs += 1
        if runs < 3:
            raise RuntimeError(f'failure {runs}')

    async def check() -> None:
        group = loop.TaskGroup()
        group.start_with_restarts(
            fail_twice, lambda error: failures.append(str(error))
        )
        while runs < 3:
            await asyncio.sleep(0.01)
        await group.stop()

    asyncio.run(check())
    assert failures == ['failure 1', 'failure 2']


STOPPED_PROCESS_SOURCE = """
import signal
from borageshelf import loop

async def main():
    loop.watch_reload(event_loop, lambda: None)
    loop.watch_signals(event_loop, lambda: None, lambda: None)
    return 0

event_loop = loop.install()
status = loop.run(event_loop, main)
for number in (signal.SIGHUP, signal.SIGTERM):
    assert signal.getsignal(number) is signal.SIG_IGN, number
raise SystemExit(status)
"""


def test_late_signal_does_not_kill_a_process_that_has_stopped() -> None:
    """Guards against a planned stop with the exit status of a killed process.

    A SIGHUP reached an entry that had logged its end, while the interpreter
    was shutting down (soak seed 1020).
    """
    completed = subprocess.run(
        [sys.executable, '-c', STOPPED_PROCESS_SOURCE],
        capture_output=True,
        text=True,
    )
    assert completed.returncode == 0, completed.stderr
