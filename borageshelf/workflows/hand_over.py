"""What an owner tells the next one about silent targets.

Each commit names in the head the silent targets that have runs, and for how
long these may go on. A named target gets no grant before a commit without it
has taken effect. So whoever reads the head knows when those runs have ended.
Any other target may have got a grant after the commit.
"""

from collections import abc
from typing import Final

from borageshelf.workflows import records
from borageshelf.workflows import silence
from borageshelf.workflows import targets

# Agents report every 400 ms.
SILENCE_LIMIT_MS: Final = 1_000
# Bounds the size of the head. The next owner waits longer for the others.
NAMED_TARGETS_LIMIT: Final = 512


class HandOver:
    """The targets that the heads of an owner name as silent.

    :param former: head that the former owner has left
    :param head_seen_at_ms: elapsed time at which that head was already stored
    :ivar former_deadlines: when the runs of the targets that it names have
        ended
    :ivar executor_ids: ids of their executors
    """

    def __init__(
        self,
        former: records.HeadRecord | None = None,
        head_seen_at_ms: int = 0,
    ) -> None:
        silent_targets = former.silent_targets if former is not None else ()
        self.former_deadlines: dict[str, silence.Deadlines] = {
            silent.target_id: silence.Deadlines(
                head_seen_at_ms + silent.lasting_left_ms,
                head_seen_at_ms + silent.other_left_ms,
            )
            for silent in silent_targets
        }
        self.executor_ids = {
            silent.target_id: silent.executor_id for silent in silent_targets
        }
        self._targets: abc.Mapping[str, targets.Target] | None = None
        self._stored_ids = frozenset(self.former_deadlines)
        # Named by heads of which it is not known whether they are stored.
        self._sent_ids: frozenset[str] = frozenset()

    def watch(self, known: abc.Mapping[str, targets.Target]) -> None:
        """Name those of the owner's targets that are silent from now on.

        Until then the targets that the former head names are named again.
        """
        self._targets = known

    def is_named(self, target_id: str) -> bool:
        """Tell whether the head that is stored may name a target."""
        return target_id in self._stored_ids or target_id in self._sent_ids

    def name_silent_targets(
        self, now_ms: int, is_resigned: bool
    ) -> tuple[records.SilentTarget, ...]:
        """Return the targets that the next head names.

        :param is_resigned: whether no target gets a grant any more, so that
            all of them can be named
        """
        left = [
            _make_silent_target(target_id, deadlines, executor_id, now_ms)
            for target_id, deadlines, executor_id in self._list_silent(
                now_ms, is_resigned
            )
        ]
        left.sort(key=lambda silent: silent.other_left_ms)
        named = tuple(left[:NAMED_TARGETS_LIMIT])
        self._sent_ids |= _list_ids(named)
        return named

    def note_stored(self, named: abc.Iterable[records.SilentTarget]) -> None:
        """Note that a head is stored; no earlier one is stored any more."""
        self._stored_ids = _list_ids(named)
        self._sent_ids = frozenset()

    def _list_silent(
        self, now_ms: int, is_resigned: bool
    ) -> abc.Iterator[tuple[str, silence.Deadlines, str]]:
        if self._targets is None:
            for target_id, deadlines in self.former_deadlines.items():
                yield target_id, deadlines, self.executor_ids[target_id]
            return
        for target in self._targets.values():
            silent_ms = now_ms - target.in_touch_at_ms
            is_silent = is_resigned or silent_ms >= SILENCE_LIMIT_MS
            # The deadlines do not cover orders that are still on their way.
            if is_silent and target.runs and not target.unproved_runs:
                yield (
                    target.target_id,
                    target.lost_deadlines,
                    target.executor_id,
                )


def _make_silent_target(
    target_id: str,
    deadlines: silence.Deadlines,
    executor_id: str,
    now_ms: int,
) -> records.SilentTarget:
    return records.SilentTarget(
        target_id,
        max(deadlines.lasting_ms - now_ms, 0),
        max(deadlines.other_ms - now_ms, 0),
        executor_id,
    )


def _list_ids(named: abc.Iterable[records.SilentTarget]) -> frozenset[str]:
    return frozenset(silent.target_id for silent in named)
