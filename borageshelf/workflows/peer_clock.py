"""Deadlines on the clock of the process at the other end of a stream.

A time left that counts from the arrival of a message does not include how long
the message was held up on its way. So a deadline is sent as a reading of the
receiver's own clock, which needs no agreement between the clocks.
"""

from typing import Final

# The clocks of two VMs drift apart by less than this between two readings,
# which come several times a second.
DRIFT_MS: Final = 1


class PeerClock:
    """Estimates the elapsed time that the peer's clock shows.

    A reading is late by the time that it was on its way, so the estimate is
    never ahead of the peer's clock. The least late of the readings counts.
    """

    def __init__(self) -> None:
        self._offset_ms: int | None = None

    def note_reading(self, peer_elapsed_ms: int, now_ms: int) -> None:
        """Note a reading of the peer's clock.

        :param peer_elapsed_ms: elapsed time of the peer when it sent this
        :param now_ms: elapsed time of this process
        """
        offset_ms = peer_elapsed_ms - now_ms
        if self._offset_ms is not None:
            offset_ms = max(offset_ms, self._offset_ms - DRIFT_MS)
        self._offset_ms = offset_ms

    def convert_deadline(self, deadline_ms: int) -> int:
        """Return what the peer's clock shows at a deadline, or less.

        :param deadline_ms: elapsed time of this process
        :return: 0 if no reading is known
        """
        if self._offset_ms is None:
            return 0
        return max(deadline_ms + self._offset_ms, 1)
