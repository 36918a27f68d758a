"""Tells targets that fail or stall everything from workflows that fail.

A target is suspect after failures of several different workflows without a
success in between. A workflow whose tasks fail on several targets is at fault
itself and says nothing about them. A suspect target is tried again after a
pause, which doubles while it keeps failing.
"""

import dataclasses
from typing import Final

# Two workflows that fail one after the other on one target: with one task in
# twenty failing by its own fault, chance explains one such pair in 400.
SUSPECT_FAILURES: Final = 2
FIRST_PAUSE_MS: Final = 2_500
PAUSE_LIMIT_MS: Final = 10_000


@dataclasses.dataclass(frozen=True)
class Health:
    """What the last runs on a target say about it.

    :param failed: workflows that failed there since the last success
    :param suspect_deadline_ms: elapsed time until which it gets no work
    """

    failed: frozenset[str] = frozenset()
    suspect_deadline_ms: int = 0
    pause_ms: int = 0

    def is_suspect(self, now_ms: int) -> bool:
        """Tell whether the target should get no work now."""
        return now_ms < self.suspect_deadline_ms


def record_success(health: Health) -> Health:
    """Return the health after a run that was done."""
    if not health.failed and not health.pause_ms:
        return health
    return Health()


def record_failure(health: Health, workflow_id: str, now_ms: int) -> Health:
    """Return the health after a failed run.

    :param workflow_id: workflow that failed on no other target yet
    """
    failed = health.failed | {workflow_id}
    if len(failed) < SUSPECT_FAILURES:
        return dataclasses.replace(health, failed=failed)
    pause_ms = min(max(2 * health.pause_ms, FIRST_PAUSE_MS), PAUSE_LIMIT_MS)
    if health.is_suspect(now_ms):
        return dataclasses.replace(health, failed=failed)
    # After the pause a single further failure is enough.
    kept = frozenset(list(failed)[: SUSPECT_FAILURES - 1])
    return Health(kept, now_ms + pause_ms, pause_ms)


def record_stall(health: Health, now_ms: int) -> Health:
    """Return the health after a run that stood still."""
    pause_ms = min(max(2 * health.pause_ms, FIRST_PAUSE_MS), PAUSE_LIMIT_MS)
    if health.is_suspect(now_ms):
        return health
    return dataclasses.replace(
        health, suspect_deadline_ms=now_ms + pause_ms, pause_ms=pause_ms
    )
