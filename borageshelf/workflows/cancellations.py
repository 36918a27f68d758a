"""Cancellations of workflows that the owner does not know.

A submission may still be on its way when its caller cancels the workflow: on
the link of another entry, or behind a change of owner. The cancellation is
acknowledged all the same, because nothing is known that could be cancelled.
From then on the id is refused until no submission that is older than the
cancellation can arrive any more.

The ids are stored in pages, which are written with the commit that the
acknowledgement waits for anyway. So a new owner refuses them too, and a flood
of cancellations causes neither more commits nor large ones.
"""

from collections import abc
import dataclasses
import itertools
from typing import Any, Final

from borageshelf import clock
from borageshelf import measurements
from borageshelf.workflows import records

# A submission is void so long after an entry has received it.
SUBMISSION_LIFETIME_MS: Final = 10_000
# The longest cut or suspension of the users' pages may hold a submission back
# before an entry receives it.
HOLD_LIMIT_MS: Final = 12_000
# The clocks of two owners differ by up to 6 s (site files).
CLOCK_DIFFERENCE_LIMIT_MS: Final = 8_000
LIFETIME_MS: Final = (
    HOLD_LIMIT_MS + SUBMISSION_LIFETIME_MS + CLOCK_DIFFERENCE_LIMIT_MS
)
# Bounds the memory of the owner and the records that the next one reads.
ROWS_LIMIT: Final = 4_096
# Bounds the size of a commit.
UNSTORED_ROWS_LIMIT: Final = 256
# Leaves most entries of a commit to workflows.
REMOVALS_LIMIT: Final = 4
# A repeated cancellation within this time stores no further row.
RENEWAL_INTERVAL_MS: Final = 1_000
_PAGE_ROWS: Final = records.CANCELLATION_PAGE_ROWS


@dataclasses.dataclass(frozen=True)
class Changes:
    """Pages that a commit changes.

    :param writes: keys of pages and their new values
    :param removed: keys of the pages to remove
    """

    writes: tuple[tuple[str, bytes], ...] = ()
    removed: tuple[str, ...] = ()


class Cancellations:
    """Ids that are refused because they were cancelled before they arrived.

    :param epoch: epoch of this owner, which its pages are named after
    :param encode: encodes a record for the store
    """

    def __init__(self, epoch: int, encode: abc.Callable[[Any], bytes]) -> None:
        self._encode = encode
        self._page_keys = (
            records.make_cancellations_key(epoch, number)
            for number in itertools.count(1)
        )
        self._open_key = next(self._page_keys)
        self._pages: dict[str, list[records.CancellationRecord]] = {}
        # Elapsed times.
        self._deadlines_ms: dict[str, int] = {}
        self._page_deadlines_ms: dict[str, int] = {}
        self._row_count = 0
        # Pages to be written or removed, in the order of their changes.
        self._unstored_keys: dict[str, None] = {}
        self._expired_keys: dict[str, None] = {}
        self._unstored_row_count = 0

    @property
    def has_changes(self) -> bool:
        """Tell whether a cancellation is not stored yet."""
        return bool(self._unstored_keys)

    def restore(
        self,
        pages: abc.Mapping[str, records.CancellationPage],
        moment: clock.Moment,
    ) -> None:
        """Load the pages that earlier owners have stored."""
        for key, page in pages.items():
            for row in page.rows:
                left_ms = row.expires_deadline_ms - moment.wall_ms
                left_ms = min(max(left_ms, 0), LIFETIME_MS)
                self._append(key, row, moment.elapsed_ms + left_ms)

    def add(self, workflow_id: str, moment: clock.Moment) -> bool:
        """Refuse an id from now on; the next commit stores it.

        :return: False if no more ids can be kept for now
        """
        left_ms = self.compute_left_ms(workflow_id, moment.elapsed_ms)
        if left_ms > LIFETIME_MS - RENEWAL_INTERVAL_MS:
            return True
        if (
            self._row_count >= ROWS_LIMIT
            or self._unstored_row_count >= UNSTORED_ROWS_LIMIT
        ):
            measurements.CANCELLATIONS_REFUSED.inc()
            return False
        if len(self._pages.get(self._open_key, ())) >= _PAGE_ROWS:
            self._open_key = next(self._page_keys)
        self._append(
            self._open_key,
            records.CancellationRecord(
                workflow_id, moment.wall_ms + LIFETIME_MS
            ),
            moment.elapsed_ms + LIFETIME_MS,
        )
        self._unstored_keys[self._open_key] = None
        self._unstored_row_count += 1
        return True

    def compute_left_ms(self, workflow_id: str, now_ms: int) -> int:
        """Return how much longer an id is refused; 0 if it is not."""
        return max(self._deadlines_ms.get(workflow_id, 0) - now_ms, 0)

    def expire(self, now_ms: int) -> None:
        """Drop the pages of which no id is refused any more."""
        for key, deadline_ms in list(self._page_deadlines_ms.items()):
            if now_ms < deadline_ms:
                continue
            for row in self._pages[key]:
                if not self.compute_left_ms(row.workflow_id, now_ms):
                    self._deadlines_ms.pop(row.workflow_id, None)
            self._row_count -= len(self._pages[key])
            del self._pages[key], self._page_deadlines_ms[key]
            self._unstored_keys.pop(key, None)
            self._expired_keys[key] = None
            if key == self._open_key:
                self._open_key = next(self._page_keys)
        measurements.CANCELLATIONS_KEPT.set(self._row_count)

    def _append(
        self, key: str, row: records.CancellationRecord, deadline_ms: int
    ) -> None:
        self._pages.setdefault(key, []).append(row)
        self._row_count += 1
        for deadlines_ms, name in (
            (self._page_deadlines_ms, key),
            (self._deadlines_ms, row.workflow_id),
        ):
            deadlines_ms[name] = max(deadlines_ms.get(name, 0), deadline_ms)

    # Commits.

    def take_changes(self) -> Changes:
        """Return the changes for the next commit."""
        changes = Changes(
            tuple(
                (key, self._encode_page(key)) for key in self._unstored_keys
            ),
            tuple(self._expired_keys)[:REMOVALS_LIMIT],
        )
        for key in changes.removed:
            del self._expired_keys[key]
        self._unstored_keys.clear()
        self._unstored_row_count = 0
        return changes

    def handle_failed_commit(self, changes: Changes) -> None:
        """Put changes that were certainly not stored into the next commit."""
        for key, _ in changes.writes:
            if key in self._pages:
                self._unstored_keys[key] = None
                self._unstored_row_count += len(self._pages[key])
        self._expired_keys.update(dict.fromkeys(changes.removed))

    def _encode_page(self, key: str) -> bytes:
        return self._encode(records.CancellationPage(tuple(self._pages[key])))
