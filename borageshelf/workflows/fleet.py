"""The owner's targets, and the index of those that may get work now."""

from collections import abc
import heapq

from borageshelf.decisions import target_index
from borageshelf.workflows import hand_over
from borageshelf.workflows import silence
from borageshelf.workflows import targets


class Fleet:
    """All targets that the owner knows.

    A change of a target takes effect in the index with the next ``refresh``,
    or at once with ``reindex``. So the cost of a scheduling pass depends on
    the number of targets that have changed and not on the size of the fleet.

    :param former_deadlines: when the runs under grants of former owners have
        ended, except for targets that the former head names
    :param handed_over: knows the deadlines of those
    :param begun_at_ms: elapsed time of the takeover
    """

    def __init__(
        self,
        former_deadlines: silence.Deadlines,
        handed_over: hand_over.HandOver,
        begun_at_ms: int,
    ) -> None:
        self._former_deadlines = former_deadlines
        self._handed_over = handed_over
        self._begun_at_ms = begun_at_ms
        self.targets: dict[str, targets.Target] = {}
        self._changed: dict[str, targets.Target] = {}
        self._indexes: dict[str, target_index.TargetIndex] = {}
        self._indexed_services: dict[str, str] = {}
        # The targets that may get work, by service and rack.
        self._racks: dict[tuple[str, str], dict[str, targets.Target]] = {}
        self._indexed_racks: dict[str, tuple[str, str]] = {}
        self._rack_changes: dict[tuple[str, str], int] = {}
        # Times at which targets may get work again, earliest first.
        self._retry_deadlines: list[tuple[int, str]] = []

    def get_or_add(self, target_id: str) -> targets.Target:
        """Return a target; one that is new may still have old grants."""
        target = self.targets.get(target_id)
        if target is None:
            deadlines = self._handed_over.former_deadlines.get(target_id)
            if deadlines is not None:
                target = targets.Target(target_id, deadlines)
                target.former_executor_id = self._handed_over.executor_ids[
                    target_id
                ]
            else:
                # Its agent has some time to find this owner.
                target = targets.Target(
                    target_id, self._former_deadlines, self._begun_at_ms
                )
            self.targets[target_id] = target
        return target

    def touch(self, target: targets.Target) -> None:
        """Note that a target has changed."""
        self._changed[target.target_id] = target

    def get_index(self, service: str) -> target_index.TargetIndex:
        """Return the index of the targets of a service that may get work."""
        index = self._indexes.get(service)
        if index is None:
            index = target_index.TargetIndex()
            self._indexes[service] = index
        return index

    def list_rack(
        self, service: str, rack: str
    ) -> abc.Collection[targets.Target]:
        """Return the targets of a rack that may get work."""
        return self._racks.get((service, rack), {}).values()

    def count_rack_changes(self, service: str, rack: str) -> int:
        """Return a number that rises with each change of the rack."""
        return self._rack_changes.get((service, rack), 0)

    def refresh(self, now_ms: int) -> None:
        """Apply all changes to the index."""
        while self._retry_deadlines and self._retry_deadlines[0][0] <= now_ms:
            _, target_id = heapq.heappop(self._retry_deadlines)
            self.touch(self.targets[target_id])
        changed, self._changed = self._changed, {}
        for target in changed.values():
            self.reindex(target, now_ms)

    def reindex(self, target: targets.Target, now_ms: int) -> None:
        """Apply the changes of one target to the index."""
        target_id = target.target_id
        former_service = self._indexed_services.get(target_id)
        is_usable = target.can_accept_runs(now_ms)
        self._reindex_rack(target, is_usable)
        if former_service is not None and not (
            is_usable and former_service == target.service
        ):
            self.get_index(former_service).remove(target_id)
            del self._indexed_services[target_id]
        target.is_cold = now_ms < target.cold_deadline_ms
        if is_usable:
            if target.is_cold:
                heapq.heappush(
                    self._retry_deadlines, (target.cold_deadline_ms, target_id)
                )
            self.get_index(target.service).put(target)
            self._indexed_services[target_id] = target.service
            return
        deadline_ms = target.find_retry_deadline_ms(now_ms)
        if deadline_ms:
            heapq.heappush(self._retry_deadlines, (deadline_ms, target_id))

    def _reindex_rack(self, target: targets.Target, is_usable: bool) -> None:
        key = (target.service, target.rack) if is_usable else None
        former = self._indexed_racks.get(target.target_id)
        for changed in {key, former}:
            if changed is not None:
                number = self._rack_changes.get(changed, 0) + 1
                self._rack_changes[changed] = number
        if key == former:
            return
        if former is not None:
            del self._indexed_racks[target.target_id]
            del self._racks[former][target.target_id]
            if not self._racks[former]:
                del self._racks[former]
        if key is not None:
            self._racks.setdefault(key, {})[target.target_id] = target
            self._indexed_racks[target.target_id] = key

    def refresh_latencies(self) -> None:
        """Let placement use the latest estimates of all latencies."""
        for target in self.targets.values():
            if target.serving_images:
                target.refresh_placement_latencies()
