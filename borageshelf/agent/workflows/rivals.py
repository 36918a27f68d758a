"""An executor that announces itself although a later one has done so.

The announcement of the latest start counts. If it was another program's, the
executor goes on to announce itself, and the other one is never heard of again.
Delayed announcements of an executor that has gone arrive together.
"""

from typing import Final

from borageshelf.model import targets

# Executors announce themselves each second. A cut holds announcements back for
# up to 5.5 s and then delivers them at once.
SILENCE_LIMIT_MS: Final = 2_500
ANNOUNCEMENTS_NEEDED: Final = 3


class Rival:
    """The executor that was announced in place of the one in use."""

    def __init__(self) -> None:
        self._latest: targets.Announcement | None = None
        self._since_ms = 0
        self._count = 0

    def forget(self) -> None:
        """Begin anew, as the executor in use was heard of."""
        self._latest = None

    def has_outlasted(
        self, announcement: targets.Announcement, now_ms: int
    ) -> bool:
        """Tell whether the executor in use was silent beside this one.

        :param announcement: of another executor, with an earlier start
        :param now_ms: elapsed time
        """
        latest = self._latest
        if latest is None or latest.incarnation != announcement.incarnation:
            self._since_ms = now_ms
            self._count = 0
        elif announcement.sequence <= latest.sequence:
            return False
        self._latest = announcement
        self._count += 1
        return (
            self._count >= ANNOUNCEMENTS_NEEDED
            and now_ms - self._since_ms >= SILENCE_LIMIT_MS
        )
