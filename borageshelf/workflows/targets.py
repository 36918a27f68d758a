"""Targets as the owner sees them: capacity, runs and sessions of agents."""

from typing import Final

from borageshelf.decisions import filler_effects
from borageshelf.decisions import target_health
from borageshelf.decisions import workflow_placement
from borageshelf.model import resources
from borageshelf.workflows import jobs

# Session number of a target without an agent.
UNATTACHED: Final = 0


class Target:
    """One target; implements ``workflow_placement.Target``.

    :ivar session: number of the agent's session; ``UNATTACHED`` for none
    :ivar is_ready: the session has told what runs there
    :ivar lost_deadline_ms: elapsed time at which everything that was granted
        there has certainly ended, unless the agent is heard of again
    :ivar quiet_shares: estimated latency of each serving image without
        fillers, as a share of its target
    :ivar filler_sizes: declared processors of the fillers by image
    :ivar strays: runs there that the owner does not want; their sizes may be
        unknown, so nothing is placed beside them
    """

    def __init__(self, target_id: str, lost_deadline_ms: int) -> None:
        self.target_id = target_id
        self.service = ''
        self.data_centre = ''
        self.rack = ''
        self.labels: tuple[str, ...] = ()
        self.capacity = resources.NOTHING
        self.reserved = resources.NOTHING
        self.busy_millicores = 0
        self.filler_millicores = 0
        self.filler_used_millicores = 0
        self.serving_images: dict[str, int] = {}
        self.session = UNATTACHED
        self.is_ready = False
        self.is_draining = False
        self.leaves_deadline_ms = 0
        self.incarnation = ''
        self.lost_deadline_ms = lost_deadline_ms
        self.runs: dict[tuple[str, int], jobs.Run] = {}
        self.strays: set[tuple[str, int]] = set()
        self.health = target_health.Health()
        self.sent_spec_ids: set[str] = set()
        self._open_ends: set[int] = set()
        self._highest_end = 0
        self.quiet_shares: dict[str, float] = {}
        self.filler_sizes: dict[str, int] = {}
        self.refused_deadline_ms = 0

    def is_sound(self, now_ms: int) -> bool:
        """Tell whether the target counts as part of the fleet's room."""
        return (
            self.is_ready
            and not self.is_draining
            and not self.health.is_suspect(now_ms)
        )

    def is_usable(self, now_ms: int) -> bool:
        """Tell whether new work may be placed here now."""
        return (
            self.is_sound(now_ms)
            and not self.strays
            and now_ms >= self.refused_deadline_ms
        )

    def open_end(self, number: int) -> None:
        """Note an end that may not be forgotten yet."""
        self._open_ends.add(number)
        self._highest_end = max(self._highest_end, number)

    def close_end(self, number: int) -> int:
        """Note that what follows from an end is committed.

        :return: the number up to which all ends may be forgotten; an
            acknowledgement always covers the ends before it
        """
        self._open_ends.discard(number)
        if self._open_ends:
            return min(self._open_ends) - 1
        return self._highest_end

    def forget_ends(self) -> None:
        """Begin a session, in which all open ends are told again."""
        self._open_ends.clear()
        self._highest_end = 0

    def add(self, run: jobs.Run) -> None:
        """Count a run."""
        self.runs[(run.task.name, run.attempt)] = run
        self._count(run, 1)

    def remove(self, run: jobs.Run) -> None:
        """Count a run no longer."""
        if self.runs.pop((run.task.name, run.attempt), None) is not None:
            self._count(run, -1)

    def _count(self, run: jobs.Run, sign: int) -> None:
        step = run.task.group.step
        if sign > 0:
            self.reserved = self.reserved.plus(step.reserved)
        else:
            self.reserved = self.reserved.minus(step.reserved)
        if step.is_filler:
            size = step.demand.processor_millicores
            self.filler_millicores += sign * size
            sizes = self.filler_sizes
            sizes[step.image] = sizes.get(step.image, 0) + sign * size
            if not sizes[step.image]:
                del sizes[step.image]
        else:
            use = workflow_placement.find_expected_use(step)
            self.busy_millicores += sign * use
        if step.latency_target_ms:
            self._count_serving(step.image, sign)

    def _count_serving(self, image: str, sign: int) -> None:
        images = self.serving_images
        images[image] = images.get(image, 0) + sign
        if images[image]:
            # A new one has told nothing yet.
            self.quiet_shares.setdefault(image, filler_effects.UNKNOWN_SHARE)
        else:
            del images[image]
            self.quiet_shares.pop(image, None)
