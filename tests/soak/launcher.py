"""Starts the real program with a wall clock that a file shifts.

The first argument is the file with the shift in milliseconds, the second the
name of a safeguard to switch off, or ``-``; the rest goes to the program.
Safeguards are switched off only to show that the soak notices it.
"""

import os
import pathlib
import sys
import time
from typing import Any

from borageshelf.agent.workflows import driver
from borageshelf import clock
from borageshelf.entry.workflows import configuration
from borageshelf.entry.workflows import runtime
from borageshelf import main
from borageshelf.workflows import owner


def shift_clock(path: pathlib.Path) -> None:
    """Shift the wall clock by what the file says."""
    shift_ms = 0
    changed_ns = 0

    def read_shifted_ms() -> int:
        nonlocal shift_ms, changed_ns
        found_ns = os.stat(path).st_mtime_ns
        if found_ns != changed_ns:
            changed_ns = found_ns
            shift_ms = int(path.read_text() or 0)
        return time.time_ns() // 1_000_000 + shift_ms

    setattr(clock, 'read_wall_clock_ms', read_shifted_ms)


def remove_fence() -> None:
    """Order every session of the agents under the same token."""
    original = runtime.AgentSession.__init__

    def begin(self: Any, number: int, token: int, *rest: Any) -> None:
        original(self, number, 1, *rest)

    setattr(runtime.AgentSession, '__init__', begin)


def acknowledge_early() -> None:
    """Acknowledge ends before they are committed."""

    def apply_inspection(self: Any, found: Any, begun_at_ms: int) -> None:
        original(self, found, begun_at_ms)
        self._acknowledged_end_number = self._seen_end_number

    original = driver.ExecutorDriver._apply_inspection
    setattr(driver.ExecutorDriver, '_apply_inspection', apply_inspection)


def ignore_leases() -> None:
    """Give silent targets up at once."""

    def extend_lost_deadline(self: Any, target: Any, now_ms: int) -> None:
        target.lost_deadline_ms = now_ms

    setattr(owner.Owner, '_extend_lost_deadline', extend_lost_deadline)


def start_twice() -> None:
    """Forget, without a proof, what a lost stream was told to run."""

    def detach(self: Any, target_id: str, session: int) -> None:
        original(self, target_id, session)
        target = self.targets.get(target_id)
        if target is None:
            return
        for run in list(target.runs.values()):
            self._drop_run(run)

    original = owner.Owner.detach
    setattr(owner.Owner, 'detach', detach)


def take_older_configuration() -> None:
    """Put every document in force that is offered, whatever its version."""

    def apply_if_newer(self: Any, document: bytes) -> None:
        self._document = document
        self.configuration = self._decode(document)

    setattr(
        configuration.ConfigurationFollower, 'apply_if_newer', apply_if_newer
    )


SAFEGUARDS = {
    '-': lambda: None,
    'fence': remove_fence,
    'acknowledgement': acknowledge_early,
    'lease': ignore_leases,
    'one-start': start_twice,
    'configuration': take_older_configuration,
}

if __name__ == '__main__':
    shift_clock(pathlib.Path(sys.argv[1]))
    SAFEGUARDS[sys.argv[2]]()
    sys.argv = ['borageshelf', *sys.argv[3:]]
    sys.exit(main.main())
