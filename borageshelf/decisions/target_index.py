"""Index of the targets of a service, for the choice of a target.

``workflow_placement.choose_target`` looks at every target for each task. With
hundreds of targets and thousands of waiting tasks this takes longer than the
work itself, so the index keeps the targets in the order in which the choice
prefers them, and looks at the first ones only. It also records which targets
have changed, so that a task that did not fit is tried again on these only.
The answers are those of ``choose_target`` over all targets of the index in the
order in which they were first added.
"""

import collections
import itertools
from typing import Final

import sortedcontainers

from borageshelf.decisions import workflow_placement

_PREFERRED: Final = workflow_placement.PREFERRED

_UnusedKey = tuple[int, int, str]
_ServingKey = tuple[bool, int, int, int, str]


class TargetIndex:
    """Targets that may get work, ordered by the preferences of the choice.

    The attributes of a target must not change without a call of ``put``.
    """

    def __init__(self) -> None:
        self._targets: dict[str, workflow_placement.Target] = {}
        # Position among all targets ever added; decides between equal scores.
        self._positions: dict[str, int] = {}
        self._by_unused: sortedcontainers.SortedList[_UnusedKey] = (
            sortedcontainers.SortedList()
        )
        self._by_serving: sortedcontainers.SortedList[_ServingKey] = (
            sortedcontainers.SortedList()
        )
        self._keys: dict[str, tuple[_UnusedKey, _ServingKey]] = {}
        self._ids_by_image: dict[str, set[str]] = {}
        self._images: dict[str, tuple[str, ...]] = {}
        self._numbers = itertools.count(1)
        self._change_numbers: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.change_number = 0

    def __len__(self) -> int:
        return len(self._targets)

    def put(self, target: workflow_placement.Target) -> None:
        """Add a target, or apply its changed attributes."""
        target_id = target.target_id
        self._drop_keys(target_id)
        position = self._positions.setdefault(target_id, len(self._positions))
        self._targets[target_id] = target
        unused_key = (
            -workflow_placement.compute_unused_millicores(target),
            position,
            target_id,
        )
        serving_key = (
            target.filler_millicores > 0,
            len(target.serving_images),
            target.capacity.processor_millicores
            - target.reserved.processor_millicores,
            position,
            target_id,
        )
        self._by_unused.add(unused_key)
        self._by_serving.add(serving_key)
        self._keys[target_id] = (unused_key, serving_key)
        images = tuple(target.serving_images)
        self._images[target_id] = images
        for image in images:
            self._ids_by_image.setdefault(image, set()).add(target_id)
        self._record_change(target_id)

    def remove(self, target_id: str) -> None:
        """Remove a target that may not get work now, if it is present."""
        self._drop_keys(target_id)
        self._targets.pop(target_id, None)
        self._change_numbers.pop(target_id, None)

    def list_targets(self) -> list[workflow_placement.Target]:
        """Return all targets that may get work."""
        return list(self._targets.values())

    def choose(
        self,
        request: workflow_placement.PlacementRequest,
        predict_latency_share: workflow_placement.LatencyPredictor,
    ) -> workflow_placement.Target | None:
        """Return the best target, or None if the task fits nowhere now."""
        if request.step.latency_target_ms:
            return self._choose_for_serving(request)
        return self._choose_by_unused(request, predict_latency_share)

    def choose_changed_since(
        self,
        request: workflow_placement.PlacementRequest,
        predict_latency_share: workflow_placement.LatencyPredictor,
        change_number: int,
    ) -> workflow_placement.Target | None:
        """Return the best of the targets that have changed, or None.

        This is the best of all targets if the task fitted nowhere at the time
        of the given change number.
        """
        changed_ids = itertools.takewhile(
            lambda item: item[1] > change_number,
            reversed(self._change_numbers.items()),
        )
        candidates = sorted(
            (target_id for target_id, _ in changed_ids),
            key=self._positions.__getitem__,
        )
        return workflow_placement.choose_target(
            request,
            (self._targets[target_id] for target_id in candidates),
            predict_latency_share,
        )

    def _choose_by_unused(
        self,
        request: workflow_placement.PlacementRequest,
        predict_latency_share: workflow_placement.LatencyPredictor,
    ) -> workflow_placement.Target | None:
        """Choose for a task whose score ends with the unused processors."""
        step = request.step
        best: workflow_placement.Target | None = None
        best_score: tuple[float, ...] = ()
        ideal_prefix = (*_PREFERRED, 0.0) if step.is_filler else _PREFERRED
        min_unused_millicores = (
            workflow_placement.compute_min_unused_millicores(step)
            if step.is_filler
            else None
        )
        for negated_unused_millicores, _, target_id in self._by_unused:
            if (
                min_unused_millicores is not None
                and -negated_unused_millicores < min_unused_millicores
            ):
                break
            target = self._targets[target_id]
            score = workflow_placement.compute_score(
                request, target, predict_latency_share
            )
            if score is None:
                continue
            if score[:-1] == ideal_prefix:
                return target
            if best is None or score < best_score:
                best, best_score = target, score
        return best

    def _choose_for_serving(
        self, request: workflow_placement.PlacementRequest
    ) -> workflow_placement.Target | None:
        """Choose for a serving task.

        Its score prefers targets without fillers, then with its own image,
        then with the fewest images, and last the least free processors.
        """
        candidates: list[tuple[tuple[float, ...], int, str]] = []
        for target_id in self._ids_by_image.get(request.step.image, ()):
            self._append_candidate(candidates, request, target_id)
        needed_millicores = request.step.demand.processor_millicores
        counts = range(1 + max(map(len, self._images.values()), default=0))
        for flags in itertools.product((False, True), counts):
            first = (*flags, needed_millicores, -1, '')
            end = (*flags, float('inf'), -1, '')
            for key in self._by_serving.irange(first, end):
                # Later keys of the range are worse unless this target is not
                # a preferred one.
                if self._append_candidate(candidates, request, key[-1]):
                    break
        return self._targets[min(candidates)[-1]] if candidates else None

    def _append_candidate(
        self,
        candidates: list[tuple[tuple[float, ...], int, str]],
        request: workflow_placement.PlacementRequest,
        target_id: str,
    ) -> bool:
        """Append a target if it has room; return whether it is preferred."""
        score = workflow_placement.compute_score(
            request,
            self._targets[target_id],
            workflow_placement.predict_no_effect,
        )
        if score is None:
            return False
        candidates.append((score, self._positions[target_id], target_id))
        return score[: len(_PREFERRED)] == _PREFERRED

    def _record_change(self, target_id: str) -> None:
        self.change_number = next(self._numbers)
        self._change_numbers[target_id] = self.change_number
        self._change_numbers.move_to_end(target_id)

    def _drop_keys(self, target_id: str) -> None:
        keys = self._keys.pop(target_id, None)
        if keys is None:
            return
        unused_key, serving_key = keys
        self._by_unused.remove(unused_key)
        self._by_serving.remove(serving_key)
        for image in self._images.pop(target_id):
            self._ids_by_image[image].discard(target_id)
