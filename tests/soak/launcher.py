"""Starts borageshelf with clocks that a file shifts.

The first argument is the file with two numbers of milliseconds: the shift of
the wall clock, and the time for which the VM was suspended. The second is the
name of a safeguard to disable, or ``-`` for none. The remaining arguments go
to the program. Safeguards are disabled only to show that the soak detects
the faults against which they guard.
"""

import dataclasses
import json
import os
import pathlib
import sys
import time
from typing import Any

from borageshelf.agent.workflows import driver
from borageshelf import clock
from borageshelf.decisions import crash_blame
from borageshelf.decisions import evacuation
from borageshelf.entry.workflows import configuration
from borageshelf import main
from borageshelf.model import data_centres
from borageshelf.workflows import channel
from borageshelf.workflows import end_proofs
from borageshelf.workflows import evacuation_control
from borageshelf.workflows import owner
from borageshelf.workflows import policy
from borageshelf.workflows import silence


def shift_clocks(path: pathlib.Path) -> None:
    """Shift the clocks by the milliseconds in a file.

    The file is read again whenever its modification time changes. The
    suspension is taken off the clocks that stand still meanwhile, the one of
    the event loop included.
    """
    shift_ms = suspended_ms = 0
    last_modified_ns = 0
    read_monotonic_s = time.monotonic

    def read_file() -> None:
        nonlocal shift_ms, suspended_ms, last_modified_ns
        modified_ns = os.stat(path).st_mtime_ns
        if modified_ns != last_modified_ns:
            last_modified_ns = modified_ns
            words = path.read_text().split() or ('0', '0')
            shift_ms, suspended_ms = map(int, words)

    def read_wall_clock_ms() -> int:
        read_file()
        return time.time_ns() // 1_000_000 + shift_ms

    def read_running_s() -> float:
        read_file()
        return read_monotonic_s() - suspended_ms / 1_000

    setattr(clock, 'read_wall_clock_ms', read_wall_clock_ms)
    setattr(clock, 'read_running_ms', lambda: int(read_running_s() * 1_000))
    setattr(time, 'monotonic', read_running_s)


def route_connections(path: pathlib.Path) -> None:
    """Connect to entries through the proxies that a file names, if any."""
    if not path.exists():
        return
    routes = json.loads(path.read_text())

    async def connect(address: str, *rest: Any) -> None:
        await original(routes.get(address, address), *rest)

    original = channel.connect
    setattr(channel, 'connect', connect)


def acknowledge_before_commit() -> None:
    """Acknowledge ended runs before the owner has committed the ends."""

    def apply_inspection(self: Any, found: Any, begun_at_ms: int) -> None:
        original(self, found, begun_at_ms)
        self._acknowledged_end_number = self._seen_end_number

    original = driver.ExecutorDriver._apply_inspection
    setattr(driver.ExecutorDriver, '_apply_inspection', apply_inspection)


def expire_leases_at_once() -> None:
    """Treat the runs of a silent target as lost before its lease expires."""

    def extend_lost_deadlines(self: Any, target: Any, now_ms: int) -> None:
        target.lost_deadlines = silence.Deadlines(now_ms, now_ms)

    setattr(owner.Owner, '_extend_lost_deadlines', extend_lost_deadlines)


def count_no_suspensions() -> None:
    """Take the runs of a silent target for ended with their grant."""
    limits = silence.Limits(policy.GRANT_LIMIT_MS, policy.GRANT_LIMIT_MS)
    setattr(policy.OwnerPolicy, 'silence_limits', limits)
    setattr(end_proofs, 'LISTED_EXTENSION_MS', 0)


def believe_all_signs() -> None:
    """Take each sign of an executor's end for a proof."""
    for sign, worth in end_proofs.WORTH.items():
        end_proofs.WORTH[sign] = dataclasses.replace(worth, is_proof=True)


def forget_runs_of_lost_streams() -> None:
    """Forget the runs of a target when its stream breaks.

    The owner then starts the tasks elsewhere without proof that the former
    runs have ended.
    """

    def detach(self: Any, target_id: str, session: int) -> None:
        original(self, target_id, session)
        target = self.targets.get(target_id)
        if target is None:
            return
        for run in list(target.runs.values()):
            self._drop_run(run)

    original = owner.Owner.detach
    setattr(owner.Owner, 'detach', detach)


def accept_any_configuration_version() -> None:
    """Apply every configuration that arrives, also older versions."""

    def apply_if_newer(self: Any, document: bytes) -> None:
        self._document = document
        self.configuration = self._decode(document)

    setattr(
        configuration.ConfigurationFollower, 'apply_if_newer', apply_if_newer
    )


def blame_no_task_for_crashes() -> None:
    """Start tasks again however many executors crash under them."""
    setattr(crash_blame.History, 'is_at_fault', False)


def ignore_changed_capacities() -> None:
    """Use the first capacity that an executor announces for good."""

    def handle_announcement(self: Any, announcement: Any) -> None:
        if self.announcement is not None:
            announcement = dataclasses.replace(
                announcement, capacity=self.announcement.capacity
            )
        original(self, announcement)

    original = driver.ExecutorDriver.handle_announcement
    setattr(driver.ExecutorDriver, 'handle_announcement', handle_announcement)


def start_in_evacuated_data_centres() -> None:
    """Follow the keys, but let nobody keep starts away."""
    in_service = data_centres.ServiceState.IN_SERVICE
    setattr(evacuation, 'judge', lambda *_: in_service)
    setattr(
        evacuation_control.EvacuationControl, 'note_target', lambda *_: None
    )


SAFEGUARDS = {
    '-': lambda: None,
    # Executors that obey orders of all sessions; see ``runner``.
    'fence': lambda: None,
    'acknowledgement': acknowledge_before_commit,
    'lease': expire_leases_at_once,
    'one-start': forget_runs_of_lost_streams,
    'configuration': accept_any_configuration_version,
    'blame': blame_no_task_for_crashes,
    'capacity': ignore_changed_capacities,
    'suspension': count_no_suspensions,
    'proof': believe_all_signs,
    'evacuation': start_in_evacuated_data_centres,
}

if __name__ == '__main__':
    clocks_file = pathlib.Path(sys.argv[1])
    shift_clocks(clocks_file)
    route_connections(clocks_file.with_suffix('.routes'))
    SAFEGUARDS[sys.argv[2]]()
    sys.argv = ['borageshelf', *sys.argv[3:]]
    sys.exit(main.main())
