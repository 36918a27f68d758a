"""What the platform's list of VMs says of suspected and silent targets."""

from collections import abc
from typing import Final

from borageshelf.workflows import end_proofs
from borageshelf.workflows import jobs
from borageshelf.workflows import policy
from borageshelf.workflows import targets

# A list that does not show an executor for so long is not asked for it again.
FIRST_LISTING_LIMIT_MS: Final = 10_000
# The list shows most crashes within this time.
URGENT_MS: Final = 1_500


class VmList:
    """Knows when the list has to be read, and what the readings prove.

    :param record: writes the log line of a decision
    :ivar is_used: whether the deployment has such a list
    """

    def __init__(self, record: abc.Callable[..., None]) -> None:
        self._record = record
        self.is_used = False
        # Elapsed time at which a list that fails counts as not readable.
        self._unreadable_deadline_ms: int | None = None
        # When the last reading was requested that has shown an executor as up.
        self._listed_at_ms: dict[str, int] = {}

    def is_urgent(
        self, all_targets: abc.Iterable[targets.Target], now_ms: int
    ) -> bool:
        """Tell whether tasks wait for what the list says of an executor."""
        return self._unreadable_deadline_ms is None and any(
            now_ms < suspicion.received_at_ms + URGENT_MS
            for target in all_targets
            for suspicion in target.suspicions.values()
        )

    def needs_reading(
        self, all_targets: abc.Iterable[targets.Target], now_ms: int
    ) -> bool:
        """Tell whether the list has to be read now.

        It is read for executors that may have gone, for those that it has not
        shown yet, and before runs of a silent target are given up.
        """
        return any(
            target.suspicions
            or self._is_new(target, now_ms)
            or _is_expiring(target, now_ms)
            for target in all_targets
        )

    def note_failed_reading(self, requested_at_ms: int) -> None:
        """Note that the list could not be read."""
        if self._unreadable_deadline_ms is None:
            self._unreadable_deadline_ms = (
                requested_at_ms + end_proofs.UNREADABLE_LIMIT_MS
            )

    def apply_reading(
        self,
        all_targets: abc.Collection[targets.Target],
        reading: end_proofs.Reading,
    ) -> list[tuple[targets.Target, end_proofs.Suspicion]]:
        """Note which executors are listed as up.

        A new owner may not know the executor of a silent target. It counts as
        up as long as an executor is up that belongs to no other target.

        :return: the suspicions that are proved
        """
        self._unreadable_deadline_ms = None
        known_ids = {target.executor_id for target in all_targets}
        is_unknown_up = bool(reading.executor_ids - known_ids)
        confirmed = []
        for target in all_targets:
            confirmed += self._weigh_suspicions(target, reading)
            if _is_expiring(target, reading.requested_at_ms):
                is_up = is_unknown_up
                if target.executor_id:
                    is_up = target.executor_id in reading.executor_ids
                self._note_silent_target(target, is_up, reading)
        for executor_id in reading.executor_ids:
            self._listed_at_ms[executor_id] = reading.requested_at_ms
        return confirmed

    def _is_readable(self, now_ms: int) -> bool:
        deadline_ms = self._unreadable_deadline_ms
        return self.is_used and (deadline_ms is None or now_ms < deadline_ms)

    def _is_new(self, target: targets.Target, now_ms: int) -> bool:
        """Tell whether the list has not shown the executor of a session."""
        return (
            target.session != targets.UNATTACHED
            and now_ms < target.announced_at_ms + FIRST_LISTING_LIMIT_MS
            and self._listed_at_ms.get(target.executor_id, -1)
            < target.announced_at_ms
        )

    def _weigh_suspicions(
        self, target: targets.Target, reading: end_proofs.Reading
    ) -> list[tuple[targets.Target, end_proofs.Suspicion]]:
        confirmed = []
        for incarnation, former in list(target.suspicions.items()):
            suspicion = end_proofs.weigh_reading(former, reading)
            target.suspicions[incarnation] = suspicion
            listed_at_ms = self._listed_at_ms.get(suspicion.executor_id)
            if end_proofs.is_confirmed(suspicion, reading, listed_at_ms):
                confirmed.append((target, suspicion))
        return confirmed

    def _note_silent_target(
        self, target: targets.Target, is_up: bool, reading: end_proofs.Reading
    ) -> None:
        target.missed_readings = 0 if is_up else target.missed_readings + 1
        if is_up != target.is_listed_up:
            target.is_listed_up = is_up
            self._record(
                'silent target listed',
                target=target.target_id,
                executor=target.executor_id,
                is_up=is_up,
                silent_ms=reading.requested_at_ms - target.contact_at_ms,
            )

    def has_ended_in_silence(
        self, target: targets.Target, run: jobs.Run, now_ms: int
    ) -> bool:
        """Tell whether a run of a silent target counts as ended."""
        return end_proofs.has_ended_in_silence(
            end_proofs.SilentRun(
                target.find_lost_deadline_ms(run),
                target.lost_deadlines.other_ms,
                run.task.group.step.is_lasting,
                bool(target.executor_id),
                target.missed_readings,
            ),
            self._is_readable(now_ms),
            now_ms,
        )


def _is_expiring(target: targets.Target, now_ms: int) -> bool:
    """Tell whether runs of a silent target are about to be given up."""
    if target.is_ready or not target.runs:
        return False
    first_ms = min(
        [target.lost_deadlines.first_ms]
        + [
            order.ordered_by_ms + policy.ORDER_LIMIT_MS
            for order in target.unproved_runs.values()
        ]
    )
    return now_ms >= first_ms - end_proofs.LISTING_LEAD_MS
