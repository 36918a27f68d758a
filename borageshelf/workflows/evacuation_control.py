"""Applies the evacuated data centres to the owner's targets.

Part of the owner's core; does no I/O.
"""

from collections import abc

from borageshelf import clock
from borageshelf.decisions import evacuation
from borageshelf.model import data_centres
from borageshelf.workflows import fleet
from borageshelf.workflows import targets


class EvacuationControl:
    """Knows which targets may get starts.

    :param record: writes the log line of a decision
    :param discovery_deadline_ms: elapsed time by which agents have found this
        owner
    """

    def __init__(
        self,
        known_fleet: fleet.Fleet,
        record: abc.Callable[..., None],
        discovery_deadline_ms: int,
    ) -> None:
        self._fleet = known_fleet
        self._record = record
        self._discovery_deadline_ms = discovery_deadline_ms
        self._known = evacuation.NOT_FOLLOWED
        self._reported_names: set[str] = set()

    def apply(
        self, known: evacuation.EvacuatedSet, moment: clock.Moment
    ) -> list[targets.Target]:
        """Apply a reading of the set.

        :return: the targets whose state has changed
        """
        changed_names = known.data_centres ^ self._known.data_centres
        self._known = known
        self._report_unknown_names(moment.elapsed_ms)
        if not changed_names:
            return []
        changed = [
            target
            for target in self._fleet.targets.values()
            if target.data_centre in changed_names
        ]
        for target in changed:
            self.note_target(target)
        return changed

    def note_target(self, target: targets.Target) -> None:
        """Apply the set to a target whose data centre may be new."""
        target.is_evacuated = target.data_centre in self._known.data_centres
        self._fleet.touch(target)

    def judge(
        self, target: targets.Target, now_ms: int
    ) -> data_centres.ServiceState:
        """Return what the owner may state about a target's data centre."""
        return evacuation.judge(self._known, target.data_centre, now_ms)

    def bars_start(self, target: targets.Target, now_ms: int) -> bool:
        """Tell whether a placed start must not be sent to a target now."""
        return not evacuation.allows_starts(self.judge(target, now_ms))

    def may_place(self, now_ms: int) -> bool:
        """Tell whether the set is recent enough to place anything."""
        return evacuation.is_recent(self._known, now_ms)

    def _report_unknown_names(self, now_ms: int) -> None:
        """Log once each evacuated data centre that no target is in."""
        unreported = self._known.data_centres - self._reported_names
        if not unreported or now_ms < self._discovery_deadline_ms:
            return
        self._reported_names |= unreported
        present = {
            target.data_centre for target in self._fleet.targets.values()
        }
        for name in sorted(unreported - present):
            self._record(
                'evacuation of an unknown data centre', data_centre=name
            )
