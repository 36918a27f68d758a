"""Distinguishes targets that fail or stall all work from failing workflows.

A target becomes suspect when several different workflows fail on it without
a success in between. A workflow whose tasks fail on several targets is at
fault itself, and its failures do not count against them. A suspect target is
tried again after a pause, which doubles while the target keeps failing.
So is one whose executor crashes again and again by itself: it comes back empty
and would attract all work. Failures are forgotten after a while: lasting tasks
never succeed, so that on a target with nothing else their rare failures would
add up.
"""

import dataclasses
from typing import Final

# Number of different workflows that fail on a target without a success in
# between. When one task in twenty fails by its own fault, one in 400 pairs of
# tasks fails by chance.
SUSPECT_WORKFLOWS: Final = 2
BASE_PAUSE_MS: Final = 2_500
PAUSE_LIMIT_MS: Final = 10_000
# The pause after crashes is not passed over for any task, so it has to end
# before the users' rules ask for a run.
CRASH_PAUSE_LIMIT_MS: Final = 5_000
# Failures are forgotten if no other one follows within this time, or within
# this time after the pause that they caused.
FAILURE_MEMORY_MS: Final = 10_000


@dataclasses.dataclass(frozen=True)
class Health:
    """Health of one target according to its latest runs.

    :param failed_workflows: ids of the workflows that failed on the target
        since the last success
    :param memory_deadline_ms: elapsed time at which the failures and the
        length of the latest pause are forgotten
    :param suspect_deadline_ms: elapsed time until which the target gets no
        work
    :param pause_ms: length of the latest pause, 0 before the first
    :param is_stalled: whether runs that stood still caused the latest pause
    """

    failed_workflows: frozenset[str] = frozenset()
    suspect_deadline_ms: int = 0
    pause_ms: int = 0
    memory_deadline_ms: int = 0
    is_stalled: bool = False

    def is_suspect(self, now_ms: int) -> bool:
        """Tell whether the target gets no work at this time."""
        return now_ms < self.suspect_deadline_ms


def record_success(health: Health) -> Health:
    """Return the health after a successful run."""
    if not health.failed_workflows and not health.pause_ms:
        return health
    return Health()


def record_lasting_run(health: Health) -> Health:
    """Return the health after a run that began in a pause and goes on.

    Targets that fail or refuse work do so at the start. It proves nothing
    about stalls.
    """
    return health if health.is_stalled else record_success(health)


def record_failure(health: Health, workflow_id: str, now_ms: int) -> Health:
    """Return the health after a failed run.

    :param workflow_id: workflow that has not failed on any other target
    """
    health = _forget(health, now_ms)
    failed_workflows = health.failed_workflows | {workflow_id}
    is_evidence = len(failed_workflows) >= SUSPECT_WORKFLOWS
    if not is_evidence or health.is_suspect(now_ms):
        return dataclasses.replace(
            health,
            failed_workflows=failed_workflows,
            memory_deadline_ms=_remember_until(health, now_ms),
        )
    paused = _pause(health, now_ms)
    # All but one of the needed failures are kept, so that one more failure
    # after the pause makes the target suspect again.
    kept_workflows = frozenset(list(failed_workflows)[: SUSPECT_WORKFLOWS - 1])
    return dataclasses.replace(paused, failed_workflows=kept_workflows)


def record_refusal(health: Health, now_ms: int) -> Health:
    """Return the health after the target refused a start as unhealthy."""
    health = _forget(health, now_ms)
    return health if health.is_suspect(now_ms) else _pause(health, now_ms)


def record_stall(health: Health, now_ms: int) -> Health:
    """Return the health after a run that made no progress."""
    health = dataclasses.replace(_forget(health, now_ms), is_stalled=True)
    return health if health.is_suspect(now_ms) else _pause(health, now_ms)


def record_crash(health: Health, now_ms: int) -> Health:
    """Return the health after a crash that no task is likely to have caused.

    :param health: health by crashes only, as each incarnation begins with none
        of the failures of the former one
    """
    health = _forget(health, now_ms)
    if health.memory_deadline_ms:
        return _pause(health, now_ms, CRASH_PAUSE_LIMIT_MS)
    return dataclasses.replace(
        health, memory_deadline_ms=_remember_until(health, now_ms)
    )


def _pause(
    health: Health, now_ms: int, limit_ms: int = PAUSE_LIMIT_MS
) -> Health:
    pause_ms = min(max(2 * health.pause_ms, BASE_PAUSE_MS), limit_ms)
    paused = dataclasses.replace(
        health, suspect_deadline_ms=now_ms + pause_ms, pause_ms=pause_ms
    )
    return dataclasses.replace(
        paused, memory_deadline_ms=_remember_until(paused, now_ms)
    )


def _remember_until(health: Health, now_ms: int) -> int:
    return max(health.suspect_deadline_ms, now_ms) + FAILURE_MEMORY_MS


def _forget(health: Health, now_ms: int) -> Health:
    """Return the health without failures that are too long ago."""
    return Health() if now_ms >= health.memory_deadline_ms else health
