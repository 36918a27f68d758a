"""What the owner is told of the executor's announcement."""

from typing import Final

from borageshelf import clock
from borageshelf.model import resources
from borageshelf.model import targets
from borageshelf.workflows import messages

# Times that are left are rounded, so that not every report contains a new
# state.
STEP_MS: Final = 500


def make_state(
    announcement: targets.Announcement | None, tells_cold: bool
) -> messages.TargetState:
    """Return the state that an executor has announced.

    :param announcement: its last one; None before the first one
    :param tells_cold: whether the owner is told that it is slow
    """
    if announcement is None:
        return messages.TargetState('', '', resources.NOTHING, (), True, 0)
    now_ms = clock.read_elapsed_ms()
    left_ms = 0
    if announcement.is_draining:
        left_ms = max(announcement.leaves_deadline_ms - now_ms, 0)
        left_ms -= left_ms % STEP_MS
    cold_left_ms = 0
    if tells_cold and announcement.cold_deadline_ms:
        cold_left_ms = max(announcement.cold_deadline_ms - now_ms, 0)
        # Rounded up: the next state tells that it is warm.
        cold_left_ms += -cold_left_ms % STEP_MS
    return messages.TargetState(
        announcement.incarnation,
        announcement.service,
        announcement.capacity,
        announcement.labels,
        announcement.is_draining,
        left_ms,
        cold_left_ms,
    )
